#include "t/lib-sim-internal.h"

#include <math.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Times are in ms of virtual time, unless a name says otherwise. A stop order
   ends its run after STOP_MS. */
#define STEP_MS 20
#define TICK_MS 100
#define STOP_MS 200
#define CHECKPOINT_MS 2000
#define MAX_DELAY_MS 4000
#define HOLD_MAX_MS 10000
#define STORE_LATENCY_MS 40
#define OUTAGE_MS 2000
#define REBORN_CRASH_MS 2000

/* Time from the start of a deadly task to the crash of its worker. */
#define DEADLY_MS 10
#define WORKER_CPU 16000
#define WORKER_MEM 64000
#define LOAD_PERIOD_MS 14000.0
#define BASE_TAIL_MS 10.0
#define MAX_TAIL_MS 1000.0

static void
set_violation (struct sim *sim, const char *format, ...)
{
  va_list args;

  if (sim->violation[0] != '\0')
    return;
  va_start (args, format);
  vsnprintf (sim->violation, sizeof sim->violation, format, args);
  va_end (args);
}

static bool
happens (struct sim *sim, double p)
{
  return p > 0 && gsl_rng_uniform (sim->rng) < p;
}

static struct kq_sched_now
now_of (const struct sim *sim)
{
  return (struct kq_sched_now){ .mono = sim->now * KQ_USEC_PER_MSEC,
                                .wall_ms = sim->now + sim->wall_offset_ms };
}

void
sim_send_event (struct sim *sim, const struct kq_sched_event *event)
{
  kq_sched_event (sim->sched, now_of (sim), event);
}

static bool
same_task (const struct kq_sched_run *a, const struct kq_sched_run *b)
{
  return a->job == b->job && a->step == b->step && a->index == b->index;
}

static struct sim_job *
job_of (struct sim *sim, uint64_t id)
{
  return &sim->jobs[id - 1];
}

static struct sim_task *
task_of (struct sim *sim, const struct kq_sched_run *run)
{
  return &job_of (sim, run->job)->tasks[run->step][run->index];
}

static int64_t
local_clock (const struct sim *sim, const struct sim_worker *worker)
{
  int64_t age = sim->now - worker->started_at;

  return (sim->slow_clocks ? age * 98 / 100 : age) + 1000;
}

void
sim_register_worker (struct sim *sim, const struct sim_worker *worker)
{
  struct kq_sched_registration report
      = { .capacity = { WORKER_CPU, WORKER_MEM, 0 },
          .incarnation_ms = worker->incarnation_ms };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER };

  strcpy (report.id, worker->id);
  strcpy (report.service, "s");
  sim_name_rack (sim, worker, report.rack);
  snprintf (report.address, sizeof report.address, "10.0.0.1:%s",
            worker->id + 1);
  event.u.report = &report;
  sim_send_event (sim, &event);
}

/* A worker that is cut off from the store is registered when it is back. */
static void
schedule_registration (struct sim *sim, struct sim_worker *worker)
{
  worker->register_at = sim->now
                        + (int64_t)(gsl_rng_uniform (sim->rng)
                                    * (double)sim->faults.register_ms);
  if (worker->register_at < worker->unreachable_until)
    worker->register_at = worker->unreachable_until;
}

static void
advance_registration (struct sim *sim, struct sim_worker *worker)
{
  if (!worker->up || worker->register_at == 0
      || sim->now < worker->register_at)
    return;
  worker->register_at = 0;
  sim_register_worker (sim, worker);
}

static void
start_worker (struct sim *sim, struct sim_worker *worker)
{
  bool restarted = worker->started_at != 0;

  worker->up = true;
  worker->incarnation_ms = sim->now;
  worker->started_at = sim->now;
  worker->fence = 0;
  worker->lease_end_ms = 0;
  worker->end_count = 0;
  worker->acked = 0;
  worker->refused_count = 0;
  worker->lapsed_at = sim->now;
  sim_end_absence (sim, worker);
  if (restarted && sim->faults.register_ms > 0)
    schedule_registration (sim, worker);
  else
    sim_register_worker (sim, worker);
}

static void
start_sched (struct sim *sim)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };

  sim->sched = kq_sched_create ();
  sim_apply_settings (sim);
  sim_begin_term (sim);
  sim->deferred_count = 0;
  sim->stored = 0;
  sim->storing_until = 0;
  event.u.config = &sim->config;
  sim_send_event (sim, &event);
}

