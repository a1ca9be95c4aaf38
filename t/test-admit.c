/* Guards against jobs that are refused although they could be in time, against
 * refusals that are not true, and against kinds of jobs that are shut out.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "sched/close.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"
#include "t/lib-sim.h"

#define ROOM 16000
#define LENGTH_MS 500
#define SLACK_MS INT64_C (2000)

static struct kq_sched_step pure_step
    = { .count = 8, .demand = { 2000, 1000, 0 }, .est_ms = LENGTH_MS };
static const int64_t pure_length = LENGTH_MS;
static const struct kq_sched_spec pure_spec
    = { .steps = &pure_step, .step_count = 1 };

static struct kq_admit_request
request_of (uint64_t id, int priority)
{
  return (struct kq_admit_request){ .spec = &pure_spec,
                                    .lengths = &pure_length,
                                    .id = id,
                                    .priority = priority,
                                    .slack_ms = SLACK_MS,
                                    .objective_ms = SLACK_MS };
}

static void
set_room (struct kq_admit_service *service)
{
  double room[KQ_ADMIT_SIZE_CLASSES];

  for (int i = 0; i < KQ_ADMIT_SIZE_CLASSES; i++)
    room[i] = ROOM;
  kq_admit_end_update (service, room);
}

static enum kq_admit_verdict
verdict_of (const struct kq_admit_service *service, int priority)
{
  struct kq_admit_request request = request_of (1, priority);

  return kq_admit_estimate (service, &request).verdict;
}

/* Only what comes before a job may count against it. */
static void
test_order (void)
{
  struct kq_admit_service service = { .room = { 0 } };
  double ten_seconds = ROOM * 10000.0;

  CU_ASSERT_EQUAL (verdict_of (&service, 2), KQ_ADMIT_IN_TIME);
  set_room (&service);
  kq_admit_add_work (&service, 2, 2 * SLACK_MS, false, 2000, ten_seconds);
  kq_admit_add_work (&service, 2, -1, true, 2000, ten_seconds);
  CU_ASSERT_EQUAL (verdict_of (&service, 2), KQ_ADMIT_IN_TIME);
  kq_admit_add_work (&service, 2, SLACK_MS / 2, false, 2000, ten_seconds / 10);
  CU_ASSERT_EQUAL (verdict_of (&service, 2), KQ_ADMIT_IN_TIME);
  kq_admit_add_work (&service, 2, SLACK_MS / 2, false, 2000, ten_seconds / 10);
  CU_ASSERT_EQUAL (verdict_of (&service, 2), KQ_ADMIT_TOO_LATE);
  CU_ASSERT_EQUAL (verdict_of (&service, 1), KQ_ADMIT_IN_TIME);
  kq_admit_add_work (&service, 0, SLACK_MS, false, 4000, ten_seconds);
  CU_ASSERT_EQUAL (verdict_of (&service, 1), KQ_ADMIT_IN_TIME);
  kq_admit_add_work (&service, 0, SLACK_MS, true, 2000, ten_seconds);
  CU_ASSERT_EQUAL (verdict_of (&service, 1), KQ_ADMIT_TOO_LATE);
  kq_admit_begin_update (&service, 100);
  CU_ASSERT_EQUAL (verdict_of (&service, 2), KQ_ADMIT_IN_TIME);
}

/* A job that is wider than the room runs in waves and must not be refused for
   its width. */
static void
test_wide_job (void)
{
  struct kq_sched_step wide = pure_step;
  struct kq_sched_spec spec = { .steps = &wide, .step_count = 1 };
  struct kq_admit_request request = request_of (1, 2);
  struct kq_admit_service service = { .room = { 0 } };
  struct kq_admit_estimate estimate;

  set_room (&service);
  request.spec = &spec;
  wide.count = 4 * ROOM / 2000;
  estimate = kq_admit_estimate (&service, &request);
  CU_ASSERT_EQUAL (estimate.verdict, KQ_ADMIT_IN_TIME);
  CU_ASSERT_DOUBLE_EQUAL (estimate.path_ms, 4 * LENGTH_MS, 1);
  wide.count *= 2;
  CU_ASSERT_EQUAL (kq_admit_estimate (&service, &request).verdict,
                   KQ_ADMIT_LATE);
  wide.filler = true;
  wide.count = KQ_SCHED_MAX_STEP_TASKS;
  CU_ASSERT_EQUAL (kq_admit_estimate (&service, &request).verdict,
                   KQ_ADMIT_IN_TIME);
}

