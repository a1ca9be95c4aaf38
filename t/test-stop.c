/* Planned stops of hosts that own the cell, or may.  They guard against owners
   that follow each other before one has acted, and against a cell without an
   owner while all hosts are stopping: tasks of lost workers then stay down. */
#include "node/stop.h"
#include "t/kqtest.h"
#include "t/lib-term.h"

#define GRACE_US (6 * KQ_USEC_PER_SEC)
#define SERIES_GAP_US (400 * KQ_USEC_PER_MSEC)
#define RESTART_US (600 * KQ_USEC_PER_MSEC)
#define UP_US (900 * KQ_USEC_PER_MSEC)

/* An owner needs this time to restore the jobs, to hear from each worker,
   which is polled once a second, and to store what it decides. */
#define MIN_TERM_US (1500 * KQ_USEC_PER_MSEC)

/* Planned stops cost no more time without an owner than its loss. */
#define MAX_GAP_US (1800 * KQ_USEC_PER_MSEC)

struct series
{
  struct kq_stop stops[HOSTS];
  kq_usec stop_at[HOSTS];
  kq_usec start_at[HOSTS];
  int owner; /* -1: none */
  kq_usec since;
  kq_usec longest_gap;
  kq_usec shortest_term;
};

static void
begin_stop (struct sim *sim, struct kq_stop *stop, int i)
{
  *stop = (struct kq_stop){ .started_at = sim->now, .grace = GRACE_US };
  kq_term_stop (sim->hosts[i], kq_stop_release_at (stop),
                kq_stop_last_release_at (stop));
}

static void
step_host (struct sim *sim, struct series *series, int i)
{
  struct kq_stop *stop = &series->stops[i];

  if (sim->stopped[i])
    {
      if (sim->now < series->start_at[i])
        return;
      start_host (sim, i);
      stop->started_at = 0;
      series->stop_at[i] = sim->now + UP_US;
    }
  else if (stop->started_at == 0 && sim->now >= series->stop_at[i])
    begin_stop (sim, stop, i);
  else if (stop->started_at != 0
           && kq_stop_is_over (stop, sim->now,
                               kq_term_own_term (sim->hosts[i]) == 0))
    {
      stop_host (sim, i);
      series->start_at[i] = sim->now + RESTART_US;
    }
}

static void
note_owner (const struct sim *sim, struct series *series)
{
  int owner = -1;
  kq_usec lasted = sim->now - series->since;

  count_owners (sim, &owner);
  if (owner == series->owner)
    return;
  if (series->owner < 0 && lasted > series->longest_gap)
    series->longest_gap = lasted;
  if (series->owner >= 0 && lasted < series->shortest_term)
    series->shortest_term = lasted;
  series->owner = owner;
  series->since = sim->now;
}

/* Guards against owners that cannot act: all hosts are stopped in turn, the
   owner first, and again as soon as they are back. */
static void
test_series_leave_owners_time (void)
{
  struct sim *sim = create_sim ();
  struct series series = { .shortest_term = INT64_MAX };
  int next = 0;

  run_for (sim, 3 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL_FATAL (count_owners (sim, &series.owner), 1);
  series.since = sim->now - MIN_TERM_US;
  for (int i = 0; i < HOSTS; i++)
    series.stop_at[i]
        = sim->now + (i == series.owner ? 0 : ++next * SERIES_GAP_US);
  for (kq_usec end = sim->now + 30 * KQ_USEC_PER_SEC; sim->now < end;)
    {
      for (int i = 0; i < HOSTS; i++)
        step_host (sim, &series, i);
      run_for (sim, STEP_US);
      note_owner (sim, &series);
    }
  CU_ASSERT (series.longest_gap <= MAX_GAP_US);
  CU_ASSERT (series.shortest_term >= MIN_TERM_US);
  destroy_sim (sim);
}

/* Guards against a cell without an owner until the first host is back: all
   hosts are told to stop at once.  The owner must release the term before it
   ends all the same, and none may begin another one too late for that. */
static void
test_stopping_host_owns_where_no_other_can (void)
{
  struct sim *sim = create_sim ();
  struct kq_stop stop;
  int owner = -1;

  run_for (sim, KQ_USEC_PER_SEC);
  for (int i = 0; i < HOSTS; i++)
    begin_stop (sim, &stop, i);
  run_for (sim, kq_stop_release_at (&stop) - sim->now + MAX_GAP_US);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  run_for (sim, kq_stop_last_release_at (&stop) - sim->now + 2 * STEP_US);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 0);
  run_for (sim, 5 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 0);
  destroy_sim (sim);
}

