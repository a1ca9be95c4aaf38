#include "t/lib-sim.h"

#include <math.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS 20
#define TICK_MS 100
#define STOP_MS 200
#define CHECKPOINT_MS 2000
#define LATE_MS 4000
#define STORE_MS 40
#define SILENT_MS 8000
#define DOWN_MS 2000
#define WORKER_CPU 16000
#define WORKER_MEM 64000
#define SWING_MS 14000.0
#define BASE_TAIL 10.0
#define MOST_TAIL 1000.0

struct sim_run_state
{
  bool used;
  struct kq_sched_run run;
  const struct kq_sched_step *step;
  double work_ms; /* done */
  int pace;
  int64_t stops_at; /* 0: not stopped */
  int64_t over_since;
  bool fails;
  double tail;
};

struct sim_worker
{
  char id[16];
  bool up;
  int64_t back_at;
  int64_t silent_until;
  int64_t born;
  int64_t started_at;
  int64_t fence;
  int64_t until;
  struct sim_run_state runs[SIM_RUNS];
  struct kq_sched_ended ends[SIM_ENDS];
  int end_count;
  int64_t acked;
  struct kq_sched_run barred[SIM_ENDS]; /* highest stopped or ended */
  int barred_count;
};

struct sim_task
{
  int done;       /* a run of it has ended so */
  int done_noted; /* and that was passed over */
  int running;    /* runs at workers that are up */
};

struct sim_job
{
  uint64_t id;
  struct kq_sched_step step;
  int steps;
  int64_t submitted_at;
  int64_t over_at;
  bool accepted;
  bool cancelled;
  int state;
  struct sim_task tasks[SIM_TASKS][64];
};

/* A call on its way to a worker. */
struct sim_call
{
  bool used;
  enum kq_sched_effect_kind kind; /* ANSWER stands for a look */
  int64_t at;
  bool answered; /* whether the answer arrives */
  int64_t fence;
  int worker;
  struct kq_sched_run run;
  int percent;
  int64_t until;
  int64_t acked;
  int64_t sent_at;
  char checkpoint[KQ_SCHED_NAME_SIZE];
};

struct sim_record
{
  char key[24];
  uint8_t *value;
  size_t size;
  struct sim_record *next;
};

struct sim
{
  gsl_rng *rng;
  struct sim_faults faults;
  sim_factors factors;
  double phase; /* of the swing of load */
  bool ignores_pace;
  struct kq_sched *sched;
  struct kq_sched_queue queues[2];
  struct kq_sched_config config;
  int64_t now;
  int64_t fence;
  int64_t store_down_until;
  struct sim_worker workers[SIM_WORKERS];
  struct sim_job jobs[SIM_JOBS];
  int job_count;
  struct sim_call calls[SIM_CALLS];
  struct sim_record *records;
  struct kq_sched_effect waiting[SIM_CALLS];
  int waiting_count;
  uint64_t stored;
  int64_t storing_until;
  uint64_t storing;
  int64_t over_ms;
  int64_t longest_over;
  char violation[160];
};

static void
violate (struct sim *sim, const char *format, ...)
{
  va_list args;

  if (sim->violation[0] != '\0')
    return;
  va_start (args, format);
  vsnprintf (sim->violation, sizeof sim->violation, format, args);
  va_end (args);
}

static bool
chance (struct sim *sim, double p)
{
  return p > 0 && gsl_rng_uniform (sim->rng) < p;
}

static struct kq_sched_now
now_of (const struct sim *sim)
{
  return (struct kq_sched_now){ .mono = sim->now * KQ_USEC_PER_MSEC,
                                .wall_ms = sim->now };
}

static void
give (struct sim *sim, const struct kq_sched_event *event)
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
clock_of (const struct sim *sim, const struct sim_worker *worker)
{
  return sim->now - worker->started_at + 1000;
}