/* Callers must not come back all at once, nor the urgent ones last. */
static void
test_retry_after (void)
{
  int seen[KQ_ADMIT_MAX_RETRY_S + 1] = { 0 };
  struct kq_admit_estimate estimate = { .path_ms = SLACK_MS, .drain = 1 };
  struct kq_admit_request request = request_of (1, 2);

  CU_ASSERT_EQUAL (kq_admit_retry_s (&request, &estimate, false), 1);
  estimate.wait_ms = 1e9;
  CU_ASSERT_EQUAL (kq_admit_retry_s (&request, &estimate, false), 30);
  estimate.wait_ms = 10000;
  for (uint64_t id = 1; id <= 1000; id++)
    {
      struct kq_admit_request urgent = request_of (id, 0);
      int retry_s;

      request.id = id;
      retry_s = kq_admit_retry_s (&request, &estimate, false);
      CU_ASSERT_FATAL (retry_s >= 10 && retry_s <= 15);
      CU_ASSERT (kq_admit_retry_s (&request, &estimate, true) <= retry_s);
      CU_ASSERT (kq_admit_retry_s (&urgent, &estimate, false) <= retry_s);
      CU_ASSERT (kq_admit_retry_s (&urgent, &estimate, true) >= 10);
      seen[retry_s]++;
    }
  for (int i = 10; i <= 15; i++)
    CU_ASSERT (seen[i] > 1000 / 6 / 2);
}

/* However late all jobs would be: of a queue at most 60 percent may be
   refused over 5 s, and its largest tenth is admitted at least half as often
   as all. */
static void
test_no_kind_is_shut_out (void)
{
  enum
  {
    JOBS = 2000,
    WINDOW = 100
  };
  static bool admitted[JOBS];
  struct kq_admit_queue queue = { .credit = 0 };
  int all = 0;
  int large = 0;

  for (int i = 0; i < JOBS; i++)
    {
      struct kq_admit_estimate estimate
          = { .verdict = i < JOBS / 2 ? KQ_ADMIT_IN_TIME : KQ_ADMIT_TOO_LATE,
              .work = i % 10 == 9 ? 5000 : 1000 + i % 10 };

      admitted[i] = kq_admit_decide (&queue, &estimate);
      CU_ASSERT (admitted[i] || estimate.verdict == KQ_ADMIT_TOO_LATE);
      all += i >= JOBS / 2 && admitted[i];
      large += i >= JOBS / 2 && admitted[i] && i % 10 == 9;
    }
  for (int i = 0; i + WINDOW <= JOBS; i++)
    {
      int refused = 0;

      for (int j = i; j < i + WINDOW; j++)
        refused += !admitted[j];
      CU_ASSERT (refused * 100 <= 60 * WINDOW);
    }
  CU_ASSERT (all < JOBS / 2 / 2);
  CU_ASSERT (2 * large * 10 >= all);
}

static void
test_refused_ids (void)
{
  struct kq_admit_refused refused = { .count = 0 };

  for (uint64_t id = 0; id <= KQ_ADMIT_MAX_REFUSED; id++)
    CU_ASSERT (!kq_admit_note_refused (&refused, id));
  CU_ASSERT (kq_admit_note_refused (&refused, 1));
  CU_ASSERT (kq_admit_note_refused (&refused, KQ_ADMIT_MAX_REFUSED));
  CU_ASSERT (!kq_admit_note_refused (&refused, 0));
  kq_admit_forget_refused (&refused);
}

/* A closed queue refuses jobs that nobody judges. All the same no more than 60
   percent may be refused over 5 s, and only while none could be of use. */
static void
test_closures (void)
{
  enum
  {
    TICKS = 300,
    JOBS_PER_TICK = 20,
    WINDOW = 50
  };
  static int refused[TICKS];
  struct kq_admit_service service = { .room = { 0 } };
  struct kq_admit_queue queue = { .credit = 0 };
  struct kq_admit_request request = request_of (1, 2);
  struct kq_close closing = { .rate = 0 };
  int closures = 0;

  for (int tick = 0; tick < TICKS; tick++)
    {
      bool overloaded = tick >= TICKS / 3;

      kq_admit_begin_update (&service, 100);
      kq_admit_add_work (&service, 2, SLACK_MS / 2, false, 2000,
                         overloaded ? ROOM * 60000.0 : 0);
      set_room (&service);
      closures += kq_close_update (&closing, &queue, &service, 2,
                                   INT64_C (100) * tick, 100);
      CU_ASSERT (overloaded || closures == 0);
      for (int i = 0; i < JOBS_PER_TICK; i++)
        {
          struct kq_admit_estimate estimate
              = kq_admit_estimate (&service, &request);

          if (closing.until_ms > INT64_C (100) * tick)
            refused[tick]++;
          else
            {
              kq_close_note_job (&closing, SLACK_MS, 2000);
              refused[tick] += !kq_admit_decide (&queue, &estimate);
            }
        }
    }
  CU_ASSERT (closures > 10);
  for (int first = 0; first + WINDOW <= TICKS; first++)
    {
      int sum = 0;

      for (int tick = first; tick < first + WINDOW; tick++)
        sum += refused[tick];
      CU_ASSERT (sum * 100 <= 60 * WINDOW * JOBS_PER_TICK);
    }
}

