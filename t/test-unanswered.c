/* Guards against tasks that are bound for good to a worker which answers each
   poll and no order: polls renew its lease, so that neither a stop nor the
   lapse of the lease ends their runs. */
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB 0x5ULL
#define STEP_MS 100

static const struct kq_sched_step one
    = { .count = 1, .demand = { .cpu = 1000, .mem = 100 }, .est_ms = 1000 };

struct site
{
  struct ts_cell *cell;
  char deaf[KQ_SCHED_NAME_SIZE]; /* answers no order */
  int replied;                   /* orders that have had their reply */
};

static struct site
start_site (void)
{
  struct site site = { .cell = ts_create () };

  ts_add_idle_worker (site.cell, "w1", 4000);
  ts_add_idle_worker (site.cell, "w2", 4000);
  ts_submit (site.cell, JOB, "batch", &one, 1);
  CU_ASSERT_EQUAL_FATAL (site.cell->order_count, 1);
  strcpy (site.deaf, site.cell->orders[0].worker);
  return site;
}

/* All workers answer polls for MS; the deaf one runs nothing. */
static void
run_site (struct site *site, int64_t ms)
{
  struct ts_cell *cell = site->cell;

  for (int64_t passed = 0; passed < ms; passed += STEP_MS)
    {
      for (; site->replied < cell->order_count; site->replied++)
        {
          struct ts_order order = cell->orders[site->replied];

          ts_reply_order (cell, &order,
                          strcmp (order.worker, site->deaf) == 0
                              ? KQ_SCHED_NO_REPLY
                              : KQ_SCHED_OK);
        }
      ts_reply_poll (cell, site->deaf, NULL, 0, NULL, 0);
      ts_list_runs (cell, strcmp (site->deaf, "w1") == 0 ? "w2" : "w1");
      ts_advance (cell, STEP_MS);
    }
}

/* Returns the number of starts at the deaf worker. */
static int
count_deaf_starts (const struct site *site)
{
  int count = 0;

  for (int i = 0; i < site->cell->order_count; i++)
    count += site->cell->orders[i].kind == KQ_SCHED_FX_START
             && strcmp (site->cell->orders[i].worker, site->deaf) == 0;
  return count;
}

/* Returns the end of the lease that the next poll of the deaf worker sets; 0:
   it is not renewed. */
static int64_t
next_lease_end (const struct site *site)
{
  struct kq_sched_poll poll;
  int64_t lease_end_ms = -1;

  site->cell->now.mono += STEP_MS * KQ_USEC_PER_MSEC;
  while (kq_sched_next_poll (site->cell->sched, site->cell->now, &poll))
    if (strcmp (poll.worker, site->deaf) == 0)
      lease_end_ms = poll.lease_end_ms;
  return lease_end_ms;
}

/* The lease lapses, and the task runs elsewhere. */
static void
test_task_leaves (void)
{
  struct site site = start_site ();
  const struct ts_order *start;

  run_site (&site, 8000);
  start = ts_last_order (site.cell, KQ_SCHED_FX_START, JOB, 0, 0);
  CU_ASSERT_STRING_NOT_EQUAL (start->worker, site.deaf);
  ts_destroy (site.cell);
}

/* Further tasks are not placed there: jobs start elsewhere. */
static void
test_no_further_starts (void)
{
  struct site site = start_site ();
  int early;

  run_site (&site, 2500);
  early = count_deaf_starts (&site);
  for (uint64_t job = 1; job <= 8; job++)
    {
      ts_submit (site.cell, JOB + job, "batch", &one, 1);
      run_site (&site, 500);
    }
  CU_ASSERT_EQUAL (count_deaf_starts (&site), early);
  ts_destroy (site.cell);
}

/* One answered order suffices: it is used again, and its lease is renewed. */
static void
test_answer (void)
{
  struct site site = start_site ();
  const struct ts_order *stop;
  struct ts_order answered;

  run_site (&site, 3000);
  stop = ts_last_order (site.cell, KQ_SCHED_FX_STOP, JOB, 0, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (stop);
  if (stop == NULL)
    return;
  answered = *stop;
  ts_reply_poll (site.cell, site.deaf, NULL, 0, NULL, 0);
  CU_ASSERT_EQUAL (next_lease_end (&site), 0);
  ts_reply_order (site.cell, &answered, KQ_SCHED_OK);
  ts_reply_poll (site.cell, site.deaf, NULL, 0, NULL, 0);
  CU_ASSERT (next_lease_end (&site) > 0);
  ts_reply_poll (site.cell, site.deaf, NULL, 0, NULL, 0);
  ts_advance (site.cell, STEP_MS);
  CU_ASSERT_EQUAL (ts_run_of (site.cell, JOB, 0), 2);
  ts_destroy (site.cell);
}

static const struct kq_test tests[] = {
  { "a task leaves a worker that answers no order", test_task_leaves },
  { "such a worker gets no further starts", test_no_further_starts },
  { "an answered order ends that", test_answer },
};

KQ_TEST_MAIN ("test-unanswered", tests)
