/* Explanations of placements. Guards against explanations that change what is
 * decided afterwards, and against ones that differ from it.
 */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "sched/internal.h"
#include "t/kqtest.h"
#include "t/lib-sim-internal.h"
#include "t/lib-zones.h"

#define SEEDS 20
#define PROBES 200

static const struct sim_faults no_faults;
static struct kq_sched_explanation explanation;

static struct kq_sched_now
sim_now (const struct sim *sim)
{
  return (struct kq_sched_now){ .mono = sim->now * KQ_USEC_PER_MSEC,
                                .wall_ms = sim->now };
}

static int
explain_step (struct sim *sim, const char *queue,
              const struct kq_sched_step *step)
{
  struct kq_sched_step copy = *step;
  struct kq_sched_spec spec = { .text = "", .steps = &copy, .step_count = 1 };

  return kq_sched_explain (sim->sched, sim_now (sim), 0, queue, &spec,
                           &explanation);
}

/* Returns a step of one of six kinds. */
static struct kq_sched_step
mixed_step (gsl_rng *rng)
{
  struct kq_sched_step step
      = { .count = 1 + (int)gsl_rng_uniform_int (rng, 6),
          .demand
          = { 1000 * (1 + (int64_t)gsl_rng_uniform_int (rng, 4)), 500, 0 },
          .est_ms = 200 + (int64_t)gsl_rng_uniform_int (rng, 1000) };

  switch (gsl_rng_uniform_int (rng, 6))
    {
    case 0:
      snprintf (step.rack, sizeof step.rack, "r%d",
                (int)gsl_rng_uniform_int (rng, 2));
      break;
    case 1:
      step.same_rack = true;
      break;
    case 2:
      step.gang = true;
      break;
    case 3:
      step.filler = true;
      snprintf (step.image, sizeof step.image, "i%d",
                (int)gsl_rng_uniform_int (rng, 3));
      break;
    case 4:
      step.max_per_worker = 1;
      break;
    default:
      break;
    }
  return step;
}

static struct sim *
mixed_sim (unsigned long seed)
{
  static const struct kq_sched_step serving = { .count = 3,
                                                .demand = { 6000, 2000, 0 },
                                                .est_ms = 1000,
                                                .tail_target_ms = 100,
                                                .long_running = true,
                                                .image = "i0" };
  struct sim *sim = sim_create (seed, &no_faults);

  sim_set_racks (sim, 3, 2, true);
  sim_run (sim, 1000);
  sim_submit (sim, "urgent", &serving, 1);
  sim_run (sim, 1000);
  return sim;
}

static const struct task *
placed_task (struct sim *sim, int job)
{
  struct job *found;

  kq_sched_place (sim->sched, sim_now (sim));
  found = job_find (sim->sched, sim->jobs[job].id);
  return found != NULL ? &found->stages[0].tasks[0] : NULL;
}

/* Checks the explanation of a job just submitted against what became of it;
   returns whether its first task was placed. */
static bool
check_outcome (const struct task *task)
{
  const struct kq_sched_step_explanation *step = &explanation.steps[0];
  bool placed = task != NULL && task->state == TASK_BOUND;

  CU_ASSERT_EQUAL (task == NULL, explanation.refused);
  if (task == NULL)
    return false;
  CU_ASSERT_EQUAL (placed, step->held_back == KQ_SCHED_NOT_HELD_BACK);
  if (placed && step->candidate_count > 0)
    CU_ASSERT_STRING_EQUAL (task->worker->report.id,
                            step->candidates[0].worker);
  CU_ASSERT_EQUAL (task->wait_began != 0,
                   step->held_back == KQ_SCHED_HELD_RACK);
  return placed;
}

/* An operator who acts on an explanation must see the task go there. */
static void
test_first_candidate (void)
{
  int placed = 0;
  int held = 0;

  for (unsigned long seed = 1; seed <= SEEDS; seed++)
    {
      struct sim *sim = mixed_sim (seed);

      for (int i = 0; i < PROBES; i++)
        {
          struct kq_sched_step step = mixed_step (sim->rng);
          const char *queue
              = gsl_rng_uniform_int (sim->rng, 2) == 0 ? "urgent" : "batch";
          int job;

          /* Waits may end at this time: an owner has placed before. */
          sim->sched->placement_due = true;
          kq_sched_place (sim->sched, sim_now (sim));
          CU_ASSERT_EQUAL (explain_step (sim, queue, &step), 0);
          CU_ASSERT_EQUAL (explanation.step_count, 1);
          job = sim_submit (sim, queue, &step, 1);
          if (check_outcome (placed_task (sim, job)))
            placed++;
          else
            held++;
          sim_run (sim, (int64_t)gsl_rng_uniform_int (sim->rng, 40));
        }
      CU_ASSERT_PTR_NULL (sim_violation (sim));
      sim_destroy (sim);
    }
  CU_ASSERT (placed > SEEDS * PROBES / 4);
  CU_ASSERT (held > SEEDS);
}