/* Tests of the whole scheduler. */

#define LEARNED_JOBS 25
#define FLOOD 60

/* Starts a cell with one worker, and after WAIT_MS lets one job of LENGTH_MS
   after the other be done until the lengths of the queue "batch" are known. */
static void
start_cell_after (struct ts_cell *cell, int64_t wait_ms, int64_t length_ms)
{
  struct kq_sched_step step = pure_step;

  ts_start (cell);
  ts_register_worker (cell, "w", ROOM, 64000);
  ts_reply_poll (cell, "w", NULL, 0, NULL, 0);
  ts_advance (cell, wait_ms);
  ts_reply_poll (cell, "w", NULL, 0, NULL, 0);
  step.count = 1;
  for (uint64_t job = 1; job <= LEARNED_JOBS; job++)
    {
      const struct ts_order *order;
      struct kq_sched_ended end;

      ts_submit (cell, job, "batch", &step, 1);
      order = ts_last_order (cell, KQ_SCHED_FX_START, job, 0, 0);
      ts_reply_order (cell, order, KQ_SCHED_OK);
      ts_advance (cell, length_ms);
      end = ts_ended (order, (int64_t)job, KQ_SCHED_DONE);
      ts_reply_poll (cell, "w", NULL, 0, &end, 1);
    }
}

static void
start_cell (struct ts_cell *cell)
{
  start_cell_after (cell, 2100, LENGTH_MS);
}

static int
submit_status (struct ts_cell *cell, uint64_t job, const char *queue,
               const struct kq_sched_step *step)
{
  return ts_result_of (cell, ts_submit (cell, job, queue, step, 1))->status;
}

/* Submits FLOOD jobs from the ID FIRST on; returns the first that is refused,
   or 0. */
static uint64_t
flood (struct ts_cell *cell, uint64_t first, int *refused)
{
  uint64_t found = 0;

  *refused = 0;
  for (uint64_t job = first; job < first + FLOOD; job++)
    if (submit_status (cell, job, "batch", &pure_step) == 429)
      {
        (*refused)++;
        if (found == 0)
          found = job;
      }
  return found;
}

static bool
is_stored (const struct ts_cell *cell, uint64_t job)
{
  char key[24];

  snprintf (key, sizeof key, "j%016" PRIx64, job);
  for (int i = 0; i < cell->record_count; i++)
    if (strcmp (cell->records[i].key, key) == 0)
      return true;
  return false;
}

/* A refused job was never accepted: it must not be stored or known, and its ID
   may come again. An accepted one stays so. */
static void
test_refusal_is_true (void)
{
  static struct ts_cell cell;
  uint64_t token;
  uint64_t job;
  int refused;

  start_cell (&cell);
  job = flood (&cell, 1000, &refused);
  CU_ASSERT_FATAL (job > 1000);
  CU_ASSERT (refused * 100 <= 60 * FLOOD);
  CU_ASSERT (!is_stored (&cell, job));
  CU_ASSERT (is_stored (&cell, job - 1));
  CU_ASSERT_EQUAL (ts_result_of (&cell, ts_query (&cell, job))->status, 410);
  CU_ASSERT_EQUAL (submit_status (&cell, job - 1, "batch", &pure_step), 200);
  for (uint64_t other = 1000; other < 1000 + FLOOD; other++)
    if (ts_result_of (&cell, ts_query (&cell, other))->status == 200)
      ts_cancel (&cell, other);
  ts_advance (&cell, 300);
  CU_ASSERT_PTR_NULL (ts_last_order (&cell, KQ_SCHED_FX_START, job, 0, 0));
  token = ts_submit (&cell, job, "batch", &pure_step, 1);
  CU_ASSERT_EQUAL (ts_result_of (&cell, token)->status, 200);
  CU_ASSERT (is_stored (&cell, job));
  ts_stop (&cell);
}

