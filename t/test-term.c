/* Who is the owner: several hosts on one topic of the store. */
#include <stdio.h>
#include <string.h>

#include "t/kqtest.h"
#include "term/term.h"

#define HOSTS 3
#define MAX_RECORDS 512
#define STEP (20 * KQ_USEC_PER_MSEC)

struct record
{
  uint8_t bytes[256];
  size_t size;
};

struct world
{
  struct kq_term *hosts[HOSTS];
  bool down[HOSTS]; /* has no power */
  bool cut[HOSTS];  /* has no store */
  struct record records[MAX_RECORDS];
  int64_t end;
  int lives;
  kq_usec now;
};

static void
power_on (struct world *world, int i)
{
  char host[16];
  char address[32];
  char life[16];

  snprintf (host, sizeof host, "h%d", i);
  snprintf (address, sizeof address, "10.0.0.%d:7720", i + 1);
  snprintf (life, sizeof life, "life-%d", world->lives++);
  world->hosts[i] = kq_term_create (host, address, life, 1.0);
  world->down[i] = false;
}

static void
power_off (struct world *world, int i)
{
  kq_term_destroy (world->hosts[i]);
  world->hosts[i] = NULL;
  world->down[i] = true;
}

static struct world *
open_world (void)
{
  static struct world world;

  memset (&world, 0, sizeof world);
  world.now = 100 * KQ_USEC_PER_SEC;
  for (int i = 0; i < HOSTS; i++)
    power_on (&world, i);
  return &world;
}

static void
close_world (struct world *world)
{
  for (int i = 0; i < HOSTS; i++)
    kq_term_destroy (world->hosts[i]);
}

static void
append (struct world *world, int i)
{
  struct kq_term_append wanted;

  if (!kq_term_next (world->hosts[i], world->now, &wanted))
    return;
  if (world->cut[i] || wanted.at != world->end)
    {
      kq_term_answered (world->hosts[i], world->now, -1);
      return;
    }
  CU_ASSERT_FATAL (world->end < MAX_RECORDS);
  memcpy (world->records[world->end].bytes, wanted.bytes, wanted.size);
  world->records[world->end].size = wanted.size;
  world->end++;
  kq_term_answered (world->hosts[i], world->now, world->end - 1);
}

static void
read_all (struct world *world, int i)
{
  struct kq_term *term = world->hosts[i];

  if (world->cut[i])
    return;
  while (kq_term_offset (term) < world->end)
    {
      const struct record *record = &world->records[kq_term_offset (term)];

      kq_term_take (term, world->now, kq_term_offset (term), record->bytes,
                    record->size);
    }
  kq_term_read_to (term, world->now, world->now - KQ_USEC_PER_MSEC,
                   world->end);
}

static int
owners (const struct world *world, int *which)
{
  int count = 0;

  for (int i = 0; i < HOSTS; i++)
    if (!world->down[i] && kq_term_mine (world->hosts[i]) != 0)
      {
        count++;
        *which = i;
      }
  return count;
}

static void
run (struct world *world, kq_usec time)
{
  for (kq_usec end = world->now + time; world->now < end; world->now += STEP)
    for (int i = 0; i < HOSTS; i++)
      if (!world->down[i])
        {
          read_all (world, i);
          append (world, i);
        }
}