struct sim *
sim_create (unsigned long seed, const struct sim_faults *faults)
{
  struct sim *sim = calloc (1, sizeof *sim);

  sim->rng = gsl_rng_alloc (gsl_rng_taus);
  gsl_rng_set (sim->rng, seed);
  sim->load_phase = 2 * M_PI * gsl_rng_uniform (sim->rng);
  sim->faults = *faults;
  sim->slow_clocks = faults->slow_clocks;
  sim->now = 1000000;
  for (int i = 0; i < 2; i++)
    {
      sim->queues[i] = (struct kq_sched_queue){
        .priority = 2 * i, .attempts = 3, .stretch = 2, .slo_ms = 1000
      };
      strcpy (sim->queues[i].name, i == 0 ? "urgent" : "batch");
      strcpy (sim->queues[i].service, "s");
    }
  sim->config.queues = sim->queues;
  sim->config.queue_count = 2;
  start_sched (sim);
  for (int i = 0; i < SIM_WORKERS; i++)
    {
      snprintf (sim->workers[i].id, sizeof sim->workers[i].id, "w%d", i);
      start_worker (sim, &sim->workers[i]);
    }
  kq_sched_finish_restore (sim->sched, now_of (sim));
  return sim;
}

void
sim_destroy (struct sim *sim)
{
  struct sim_record *record = sim->records;

  while (record != NULL)
    {
      struct sim_record *next = record->next;

      free (record->value);
      free (record);
      record = next;
    }
  kq_sched_destroy (sim->sched);
  gsl_rng_free (sim->rng);
  free (sim);
}

void
sim_set_factors (struct sim *sim, const sim_factors *factors)
{
  memcpy (sim->factors, factors, sizeof sim->factors);
}

void
sim_ignore_pace (struct sim *sim)
{
  sim->ignores_pace = true;
}

static void
build_spec (const struct sim_job *job, struct kq_sched_spec *spec)
{
  memset (spec, 0, sizeof *spec);
  spec->text = strdup ("text");
  spec->step_count = job->steps;
  spec->steps = calloc ((size_t)job->steps, sizeof *spec->steps);
  for (int i = 0; i < job->steps; i++)
    {
      spec->steps[i] = job->step;
      spec->steps[i].after = calloc (1, sizeof *spec->steps[i].after);
      spec->steps[i].after_count = i > 0;
      spec->steps[i].after[0] = i - 1;
    }
}

static void
send_job (struct sim *sim, struct sim_job *job)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_SUBMIT };
  struct kq_sched_spec spec;

  job->submitted_at = sim->now;
  job->refused_ms = 0;
  build_spec (job, &spec);
  event.u.call.token = job->id;
  event.u.call.job = job->id;
  event.u.call.queue = job->queue;
  event.u.call.spec = &spec;
  event.u.call.body = &job->id;
  event.u.call.body_size = sizeof job->id;
  sim_send_event (sim, &event);
}

int
sim_submit (struct sim *sim, const char *queue,
            const struct kq_sched_step *step, int steps)
{
  struct sim_job *job = &sim->jobs[sim->job_count];

  job->id = (uint64_t)++sim->job_count;
  job->queue = queue;
  job->step = *step;
  job->steps = steps;
  job->ended_at = -1;
  job->state = -1;
  send_job (sim, job);
  return sim->job_count - 1;
}

void
sim_resubmit (struct sim *sim, int number)
{
  send_job (sim, &sim->jobs[number]);
}

int64_t
sim_refused (const struct sim *sim, int number)
{
  return sim->jobs[number].refused_ms;
}

void
sim_cancel (struct sim *sim, int number)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CANCEL };

  event.u.call.token = sim->jobs[number].id;
  event.u.call.job = sim->jobs[number].id;
  sim->jobs[number].cancelled = true;
  sim_send_event (sim, &event);
}

/* Workers. */

static bool
is_refused (const struct sim_worker *worker, const struct kq_sched_run *run)
{
  for (int i = 0; i < worker->refused_count; i++)
    if (same_task (&worker->refused_runs[i], run)
        && run->run <= worker->refused_runs[i].run)
      return true;
  return false;
}

static void
refuse_run (struct sim_worker *worker, const struct kq_sched_run *run)
{
  if (worker->refused_count < SIM_ENDS)
    worker->refused_runs[worker->refused_count++] = *run;
}

static void
end_run (struct sim *sim, struct sim_worker *worker,
         struct sim_run_state *state, enum kq_sched_end how)
{
  struct kq_sched_ended *end = &worker->ends[worker->end_count % SIM_ENDS];

  worker->ended_at[worker->end_count % SIM_ENDS] = sim->now;
  *end = (struct kq_sched_ended){ .number = ++worker->end_count,
                                  .run = state->run,
                                  .how = how };
  if (state->step->checkpointable && how != KQ_SCHED_DONE)
    {
      char *checkpoint = worker->checkpoints[end - worker->ends];

      snprintf (checkpoint, sizeof worker->checkpoints[0], "%.0f",
                state->work_ms);
      end->checkpoint = checkpoint;
    }
  if (how != KQ_SCHED_DONE)
    sim->discarded_ms += state->work_ms * (double)state->step->demand.cpu;
  refuse_run (worker, &state->run);
  task_of (sim, &state->run)->done |= how == KQ_SCHED_DONE;
  task_of (sim, &state->run)->running--;
  state->used = false;
}