static int
differ (const struct kq_sched_counts *a, const struct kq_sched_counts *b)
{
  return memcmp ((const char *)a, (const char *)b, sizeof *a);
}

/* Runs a mixed load; returns the hash of its starts. */
static uint64_t
run_mixed (unsigned long seed, bool explains, struct kq_sched_counts *counts)
{
  struct sim *sim = mixed_sim (seed);
  uint64_t hash;

  for (int i = 0; i < PROBES; i++)
    {
      struct kq_sched_step step = mixed_step (sim->rng);
      struct kq_sched_counts before = { .jobs = 0 };
      struct kq_sched_counts after = { .jobs = 0 };
      int job = sim_submit (sim, "batch", &step, 1);

      sim_run (sim, 30);
      if (!explains)
        continue;
      sim_count (sim, &before);
      snprintf (step.image, sizeof step.image, "new%d", i);
      explain_step (sim, "batch", &step);
      explain_step (sim, "urgent", &step);
      kq_sched_explain (sim->sched, sim_now (sim), sim->jobs[job].id, NULL,
                        NULL, &explanation);
      sim_count (sim, &after);
      CU_ASSERT_EQUAL (differ (&before, &after), 0);
      kq_sched_assert (sim->sched);
    }
  sim_run (sim, 3000);
  sim_count (sim, counts);
  /* The number of images that the model knows. */
  hash = sim_start_hash (sim)
         + (uint64_t)kq_interference_image (sim->sched->interference_model,
                                            "last");
  sim_destroy (sim);
  return hash;
}

/* All later decisions and counts are the same with explanations as without. */
static void
test_nothing_changes (void)
{
  struct kq_sched_counts with = { .jobs = 0 };
  struct kq_sched_counts without = { .jobs = 0 };

  for (unsigned long seed = 1; seed <= SEEDS; seed++)
    {
      CU_ASSERT_EQUAL (run_mixed (seed, true, &with),
                       run_mixed (seed, false, &without));
      CU_ASSERT_EQUAL (differ (&with, &without), 0);
    }
}

static int
encode (struct ts_cell *cell, uint64_t *position)
{
  struct kq_sched_record *records = NULL;
  int count
      = kq_sched_encode_records (cell->sched, 1 << 20, &records, position);

  for (int i = 0; i < count; i++)
    free (records[i].value);
  free (records);
  return count;
}

static int
explain_in (struct ts_cell *cell, const char *queue,
            const struct kq_sched_step *step)
{
  struct kq_sched_step copy = *step;
  struct kq_sched_spec spec = { .text = "", .steps = &copy, .step_count = 1 };

  return kq_sched_explain (cell->sched, cell->now, 0, queue, &spec,
                           &explanation);
}

/* An explanation must leave nothing to be stored, and no effect. */
static void
test_nothing_to_store (void)
{
  static const struct kq_sched_step step
      = { .count = 2, .demand = { 1000, 10, 0 }, .est_ms = 400 };
  struct tz_site *site = tz_create (0, 1);
  struct kq_sched_effect effect;
  uint64_t position;

  tz_add_workers (site, 2, 'a', 8000, 0);
  tz_submit (site, 1, 20, &step);
  encode (&site->cell, &position);
  CU_ASSERT_EQUAL (explain_in (&site->cell, "batch", &step), 0);
  CU_ASSERT_EQUAL (encode (&site->cell, &position), 0);
  CU_ASSERT (!kq_sched_next_effect (site->cell.sched, &effect));
  CU_ASSERT_EQUAL (kq_sched_explain (site->cell.sched, site->cell.now, 1, NULL,
                                     NULL, &explanation),
                   0);
  CU_ASSERT (explanation.known);
  CU_ASSERT_EQUAL (explanation.bound, 16);
  CU_ASSERT_EQUAL (explanation.steps[0].ready, 4);
  CU_ASSERT_EQUAL (explanation.steps[0].held_back, KQ_SCHED_HELD_NO_WORKER);
  CU_ASSERT_EQUAL (encode (&site->cell, &position), 0);
  tz_destroy (site);
}

