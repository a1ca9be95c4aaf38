/** @file
 * Drives one decision core event by event, for tests.
 */
#ifndef KQ_T_LIB_CORE_H
#define KQ_T_LIB_CORE_H

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/core.h"
#include "core/record.h"
#include "t/kqtest.h"

#define MSEC KQ_USEC_PER_MSEC
#define SEEN_MAX 256

static const char config_text[]
    = "{\"shards\":[{\"name\":\"s\",\"zone\":\"z\",\"workers\":"
      "[\"w0\",\"w1\",\"w2\"]}]}";

/* A core, its time and what it asked for last. */
struct bench
{
  struct kq_core *core;
  struct kq_effects *effects;
  kq_usec now;
  int64_t offset;
  struct kq_effect seen[SEEN_MAX];
  size_t count;
};

static inline void
give (struct bench *bench, const struct kq_event *event)
{
  kq_effects_clear (bench->effects);
  CU_ASSERT_EQUAL (
      kq_core_step (bench->core, bench->now, event, bench->effects), 0);
  bench->count = 0;
  while (bench->count < SEEN_MAX
         && kq_effects_take (bench->effects, &bench->seen[bench->count]))
    bench->count++;
}

static inline void
tick (struct bench *bench, int msec)
{
  struct kq_event event = { .kind = KQ_EV_TICK };

  bench->now += msec * MSEC;
  give (bench, &event);
}

static inline void
log_end (struct bench *bench)
{
  struct kq_event event = { .kind = KQ_EV_LOG_END };

  event.u.log.sent_at = bench->now;
  event.u.log.offset = bench->offset + 1;
  give (bench, &event);
}

static inline void
read_record (struct bench *bench, const struct kq_record *record)
{
  struct kq_event event = { .kind = KQ_EV_RECORD };

  event.u.record.offset = ++bench->offset;
  event.u.record.record = record;
  give (bench, &event);
}

static inline void
read_config (struct bench *bench, int64_t base, const char *text)
{
  struct kq_record record = { .kind = KQ_REC_CONFIG, .id = { "c" } };

  strcpy (record.host.text, "b");
  record.u.config.base = base;
  record.u.config.text = text;
  read_record (bench, &record);
}

static inline struct bench
open_bench (void)
{
  struct kq_core_settings settings
      = { .host = { "a" }, .zone = { "z" }, .incarnation = 1 };
  struct bench bench = { .now = 1000 * MSEC };

  kq_core_settings_default (&settings);
  bench.core = kq_core_create (&settings);
  bench.effects = kq_effects_create ();
  return bench;
}

static inline void
close_bench (struct bench *bench)
{
  kq_effects_destroy (bench->effects);
  kq_core_destroy (bench->core);
}

/* Returns the last effect of KIND, for WORKER unless it is NULL. */
static inline const struct kq_effect *
find (const struct bench *bench, enum kq_effect_kind kind, const char *worker)
{
  for (size_t i = bench->count; i > 0; i--)
    {
      const struct kq_effect *effect = &bench->seen[i - 1];

      if (effect->kind != kind)
        continue;
      if (worker == NULL
          || (kind == KQ_FX_LEASE
              && strcmp (effect->u.lease.worker.text, worker) == 0))
        return effect;
    }
  return NULL;
}

/* Returns a copy of the last record that was to be appended; the test ends
   when there is none. */
static inline struct kq_record *
copy_append (const struct bench *bench)
{
  const struct kq_effect *append = find (bench, KQ_FX_APPEND, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (append);
  return append == NULL ? NULL : kq_record_copy (append->u.append);
}

/* Returns the task_ttl of the last request to WORKER, -1 if there is none. */
static inline kq_usec
task_ttl (const struct bench *bench, const char *worker)
{
  const struct kq_effect *lease = find (bench, KQ_FX_LEASE, worker);

  return lease == NULL ? -1 : lease->u.lease.task_ttl;
}

/* Returns the ttl of the last request to WORKER, -1 if there is none. */
static inline kq_usec
lease_ttl (const struct bench *bench, const char *worker)
{
  const struct kq_effect *lease = find (bench, KQ_FX_LEASE, worker);

  return lease == NULL ? -1 : lease->u.lease.ttl;
}

/* Returns the error of the last reply, 1 if there is none. */
static inline int
reply_err (const struct bench *bench)
{
  const struct kq_effect *reply = find (bench, KQ_FX_REPLY, NULL);

  return reply == NULL ? 1 : reply->u.reply.err;
}

/* WORKER grants under TERM what was asked for now. */
static inline void
grant (struct bench *bench, const char *worker, uint64_t term,
       const struct kq_attempt_row *row)
{
  struct kq_event event = { .kind = KQ_EV_LEASE };
  struct kq_lease_answer *answer = &event.u.lease;

  strcpy (answer->worker.text, worker);
  answer->sent_at = bench->now;
  answer->term = term;
  answer->holder = *kq_core_holder (bench->core);
  answer->left = 2000 * MSEC;
  answer->table.capacity = (struct kq_size){ 4000, 8000, 0 };
  answer->table.rows = row;
  answer->table.row_count = row == NULL ? 0 : 1;
  bench->now += MSEC;
  give (bench, &event);
}

static inline void
command (struct bench *bench, enum kq_command_kind kind, const char *name)
{
  struct kq_event event = { .kind = KQ_EV_COMMAND };

  event.u.command.kind = kind;
  event.u.command.id = 7;
  strcpy (event.u.command.name.text, name);
  strcpy (event.u.command.job.id.text, name);
  event.u.command.job.tasks = 1;
  give (bench, &event);
}

static inline void
appended (struct bench *bench, const struct kq_record *record, int err)
{
  struct kq_event event = { .kind = KQ_EV_APPENDED };

  event.u.appended.id = record->id;
  event.u.appended.err = err;
  event.u.appended.offset = err == 0 ? bench->offset + 1 : 0;
  give (bench, &event);
}

/* Owns shard s by w0 and w1, with the epoch read back. */
static inline struct bench
open_owner (void)
{
  struct bench bench = open_bench ();
  struct kq_record *epoch = NULL;

  read_config (&bench, 0, config_text);
  log_end (&bench);
  tick (&bench, 100);
  grant (&bench, "w0", 1, NULL);
  grant (&bench, "w1", 1, NULL);
  tick (&bench, 100);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find (&bench, KQ_FX_APPEND, NULL));
  epoch = kq_record_copy (find (&bench, KQ_FX_APPEND, NULL)->u.append);
  CU_ASSERT_EQUAL (epoch->kind, KQ_REC_EPOCH);
  read_record (&bench, epoch);
  kq_record_free (epoch);
  return bench;
}

#endif