static void
report_worker (struct sim *sim, const struct sim_worker *worker)
{
  struct kq_sched_report report = { .capacity = { WORKER_CPU, WORKER_MEM, 0 },
                                    .incarnation_ms = worker->born };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_WORKER };

  strcpy (report.id, worker->id);
  strcpy (report.service, "s");
  snprintf (report.address, sizeof report.address, "10.0.0.1:%s",
            worker->id + 1);
  event.u.report = &report;
  give (sim, &event);
}

static void
start_worker (struct sim *sim, struct sim_worker *worker)
{
  worker->up = true;
  worker->born = sim->now;
  worker->started_at = sim->now;
  worker->fence = 0;
  worker->until = 0;
  worker->end_count = 0;
  worker->acked = 0;
  worker->barred_count = 0;
  report_worker (sim, worker);
}

static void
start_sched (struct sim *sim)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };

  sim->sched = kq_sched_create ();
  sim->fence++;
  sim->waiting_count = 0;
  sim->stored = 0;
  sim->storing_until = 0;
  event.u.config = &sim->config;
  give (sim, &event);
}

struct sim *
sim_create (unsigned long seed, const struct sim_faults *faults)
{
  struct sim *sim = calloc (1, sizeof *sim);

  sim->rng = gsl_rng_alloc (gsl_rng_taus);
  gsl_rng_set (sim->rng, seed);
  sim->phase = 2 * M_PI * gsl_rng_uniform (sim->rng);
  sim->faults = *faults;
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

int
sim_submit (struct sim *sim, const char *queue,
            const struct kq_sched_step *step, int steps)
{
  struct sim_job *job = &sim->jobs[sim->job_count];
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_SUBMIT };
  struct kq_sched_spec spec;

  job->id = (uint64_t)++sim->job_count;
  job->step = *step;
  job->steps = steps;
  job->submitted_at = sim->now;
  job->over_at = -1;
  job->state = -1;
  build_spec (job, &spec);
  event.u.call.token = job->id;
  event.u.call.job = job->id;
  event.u.call.queue = queue;
  event.u.call.spec = &spec;
  event.u.call.body = &job->id;
  event.u.call.body_size = sizeof job->id;
  give (sim, &event);
  return sim->job_count - 1;
}

void
sim_cancel (struct sim *sim, int number)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CANCEL };

  event.u.call.token = sim->jobs[number].id;
  event.u.call.job = sim->jobs[number].id;
  sim->jobs[number].cancelled = true;
  give (sim, &event);
}

/* Workers. */

static bool
is_barred (const struct sim_worker *worker, const struct kq_sched_run *run)
{
  for (int i = 0; i < worker->barred_count; i++)
    if (same_task (&worker->barred[i], run)
        && run->run <= worker->barred[i].run)
      return true;
  return false;
}

static void
bar (struct sim_worker *worker, const struct kq_sched_run *run)
{
  if (worker->barred_count < SIM_ENDS)
    worker->barred[worker->barred_count++] = *run;
}

static void
end_run (struct sim *sim, struct sim_worker *worker,
         struct sim_run_state *state, enum kq_sched_end how)
{
  struct kq_sched_ended *end = &worker->ends[worker->end_count % SIM_ENDS];

  *end = (struct kq_sched_ended){ .number = ++worker->end_count,
                                  .run = state->run,
                                  .how = how };
  if (state->step->checkpointable && how != KQ_SCHED_DONE)
    snprintf (end->checkpoint, sizeof end->checkpoint, "%.0f", state->work_ms);
  bar (worker, &state->run);
  task_of (sim, &state->run)->done |= how == KQ_SCHED_DONE;
  task_of (sim, &state->run)->running--;
  state->used = false;
}