/* Explains STEP of "batch" and checks that COUNT workers are ruled out for
   REASON; the other ones must be suitable. */
static void
check_reason (struct tz_site *site, const struct kq_sched_step *step,
              enum kq_sched_ruled_out reason, int count)
{
  const struct kq_sched_step_explanation *first = &explanation.steps[0];
  int sum = 0;

  CU_ASSERT_EQUAL (explain_in (&site->cell, "batch", step), 0);
  CU_ASSERT_EQUAL (first->ruled_out[reason], count);
  for (int i = 0; i < KQ_SCHED_OUT_KINDS; i++)
    sum += first->ruled_out[i];
  CU_ASSERT_EQUAL (sum, count);
  CU_ASSERT_EQUAL (first->suitable + sum, site->worker_count);
}

/* Each worker that is passed over must be counted under what rules it out. */
static void
test_reasons (void)
{
  struct kq_sched_step step
      = { .count = 1, .demand = { 1000, 10, 0 }, .est_ms = 400 };
  struct tz_site *site = tz_create (5000, 1.5);
  struct worker *worker;

  tz_add_workers (site, 3, 'a', 8000, 0);
  tz_add_workers (site, 2, 'b', 4000, 0);
  check_reason (site, &step, KQ_SCHED_OUT_SERVICE, 0);
  tz_evacuate (site, "b");
  check_reason (site, &step, KQ_SCHED_OUT_EVACUATED, 2);
  tz_evacuate (site, "");
  step.demand.cpu = 6000;
  check_reason (site, &step, KQ_SCHED_OUT_CAPACITY, 2);
  step.demand.cpu = 1000;
  strcpy (step.label, "other");
  check_reason (site, &step, KQ_SCHED_OUT_LABEL, 5);
  step.label[0] = '\0';
  worker = worker_find (site->cell.sched, site->workers[0].report.id);
  worker->report.draining = true;
  check_reason (site, &step, KQ_SCHED_OUT_DRAINING, 1);
  worker->report.draining = false;
  worker->quarantined_until = site->cell.now.mono + 1;
  check_reason (site, &step, KQ_SCHED_OUT_QUARANTINED, 1);
  worker->quarantined_until = 0;
  worker->lost = true;
  check_reason (site, &step, KQ_SCHED_OUT_SILENT, 1);
  worker->lost = false;
  worker->reserved_count = 1;
  check_reason (site, &step, KQ_SCHED_OUT_RESERVED, 1);
  worker->reserved_count = 0;
  worker->cold_until = site->cell.now.mono + 1000;
  worker->next_cold_start = site->cell.now.mono + 500;
  check_reason (site, &step, KQ_SCHED_OUT_COLD, 1);
  worker->cold_until = 0;
  worker->service = -2;
  check_reason (site, &step, KQ_SCHED_OUT_SERVICE, 1);
  worker->service = 0;
  CU_ASSERT_EQUAL (explain_in (&site->cell, "advised", &step), 0);
  CU_ASSERT_EQUAL (explanation.steps[0].ruled_out[KQ_SCHED_OUT_NO_TICKET], 5);
  tz_destroy (site);
}

/* In a large cell a search begins where the last one ended: an explanation
   must begin there too, and must not move it. */
static void
test_large_cell (void)
{
  static const struct kq_sched_step step
      = { .count = 1, .demand = { 1000, 10, 0 }, .est_ms = 60000 };
  struct tz_site *site = tz_create (0, 1);

  tz_add_workers (site, TZ_WORKERS, 'a', 8000, 0);
  for (uint64_t job = 1; job <= 40; job++)
    {
      const struct ts_order *order;

      CU_ASSERT_EQUAL (explain_in (&site->cell, "batch", &step), 0);
      CU_ASSERT_EQUAL (explanation.steps[0].suitable, TZ_WORKERS);
      tz_submit (site, job, 1, &step);
      order = ts_last_order (&site->cell, KQ_SCHED_FX_START, job, 0, 0);
      CU_ASSERT_PTR_NOT_NULL (order);
      if (order != NULL)
        CU_ASSERT_STRING_EQUAL (order->worker,
                                explanation.steps[0].candidates[0].worker);
    }
  tz_destroy (site);
}

