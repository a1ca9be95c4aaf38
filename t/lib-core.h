/** @file
 * Test fixture that drives one decision core event by event.
 */
#ifndef KQ_T_LIB_CORE_H
#define KQ_T_LIB_CORE_H

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/core.h"
#include "core/record.h"
#include "t/kqtest.h"

#define USEC_PER_MSEC KQ_USEC_PER_MSEC
#define EMITTED_MAX 256

static const char config_text[]
    = "{\"shards\":[{\"name\":\"s\",\"zone\":\"z\",\"workers\":"
      "[\"w0\",\"w1\",\"w2\"]}]}";

/* A core, its time, the last log offset and the effects of the last step. */
struct core_fixture
{
  struct kq_core *core;
  struct kq_effects *effects;
  kq_usec now;
  int64_t offset;
  struct kq_effect emitted[EMITTED_MAX];
  size_t count;
};

static inline void
step (struct core_fixture *fixture, const struct kq_event *event)
{
  kq_effects_clear (fixture->effects);
  CU_ASSERT_EQUAL (
      kq_core_step (fixture->core, fixture->now, event, fixture->effects), 0);
  fixture->count = 0;
  while (
      fixture->count < EMITTED_MAX
      && kq_effects_pop (fixture->effects, &fixture->emitted[fixture->count]))
    fixture->count++;
}

static inline void
tick (struct core_fixture *fixture, int msec)
{
  struct kq_event event = { .kind = KQ_EV_TICK };

  fixture->now += msec * USEC_PER_MSEC;
  step (fixture, &event);
}

static inline void
reach_log_end (struct core_fixture *fixture)
{
  struct kq_event event = { .kind = KQ_EV_LOG_END };

  event.u.log.sent_at = fixture->now;
  event.u.log.offset = fixture->offset + 1;
  step (fixture, &event);
}

static inline void
read_record (struct core_fixture *fixture, const struct kq_record *record)
{
  struct kq_event event = { .kind = KQ_EV_RECORD };

  event.u.record.offset = ++fixture->offset;
  event.u.record.record = record;
  step (fixture, &event);
}

static inline void
read_config (struct core_fixture *fixture, int64_t base, const char *text)
{
  struct kq_record record = { .kind = KQ_REC_CONFIG, .id = { "c" } };

  strcpy (record.host.text, "b");
  record.u.config.base = base;
  record.u.config.text = text;
  read_record (fixture, &record);
}

static inline struct core_fixture
create_fixture (void)
{
  struct kq_core_settings settings
      = { .host = { "a" }, .zone = { "z" }, .incarnation = 1 };
  struct core_fixture fixture = { .now = 1000 * USEC_PER_MSEC };

  kq_core_settings_default (&settings);
  fixture.core = kq_core_create (&settings);
  fixture.effects = kq_effects_create ();
  return fixture;
}

static inline void
destroy_fixture (struct core_fixture *fixture)
{
  kq_effects_destroy (fixture->effects);
  kq_core_destroy (fixture->core);
}

/* Returns the last effect of KIND, for WORKER unless it is NULL. */
static inline const struct kq_effect *
find_effect (const struct core_fixture *fixture, enum kq_effect_kind kind,
             const char *worker)
{
  for (size_t i = fixture->count; i > 0; i--)
    {
      const struct kq_effect *effect = &fixture->emitted[i - 1];

      if (effect->kind != kind)
        continue;
      if (worker == NULL
          || (kind == KQ_FX_LEASE
              && strcmp (effect->u.lease.worker.text, worker) == 0))
        return effect;
    }
  return NULL;
}

/* Returns a copy of the record of the last KQ_FX_APPEND; the test fails and
   ends when there is none. */
static inline struct kq_record *
copy_append (const struct core_fixture *fixture)
{
  const struct kq_effect *append = find_effect (fixture, KQ_FX_APPEND, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (append);
  return append == NULL ? NULL : kq_record_copy (append->u.append);
}

/* Returns the task_ttl of the last lease request to WORKER, -1 if there is
   none. */
static inline kq_usec
requested_task_ttl (const struct core_fixture *fixture, const char *worker)
{
  const struct kq_effect *lease = find_effect (fixture, KQ_FX_LEASE, worker);

  return lease == NULL ? -1 : lease->u.lease.task_ttl;
}

/* Returns the ttl of the last lease request to WORKER, -1 if there is none. */
static inline kq_usec
requested_lease_ttl (const struct core_fixture *fixture, const char *worker)
{
  const struct kq_effect *lease = find_effect (fixture, KQ_FX_LEASE, worker);

  return lease == NULL ? -1 : lease->u.lease.ttl;
}

/* Returns the error of the last reply, 1 if there is none. */
static inline int
reply_err (const struct core_fixture *fixture)
{
  const struct kq_effect *reply = find_effect (fixture, KQ_FX_REPLY, NULL);

  return reply == NULL ? 1 : reply->u.reply.err;
}

/* WORKER, whose table has ROW unless it is NULL, grants a lease request that
   was sent now, under TERM. */
static inline void
grant_lease (struct core_fixture *fixture, const char *worker, uint64_t term,
             const struct kq_attempt_row *row)
{
  struct kq_event event = { .kind = KQ_EV_LEASE };
  struct kq_lease_reply *reply = &event.u.lease;

  strcpy (reply->worker.text, worker);
  reply->sent_at = fixture->now;
  reply->term = term;
  reply->holder = *kq_core_holder (fixture->core);
  reply->remaining = 2000 * USEC_PER_MSEC;
  reply->table.capacity = (struct kq_resources){ 4000, 8000, 0 };
  reply->table.rows = row;
  reply->table.row_count = row == NULL ? 0 : 1;
  fixture->now += USEC_PER_MSEC;
  step (fixture, &event);
}

static inline void
submit_command (struct core_fixture *fixture, enum kq_command_kind kind,
                const char *name)
{
  struct kq_event event = { .kind = KQ_EV_COMMAND };

  event.u.command.kind = kind;
  event.u.command.id = 7;
  strcpy (event.u.command.name.text, name);
  strcpy (event.u.command.job.id.text, name);
  event.u.command.job.tasks = 1;
  step (fixture, &event);
}

static inline void
send_append_result (struct core_fixture *fixture,
                    const struct kq_record *record, int err)
{
  struct kq_event event = { .kind = KQ_EV_APPEND_RESULT };

  event.u.appended.id = record->id;
  event.u.appended.err = err;
  event.u.appended.offset = err == 0 ? fixture->offset + 1 : 0;
  step (fixture, &event);
}

/* Creates a core that owns shard "s" by the leases of "w0" and "w1" and has
   read its EPOCH record back. */
static inline struct core_fixture
create_owner (void)
{
  struct core_fixture fixture = create_fixture ();
  struct kq_record *epoch = NULL;

  read_config (&fixture, 0, config_text);
  reach_log_end (&fixture);
  tick (&fixture, 100);
  grant_lease (&fixture, "w0", 1, NULL);
  grant_lease (&fixture, "w1", 1, NULL);
  tick (&fixture, 100);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find_effect (&fixture, KQ_FX_APPEND, NULL));
  epoch
      = kq_record_copy (find_effect (&fixture, KQ_FX_APPEND, NULL)->u.append);
  CU_ASSERT_EQUAL (epoch->kind, KQ_REC_EPOCH);
  read_record (&fixture, epoch);
  kq_record_free (epoch);
  return fixture;
}

#endif