void
sim_crash (struct sim *sim, struct sim_worker *worker)
{
  worker->up = false;
  worker->crash_at = 0;
  worker->crash_late = 0;
  worker->restart_at
      = sim->now
        + (sim->faults.restart_ms > 0 ? sim->faults.restart_ms : OUTAGE_MS);
  /* Delayed orders are lost in the crash. */
  for (int i = 0; i < SIM_CALLS && !sim->faults.orders_outlive_crash; i++)
    if (sim->calls[i].used && !sim->calls[i].reply_arrives
        && sim->calls[i].worker == (int)(worker - sim->workers))
      sim->calls[i].used = false;
  for (int i = 0; i < SIM_RUNS; i++)
    if (worker->runs[i].used)
      {
        task_of (sim, &worker->runs[i].run)->running--;
        worker->runs[i].used = false;
      }
}

static void
check_start (struct sim *sim, const struct kq_sched_run *run)
{
  struct sim_task *task = task_of (sim, run);
  struct sim_job *job = job_of (sim, run->job);

  if (task->running > 0)
    set_violation (sim, "%d ms: two concurrent runs of task %d.%d.%d",
                   (int)sim->now, (int)run->job, run->step, run->index);
  if (task->done_acked)
    set_violation (sim,
                   "%d ms: start of task %d.%d.%d after its acknowledged end",
                   (int)sim->now, (int)run->job, run->step, run->index);
  if (job->refused_ms != 0)
    set_violation (sim, "start of a task of the refused job %d",
                   (int)run->job);
  if (job->state == KQ_SCHED_COMPLETE)
    set_violation (sim, "start of a task of a job reported as complete");
  for (int i = 0; run->step > 0 && i < job->step.count; i++)
    if (!job->tasks[run->step - 1][i].done)
      set_violation (
          sim, "job and step %d.%d start before the previous step is done",
          (int)run->job, run->step);
}

/* A worker shortens a lease that is longer than it grants. */
static void
extend_lease (const struct sim *sim, struct sim_worker *worker, int64_t until)
{
  int64_t longest = local_clock (sim, worker) + HOLD_MAX_MS;

  if (until > longest)
    until = longest;
  if (until > worker->lease_end_ms)
    worker->lease_end_ms = until;
}

static enum kq_sched_reply
handle_start (struct sim *sim, struct sim_worker *worker,
              const struct sim_call *call)
{
  struct sim_run_state *state = NULL;

  if (call->lease_end_ms <= local_clock (sim, worker))
    return KQ_SCHED_ORDER_EXPIRED;
  if (is_refused (worker, &call->run))
    return KQ_SCHED_STALE_RUN;
  for (int i = 0; i < SIM_RUNS; i++)
    if (!worker->runs[i].used)
      state = &worker->runs[i];
  if (state == NULL)
    return KQ_SCHED_NO_CAPACITY;
  check_start (sim, &call->run);
  *state = (struct sim_run_state){ .used = true,
                                   .run = call->run,
                                   .step = &job_of (sim, call->run.job)->step,
                                   .work_ms = atof (call->checkpoint),
                                   .pace = 100,
                                   .fails
                                   = happens (sim, sim->faults.task_fails) };
  task_of (sim, &call->run)->running++;
  task_of (sim, &call->run)->started = true;
  task_of (sim, &call->run)->last_start_at = sim->now;
  sim_note_start (sim, worker, state);
  if (job_of (sim, call->run.job)->deadly && call->run.step == 0
      && call->run.index == 0)
    {
      job_of (sim, call->run.job)->deadly_starts++;
      worker->crash_at = sim->now + DEADLY_MS;
    }
  extend_lease (sim, worker, call->lease_end_ms);
  return KQ_SCHED_OK;
}

static struct sim_run_state *
find_run (struct sim_worker *worker, const struct kq_sched_run *run)
{
  for (int i = 0; i < SIM_RUNS; i++)
    if (worker->runs[i].used && same_task (&worker->runs[i].run, run)
        && worker->runs[i].run.run == run->run)
      return &worker->runs[i];
  return NULL;
}

static enum kq_sched_reply
handle_order (struct sim *sim, struct sim_worker *worker,
              const struct sim_call *call)
{
  struct sim_run_state *state;

  if (call->fence < worker->fence)
    return KQ_SCHED_FENCED;
  worker->fence = call->fence;
  state = find_run (worker, &call->run);
  switch (call->kind)
    {
    case KQ_SCHED_FX_START:
      return state != NULL ? KQ_SCHED_OK : handle_start (sim, worker, call);
    case KQ_SCHED_FX_STOP:
      if (state == NULL)
        refuse_run (worker, &call->run);
      else if (state->stops_at == 0)
        state->stops_at = sim->now + STOP_MS;
      return KQ_SCHED_OK;
    case KQ_SCHED_FX_PACE:
      if (state != NULL && !sim->ignores_pace)
        state->pace = call->percent;
      return KQ_SCHED_OK;
    default:
      extend_lease (sim, worker, call->lease_end_ms);
      return KQ_SCHED_OK;
    }
}