static void
lose_worker (struct sim *sim, struct sim_worker *worker)
{
  worker->up = false;
  worker->back_at = sim->now + DOWN_MS;
  /* Orders that it would have carried out late are lost with it. */
  for (int i = 0; i < SIM_CALLS; i++)
    if (sim->calls[i].used && !sim->calls[i].answered
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
    violate (sim, "%d ms: two runs of %d.%d.%d", (int)sim->now, (int)run->job,
             run->step, run->index);
  if (task->done_noted)
    violate (sim, "%d ms: start of %d.%d.%d after its end", (int)sim->now,
             (int)run->job, run->step, run->index);
  if (job->state == KQ_SCHED_COMPLETE)
    violate (sim, "start of a job shown as complete");
  for (int i = 0; run->step > 0 && i < job->step.count; i++)
    if (!job->tasks[run->step - 1][i].done)
      violate (sim, "%d.%d starts before its step's turn", (int)run->job,
               run->step);
}

static enum kq_sched_reply
take_start (struct sim *sim, struct sim_worker *worker,
            const struct sim_call *call)
{
  struct sim_run_state *state = NULL;

  if (call->until <= clock_of (sim, worker))
    return KQ_SCHED_ORDER_EXPIRED;
  if (is_barred (worker, &call->run))
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
                                   = chance (sim, sim->faults.task_fails) };
  task_of (sim, &call->run)->running++;
  if (call->until > worker->until)
    worker->until = call->until;
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
take_order (struct sim *sim, struct sim_worker *worker,
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
      return state != NULL ? KQ_SCHED_OK : take_start (sim, worker, call);
    case KQ_SCHED_FX_STOP:
      if (state == NULL)
        bar (worker, &call->run);
      else if (state->stops_at == 0)
        state->stops_at = sim->now + STOP_MS;
      return KQ_SCHED_OK;
    case KQ_SCHED_FX_PACE:
      if (state != NULL && !sim->ignores_pace)
        state->pace = call->percent;
      return KQ_SCHED_OK;
    default:
      if (call->until > worker->until)
        worker->until = call->until;
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

/* Passes over the ends that are stored; what is noted is noted for good. */
static void
note_seen (struct sim *sim, struct sim_worker *worker, int64_t acked)
{
  for (int64_t n = worker->acked; n < acked && n < worker->end_count; n++)
    if (worker->ends[n % SIM_ENDS].how == KQ_SCHED_DONE)
      task_of (sim, &worker->ends[n % SIM_ENDS].run)->done_noted = 1;
  /* A number of an earlier life forgets what has ended so far. */
  if (acked > worker->end_count)
    acked = worker->end_count;
  if (acked > worker->acked)
    worker->acked = acked;
}

static void
answer_look (struct sim *sim, struct sim_worker *worker,
             const struct sim_call *call)
{
  struct kq_sched_running running[SIM_RUNS];
  struct kq_sched_status listing = { .local_ms = clock_of (sim, worker),
                                     .incarnation_ms = worker->born,
                                     .running = running };
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_POLLED };

  for (int i = 0; i < SIM_RUNS; i++)
    {
      const struct sim_run_state *state = &worker->runs[i];
      struct kq_sched_running *row = &running[listing.running_count];

      if (!state->used)
        continue;
      *row = (struct kq_sched_running){ .run = state->run,
                                        .percent = percent_of (state) };
      row->sample = state->step->tail_target_ms > 0
                        ? (int64_t)state->tail
                        : state->step->demand.cpu * state->pace / 100;
      listing.running_count++;
    }
  listing.ended = &worker->ends[worker->acked % SIM_ENDS];
  listing.ended_count = (size_t)(worker->end_count - worker->acked);
  event.u.listed.worker = worker->id;
  event.u.listed.answer = KQ_SCHED_OK;
  event.u.listed.sent_at = call->sent_at * KQ_USEC_PER_MSEC;
  event.u.listed.listing = &listing;
  give (sim, &event);
}

static void
answer_call (struct sim *sim, const struct sim_call *call,
             enum kq_sched_reply answer)
{
  struct sim_worker *worker = &sim->workers[call->worker];
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_STARTED };

  /* Answers to an earlier owner are nobody's. */
  if (call->fence != sim->fence)
    return;
  if (call->kind == KQ_SCHED_FX_RESULT && answer == KQ_SCHED_OK)
    {
      answer_look (sim, worker, call);
      return;
    }
  if (call->kind == KQ_SCHED_FX_RESULT)
    {
      event.kind = KQ_SCHED_EV_POLLED;
      event.u.listed.worker = worker->id;
      event.u.listed.answer = answer;
      event.u.listed.sent_at = call->sent_at * KQ_USEC_PER_MSEC;
      give (sim, &event);
      return;
    }
  if (call->kind == KQ_SCHED_FX_STOP)
    event.kind = KQ_SCHED_EV_STOPPED;
  if (call->kind == KQ_SCHED_FX_PACE)
    event.kind = KQ_SCHED_EV_PACED;
  event.u.order.worker = worker->id;
  event.u.order.run = call->run;
  event.u.order.answer = answer;
  event.u.order.sent_at = call->sent_at * KQ_USEC_PER_MSEC;
  if (answer != KQ_SCHED_NO_REPLY)
    event.u.order.local_ms = clock_of (sim, worker);
  give (sim, &event);
}

