/* What hosts know of earlier terms.  They guard against a wait for the leases
   of an earlier owner that begins anew with each host that has just started,
   and against a term that seems to have ended before it has. */
#include "t/kqtest.h"
#include "t/lib-term.h"

#define LIFE_US (2 * KQ_USEC_PER_SEC)

/* Part of the time that is lost in each handover: from the last record of one
   owner to the start of the next host. */
#define HANDOVER_US (700 * KQ_USEC_PER_MSEC)

/* A heartbeat has its age beside what a claim has. */
#define MAX_VARINT_BYTES 11

static struct kq_term_past
get_past (const struct kq_term *term, int64_t number)
{
  struct kq_term_past past[KQ_TERM_MAX_PAST];
  int count = kq_term_get_past (term, past);

  for (int i = 0; i < count; i++)
    if (past[i].term == number)
      return past[i];
  return (struct kq_term_past){ .term = 0 };
}

/* Lets host I alone own the cell for LIFE_US and release its term; it starts
   as the one before it ends.  Returns its term. */
static int64_t
own_for_a_life (struct sim *sim, int i)
{
  int64_t number;

  start_host (sim, i);
  run_for (sim, LIFE_US);
  number = kq_term_own_term (sim->hosts[i]);
  CU_ASSERT_NOT_EQUAL (number, 0);
  kq_term_stop (sim->hosts[i], sim->now, sim->now);
  run_for (sim, 10 * STEP_US);
  stop_host (sim, i);
  return number;
}

/* Guards against tasks of a lost worker that stay down while hosts are stopped
   one after the other: each successor has just started, and counted all
   earlier terms from its start. */
static void
test_time_since_a_term_adds_up (void)
{
  struct sim *sim = create_sim ();
  int64_t first;
  kq_usec ended_at;
  struct kq_term_past past;
  int lives = 4;

  for (int i = 0; i < HOSTS; i++)
    stop_host (sim, i);
  first = own_for_a_life (sim, 0);
  ended_at = sim->now;
  for (int i = 1; i <= lives; i++)
    own_for_a_life (sim, i % HOSTS);
  start_host (sim, 0);
  run_for (sim, KQ_USEC_PER_SEC);
  past = get_past (sim->hosts[0], first);
  CU_ASSERT_EQUAL_FATAL (past.term, first);
  CU_ASSERT (past.ended_at >= ended_at - 10 * STEP_US);
  CU_ASSERT (past.ended_at <= ended_at + (lives + 1) * HANDOVER_US);
  CU_ASSERT (past.confirmed_until >= ended_at - KQ_USEC_PER_SEC);
  CU_ASSERT (past.confirmed_until <= ended_at + (lives + 1) * HANDOVER_US);
  destroy_sim (sim);
}

/* Guards against a wait that is too short: an owner that is lost, not stopped,
   counts from its last record, not from what an earlier record says. */
static void
test_lost_term_counts_from_its_last_record (void)
{
  struct sim *sim = create_sim ();
  int64_t lost;
  kq_usec lost_at;
  struct kq_term_past past;

  for (int i = 0; i < HOSTS; i++)
    stop_host (sim, i);
  own_for_a_life (sim, 0);
  start_host (sim, 1);
  run_for (sim, 5 * KQ_USEC_PER_SEC);
  lost = kq_term_own_term (sim->hosts[1]);
  lost_at = sim->now;
  stop_host (sim, 1);
  start_host (sim, 2);
  run_for (sim, 4 * KQ_USEC_PER_SEC);
  CU_ASSERT_NOT_EQUAL (kq_term_own_term (sim->hosts[2]), 0);
  past = get_past (sim->hosts[2], lost);
  CU_ASSERT_EQUAL (past.ended_at, 0);
  CU_ASSERT (past.confirmed_until >= lost_at - KQ_USEC_PER_SEC / 2);
  stop_host (sim, 2);
  start_host (sim, 0);
  run_for (sim, 4 * KQ_USEC_PER_SEC);
  past = get_past (sim->hosts[0], lost);
  CU_ASSERT_EQUAL (past.ended_at, 0);
  CU_ASSERT (past.confirmed_until >= lost_at - KQ_USEC_PER_SEC / 2);
  CU_ASSERT (past.confirmed_until <= lost_at + 3 * KQ_USEC_PER_SEC);
  destroy_sim (sim);
}

/* Guards against a term that a host does not know, since its records are
   deleted: it would count from the end of the oldest one that it knows. */
static void
test_deleted_term_is_known (void)
{
  struct sim *sim = create_sim ();
  int64_t first;
  kq_usec ended_at;
  struct kq_term_past past;
  int64_t offset;

  for (int i = 0; i < HOSTS; i++)
    stop_host (sim, i);
  first = own_for_a_life (sim, 0);
  ended_at = sim->now;
  own_for_a_life (sim, 1);
  offset = sim->end;
  own_for_a_life (sim, 2);
  start_host (sim, 0);
  kq_term_note_read (sim->hosts[0], sim->now, sim->now, offset);
  run_for (sim, KQ_USEC_PER_SEC);
  past = get_past (sim->hosts[0], first);
  CU_ASSERT_EQUAL_FATAL (past.term, first);
  CU_ASSERT (past.ended_at >= ended_at - 10 * STEP_US);
  CU_ASSERT (past.ended_at <= ended_at + 3 * HANDOVER_US);
  destroy_sim (sim);
}

/* Guards against a record that does not fit: all texts and numbers are as long
   as they can be. */
static void
test_longest_record_fits (void)
{
  static const char text[]
      = "name-of-sixty-three-bytes-name-of-sixty-three-bytes-name-of-six";
  struct sim *sim = create_sim ();
  struct kq_term_append append;
  struct kq_term *term;

  term = kq_term_create (text, text, text, 1.0, sim->now);
  kq_term_note_read (term, sim->now, sim->now, INT64_MAX / 2);
  for (int i = 0; i < KQ_TERM_MAX_PAST + 2; i++)
    {
      for (int hours = 0; hours < 2; hours++)
        {
          sim->now += 3600 * KQ_USEC_PER_SEC;
          kq_term_note_read (term, sim->now, sim->now, kq_term_offset (term));
        }
      CU_ASSERT_FATAL (kq_term_next (term, sim->now, &append));
      CU_ASSERT_EQUAL (append.kind, KQ_TERM_CLAIM);
      kq_term_append_done (
          term, sim->now,
          &(struct kq_term_append_result){ .outcome = KQ_TERM_STORED });
      kq_term_apply (term, sim->now, kq_term_offset (term), append.bytes,
                     append.size);
      kq_term_supersede (term, sim->now);
    }
  CU_ASSERT (append.size + MAX_VARINT_BYTES < sizeof append.bytes);
  kq_term_destroy (term);
  destroy_sim (sim);
}

static const struct kq_test tests[] = {
  { "the time since a term adds up", test_time_since_a_term_adds_up },
  { "a lost term counts from its last record",
    test_lost_term_counts_from_its_last_record },
  { "a term whose records are deleted is known", test_deleted_term_is_known },
  { "the longest record fits", test_longest_record_fits },
};

KQ_TEST_MAIN ("test-past", tests)