static int
percent_of (const struct sim_run_state *state)
{
  if (state->step->long_running)
    return 100;
  return (int)(state->work_ms * 100 / (double)state->step->est_ms);
}

/* The end NUMBER - 1 of WORKER is taken note of: no start may have followed
   it, unless the lease has lapsed since. */
static void
check_acknowledged (struct sim *sim, const struct sim_worker *worker,
                    int64_t number)
{
  const struct kq_sched_run *run = &worker->ends[number % SIM_ENDS].run;
  int64_t ended_at = worker->ended_at[number % SIM_ENDS];

  if (task_of (sim, run)->last_start_at > ended_at
      && worker->lapsed_at <= ended_at)
    set_violation (sim,
                   "%d ms: acknowledged end of task %d.%d.%d is older "
                   "than a start",
                   (int)sim->now, (int)run->job, run->step, run->index);
}

/* Discards the ends up to number ACKED, which the scheduler has stored. Tasks
   that are acknowledged as done must not start again. */
static void
acknowledge_ends (struct sim *sim, struct sim_worker *worker, int64_t acked)
{
  for (int64_t n = worker->acked; n < acked && n < worker->end_count; n++)
    if (worker->ends[n % SIM_ENDS].how == KQ_SCHED_DONE)
      {
        check_acknowledged (sim, worker, n);
        task_of (sim, &worker->ends[n % SIM_ENDS].run)->done_acked = 1;
      }
  /* A number of an earlier incarnation acknowledges all ends so far. */
  if (acked > worker->end_count)
    acked = worker->end_count;
  if (acked > worker->acked)
    worker->acked = acked;
}

static void
reply_to_poll (struct sim *sim, struct sim_worker *worker,
               const struct sim_call *call)
{
  struct kq_sched_running running[SIM_RUNS];
  struct kq_sched_status worker_status
      = { .worker_clock_ms = local_clock (sim, worker),
          .incarnation_ms = worker->incarnation_ms,
          .running = running };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_POLLED };

  for (int i = 0; i < SIM_RUNS; i++)
    {
      const struct sim_run_state *state = &worker->runs[i];
      struct kq_sched_running *row = &running[worker_status.running_count];

      if (!state->used)
        continue;
      *row = (struct kq_sched_running){ .run = state->run,
                                        .percent = percent_of (state) };
      row->sample = state->step->tail_target_ms > 0
                        ? (int64_t)state->tail_ms
                        : state->step->demand.cpu * state->pace / 100;
      worker_status.running_count++;
    }
  worker_status.ended = &worker->ends[worker->acked % SIM_ENDS];
  worker_status.ended_count = (size_t)(worker->end_count - worker->acked);
  event.u.polled.worker = worker->id;
  event.u.polled.reply = KQ_SCHED_OK;
  event.u.polled.sent_at = call->sent_at * KQ_USEC_PER_MSEC;
  event.u.polled.fence = call->fence;
  event.u.polled.worker_status = &worker_status;
  sim_send_event (sim, &event);
}

static void
deliver_reply (struct sim *sim, const struct sim_call *call,
               enum kq_sched_reply reply)
{
  struct sim_worker *worker = &sim->workers[call->worker];
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_STARTED };

  /* Replies to an earlier owner are dropped. */
  if (call->term != sim->term)
    return;
  if (call->kind == KQ_SCHED_FX_RESULT && reply == KQ_SCHED_OK)
    {
      reply_to_poll (sim, worker, call);
      return;
    }
  if (call->kind == KQ_SCHED_FX_RESULT)
    {
      event.kind = KQ_SCHED_EV_POLLED;
      event.u.polled.worker = call->id;
      event.u.polled.reply = reply;
      event.u.polled.sent_at = call->sent_at * KQ_USEC_PER_MSEC;
      event.u.polled.fence = call->fence;
      sim_send_event (sim, &event);
      return;
    }
  if (call->kind == KQ_SCHED_FX_STOP)
    event.kind = KQ_SCHED_EV_STOPPED;
  if (call->kind == KQ_SCHED_FX_PACE)
    event.kind = KQ_SCHED_EV_PACED;
  event.u.order.worker = call->id;
  event.u.order.run = call->run;
  event.u.order.reply = reply;
  event.u.order.sent_at = call->sent_at * KQ_USEC_PER_MSEC;
  event.u.order.fence = call->fence;
  if (kq_sched_is_reply (reply) && reply != KQ_SCHED_OTHER_INCARNATION)
    event.u.order.worker_clock_ms = local_clock (sim, worker);
  sim_send_event (sim, &event);
}