/* Jobs without an end of their own, or whose workers others choose, are never
   refused, nor are those of a queue that has not been measured. */
static void
test_exempt_jobs (void)
{
  static struct ts_cell cell;
  struct kq_sched_step lasting = pure_step;
  uint64_t token;
  uint64_t job;
  int refused;

  start_cell (&cell);
  job = flood (&cell, 1000, &refused);
  CU_ASSERT_FATAL (job != 0);
  CU_ASSERT (ts_result_of (&cell, cell.last_token) != NULL);
  lasting.long_running = true;
  for (uint64_t i = 0; i < 10; i++)
    {
      cell.times = 0;
      CU_ASSERT_EQUAL (submit_status (&cell, 2000 + i, "batch", &lasting),
                       200);
      CU_ASSERT_EQUAL (submit_status (&cell, 3000 + i, "advised", &pure_step),
                       200);
      CU_ASSERT_EQUAL (submit_status (&cell, 4000 + i, "urgent", &pure_step),
                       200);
      cell.times = 2;
      cell.interval_ms = 1000;
      CU_ASSERT_EQUAL (submit_status (&cell, 5000 + i, "batch", &pure_step),
                       200);
    }
  cell.times = 0;
  token = ts_submit (&cell, job, "batch", &pure_step, 1);
  if (ts_result_of (&cell, token)->status == 429)
    CU_ASSERT (ts_result_of (&cell, token)->retry_ms >= 1000);
  ts_stop (&cell);
}

/* A new owner has learned nothing and must refuse nothing; what was accepted
   stays accepted, what was refused is unknown. */
static void
test_takeover (void)
{
  static struct ts_cell cell;
  uint64_t job;
  int refused;

  start_cell (&cell);
  job = flood (&cell, 1000, &refused);
  CU_ASSERT_FATAL (job > 1000);
  ts_take_over (&cell);
  ts_register_worker (&cell, "w", ROOM, 64000);
  CU_ASSERT_EQUAL (ts_result_of (&cell, ts_query (&cell, job))->status, 410);
  CU_ASSERT_EQUAL (ts_result_of (&cell, ts_query (&cell, job - 1))->status,
                   200);
  ts_advance (&cell, 1000);
  flood (&cell, 2000, &refused);
  CU_ASSERT_EQUAL (refused, 0);
  ts_stop (&cell);
}

/* A new owner that has measured a queue still refuses nothing for 2 s: it does
   not know the backlog yet. */
static void
test_new_owner (void)
{
  static struct ts_cell cell;
  int refused;

  start_cell_after (&cell, 100, 40);
  for (uint64_t job = 1000; job < 1000 + 3 * FLOOD; job += FLOOD)
    {
      flood (&cell, job, &refused);
      CU_ASSERT_EQUAL (refused, 0);
    }
  ts_advance (&cell, 1000);
  flood (&cell, 2000, &refused);
  CU_ASSERT (refused > 0);
  ts_stop (&cell);
}

/* While a queue is closed no job of it may be accepted: fronts would refuse
   its repeats otherwise. A new owner closes nothing. */
static void
test_closed_queue (void)
{
  static struct ts_cell cell;
  struct kq_sched_closure closure = { .until_ms = 0 };
  struct kq_idset known = { { 0 } };
  uint64_t job = 1000;
  int refused;

  start_cell (&cell);
  for (int i = 0; i < 12 && closure.until_ms == 0; i++)
    {
      flood (&cell, job, &refused);
      job += FLOOD;
      ts_advance (&cell, 100);
      kq_sched_closures (cell.sched, cell.now, &closure, 1);
    }
  CU_ASSERT_STRING_EQUAL (closure.queue, "batch");
  CU_ASSERT (closure.until_ms > 0 && closure.until_ms <= KQ_CLOSE_MS);
  CU_ASSERT (closure.retry_ms >= 1000 && closure.retry_ms <= 30000);
  kq_sched_known_ids (cell.sched, &known);
  CU_ASSERT (kq_idset_may_have (&known, 1000));
  flood (&cell, job, &refused);
  CU_ASSERT_EQUAL (refused, FLOOD);
  CU_ASSERT_EQUAL (submit_status (&cell, 1000, "batch", &pure_step), 200);
  ts_take_over (&cell);
  CU_ASSERT_EQUAL (kq_sched_closures (cell.sched, cell.now, &closure, 1), 0);
  ts_stop (&cell);
}