/* The limit per worker counts the tasks that run. */
static void
test_limit (void)
{
  static const struct kq_sched_step step
      = { .demand = { 1000, 10, 0 }, .est_ms = 400, .max_per_worker = 1 };
  struct tz_site *site = tz_create (0, 1);
  const struct kq_sched_step_explanation *first = &explanation.steps[0];

  tz_add_workers (site, 2, 'a', 8000, 0);
  tz_submit (site, 1, 3, &step);
  CU_ASSERT_EQUAL (kq_sched_explain (site->cell.sched, site->cell.now, 1, NULL,
                                     NULL, &explanation),
                   0);
  CU_ASSERT_EQUAL (first->ruled_out[KQ_SCHED_OUT_LIMIT], 2);
  CU_ASSERT_EQUAL (first->suitable, 0);
  tz_destroy (site);
}

/* In a day with a burst a predicted refusal is one, with the predicted time,
   and no other job is refused. */
static void
test_refusals (void)
{
  static const struct kq_sched_step step
      = { .count = 4, .demand = { 2000, 1000, 0 }, .est_ms = 640 };
  struct sim *sim = sim_create (1, &no_faults);
  int refused = 0;

  sim_run (sim, 4000);
  for (int i = 0; i < 900; i++)
    {
      bool predicted;
      int job;

      CU_ASSERT_EQUAL (explain_step (sim, "batch", &step), 0);
      predicted = explanation.refused;
      job = sim_submit (sim, "batch", &step, 1);
      CU_ASSERT_EQUAL (job_find (sim->sched, sim->jobs[job].id) == NULL,
                       predicted);
      sim_run (sim, i < 200 ? 40 : 10);
      if (predicted)
        {
          refused++;
          CU_ASSERT (sim_refused (sim, job) >= explanation.retry_ms);
          CU_ASSERT (sim_refused (sim, job) <= explanation.retry_ms * 2);
        }
    }
  CU_ASSERT (refused > 20);
  sim_destroy (sim);
}

/* The owner's state must name the condition that keeps it from starting. */
static void
test_owner_state (void)
{
  static const struct kq_sched_step step
      = { .count = 1, .demand = { 1000, 10, 0 }, .est_ms = 400 };
  struct tz_site *site = tz_create (5000, 1);
  const struct kq_sched_owner_state *owner = &explanation.owner;

  tz_add_workers (site, 1, 'a', 8000, 0);
  explain_in (&site->cell, "batch", &step);
  CU_ASSERT (owner->term_current && owner->evacuations_current);
  CU_ASSERT_EQUAL (owner->term, 1);
  tz_take_over (site);
  explain_in (&site->cell, "batch", &step);
  CU_ASSERT (!owner->evacuations_current);
  CU_ASSERT_EQUAL (owner->evacuations_age_ms, -1);
  site->cell.now.mono += 3500 * KQ_USEC_PER_MSEC;
  explain_in (&site->cell, "batch", &step);
  CU_ASSERT (!owner->term_current);
  CU_ASSERT (owner->term_age_ms >= 3500);
  tz_destroy (site);
}

/* What does not exist must be told apart from what has no candidates. */
static void
test_bad_input (void)
{
  static const struct kq_sched_step step
      = { .count = 1, .demand = { 1000, 10, 0 }, .est_ms = 400 };
  struct tz_site *site = tz_create (0, 1);

  CU_ASSERT_EQUAL (explain_in (&site->cell, "none", &step), KQ_ENOENT);
  CU_ASSERT_EQUAL (kq_sched_explain (site->cell.sched, site->cell.now, 9, NULL,
                                     NULL, &explanation),
                   KQ_EJOB_UNKNOWN);
  CU_ASSERT_EQUAL (explain_in (&site->cell, "batch", &step), 0);
  CU_ASSERT_EQUAL (explanation.steps[0].candidate_count, 0);
  tz_destroy (site);
}

static const struct kq_test tests[] = {
  { "the first candidate", test_first_candidate },
  { "nothing changes", test_nothing_changes },
  { "nothing to store", test_nothing_to_store },
  { "reasons", test_reasons },
  { "a large cell", test_large_cell },
  { "limit per worker", test_limit },
  { "refusals", test_refusals },
  { "the owner's state", test_owner_state },
  { "bad input", test_bad_input },
};

KQ_TEST_MAIN ("test-explain", tests)