static bool
is_reachable (const struct sim *sim, const struct sim_worker *worker)
{
  return worker->up && sim->now >= worker->silent_until;
}

static void
carry_call (struct sim *sim, struct sim_call *call)
{
  struct sim_worker *worker = &sim->workers[call->worker];
  enum kq_sched_reply answer = KQ_SCHED_NO_REPLY;

  call->used = false;
  if (is_reachable (sim, worker))
    {
      answer = take_order (sim, worker, call);
      if (answer == KQ_SCHED_OK && call->kind == KQ_SCHED_FX_RESULT)
        note_seen (sim, worker, call->acked);
    }
  else
    call->answered = true; /* the silence is noticed */
  if (call->answered)
    answer_call (sim, call, answer);
}

static void
add_call (struct sim *sim, const struct sim_call *wanted)
{
  struct sim_call *call = NULL;
  struct sim_call lost = *wanted;

  for (int i = 0; i < SIM_CALLS && call == NULL; i++)
    if (!sim->calls[i].used)
      call = &sim->calls[i];
  if (call == NULL)
    {
      violate (sim, "too many calls");
      return;
    }
  *call = *wanted;
  call->used = true;
  call->at = sim->now + STEP_MS;
  call->answered = true;
  if (chance (sim, sim->faults.lose_answer))
    call->answered = false;
  else if (sim->workers[wanted->worker].up && chance (sim, sim->faults.late))
    {
      call->answered = false;
      call->at += (int64_t)(gsl_rng_uniform (sim->rng) * LATE_MS);
    }
  /* Who sent it notices the silence after a while. */
  if (!call->answered)
    for (int i = 0; i < SIM_CALLS; i++)
      if (!sim->calls[i].used)
        {
          sim->calls[i] = lost;
          sim->calls[i].used = true;
          sim->calls[i].answered = true;
          sim->calls[i].at = sim->now + 700;
          sim->calls[i].worker = -1 - wanted->worker;
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
          answer_call (sim, call, KQ_SCHED_NO_REPLY);
        }
      else
        carry_call (sim, call);
    }
}

/* Load of a serving job at this time: a slow swing, each job its own. */
static double
load_of (const struct sim *sim, uint64_t job)
{
  return 0.45
         * (1
            + 0.5
                  * sin (2 * M_PI * ((double)sim->now / SWING_MS)
                         + (double)job * 1.7 + sim->phase));
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
  double press = 0;
  double use;

  for (int i = 0; i < SIM_RUNS; i++)
    {
      const struct sim_run_state *state = &worker->runs[i];

      if (state->used && state->step->filler)
        press += sim->factors[image_of (serving->step)][image_of (state->step)]
                 * (double)state->step->demand.cpu / WORKER_CPU * state->pace
                 / 100;
    }
  use = load_of (sim, serving->run.job) * (1 + press);
  return use < 1 - BASE_TAIL / MOST_TAIL ? BASE_TAIL / (1 - use) : MOST_TAIL;
}