/* No worker is known: jobs wait for one. */
static void
test_no_worker (void)
{
  static struct ts_cell cell;
  int refused;

  start_cell (&cell);
  ts_drain (&cell, "w");
  ts_advance (&cell, 1000);
  flood (&cell, 1000, &refused);
  CU_ASSERT_EQUAL (refused, 0);
  ts_stop (&cell);
}

static const struct sim_faults no_faults;

/* Numbers of jobs of a simulated day by what became of them. */
struct day
{
  int jobs;
  int refused;
  int in_time;
  int served; /* by three times the objective */
};

static void
add_job (struct day *day, const struct sim *sim, int job)
{
  int64_t objective = 2 * 640 + 1000;
  int64_t time = sim_job_time (sim, job);

  day->jobs++;
  day->refused += sim_refused (sim, job) > 0;
  day->in_time += time >= 0 && time <= objective;
  day->served += time >= 0 && time <= 3 * objective;
}

/* Runs 16 s with five urgent and ten batch jobs a second, from 5 to 11 s
   FACTOR times as many, in a cell that long-running jobs hold half of. */
static void
run_day (double factor, struct day *urgent, struct day *batch)
{
  static const struct kq_sched_step lasting = { .count = 4,
                                                .demand = { 3250, 2000, 0 },
                                                .est_ms = 1000,
                                                .long_running = true };
  static const struct kq_sched_step short_step
      = { .count = 2, .demand = { 2000, 1000, 0 }, .est_ms = 640 };
  static const struct kq_sched_step wide_step
      = { .count = 4, .demand = { 2000, 1000, 0 }, .est_ms = 640 };
  struct sim *sim = sim_create (1, &no_faults);
  bool is_urgent[SIM_JOBS] = { false };
  double next_batch = 0;
  int count = 0;

  sim_run (sim, 2000);
  for (; count < 8; count++)
    sim_submit (sim, "urgent", &lasting, 1);
  sim_run (sim, 2000);
  for (int64_t now = 0; now < 16000; now += 20)
    {
      if (now % 200 == 0)
        is_urgent[sim_submit (sim, "urgent", &short_step, 1)] = true;
      if ((double)now >= next_batch)
        {
          count = sim_submit (sim, "batch", &wide_step, 1) + 1;
          next_batch += now >= 5000 && now < 11000 ? 100 / factor : 100;
        }
      sim_run (sim, 20);
    }
  sim_run (sim, 10000);
  for (int job = 8; job < count; job++)
    add_job (is_urgent[job] ? urgent : batch, sim, job);
  CU_ASSERT_PTR_NULL (sim_violation (sim));
  sim_destroy (sim);
}

/* A burst of batch jobs must not be accepted as a whole to end late, and must
   not hurt the urgent ones. Where there is room nothing is refused. */
static void
test_burst (void)
{
  struct day urgent = { 0, 0, 0, 0 };
  struct day batch = { 0, 0, 0, 0 };
  struct day usual = { 0, 0, 0, 0 };

  run_day (2.3, &urgent, &batch);
  CU_ASSERT_EQUAL (urgent.refused, 0);
  CU_ASSERT_EQUAL (urgent.in_time, urgent.jobs);
  CU_ASSERT (batch.refused > 0);
  CU_ASSERT (batch.refused * 100 <= 60 * batch.jobs);
  /* Without admission 131 jobs are in time, and of the accepted ones 183 of
     238 are served. */
  CU_ASSERT (batch.in_time > 131);
  CU_ASSERT (batch.served * 10 >= (batch.jobs - batch.refused) * 9);
  run_day (1, &urgent, &usual);
  CU_ASSERT_EQUAL (usual.refused, 0);
  CU_ASSERT_EQUAL (usual.in_time, usual.jobs);
}

static const struct kq_test tests[] = {
  { "only what comes before counts", test_order },
  { "a wide job", test_wide_job },
  { "Retry-After", test_retry_after },
  { "no kind of job is shut out", test_no_kind_is_shut_out },
  { "IDs of refused jobs", test_refused_ids },
  { "closed queues", test_closures },
  { "a refusal is true", test_refusal_is_true },
  { "jobs that are never refused", test_exempt_jobs },
  { "a takeover", test_takeover },
  { "a new owner", test_new_owner },
  { "a closed queue", test_closed_queue },
  { "no worker", test_no_worker },
  { "a burst beside urgent jobs", test_burst },
};

KQ_TEST_MAIN ("test-admit", tests)
