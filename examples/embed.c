/* Runs the decision core in the program's own event loop.  In virtual time,
   the loop owns a shard with one worker and starts a job's task on it.  A real
   program sends the effects to workers and to the log, and passes their
   replies to the core as events.  */

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "core/core.h"

static const char configuration[]
    = "{\"shards\":[{\"name\":\"rack/0\",\"zone\":\"dakar-pikine\","
      "\"workers\":[\"w1\"]}]}";

struct loop
{
  struct kq_core *core;
  struct kq_effects *effects;
  kq_usec now;
  int64_t offset; /* of the last record in the log */
  uint64_t term;  /* of the worker's lease */
  bool started;   /* the core has started the task */
};

static void step_core (struct loop *loop, const struct kq_event *event);

/* Simulates a log that stores each record immediately: reports the append as
   done, and the record as read back.  */
static void
append_record (struct loop *loop, const struct kq_record *record)
{
  struct kq_event append_done = { .kind = KQ_EV_APPEND_RESULT };
  struct kq_event read_back = { .kind = KQ_EV_RECORD };

  append_done.u.appended.id = record->id;
  append_done.u.appended.offset = ++loop->offset;
  step_core (loop, &append_done);
  read_back.u.record.offset = loop->offset;
  read_back.u.record.record = record;
  step_core (loop, &read_back);
}

/* Simulates a worker that grants each lease request and runs no tasks. */
static void
grant_lease (struct loop *loop, const struct kq_effect *effect)
{
  struct kq_event event = { .kind = KQ_EV_LEASE };
  struct kq_lease_reply *lease_reply = &event.u.lease;

  loop->term += loop->term == 0;
  lease_reply->worker = effect->u.lease.worker;
  lease_reply->sent_at = loop->now;
  lease_reply->term = loop->term;
  lease_reply->serial = effect->u.lease.serial + 1;
  lease_reply->holder = *kq_core_holder (loop->core);
  lease_reply->remaining = effect->u.lease.ttl;
  lease_reply->table.capacity = (struct kq_resources){ 16000, 64000, 0 };
  lease_reply->table.slots = 8;
  step_core (loop, &event);
}

static void
perform_effect (struct loop *loop, const struct kq_effect *effect)
{
  switch (effect->kind)
    {
    case KQ_FX_APPEND:
      append_record (loop, effect->u.append);
      break;
    case KQ_FX_LEASE:
      grant_lease (loop, effect);
      break;
    case KQ_FX_TASK:
      printf ("start task %d of %s on %s\n", effect->u.task.row.task.index,
              effect->u.task.row.task.job.text, effect->u.task.worker.text);
      loop->started = true;
      break;
    case KQ_FX_REPLY:
      printf ("reply: %s\n", kq_err_name (effect->u.reply.err));
      break;
    case KQ_FX_PEER:
    case KQ_FX_VIEW:
    case KQ_FX_STOPPED:
      break;
    }
}

static void
step_core (struct loop *loop, const struct kq_event *event)
{
  int err = kq_core_step (loop->core, loop->now, event, loop->effects);

  if (err != 0)
    printf ("event refused: %s\n", kq_err_name (err));
}

static void
read_log (struct loop *loop)
{
  struct kq_record record = { .kind = KQ_REC_CONFIG, .id = { "first" } };
  struct kq_event event = { .kind = KQ_EV_RECORD };
  struct kq_event end = { .kind = KQ_EV_LOG_END };

  record.u.config.text = configuration;
  event.u.record.offset = ++loop->offset;
  event.u.record.record = &record;
  step_core (loop, &event);
  end.u.log.sent_at = loop->now;
  end.u.log.offset = loop->offset + 1;
  step_core (loop, &end);
}

static void
submit (struct loop *loop)
{
  struct kq_event event = { .kind = KQ_EV_COMMAND };
  struct kq_job *job = &event.u.command.job;

  event.u.command.kind = KQ_CMD_SUBMIT;
  strcpy (job->id.text, "baskets");
  strcpy (job->team.text, "weavers");
  job->tasks = 1;
  job->size = (struct kq_resources){ 500, 256, 0 };
  job->run_ms = 1000;
  step_core (loop, &event);
}

int
main (void)
{
  struct kq_core_settings settings = { .host = { "entry-1" },
                                       .zone = { "dakar-pikine" },
                                       .region = { "dakar" },
                                       .incarnation = 1 };
  struct loop loop = { .now = KQ_USEC_PER_SEC };
  struct kq_event tick = { .kind = KQ_EV_TICK };

  kq_core_settings_default (&settings);
  loop.core = kq_core_create (&settings);
  loop.effects = kq_effects_create ();
  if (loop.core == NULL || loop.effects == NULL)
    return 1;
  read_log (&loop);
  submit (&loop);
  for (int i = 0; i < 200 && !loop.started; i++)
    {
      struct kq_effect effect;

      loop.now += 100 * KQ_USEC_PER_MSEC;
      step_core (&loop, &tick);
      while (kq_effects_pop (loop.effects, &effect))
        perform_effect (&loop, &effect);
      kq_effects_clear (loop.effects);
    }
  kq_effects_destroy (loop.effects);
  kq_core_destroy (loop.core);
  return loop.started ? 0 : 1;
}