static bool
is_reachable (const struct sim *sim, const struct sim_worker *worker)
{
  return worker->up && sim->now >= worker->unreachable_until;
}

static void
deliver_call (struct sim *sim, struct sim_call *call)
{
  struct sim_worker *worker = &sim->workers[call->worker];
  enum kq_sched_reply reply = KQ_SCHED_NO_REPLY;

  call->used = false;
  /* A delayed order has arrived before its worker was cut off. */
  if (is_reachable (sim, worker) || (call->delayed && worker->up))
    {
      reply = strcmp (call->id, worker->id) == 0
                  ? handle_order (sim, worker, call)
                  : KQ_SCHED_OTHER_INCARNATION;
      if (reply == KQ_SCHED_OK && call->kind == KQ_SCHED_FX_RESULT)
        acknowledge_ends (sim, worker, call->acked);
    }
  else
    {
      /* No process listens at the address, or the call times out. */
      if (sim->faults.refused && !worker->up && !call->delayed
          && sim->now >= worker->unreachable_until)
        reply = KQ_SCHED_REFUSED;
      call->reply_arrives = true;
    }
  if (sim->now < worker->mute_until)
    reply = KQ_SCHED_NO_REPLY;
  if (call->reply_arrives)
    deliver_reply (sim, call, reply);
}

static void
add_call (struct sim *sim, const struct sim_call *template)
{
  struct sim_call *call = NULL;
  struct sim_call timeout = *template;

  for (int i = 0; i < SIM_CALLS && call == NULL; i++)
    if (!sim->calls[i].used)
      call = &sim->calls[i];
  if (call == NULL)
    {
      set_violation (sim, "too many calls in flight");
      return;
    }
  *call = *template;
  call->used = true;
  call->at = sim->now + STEP_MS;
  call->reply_arrives = true;
  if (happens (sim, sim->faults.lose_reply))
    call->reply_arrives = false;
  else if (sim->workers[template->worker].up
           && happens (sim, sim->faults.delayed))
    {
      call->reply_arrives = false;
      call->delayed = is_reachable (sim, &sim->workers[template->worker]);
      call->at += (int64_t)(gsl_rng_uniform (sim->rng)
                            * (sim->faults.max_delay_ms > 0
                                   ? (double)sim->faults.max_delay_ms
                                   : MAX_DELAY_MS));
    }
  /* Without a reply, the sender's timeout is simulated 700 ms later. */
  if (!call->reply_arrives)
    for (int i = 0; i < SIM_CALLS; i++)
      if (!sim->calls[i].used)
        {
          sim->calls[i] = timeout;
          sim->calls[i].used = true;
          sim->calls[i].reply_arrives = true;
          sim->calls[i].at = sim->now + 700;
          sim->calls[i].worker = -1 - template->worker;
          break;
        }
}

static void
advance_calls (struct sim *sim)
{
  for (int i = 0; i < SIM_CALLS; i++)
    {
      struct sim_call *call = &sim->calls[i];

      if (!call->used || call->at > sim->now)
        continue;
      if (call->worker < 0)
        {
          call->used = false;
          call->worker = -1 - call->worker;
          deliver_reply (sim, call, KQ_SCHED_NO_REPLY);
        }
      else
        deliver_call (sim, call);
    }
}

/* Current load of a serving job: a slow sine wave, whose phase differs from
   job to job. */
static double
load_of (const struct sim *sim, uint64_t job)
{
  return 0.45
         * (1
            + 0.5
                  * sin (2 * M_PI * ((double)sim->now / LOAD_PERIOD_MS)
                         + (double)job * 1.7 + sim->load_phase));
}

static int
image_of (const struct kq_sched_step *step)
{
  return step->image[0] == '\0' ? 0 : (step->image[0] - '0') % SIM_IMAGES;
}

static double
tail_of (const struct sim *sim, const struct sim_worker *worker,
         const struct sim_run_state *serving)
{
  double interference = 0;
  double utilization;

  for (int i = 0; i < SIM_RUNS; i++)
    {
      const struct sim_run_state *state = &worker->runs[i];

      if (state->used && state->step->filler)
        interference
            += sim->factors[image_of (serving->step)][image_of (state->step)]
               * (double)state->step->demand.cpu / WORKER_CPU * state->pace
               / 100;
    }
  utilization = load_of (sim, serving->run.job) * (1 + interference);
  return utilization < 1 - BASE_TAIL_MS / MAX_TAIL_MS
             ? BASE_TAIL_MS / (1 - utilization)
             : MAX_TAIL_MS;
}

