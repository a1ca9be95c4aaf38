/* Drives the decision core from a loop of one's own: here a loop that owns a
   shard of one worker and starts a job's task on it, in virtual time.  A real
   embedder sends the effects to workers and the log, and gives their answers
   back as events.  */

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
  int64_t offset; /* last record of the log */
  uint64_t term;  /* of the worker's lease */
  bool started;
};

static void give (struct loop *loop, const struct kq_event *event);

/* The log takes every record at once, and it is read back. */
static void
append (struct loop *loop, const struct kq_record *record)
{
  struct kq_event done = { .kind = KQ_EV_APPENDED };
  struct kq_event seen = { .kind = KQ_EV_RECORD };

  done.u.appended.id = record->id;
  done.u.appended.offset = ++loop->offset;
  give (loop, &done);
  seen.u.record.offset = loop->offset;
  seen.u.record.record = record;
  give (loop, &seen);
}

/* The worker grants each lease request and has nothing to run yet. */
static void
lease (struct loop *loop, const struct kq_effect *effect)
{
  struct kq_event event = { .kind = KQ_EV_LEASE };
  struct kq_lease_answer *answer = &event.u.lease;

  loop->term += loop->term == 0;
  answer->worker = effect->u.lease.worker;
  answer->sent_at = loop->now;
  answer->term = loop->term;
  answer->serial = effect->u.lease.serial + 1;
  answer->holder = *kq_core_holder (loop->core);
  answer->left = effect->u.lease.ttl;
  answer->table.capacity = (struct kq_size){ 16000, 64000, 0 };
  answer->table.slots = 8;
  give (loop, &event);
}

static void
act (struct loop *loop, const struct kq_effect *effect)
{
  switch (effect->kind)
    {
    case KQ_FX_APPEND:
      append (loop, effect->u.append);
      break;
    case KQ_FX_LEASE:
      lease (loop, effect);
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
give (struct loop *loop, const struct kq_event *event)
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
  give (loop, &event);
  end.u.log.sent_at = loop->now;
  end.u.log.offset = loop->offset + 1;
  give (loop, &end);
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
  job->size = (struct kq_size){ 500, 256, 0 };
  job->run_ms = 1000;
  give (loop, &event);
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
      give (&loop, &tick);
      while (kq_effects_take (loop.effects, &effect))
        act (&loop, &effect);
      kq_effects_clear (loop.effects);
    }
  kq_effects_destroy (loop.effects);
  kq_core_destroy (loop.core);
  return loop.started ? 0 : 1;
}