static void
test_one_owner (void)
{
  struct world *world = open_world ();
  int owner = -1;

  run (world, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (owners (world, &owner), 1);
  for (int i = 0; i < HOSTS; i++)
    CU_ASSERT_STRING_EQUAL (kq_term_owner (world->hosts[i])->address,
                            kq_term_owner (world->hosts[owner])->address);
  close_world (world);
}

static void
test_owner_stays (void)
{
  struct world *world = open_world ();
  int first = -1;
  int owner = -1;

  run (world, KQ_USEC_PER_SEC);
  owners (world, &first);
  run (world, 20 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (owners (world, &owner), 1);
  CU_ASSERT_EQUAL (owner, first);
  close_world (world);
}

static void
test_lost_owner_is_replaced (void)
{
  struct world *world = open_world ();
  int first = -1;
  int owner = -1;
  int64_t term;

  run (world, KQ_USEC_PER_SEC);
  owners (world, &first);
  term = kq_term_mine (world->hosts[first]);
  power_off (world, first);
  run (world, 2 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (owners (world, &owner), 1);
  CU_ASSERT_NOT_EQUAL (owner, first);
  CU_ASSERT (kq_term_mine (world->hosts[owner]) > term);
  close_world (world);
}

/* The owner that is cut off learns of its successor as soon as it reads. */
static void
test_cut_owner_steps_down (void)
{
  struct world *world = open_world ();
  int first = -1;
  int owner = -1;

  run (world, KQ_USEC_PER_SEC);
  owners (world, &first);
  world->cut[first] = true;
  run (world, 2 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (owners (world, &owner), 2);
  world->cut[first] = false;
  run (world, STEP);
  CU_ASSERT_EQUAL (owners (world, &owner), 1);
  CU_ASSERT_NOT_EQUAL (owner, first);
  close_world (world);
}

/* With the store away for all nobody can claim, and nobody does after. */
static void
test_store_away_changes_nothing (void)
{
  struct world *world = open_world ();
  int first = -1;
  int owner = -1;

  run (world, KQ_USEC_PER_SEC);
  owners (world, &first);
  for (int i = 0; i < HOSTS; i++)
    world->cut[i] = true;
  run (world, 9 * KQ_USEC_PER_SEC);
  for (int i = 0; i < HOSTS; i++)
    world->cut[i] = false;
  run (world, 2 * KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (owners (world, &owner), 1);
  CU_ASSERT_EQUAL (owner, first);
  close_world (world);
}

/* A host that was the owner and starts anew need not wait for itself. */
static void
test_restarted_owner_claims_at_once (void)
{
  struct world *world = open_world ();
  int first = -1;
  int owner = -1;

  run (world, KQ_USEC_PER_SEC);
  owners (world, &first);
  for (int i = 0; i < HOSTS; i++)
    {
      power_off (world, i);
      power_on (world, i);
    }
  run (world, 400 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (owners (world, &owner), 1);
  CU_ASSERT_EQUAL (owner, first);
  close_world (world);
}

static void
test_release_hands_over_at_once (void)
{
  struct world *world = open_world ();
  int first = -1;
  int owner = -1;

  run (world, KQ_USEC_PER_SEC);
  owners (world, &first);
  kq_term_release (world->hosts[first], INT64_MAX);
  run (world, 400 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (owners (world, &owner), 1);
  CU_ASSERT_NOT_EQUAL (owner, first);
  close_world (world);
}

/* Of hosts at the same distance the one with more processor claims first. */
static void
test_strong_host_claims_first (void)
{
  struct world *world = open_world ();
  int owner = -1;

  kq_term_destroy (world->hosts[0]);
  world->hosts[0] = kq_term_create ("h0", "10.0.0.1:7720", "weak-0", 0.12);
  kq_term_destroy (world->hosts[1]);
  world->hosts[1] = kq_term_create ("h1", "10.0.0.2:7720", "weak-1", 0.12);
  run (world, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (owners (world, &owner), 1);
  CU_ASSERT_EQUAL (owner, 2);
  close_world (world);
}

/* So it does after a release: a weak host reads all jobs too slowly, and loses
   the term again. */
static void
check_release (int weak)
{
  struct world *world = open_world ();
  int owner = -1;
  int next = -1;

  kq_term_destroy (world->hosts[weak]);
  world->hosts[weak] = kq_term_create ("weak", "10.0.0.9:7720", "weak", 0.12);
  run (world, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (owners (world, &owner), 1);
  CU_ASSERT_NOT_EQUAL (owner, weak);
  kq_term_release (world->hosts[owner], INT64_MAX);
  run (world, 400 * KQ_USEC_PER_MSEC);
  CU_ASSERT_EQUAL (owners (world, &next), 1);
  CU_ASSERT_NOT_EQUAL (next, weak);
  CU_ASSERT_NOT_EQUAL (next, owner);
  close_world (world);
}

static void
test_strong_host_claims_after_a_release (void)
{
  for (int weak = 0; weak < HOSTS; weak++)
    check_release (weak);
}

static void
test_malformed_record_is_skipped (void)
{
  struct world *world = open_world ();
  int owner = -1;

  memset (world->records[0].bytes, 0xff, 16);
  world->records[0].size = 16;
  world->end = 1;
  run (world, KQ_USEC_PER_SEC);
  CU_ASSERT_EQUAL (owners (world, &owner), 1);
  close_world (world);
}

static const struct kq_test tests[] = {
  { "one owner", test_one_owner },
  { "an owner stays", test_owner_stays },
  { "a lost owner is replaced", test_lost_owner_is_replaced },
  { "an owner that is cut off steps down", test_cut_owner_steps_down },
  { "a store away for all changes nothing", test_store_away_changes_nothing },
  { "an owner that starts anew claims at once",
    test_restarted_owner_claims_at_once },
  { "a release hands over at once", test_release_hands_over_at_once },
  { "a strong host claims first", test_strong_host_claims_first },
  { "a strong host claims after a release",
    test_strong_host_claims_after_a_release },
  { "a malformed record is skipped", test_malformed_record_is_skipped },
};

KQ_TEST_MAIN ("test-term", tests)