static void
measure_tail (struct sim *sim, struct sim_worker *worker,
              struct sim_run_state *state)
{
  state->tail_ms = tail_of (sim, worker, state);
  if (state->tail_ms <= (double)state->step->tail_target_ms)
    {
      state->over_target_since = 0;
      return;
    }
  if (state->over_target_since == 0)
    state->over_target_since = sim->now;
  sim->over_target_ms += STEP_MS;
  if (sim->now - state->over_target_since > sim->longest_over_target_ms)
    sim->longest_over_target_ms = sim->now - state->over_target_since;
}

static void
advance_run (struct sim *sim, struct sim_worker *worker,
             struct sim_run_state *state)
{
  if (local_clock (sim, worker) > worker->lease_end_ms)
    end_run (sim, worker, state, KQ_SCHED_LAPSED);
  else if (state->stops_at != 0 && sim->now >= state->stops_at)
    end_run (sim, worker, state, KQ_SCHED_STOPPED);
  else if (state->step->long_running)
    measure_tail (sim, worker, state);
  else
    {
      double work_ms
          = STEP_MS * state->pace / 100.0 / sim_slowdown (sim, worker, state);

      sim->slowed_ms += (STEP_MS * state->pace / 100.0 - work_ms)
                        * (double)state->step->demand.cpu;
      state->work_ms += work_ms;
      if (state->work_ms >= (double)state->step->est_ms)
        end_run (sim, worker, state,
                 state->fails ? KQ_SCHED_FAILED : KQ_SCHED_DONE);
    }
}

static void
advance_workers (struct sim *sim)
{
  for (int i = 0; i < SIM_WORKERS; i++)
    {
      struct sim_worker *worker = &sim->workers[i];

      if (worker->crash_at != 0 && sim->now >= worker->crash_at)
        sim_crash (sim, worker);
      if (worker->crash_late != 0 && sim->now >= worker->crash_late)
        sim_crash (sim, worker);
      if (!worker->up && sim->now >= worker->restart_at)
        start_worker (sim, worker);
      advance_registration (sim, worker);
      if (local_clock (sim, worker) > worker->lease_end_ms)
        worker->lapsed_at = sim->now;
      for (int j = 0; worker->up && j < SIM_RUNS; j++)
        if (worker->runs[j].used)
          advance_run (sim, worker, &worker->runs[j]);
    }
}

static void
track_down_time (struct sim *sim, struct sim_task *task)
{
  if (task->running > 0 || !task->started)
    task->down_since = 0;
  else if (task->down_since == 0)
    task->down_since = sim->now;
  else if (sim->now - task->down_since > sim->longest_down_ms)
    sim->longest_down_ms = sim->now - task->down_since;
}

static void
track_long_running (struct sim *sim)
{
  for (int i = 0; i < sim->job_count; i++)
    for (int j = 0; sim->jobs[i].step.long_running && !sim->jobs[i].cancelled
                    && j < sim->jobs[i].step.count;
         j++)
      track_down_time (sim, &sim->jobs[i].tasks[0][j]);
}

/* The store. */

static void
store_record (struct sim *sim, const struct kq_sched_record *record)
{
  struct sim_record *stored = sim->records;

  while (stored != NULL && strcmp (stored->key, record->key) != 0)
    stored = stored->next;
  if (stored == NULL)
    {
      stored = calloc (1, sizeof *stored);
      strcpy (stored->key, record->key);
      stored->next = sim->records;
      sim->records = stored;
    }
  free (stored->value);
  stored->value = record->value;
  stored->size = record->size;
}

static void
write_records (struct sim *sim)
{
  struct kq_sched_record *records = NULL;
  int count;

  if (sim->storing_until != 0 || sim->now < sim->store_down_until)
    return;
  count
      = kq_sched_encode_records (sim->sched, 1 << 20, &records, &sim->storing);
  if (records == NULL)
    return;
  for (int i = 0; i < count; i++)
    store_record (sim, &records[i]);
  free (records);
  sim->storing_until = sim->now + STORE_LATENCY_MS;
}

static void
finish_writing (struct sim *sim)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_STORED };

  if (sim->storing_until == 0 || sim->now < sim->storing_until)
    return;
  sim->storing_until = 0;
  sim->stored = sim->storing;
  event.u.stored = sim->stored;
  sim_send_event (sim, &event);
}

static void
handle_result (struct sim *sim, const struct kq_sched_effect *effect)
{
  struct sim_job *job = job_of (sim, effect->u.result.token);

  if (effect->u.result.status != 200)
    {
      if (effect->u.result.status == 429)
        job->refused_ms = effect->u.result.retry_ms;
      if (job->accepted)
        set_violation (sim, "accepted job %d is reported as unknown",
                       (int)job->id);
      return;
    }
  job->accepted = true;
  job->state = (int)effect->u.result.state;
  if (job->state == KQ_SCHED_CANCELLED && !job->cancelled)
    set_violation (sim, "job %d is cancelled without a request", (int)job->id);
  if (job->state >= KQ_SCHED_COMPLETE && job->ended_at < 0)
    job->ended_at = sim->now;
}