static void
judge_tail (struct sim *sim, struct sim_worker *worker,
            struct sim_run_state *state)
{
  state->tail = tail_of (sim, worker, state);
  if (state->tail <= (double)state->step->tail_target_ms)
    {
      state->over_since = 0;
      return;
    }
  if (state->over_since == 0)
    state->over_since = sim->now;
  sim->over_ms += STEP_MS;
  if (sim->now - state->over_since > sim->longest_over)
    sim->longest_over = sim->now - state->over_since;
}

static void
advance_run (struct sim *sim, struct sim_worker *worker,
             struct sim_run_state *state)
{
  if (clock_of (sim, worker) > worker->until)
    end_run (sim, worker, state, KQ_SCHED_LAPSED);
  else if (state->stops_at != 0 && sim->now >= state->stops_at)
    end_run (sim, worker, state, KQ_SCHED_STOPPED);
  else if (state->step->long_running)
    judge_tail (sim, worker, state);
  else
    {
      state->work_ms += STEP_MS * state->pace / 100.0;
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

      if (!worker->up && sim->now >= worker->back_at)
        start_worker (sim, worker);
      for (int j = 0; worker->up && j < SIM_RUNS; j++)
        if (worker->runs[j].used)
          advance_run (sim, worker, &worker->runs[j]);
    }
}

/* The store. */

static void
keep_record (struct sim *sim, const struct kq_sched_record *record)
{
  struct sim_record *kept = sim->records;

  while (kept != NULL && strcmp (kept->key, record->key) != 0)
    kept = kept->next;
  if (kept == NULL)
    {
      kept = calloc (1, sizeof *kept);
      strcpy (kept->key, record->key);
      kept->next = sim->records;
      sim->records = kept;
    }
  free (kept->value);
  kept->value = record->value;
  kept->size = record->size;
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
    keep_record (sim, &records[i]);
  free (records);
  sim->storing_until = sim->now + STORE_MS;
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
  give (sim, &event);
}

static void
take_answer (struct sim *sim, const struct kq_sched_effect *effect)
{
  struct sim_job *job = job_of (sim, effect->u.answer.token);

  if (effect->u.answer.status != 200)
    {
      if (job->accepted)
        violate (sim, "job %d is accepted and unknown", (int)job->id);
      return;
    }
  job->accepted = true;
  job->state = (int)effect->u.answer.state;
  if (job->state == KQ_SCHED_CANCELLED && !job->cancelled)
    violate (sim, "job %d is cancelled by nobody", (int)job->id);
  if (job->state >= KQ_SCHED_COMPLETE && job->over_at < 0)
    job->over_at = sim->now;
}

static int
worker_number (const char *id)
{
  return atoi (id + 1);
}

static void
carry_out (struct sim *sim, const struct kq_sched_effect *effect)
{
  struct sim_call call
      = { .kind = effect->kind, .fence = sim->fence, .sent_at = sim->now };
  struct kq_sched_start start;

  if (effect->kind == KQ_SCHED_FX_RESULT)
    {
      take_answer (sim, effect);
      return;
    }
  if (effect->kind == KQ_SCHED_FX_SUPERSEDED)
    {
      violate (sim, "the only owner is deposed");
      return;
    }
  call.worker = worker_number (effect->u.order.worker);
  call.run = effect->u.order.run;
  call.percent = effect->u.order.percent;
  if (effect->kind == KQ_SCHED_FX_START)
    {
      if (kq_sched_start_order (sim->sched, now_of (sim), effect, &start) != 0)
        return;
      call.until = start.lease_end_ms;
      strcpy (call.checkpoint, start.checkpoint);
    }
  add_call (sim, &call);
}