/* Guards against a stopping owner while another host can follow. */
static void
test_running_host_follows (void)
{
  struct sim *sim = create_sim ();
  struct kq_stop stop;
  int first = -1;
  int owner = -1;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &first);
  for (int i = 0; i < HOSTS; i++)
    if (i != (first + 1) % HOSTS)
      begin_stop (sim, &stop, i);
  run_for (sim,
           kq_stop_release_at (&stop) - sim->now + 400 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_EQUAL (owner, (first + 1) % HOSTS);
  destroy_sim (sim);
}

/* Guards against a term that nobody acts for: a host is told to stop while its
   claim is under way. */
static void
test_claim_under_way_is_kept (void)
{
  struct sim *sim = create_sim ();
  struct kq_stop stop;
  struct kq_term_append append;
  struct kq_term_append_result result;

  for (int i = 1; i < HOSTS; i++)
    stop_host (sim, i);
  read_all (sim, 0);
  sim->now += KQ_USEC_PER_SEC / 2;
  read_all (sim, 0);
  CU_ASSERT_FATAL (kq_term_next (sim->hosts[0], sim->now, &append));
  result = append_record (sim, &append);
  begin_stop (sim, &stop, 0);
  kq_term_append_done (sim->hosts[0], sim->now, &result);
  run_for (sim, 2 * STEP_US);
  CU_ASSERT_NOT_EQUAL (kq_term_own_term (sim->hosts[0]), 0);
  run_for (sim, kq_stop_last_release_at (&stop) - sim->now + 2 * STEP_US);
  CU_ASSERT_EQUAL (kq_term_own_term (sim->hosts[0]), 0);
  CU_ASSERT_STRING_EQUAL (kq_term_owner (sim->hosts[0])->incarnation, "");
  destroy_sim (sim);
}

/* Guards against a process that is killed before it has released its term, and
   against one that ends with its term. */
static void
test_times (void)
{
  struct kq_stop stop
      = { .started_at = 100 * KQ_USEC_PER_SEC, .grace = GRACE_US };
  kq_usec killed_at = stop.started_at + stop.grace;

  CU_ASSERT (kq_stop_last_release_at (&stop) < killed_at - KQ_USEC_PER_SEC);
  CU_ASSERT (kq_stop_release_at (&stop) < kq_stop_last_release_at (&stop));
  CU_ASSERT (!kq_stop_is_over (&stop, kq_stop_release_at (&stop), true));
  CU_ASSERT (!kq_stop_is_over (&stop, kq_stop_last_release_at (&stop), false));
  CU_ASSERT (kq_stop_is_over (&stop, killed_at - KQ_USEC_PER_SEC / 2, false));
  CU_ASSERT (kq_stop_is_over (&stop, killed_at - 2 * KQ_USEC_PER_SEC, true));
  stop.grace = KQ_USEC_PER_SEC;
  CU_ASSERT (kq_stop_release_at (&stop) <= stop.started_at);
  CU_ASSERT (
      kq_stop_is_over (&stop, stop.started_at + KQ_USEC_PER_SEC / 2, false));
}

/* Guards against a process that waits for the store to take the release of a
   term in which it may not act any more: its tasks at lost workers stay down
   meanwhile. */
static void
test_stop_without_store (void)
{
  const kq_usec confirmed_at = 100 * KQ_USEC_PER_SEC;

  CU_ASSERT (kq_stop_holds_term (7, confirmed_at,
                                 confirmed_at + 2900 * KQ_USEC_PER_MSEC));
  CU_ASSERT (!kq_stop_holds_term (7, confirmed_at,
                                  confirmed_at + 3100 * KQ_USEC_PER_MSEC));
  CU_ASSERT (!kq_stop_holds_term (0, confirmed_at, confirmed_at));
}

static const struct kq_test tests[] = {
  { "stops in series leave owners time", test_series_leave_owners_time },
  { "a stopping host owns the cell where no other can",
    test_stopping_host_owns_where_no_other_can },
  { "a running host follows", test_running_host_follows },
  { "a claim under way is kept", test_claim_under_way_is_kept },
  { "a stop without the store", test_stop_without_store },
  { "times of a stop", test_times },
};

KQ_TEST_MAIN ("test-stop", tests)
