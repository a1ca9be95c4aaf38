/* Guards against a task that runs twice: an owner releases its term, is cut
 * off from the store before it reads that, and renews leases on, while its
 * successor counts them from the release.
 */
#include "t/kqtest.h"
#include "t/lib-term.h"
#include "term/term.pb-c.h"

/* An owner may act for so long after the store has confirmed its term. */
#define ACT_LIMIT_US (3 * KQ_USEC_PER_SEC)

static bool
may_act (const struct sim *sim, const struct kq_term *term)
{
  return kq_term_own_term (term) != 0
         && sim->now - kq_term_confirmed_at (term) <= ACT_LIMIT_US;
}

/* Returns until when TERM may have had an owner that acts, as its successor
   SUCCESSOR knows. */
static kq_usec
counted_until (const struct kq_term *successor, int64_t term)
{
  struct kq_term_past past[KQ_TERM_MAX_PAST];
  int count = kq_term_get_past (successor, past);

  for (int i = 0; i < count; i++)
    if (past[i].term == term)
      return past[i].ended_at != 0 ? past[i].ended_at
                                   : past[i].confirmed_until + ACT_LIMIT_US;
  return 0;
}

/* Lets the owner FIRST, which is told to stop at once, append its release and
   cuts it off from the store then.  Returns its term. */
static int64_t
release_and_cut_off (struct sim *sim, int first, bool reply_lost)
{
  int64_t term = kq_term_own_term (sim->hosts[first]);
  int64_t end = sim->end;

  kq_term_stop (sim->hosts[first], sim->now, sim->now);
  sim->replies_lost = reply_lost;
  for (int i = 0; i < 10 && sim->end == end; i++)
    {
      sim->now += STEP_US;
      append_next (sim, first);
    }
  sim->replies_lost = false;
  sim->store_unreachable[first] = true;
  CU_ASSERT_EQUAL (sim->end, end + 1);
  return term;
}

static void
check_release (bool reply_lost)
{
  struct sim *sim = create_sim ();
  kq_usec acted_at = 0;
  int first = -1;
  int successor = -1;
  int64_t term;

  run_for (sim, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL_FATAL (count_owners (sim, &first), 1);
  term = release_and_cut_off (sim, first, reply_lost);
  for (kq_usec end = sim->now + 2 * ACT_LIMIT_US; sim->now < end;)
    {
      run_for (sim, STEP_US);
      if (may_act (sim, sim->hosts[first]))
        acted_at = sim->now;
    }
  for (int i = 0; i < HOSTS; i++)
    if (i != first && kq_term_own_term (sim->hosts[i]) != 0)
      successor = i;
  CU_ASSERT_FATAL (successor >= 0);
  CU_ASSERT (acted_at <= counted_until (sim->hosts[successor], term));
  destroy_sim (sim);
}

static void
test_cut_off_after_the_reply (void)
{
  check_release (false);
}

static void
test_reply_lost (void)
{
  check_release (true);
}

/* Makes the last record one of an earlier version, whose owners went on until
   they had read their release. */
static void
drop_idle (struct sim *sim)
{
  struct record *last = &sim->records[sim->end - 1];
  KqTerm__TermRecord *record
      = kq_term__term_record__unpack (NULL, last->size, last->bytes);

  CU_ASSERT_PTR_NOT_NULL_FATAL (record);
  if (record == NULL)
    return;
  CU_ASSERT_NOT_EQUAL (record->idle, 0);
  record->idle = false;
  last->size = kq_term__term_record__pack (record, last->bytes);
  kq_term__term_record__free_unpacked (record, NULL);
}

/* Guards against the same while hosts of an earlier version run. */
static void
test_release_of_an_earlier_version (void)
{
  struct sim *sim = create_sim ();
  int first = -1;
  kq_usec released_at;
  int64_t term;

  run_for (sim, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL_FATAL (count_owners (sim, &first), 1);
  term = release_and_cut_off (sim, first, false);
  released_at = sim->now;
  drop_idle (sim);
  run_for (sim, KQ_USEC_PER_SEC);
  CU_ASSERT (counted_until (sim->hosts[(first + 1) % HOSTS], term)
             >= released_at + ACT_LIMIT_US - KQ_USEC_PER_SEC / 2);
  destroy_sim (sim);
}

/* Guards against a wait that is longer than needed after a planned stop. */
static void
test_release_ends_the_wait (void)
{
  struct sim *sim = create_sim ();
  int first = -1;
  int64_t term;

  run_for (sim, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL_FATAL (count_owners (sim, &first), 1);
  term = release_and_cut_off (sim, first, false);
  run_for (sim, KQ_USEC_PER_SEC / 2);
  CU_ASSERT (counted_until (sim->hosts[(first + 1) % HOSTS], term)
             <= sim->now);
  destroy_sim (sim);
}

/* Guards against the same after a claim that is repeated since its answer was
   lost: the term is confirmed as of the first one, which was stored. */
static void
test_claim_repeated (void)
{
  struct sim *sim = create_sim ();
  struct kq_term *host = sim->hosts[0];
  kq_usec claimed_at = 0;

  sim->replies_lost = true;
  while (sim->end == 0)
    {
      read_all (sim, 0);
      claimed_at = sim->now;
      append_next (sim, 0);
      sim->now += STEP_US;
    }
  for (kq_usec until = sim->now + KQ_USEC_PER_SEC / 2; sim->now < until;
       sim->now += STEP_US)
    append_next (sim, 0);
  CU_ASSERT_EQUAL (sim->end, 1);
  read_all (sim, 0);
  CU_ASSERT_NOT_EQUAL (kq_term_own_term (host), 0);
  CU_ASSERT_EQUAL (kq_term_confirmed_at (host), claimed_at);
  destroy_sim (sim);
}

static const struct kq_test tests[] = {
  { "a claim is repeated", test_claim_repeated },
  { "a release of an earlier version", test_release_of_an_earlier_version },
  { "a release ends the wait", test_release_ends_the_wait },
  { "cut off after the reply", test_cut_off_after_the_reply },
  { "the reply is lost", test_reply_lost },
};

KQ_TEST_MAIN ("test-release", tests)