static void
take_effects (struct sim *sim)
{
  struct kq_sched_effect effect;
  int kept = 0;

  while (sim->waiting_count < SIM_CALLS
         && kq_sched_next_effect (sim->sched, &effect))
    sim->waiting[sim->waiting_count++] = effect;
  for (int i = 0; i < sim->waiting_count; i++)
    if (sim->waiting[i].after <= sim->stored)
      carry_out (sim, &sim->waiting[i]);
    else
      sim->waiting[kept++] = sim->waiting[i];
  sim->waiting_count = kept;
}

static void
send_looks (struct sim *sim)
{
  struct kq_sched_poll look;

  while (kq_sched_next_poll (sim->sched, now_of (sim), &look))
    {
      struct sim_call call = { .kind = KQ_SCHED_FX_RESULT,
                               .fence = sim->fence,
                               .worker = worker_number (look.worker),
                               .until = look.lease_end_ms,
                               .acked = look.acked,
                               .sent_at = sim->now };

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
  char key[24];
  uint64_t id;

  memcpy (&id, job->body, sizeof id);
  snprintf (key, sizeof key, "s%s", record->key + 1);
  state = find_record (sim, key);
  build_spec (job_of (sim, id), &spec);
  kq_sched_restore_job (
      sim->sched, now_of (sim), id, job->queue, job->accepted_ms, &spec,
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
    else if (record->key[0] == 'j' && record->size > 0)
      restore_job (sim, record);
  kq_sched_finish_restore (sim->sched, now_of (sim));
  for (int i = 0; i < SIM_WORKERS; i++)
    if (sim->workers[i].up)
      report_worker (sim, &sim->workers[i]);
}

void
sim_take_over (struct sim *sim)
{
  take_over (sim);
}

static void
strike (struct sim *sim)
{
  const struct sim_faults *faults = &sim->faults;
  int i = (int)gsl_rng_uniform_int (sim->rng, SIM_WORKERS);

  if (chance (sim, faults->worker_dies) && sim->workers[i].up)
    lose_worker (sim, &sim->workers[i]);
  if (chance (sim, faults->worker_silent))
    sim->workers[i].silent_until = sim->now + SILENT_MS;
  if (chance (sim, faults->store_down))
    sim->store_down_until = sim->now + DOWN_MS;
  if (chance (sim, faults->takeover) && sim->now >= sim->store_down_until)
    take_over (sim);
}

void
sim_heal (struct sim *sim)
{
  memset (&sim->faults, 0, sizeof sim->faults);
}

static void
ask (struct sim *sim, const struct sim_job *job)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_QUERY };

  event.u.call.token = job->id;
  event.u.call.job = job->id;
  give (sim, &event);
}

static void
ask_open (struct sim *sim)
{
  for (int i = 0; i < sim->job_count; i++)
    if (sim->jobs[i].over_at < 0)
      ask (sim, &sim->jobs[i]);
}

void
sim_run (struct sim *sim, int64_t ms)
{
  for (int64_t end = sim->now + ms; sim->now < end; sim->now += STEP_MS)
    {
      advance_workers (sim);
      advance_calls (sim);
      finish_writing (sim);
      if (sim->now % TICK_MS == 0)
        {
          if (sim->now >= sim->store_down_until)
            kq_sched_confirm_term (sim->sched, now_of (sim).mono);
          kq_sched_tick (sim->sched, now_of (sim));
          ask_open (sim);
        }
      if (sim->now % 1000 == 0)
        strike (sim);
      kq_sched_place (sim->sched, now_of (sim));
      write_records (sim);
      take_effects (sim);
      send_looks (sim);
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
  ask (sim, &sim->jobs[number]);
  sim_run (sim, STORE_MS + STORE_MS);
  return sim->jobs[number].state;
}

int64_t
sim_time_of (const struct sim *sim, int number)
{
  const struct sim_job *job = &sim->jobs[number];

  return job->over_at < 0 ? -1 : job->over_at - job->submitted_at;
}

int64_t
sim_time_over (const struct sim *sim)
{
  return sim->over_ms;
}

int64_t
sim_longest_over (const struct sim *sim)
{
  return sim->longest_over;
}