static int
worker_number (const char *id)
{
  return atoi (id + 1);
}

/* The fence of an order to the worker ID. */
static int64_t
order_fence (const struct sim *sim, const char *id)
{
  int64_t fence = kq_sched_order_fence (sim->sched, id);

  return fence != 0 ? fence : sim->term;
}

static void
execute_effect (struct sim *sim, const struct kq_sched_effect *effect)
{
  struct sim_call call
      = { .kind = effect->kind, .term = sim->term, .sent_at = sim->now };
  struct kq_sched_start start;

  if (effect->kind == KQ_SCHED_FX_RESULT)
    {
      handle_result (sim, effect);
      return;
    }
  if (effect->kind == KQ_SCHED_FX_SUPERSEDED)
    {
      set_violation (sim, "the only owner is superseded");
      return;
    }
  call.worker = worker_number (effect->u.order.worker);
  strcpy (call.id, effect->u.order.worker);
  call.fence = order_fence (sim, call.id);
  call.run = effect->u.order.run;
  call.percent = effect->u.order.percent;
  if (effect->kind == KQ_SCHED_FX_START)
    {
      if (kq_sched_start_order (sim->sched, now_of (sim), effect, &start) != 0)
        return;
      call.lease_end_ms = start.lease_end_ms;
      strcpy (call.checkpoint, start.checkpoint);
    }
  add_call (sim, &call);
}

static void
process_effects (struct sim *sim)
{
  struct kq_sched_effect effect;
  int count = 0;

  while (sim->deferred_count < SIM_CALLS
         && kq_sched_next_effect (sim->sched, &effect))
    sim->deferred[sim->deferred_count++] = effect;
  for (int i = 0; i < sim->deferred_count; i++)
    if (sim->deferred[i].after <= sim->stored)
      execute_effect (sim, &sim->deferred[i]);
    else
      sim->deferred[count++] = sim->deferred[i];
  sim->deferred_count = count;
}

static void
send_polls (struct sim *sim)
{
  struct kq_sched_poll poll;

  while (kq_sched_next_poll (sim->sched, now_of (sim), &poll))
    {
      struct sim_call call = { .kind = KQ_SCHED_FX_RESULT,
                               .term = sim->term,
                               .fence = order_fence (sim, poll.worker),
                               .worker = worker_number (poll.worker),
                               .lease_end_ms = poll.lease_end_ms,
                               .acked = poll.acked,
                               .sent_at = sim->now };

      strcpy (call.id, poll.worker);
      add_call (sim, &call);
    }
}

/* Faults. */

static const struct sim_record *
find_record (const struct sim *sim, const char *key)
{
  const struct sim_record *record = sim->records;

  while (record != NULL && strcmp (record->key, key) != 0)
    record = record->next;
  return record;
}

static void
restore_job (struct sim *sim, const struct sim_record *record)
{
  struct kq_sched_job_record *job
      = kq_sched_job_record_read (record->value, record->size);
  const struct sim_record *state;
  struct kq_sched_spec spec;
  char key[KQ_SCHED_KEY_SIZE];
  uint64_t id;

  memcpy (&id, job->body, sizeof id);
  snprintf (key, sizeof key, "s%s", record->key + 1);
  state = find_record (sim, key);
  build_spec (job_of (sim, id), &spec);
  kq_sched_restore_job (
      sim->sched, now_of (sim), id, &job->queue, job->accepted_ms, &spec,
      state != NULL ? state->value : NULL, state != NULL ? state->size : 0);
  free (job);
}

static void
take_over (struct sim *sim)
{
  kq_sched_destroy (sim->sched);
  start_sched (sim);
  for (const struct sim_record *record = sim->records; record != NULL;
       record = record->next)
    if (strcmp (record->key, KQ_SCHED_INTERFERENCE_KEY) == 0)
      kq_sched_restore_interference (sim->sched, record->value, record->size);
    else if (strcmp (record->key, KQ_SCHED_AGE_KEY) == 0)
      kq_sched_restore_age (sim->sched, record->value, record->size);
    else if (record->key[0] == KQ_SCHED_GRANT_KEY)
      kq_sched_restore_grants (sim->sched, record->value, record->size);
    else if (record->key[0] == KQ_SCHED_TOMBSTONE_KEY && record->size > 0)
      kq_sched_restore_tombstone (sim->sched,
                                  strtoull (record->key + 1, NULL, 16),
                                  record->value, record->size);
    else if (record->key[0] == 'j' && record->size > 0)
      restore_job (sim, record);
  kq_sched_finish_restore (sim->sched, now_of (sim));
  for (int i = 0; i < SIM_WORKERS; i++)
    if (sim->workers[i].up && sim->workers[i].register_at == 0)
      sim_register_worker (sim, &sim->workers[i]);
}

