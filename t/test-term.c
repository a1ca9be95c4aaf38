/* Election of the owner by several hosts through one topic of the store.
   Guards against two owners that both last, and against having none: hosts
   stop and restart, lose the store, release the term, or have fewer cores than
   others.  */
#include <stdio.h>
#include <string.h>

#include "t/kqtest.h"
#include "term/term.h"

#define HOSTS 3
#define MAX_RECORDS 512
#define STEP_US (20 * KQ_USEC_PER_MSEC)

struct record
{
  uint8_t bytes[256];
  size_t size;
};

struct sim
{
  struct kq_term *hosts[HOSTS];
  bool stopped[HOSTS];
  bool store_unreachable[HOSTS];
  struct record records[MAX_RECORDS];
  int64_t end;
  int starts;
  kq_usec now;
};

static void
start_host (struct sim *sim, int i)
{
  char host[16];
  char address[32];
  char incarnation[16];

  snprintf (host, sizeof host, "h%d", i);
  snprintf (address, sizeof address, "10.0.0.%d:7720", i + 1);
  snprintf (incarnation, sizeof incarnation, "life-%d", sim->starts++);
  sim->hosts[i] = kq_term_create (host, address, incarnation, 1.0);
  sim->stopped[i] = false;
}

static void
stop_host (struct sim *sim, int i)
{
  kq_term_destroy (sim->hosts[i]);
  sim->hosts[i] = NULL;
  sim->stopped[i] = true;
}

static struct sim *
create_sim (void)
{
  static struct sim sim;

  memset (&sim, 0, sizeof sim);
  sim.now = 100 * KQ_USEC_PER_SEC;
  for (int i = 0; i < HOSTS; i++)
    start_host (&sim, i);
  return &sim;
}

static void
destroy_sim (struct sim *sim)
{
  for (int i = 0; i < HOSTS; i++)
    kq_term_destroy (sim->hosts[i]);
}

static void
append_next (struct sim *sim, int i)
{
  struct kq_term_append append;

  if (!kq_term_next (sim->hosts[i], sim->now, &append))
    return;
  if (sim->store_unreachable[i] || append.at != sim->end)
    {
      kq_term_append_done (sim->hosts[i], sim->now, -1);
      return;
    }
  CU_ASSERT_FATAL (sim->end < MAX_RECORDS);
  memcpy (sim->records[sim->end].bytes, append.bytes, append.size);
  sim->records[sim->end].size = append.size;
  sim->end++;
  kq_term_append_done (sim->hosts[i], sim->now, sim->end - 1);
}

static void
read_all (struct sim *sim, int i)
{
  struct kq_term *term = sim->hosts[i];

  if (sim->store_unreachable[i])
    return;
  while (kq_term_offset (term) < sim->end)
    {
      const struct record *record = &sim->records[kq_term_offset (term)];

      kq_term_apply (term, sim->now, kq_term_offset (term), record->bytes,
                     record->size);
    }
  kq_term_note_read (term, sim->now, sim->now - KQ_USEC_PER_MSEC, sim->end);
}

static int
count_owners (const struct sim *sim, int *last_owner)
{
  int count = 0;

  for (int i = 0; i < HOSTS; i++)
    if (!sim->stopped[i] && kq_term_own_term (sim->hosts[i]) != 0)
      {
        count++;
        *last_owner = i;
      }
  return count;
}

static void
run_for (struct sim *sim, kq_usec duration)
{
  for (kq_usec end = sim->now + duration; sim->now < end; sim->now += STEP_US)
    for (int i = 0; i < HOSTS; i++)
      if (!sim->stopped[i])
        {
          read_all (sim, i);
          append_next (sim, i);
        }
}

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
  kq_term_release (sim->hosts[first], INT64_MAX);
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
  sim->hosts[0] = kq_term_create ("h0", "10.0.0.1:7720", "weak-0", 0.12);
  kq_term_destroy (sim->hosts[1]);
  sim->hosts[1] = kq_term_create ("h1", "10.0.0.2:7720", "weak-1", 0.12);
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
      = kq_term_create ("weak", "10.0.0.9:7720", "weak", 0.12);
  run_for (sim, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (count_owners (sim, &owner), 1);
  CU_ASSERT_NOT_EQUAL (owner, few_cores_host);
  kq_term_release (sim->hosts[owner], INT64_MAX);
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
  { "an owner that was cut off from the store steps down",
    test_cut_off_owner_steps_down },
  { "a store outage does not change the owner",
    test_store_outage_keeps_owner },
  { "a restarted owner claims at once", test_restarted_owner_claims_at_once },
  { "a release hands over at once", test_release_hands_over_at_once },
  { "the host with the most cores claims first", test_most_cores_claim_first },
  { "a host with enough cores claims after a release",
    test_enough_cores_claim_after_release },
  { "a malformed record is skipped", test_malformed_record_is_skipped },
};

KQ_TEST_MAIN ("test-term", tests)
