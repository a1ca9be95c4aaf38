/* Election of the owner by several hosts through one topic of the store.
   Guards against two owners that both last, and against having none: hosts
   stop and restart, lose the store, release the term, or have fewer cores than
   others.  */
#include <stdio.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-term.h"
#include "term/term.h"

static void
test_one_owner (void)
{
  struct sim *sim = create_sim ();
  int owner = -1;

  run_for (sim, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  for (int i = 0; i < HOSTS; i++)
    CU_ASSERT_STRING_EQUAL (kq_term_owner (sim->hosts[i])->address,
                            kq_term_owner (sim->hosts[owner])->address);
  destroy_sim (sim);
}

static void
test_owner_keeps_term (void)
{
  struct sim *sim = create_sim ();
  int first = -1;
  int owner = -1;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &first);
  run_for (sim, 20 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_EQUAL (owner, first);
  destroy_sim (sim);
}

static void
test_lost_owner_is_replaced (void)
{
  struct sim *sim = create_sim ();
  int first = -1;
  int owner = -1;
  int64_t term;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &first);
  term = kq_term_own_term (sim->hosts[first]);
  stop_host (sim, first);
  run_for (sim, 2 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_NOT_EQUAL (owner, first);
  CU_ASSERT (kq_term_own_term (sim->hosts[owner]) > term);
  destroy_sim (sim);
}

/* An owner that was cut off keeps a fence below those of its successor, and a
   fence rises within a term: a worker tells orders of before by it. */
static void
test_fences_rise (void)
{
  struct sim *sim = create_sim ();
  int first = -1;
  int owner = -1;
  int64_t term;
  int64_t fence;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &first);
  term = kq_term_own_term (sim->hosts[first]);
  fence = kq_term_fence (sim->hosts[first]);
  CU_ASSERT (fence >= term);
  run_for (sim, KQ_USEC_PER_SEC);
  CU_ASSERT (kq_term_fence (sim->hosts[first]) > fence);
  sim->store_unreachable[first] = true;
  run_for (sim, 2 * KQ_USEC_PER_SEC);
  for (int i = 0; i < HOSTS; i++)
    if (i != first && kq_term_own_term (sim->hosts[i]) != 0)
      owner = i;
  CU_ASSERT_FATAL (owner >= 0);
  CU_ASSERT (kq_term_fence (sim->hosts[first])
             < kq_term_own_term (sim->hosts[owner]));
  sim->store_unreachable[first] = false;
  run_for (sim, STEP_US);
  CU_ASSERT_EQUAL (kq_term_fence (sim->hosts[first]), 0);
  destroy_sim (sim);
}

/* An owner that could not reach the store learns of its successor with its
   first read.  Until then both consider themselves the owner.  */
static void
test_cut_off_owner_steps_down (void)
{
  struct sim *sim = create_sim ();
  int first = -1;
  int owner = -1;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &first);
  sim->store_unreachable[first] = true;
  run_for (sim, 2 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 2);
  sim->store_unreachable[first] = false;
  run_for (sim, STEP_US);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_NOT_EQUAL (owner, first);
  destroy_sim (sim);
}

/* While no host reaches the store none can claim, and afterwards the owner
   must not be replaced because its heartbeats were missing.  */
static void
test_store_outage_keeps_owner (void)
{
  struct sim *sim = create_sim ();
  int first = -1;
  int owner = -1;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &first);
  for (int i = 0; i < HOSTS; i++)
    sim->store_unreachable[i] = true;
  run_for (sim, 9 * KQ_USEC_PER_SEC);
  for (int i = 0; i < HOSTS; i++)
    sim->store_unreachable[i] = false;
  run_for (sim, 2 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_EQUAL (owner, first);
  destroy_sim (sim);
}

/* The owner is lost while the store is slow: each read takes longer than the
   maximum age of the last one.  The owner must not get a full timeout again
   with each read. */
static void
test_lost_owner_is_replaced_with_slow_store (void)
{
  struct sim *sim = create_sim ();
  kq_usec read_time = KQ_USEC_PER_SEC;
  int first = -1;
  int owner = -1;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &first);
  stop_host (sim, first);
  for (int round = 0; round < 10; round++)
    {
      for (int i = 0; i < HOSTS; i++)
        sim->store_unreachable[i] = true;
      run_for (sim, read_time - STEP_US);
      for (int i = 0; i < HOSTS; i++)
        sim->store_unreachable[i] = false;
      run_for (sim, STEP_US);
    }
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_NOT_EQUAL (owner, first);
  destroy_sim (sim);
}