void
sim_make_deadly (struct sim *sim, int job)
{
  sim->jobs[job].deadly = true;
}

int
sim_deadly_starts (const struct sim *sim, int job)
{
  return sim->jobs[job].deadly_starts;
}

void
sim_take_over (struct sim *sim)
{
  take_over (sim);
}

static void
inject_faults (struct sim *sim)
{
  const struct sim_faults *faults = &sim->faults;
  int i = (int)gsl_rng_uniform_int (sim->rng, SIM_WORKERS);

  if (happens (sim, faults->worker_crash) && sim->workers[i].up)
    sim_crash (sim, &sim->workers[i]);
  if (happens (sim, faults->worker_unreachable))
    sim->workers[i].unreachable_until = sim->now + UNREACHABLE_MS;
  if (happens (sim, faults->worker_mute))
    sim->workers[i].mute_until = sim->now + UNREACHABLE_MS;
  if (happens (sim, faults->worker_reborn) && sim->workers[i].up)
    {
      sim->workers[i].unreachable_until = sim->now + UNREACHABLE_MS;
      sim->workers[i].crash_late
          = sim->now + STEP_MS
            + (int64_t)(gsl_rng_uniform (sim->rng) * REBORN_CRASH_MS);
      sim_let_registration_lapse (sim, &sim->workers[i]);
    }
  if (happens (sim, faults->worker_absent) && sim->workers[i].up)
    sim_begin_absence (sim, &sim->workers[i]);
  if (happens (sim, faults->store_down))
    sim->store_down_until = sim->now + OUTAGE_MS;
  if (happens (sim, faults->takeover) && sim->now >= sim->store_down_until)
    take_over (sim);
}

void
sim_lose_worker (struct sim *sim, int number)
{
  sim_crash (sim, &sim->workers[number]);
  sim->workers[number].restart_at = INT64_MAX;
}

void
sim_stop_faults (struct sim *sim)
{
  memset (&sim->faults, 0, sizeof sim->faults);
}

static void
query_job (struct sim *sim, const struct sim_job *job)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_QUERY };

  event.u.call.token = job->id;
  event.u.call.job = job->id;
  sim_send_event (sim, &event);
}

static void
query_open_jobs (struct sim *sim)
{
  for (int i = 0; i < sim->job_count; i++)
    if (sim->jobs[i].ended_at < 0)
      query_job (sim, &sim->jobs[i]);
}

void
sim_run (struct sim *sim, int64_t ms)
{
  for (int64_t end = sim->now + ms; sim->now < end; sim->now += STEP_MS)
    {
      sim_advance_replacements (sim);
      advance_workers (sim);
      track_long_running (sim);
      advance_calls (sim);
      finish_writing (sim);
      if (sim->now % TICK_MS == 0)
        {
          if (sim->now >= sim->store_down_until)
            sim_confirm_term (sim);
          kq_sched_tick (sim->sched, now_of (sim));
          query_open_jobs (sim);
        }
      if (sim->now % 1000 == 0)
        inject_faults (sim);
      kq_sched_place (sim->sched, now_of (sim));
      write_records (sim);
      process_effects (sim);
      send_polls (sim);
      kq_sched_assert (sim->sched);
    }
}

const char *
sim_violation (const struct sim *sim)
{
  return sim->violation[0] != '\0' ? sim->violation : NULL;
}

int
sim_state (struct sim *sim, int number)
{
  query_job (sim, &sim->jobs[number]);
  sim_run (sim, STORE_LATENCY_MS + STORE_LATENCY_MS);
  return sim->jobs[number].state;
}

int64_t
sim_job_time (const struct sim *sim, int number)
{
  const struct sim_job *job = &sim->jobs[number];

  return job->ended_at < 0 ? -1 : job->ended_at - job->submitted_at;
}

int64_t
sim_longest_down (const struct sim *sim)
{
  return sim->longest_down_ms;
}

int64_t
sim_time_over_target (const struct sim *sim)
{
  return sim->over_target_ms;
}

int64_t
sim_longest_over_target (const struct sim *sim)
{
  return sim->longest_over_target_ms;
}

struct sim *
sim_run_restarts (unsigned long seed, double takeovers, double store_down)
{
  static const struct kq_sched_step step
      = { .count = 6, .demand = { 1000, 500, 0 }, .est_ms = 600 };
  const struct sim_faults faults = { .delayed = 0.1,
                                     .worker_crash = 0.5,
                                     .lose_reply = 0.05,
                                     .takeover = takeovers,
                                     .store_down = store_down,
                                     .orders_outlive_crash = true };
  struct sim *sim = sim_create (seed, &faults);

  sim_run (sim, 2000);
  for (int i = 0; i < 60; i++)
    {
      sim_submit (sim, "batch", &step, 2);
      sim_run (sim, 300);
    }
  return sim;
}