/* After a restart of all hosts the former owner claims without waiting for the
   timeout of its own earlier term.  */
static void
test_restarted_owner_claims_at_once (void)
{
  struct sim *sim = create_sim ();
  int first = -1;
  int owner = -1;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &first);
  for (int i = 0; i < HOSTS; i++)
    {
      stop_host (sim, i);
      start_host (sim, i);
    }
  run_for (sim, 400 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_EQUAL (owner, first);
  destroy_sim (sim);
}

static void
test_release_hands_over_at_once (void)
{
  struct sim *sim = create_sim ();
  int first = -1;
  int owner = -1;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &first);
  kq_term_stop (sim->hosts[first], sim->now, sim->now);
  run_for (sim, 400 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_NOT_EQUAL (owner, first);
  destroy_sim (sim);
}

/* Of hosts with the same store latency the one with the most cores claims
   first.  */
static void
test_most_cores_claim_first (void)
{
  struct sim *sim = create_sim ();
  int owner = -1;

  kq_term_destroy (sim->hosts[0]);
  sim->hosts[0]
      = kq_term_create ("h0", "10.0.0.1:7720", "weak-0", 0.12, sim->now);
  kq_term_destroy (sim->hosts[1]);
  sim->hosts[1]
      = kq_term_create ("h1", "10.0.0.2:7720", "weak-1", 0.12, sim->now);
  run_for (sim, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_EQUAL (owner, 2);
  destroy_sim (sim);
}

/* The same holds after a release.  A host with few cores would load the jobs
   too slowly and lose the term again.  */
static void
check_release (int few_cores_host)
{
  struct sim *sim = create_sim ();
  int owner = -1;
  int next = -1;

  kq_term_destroy (sim->hosts[few_cores_host]);
  sim->hosts[few_cores_host]
      = kq_term_create ("weak", "10.0.0.9:7720", "weak", 0.12, sim->now);
  run_for (sim, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_NOT_EQUAL (owner, few_cores_host);
  kq_term_stop (sim->hosts[owner], sim->now, sim->now);
  run_for (sim, 400 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_owners (sim, &next), 1);
  CU_ASSERT_NOT_EQUAL (next, few_cores_host);
  CU_ASSERT_NOT_EQUAL (next, owner);
  destroy_sim (sim);
}

static void
test_enough_cores_claim_after_release (void)
{
  for (int few_cores_host = 0; few_cores_host < HOSTS; few_cores_host++)
    check_release (few_cores_host);
}

/* Replaces all hosts: the host LARGE has many cores, the others few, and each
   knows that. */
static void
set_sizes (struct sim *sim, int large)
{
  for (int i = 0; i < HOSTS; i++)
    {
      char host[16];
      char incarnation[16];

      snprintf (host, sizeof host, "h%d", i);
      snprintf (incarnation, sizeof incarnation, "sized-%d", sim->starts++);
      kq_term_destroy (sim->hosts[i]);
      sim->hosts[i] = kq_term_create (host, "10.0.0.1:7720", incarnation,
                                      i == large ? 0.5 : 0.12, sim->now);
      kq_term_set_standing (sim->hosts[i], i == large ? 0 : 1 + i, 0.5);
    }
}

/* Guards against a small host that owns while a large one could: it leaves
   large hosts a second to claim. */
static void
test_small_host_claims_last (void)
{
  struct sim *sim = create_sim ();
  int owner = -1;

  set_sizes (sim, 1);
  sim->store_unreachable[1] = true;
  run_for (sim, 800 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 0);
  sim->store_unreachable[1] = false;
  run_for (sim, 300 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_EQUAL (owner, 1);
  destroy_sim (sim);
}

/* Guards against a small host that keeps the term after a large one is back,
   and against terms that pass to and fro. */
static void
test_small_owner_gives_up_to_large_host (void)
{
  struct sim *sim = create_sim ();
  int owner = -1;
  int64_t term;

  set_sizes (sim, 1);
  sim->store_unreachable[1] = true;
  run_for (sim, 3 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_NOT_EQUAL (owner, 1);
  sim->store_unreachable[1] = false;
  run_for (sim, 3 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_EQUAL (owner, 1);
  term = kq_term_own_term (sim->hosts[1]);
  run_for (sim, 12 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (kq_term_own_term (sim->hosts[1]), term);
  destroy_sim (sim);
}

/* Guards against an owner that goes on after a later claim which it has not
   read: the store refuses its heartbeat. */
static void
test_heartbeat_after_a_later_claim_is_refused (void)
{
  struct sim *sim = create_sim ();
  struct kq_term_append append;
  struct kq_term_append_result result;
  int owner = -1;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &owner);
  sim->epoch = kq_term_own_term (sim->hosts[owner]) + 7;
  sim->sequence = 1;
  sim->now += KQ_USEC_PER_SEC;
  CU_ASSERT_FATAL (kq_term_next (sim->hosts[owner], sim->now, &append));
  result = append_record (sim, &append);
  CU_ASSERT_EQUAL (result.outcome, KQ_TERM_FENCED);
  kq_term_append_done (sim->hosts[owner], sim->now, &result);
  CU_ASSERT_EQUAL (kq_term_own_term (sim->hosts[owner]), 0);
  destroy_sim (sim);
}

/* Guards against a confirmation that counts from a repeated heartbeat: only
   the first attempt may have been stored, before a later claim. */
static void
test_repeated_heartbeat_confirms_its_first_attempt (void)
{
  struct sim *sim = create_sim ();
  int owner = -1;
  kq_usec lost_from;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &owner);
  sim->replies_lost = true;
  lost_from = sim->now;
  for (int i = 0; i < 40; i++)
    {
      append_next (sim, owner);
      sim->now += STEP_US;
    }
  sim->replies_lost = false;
  append_next (sim, owner);
  CU_ASSERT (kq_term_confirmed_at (sim->hosts[owner])
             < lost_from + 450 * KQ_USEC_PER_MSEC);
  /* The next one is new. */
  run_for (sim, 500 * KQ_USEC_PER_MSEC);
  CU_ASSERT (kq_term_confirmed_at (sim->hosts[owner])
             > lost_from + 700 * KQ_USEC_PER_MSEC);
  destroy_sim (sim);
}

/* Returns the past term NUMBER; its fields are 0 if it is not known. */
static struct kq_term_past
find_past (const struct kq_term_past *past, int count, int64_t number)
{
  for (int i = 0; i < count; i++)
    if (past[i].term == number)
      return past[i];
  return (struct kq_term_past){ .term = 0 };
}

/* Guards against counting from a restart what ended long before it: a process
   that has just started reads how long the last owner had owned the term, so
   that the one before it lost its own earlier. */
static void
test_past_terms_after_a_restart (void)
{
  struct sim *sim = create_sim ();
  struct kq_term_past past[KQ_TERM_MAX_PAST];
  struct kq_term_past entry;
  int first = -1;
  int second = -1;
  int third = -1;
  int64_t first_term;
  int64_t second_term;
  kq_usec first_lost_at;
  int count;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &first);
  first_term = kq_term_own_term (sim->hosts[first]);
  stop_host (sim, first);
  first_lost_at = sim->now;
  run_for (sim, 2 * KQ_USEC_PER_SEC);
  count_owners (sim, &second);
  second_term = kq_term_own_term (sim->hosts[second]);
  run_for (sim, 5 * KQ_USEC_PER_SEC);
  for (int i = 0; i < HOSTS; i++)
    {
      if (i != first)
        stop_host (sim, i);
      start_host (sim, i);
    }
  run_for (sim, 3 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &third), 1);
  count = kq_term_get_past (sim->hosts[third], past);
  entry = find_past (past, count, first_term);
  CU_ASSERT (entry.confirmed_until >= first_lost_at - STEP_US);
  CU_ASSERT (entry.confirmed_until < first_lost_at + 3 * KQ_USEC_PER_SEC);
  entry = find_past (past, count, second_term);
  CU_ASSERT (entry.confirmed_until >= first_lost_at + 6 * KQ_USEC_PER_SEC);
  /* The process that owned it has ended if it ran on the same host. */
  CU_ASSERT_EQUAL (entry.ended_at != 0, third == second);
  destroy_sim (sim);
}

/* Guards against a successor that dates what an earlier owner did too early,
   or by a wall clock: it knows for how long the owner had owned its term. */
static void
test_successor_dates_earlier_times (void)
{
  struct sim *sim = create_sim ();
  struct kq_term_past past[KQ_TERM_MAX_PAST];
  struct kq_term_past entry;
  int first = -1;
  int second = -1;
  int64_t term;
  kq_usec began_at;

  run_for (sim, 10 * KQ_USEC_PER_SEC);
  count_owners (sim, &first);
  term = kq_term_own_term (sim->hosts[first]);
  began_at = kq_term_own_since (sim->hosts[first]);
  stop_host (sim, first);
  run_for (sim, 5 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &second), 1);
  entry = find_past (past, kq_term_get_past (sim->hosts[second], past), term);
  CU_ASSERT (entry.age > 8 * KQ_USEC_PER_SEC);
  CU_ASSERT (entry.heard_at - entry.age >= began_at);
  CU_ASSERT (entry.heard_at - entry.age < began_at + KQ_USEC_PER_SEC);
  destroy_sim (sim);
}

/* Hosts that do not claim soon read the topic seldom, unless the owner seems
   to be lost. */
static void
test_few_hosts_follow_closely (void)
{
  struct sim *sim = create_sim ();
  struct kq_term *host = sim->hosts[0];
  int owner = -1;

  run_for (sim, KQ_USEC_PER_SEC);
  count_owners (sim, &owner);
  if (owner == 0)
    host = sim->hosts[1];
  CU_ASSERT (kq_term_follows_closely (sim->hosts[owner], sim->now));
  CU_ASSERT (kq_term_follows_closely (host, sim->now));
  kq_term_set_standing (host, 20, 1.0);
  CU_ASSERT_FALSE (kq_term_follows_closely (host, sim->now));
  kq_term_suspect_owner (host, sim->now);
  CU_ASSERT (kq_term_follows_closely (host, sim->now));
  run_for (sim, 5 * KQ_USEC_PER_SEC);
  CU_ASSERT_FALSE (kq_term_follows_closely (host, sim->now));
  stop_host (sim, owner);
  run_for (sim, 1300 * KQ_USEC_PER_MSEC);
  CU_ASSERT (kq_term_follows_closely (host, sim->now));
  destroy_sim (sim);
}

static void
test_malformed_record_is_skipped (void)
{
  struct sim *sim = create_sim ();
  int owner = -1;

  memset (sim->records[0].bytes, 0xff, 16);
  sim->records[0].size = 16;
  sim->end = 1;
  run_for (sim, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  destroy_sim (sim);
}

static const struct kq_test tests[] = {
  { "one owner", test_one_owner },
  { "the owner keeps its term", test_owner_keeps_term },
  { "a lost owner is replaced", test_lost_owner_is_replaced },
  { "fences rise within a term and over a takeover", test_fences_rise },
  { "an owner that was cut off from the store steps down",
    test_cut_off_owner_steps_down },
  { "a store outage does not change the owner",
    test_store_outage_keeps_owner },
  { "a lost owner is replaced with a slow store",
    test_lost_owner_is_replaced_with_slow_store },
  { "a restarted owner claims at once", test_restarted_owner_claims_at_once },
  { "a release hands over at once", test_release_hands_over_at_once },
  { "the host with the most cores claims first", test_most_cores_claim_first },
  { "a host with enough cores claims after a release",
    test_enough_cores_claim_after_release },
  { "a small host claims last", test_small_host_claims_last },
  { "a small owner gives up to a large host",
    test_small_owner_gives_up_to_large_host },
  { "a heartbeat after a later claim is refused",
    test_heartbeat_after_a_later_claim_is_refused },
  { "a repeated heartbeat confirms its first attempt",
    test_repeated_heartbeat_confirms_its_first_attempt },
  { "past terms after a restart", test_past_terms_after_a_restart },
  { "a successor dates earlier times", test_successor_dates_earlier_times },
  { "few hosts follow the topic closely", test_few_hosts_follow_closely },
  { "a malformed record is skipped", test_malformed_record_is_skipped },
};

KQ_TEST_MAIN ("test-term", tests)
