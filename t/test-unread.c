/* Guards against a stored job that a new owner cannot restore, and accepts as
 * new when its caller submits it again.  The test answers in the place of the
 * store.
 */
#include <ev.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "node/restore.h"
#include "platform/submission.h"
#include "sched/record.pb-c.h"
#include "t/kqtest.h"
#include "t/lib-cursor.h"

#define JOB UINT64_C (0x11)
#define OTHER_JOB UINT64_C (0x12)
#define STATUS_OK 200
#define STATUS_REFUSED 429
#define STATUS_UNAVAILABLE 503
#define MAX_ROWS 8
#define MAX_BYTES 512

#define BODY                                                                  \
  "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"est_ms\":900}]}"

/* What sanitizers do not allow by default: an allocation that fails. */
const char *__asan_default_options (void); /* NOLINT */

const char *
__asan_default_options (void) /* NOLINT */
{
  return "allocator_may_return_null=1";
}

/* A read of the jobs' topic. */
static struct
{
  struct kq_store_cursor after;
  kq_store_read_done *done;
  void *arg;
} pending;

void
kq_store_read_newest (struct kq_store *store, enum kq_store_topic topic,
                      const struct kq_store_cursor *after,
                      kq_store_read_done *done, void *arg)
{
  pending.after = *after;
  pending.done = done;
  pending.arg = arg;
}

struct page
{
  struct kq_store_row rows[MAX_ROWS];
  char keys[MAX_ROWS][MAX_BYTES];
  uint8_t values[MAX_ROWS][MAX_BYTES];
  size_t count;
};

struct cell
{
  struct kq_sched *sched;
  struct kq_restore *restore;
  int restored; /* number of times that the restore was reported */
  struct page page;
};

static struct cell cell;

static void
on_restored (void *arg)
{
  cell.restored++;
}

static void
begin (void)
{
  memset (&cell, 0, sizeof cell);
  memset (&pending, 0, sizeof pending);
  cell.sched = kq_sched_create ();
  cell.restore
      = kq_restore_create (EV_DEFAULT, NULL, cell.sched, on_restored, NULL);
  kq_restore_start (cell.restore);
}

static void
end (void)
{
  kq_restore_destroy (cell.restore);
  kq_sched_destroy (cell.sched);
}

static struct kq_store_row *
add_row (const char *key, const void *value, size_t size)
{
  struct page *page = &cell.page;
  struct kq_store_row *row = &page->rows[page->count];

  snprintf (page->keys[page->count], MAX_BYTES, "%s", key);
  memcpy (page->values[page->count], value, size);
  *row = (struct kq_store_row){ .key = page->keys[page->count],
                                .key_size = strlen (key),
                                .value = page->values[page->count],
                                .size = size };
  page->count++;
  return row;
}

static const char *
job_key (const char *kind, uint64_t job, const char *part)
{
  static char key[64];

  snprintf (key, sizeof key, "%s%016" PRIx64 "%s", kind, job, part);
  return key;
}

static void
add_job (uint64_t job, const char *body)
{
  KqSched__JobRecord message = KQ_SCHED__JOB_RECORD__INIT;
  uint8_t value[MAX_BYTES];
  size_t size;

  message.queue = (char *)"batch";
  message.body.data = (uint8_t *)body;
  message.body.len = strlen (body);
  size = kq_sched__job_record__pack (&message, value);
  add_row (job_key ("j", job, ""), value, size);
}

static void
add_state (uint64_t job, uint32_t outcome)
{
  KqSched__StateRecord message = KQ_SCHED__STATE_RECORD__INIT;
  uint8_t value[MAX_BYTES];
  size_t size;

  message.outcome = outcome;
  message.started = true;
  size = kq_sched__state_record__pack (&message, value);
  add_row (job_key ("s", job, ""), value, size);
}

/* Answers the read with the rows that were added; MORE: another page
   follows. */
static void
answer (bool more)
{
  struct kq_store_read_result result
      = { .rows = cell.page.rows,
          .count = cell.page.count,
          .more = more,
          .next = cursor_after (cell.page.rows, cell.page.count) };
  kq_store_read_done *done = pending.done;

  CU_ASSERT_PTR_NOT_NULL (done);
  if (done == NULL)
    return;
  pending.done = NULL;
  done (pending.arg, &result);
  cell.page.count = 0;
}

/* Returns the status of a call of KIND about JOB. */
static int
call (enum kq_sched_event_kind kind, uint64_t job)
{
  static uint64_t token;
  struct kq_sched_now now
      = { .mono = 1000 * KQ_USEC_PER_SEC, .wall_ms = INT64_C (1700000000000) };
  struct kq_sched_event event = { .kind = kind };
  struct kq_sched_spec spec = { .text = NULL };
  struct kq_sched_effect effect;
  int status = 0;

  if (kind == KQ_SCHED_EV_SUBMIT)
    CU_ASSERT_EQUAL (kq_submission_read (BODY, strlen (BODY), &spec), 0);
  event.u.call.token = ++token;
  event.u.call.job = job;
  event.u.call.queue = "batch";
  event.u.call.spec = &spec;
  event.u.call.body = BODY;
  event.u.call.body_size = strlen (BODY);
  kq_sched_event (cell.sched, now, &event);
  while (kq_sched_next_effect (cell.sched, &effect))
    if (effect.kind == KQ_SCHED_FX_RESULT && effect.u.result.token == token)
      status = effect.u.result.status;
  return status;
}

/* JOB is stored and cannot be restored, OTHER_JOB is sound. */
static void
check_unread (void)
{
  CU_ASSERT_EQUAL (cell.restored, 1);
  CU_ASSERT_EQUAL (call (KQ_SCHED_EV_SUBMIT, JOB), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (call (KQ_SCHED_EV_QUERY, JOB), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (call (KQ_SCHED_EV_CANCEL, JOB), STATUS_UNAVAILABLE);
  CU_ASSERT_FALSE (kq_sched_has_job (cell.sched, JOB));
  CU_ASSERT_EQUAL (call (KQ_SCHED_EV_QUERY, OTHER_JOB), STATUS_OK);
  CU_ASSERT_EQUAL (call (KQ_SCHED_EV_SUBMIT, OTHER_JOB), STATUS_OK);
}

static void
test_malformed_job (void)
{
  begin ();
  add_row (job_key ("j", JOB, ""), "\xff", 1);
  add_job (OTHER_JOB, BODY);
  answer (false);
  check_unread ();
  end ();
}

static void
test_malformed_body (void)
{
  begin ();
  add_job (JOB, "{\"spec\":\"x\",\"steps\":[]}");
  add_job (OTHER_JOB, BODY);
  answer (false);
  check_unread ();
  end ();
}

static void
test_malformed_state (void)
{
  begin ();
  add_job (JOB, BODY);
  add_job (OTHER_JOB, BODY);
  add_row (job_key ("s", JOB, ""), "\xff", 1);
  answer (false);
  check_unread ();
  end ();
}

static void
test_unknown_outcome (void)
{
  begin ();
  add_job (JOB, BODY);
  add_job (OTHER_JOB, BODY);
  add_state (JOB, 77);
  answer (false);
  check_unread ();
  end ();
}

/* The tasks of that part may have run. */
static void
test_malformed_part (void)
{
  begin ();
  add_job (JOB, BODY);
  add_job (OTHER_JOB, BODY);
  add_state (JOB, 0);
  add_row (job_key ("t", JOB, ".00001"), "\xff", 1);
  answer (false);
  check_unread ();
  end ();
}

/* The value of the record could not be decoded. */
static void
test_undecoded_record (void)
{
  static const char *const kinds[] = { "j", "s" };

  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    {
      begin ();
      add_job (OTHER_JOB, BODY);
      if (i > 0)
        add_job (JOB, BODY);
      add_row (job_key (kinds[i], JOB, ""), "", 0)->undecoded = true;
      answer (false);
      check_unread ();
      end ();
    }
}

/* An owner that is short of memory reads the page again instead of becoming
   active with holes. */
static void
test_short_memory (void)
{
  static const char *const kinds[][2]
      = { { "j", "" }, { "s", "" }, { "t", ".00001" } };

  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    {
      begin ();
      add_job (OTHER_JOB, BODY);
      add_row (job_key (kinds[i][0], JOB, kinds[i][1]), "\xff", 1)->size
          = SIZE_MAX / 4;
      answer (false);
      CU_ASSERT_EQUAL (cell.restored, 0);
      for (int j = 0; j < 20 && pending.done == NULL; j++)
        ev_run (EV_DEFAULT, EVRUN_ONCE);
      CU_ASSERT_TRUE (cursor_is (&pending.after, ""));
      add_job (JOB, BODY);
      add_job (OTHER_JOB, BODY);
      answer (false);
      CU_ASSERT_EQUAL (cell.restored, 1);
      CU_ASSERT_EQUAL (call (KQ_SCHED_EV_QUERY, JOB), STATUS_OK);
      CU_ASSERT_EQUAL (call (KQ_SCHED_EV_QUERY, OTHER_JOB), STATUS_OK);
      end ();
    }
}

/* A cancelled ID stays refused, whether or not its record can be read. */
static void
test_cancelled_id (void)
{
  for (int i = 0; i < 3; i++)
    {
      struct kq_store_row *row;

      begin ();
      add_job (OTHER_JOB, BODY);
      row = add_row (job_key ("x", JOB, ""), i == 0 ? "\x08\x01" : "\xff",
                     i == 0 ? 2 : 1);
      row->undecoded = i == 2;
      answer (false);
      CU_ASSERT_EQUAL (cell.restored, 1);
      CU_ASSERT_EQUAL (call (KQ_SCHED_EV_SUBMIT, JOB), STATUS_REFUSED);
      CU_ASSERT_EQUAL (call (KQ_SCHED_EV_SUBMIT, OTHER_JOB), STATUS_OK);
      end ();
    }
}

/* A checkpoint that cannot be read costs its job only the checkpoint; the
   pages may have it before its job. */
static void
test_checkpoint (void)
{
  for (int i = 0; i < 3; i++)
    {
      struct kq_store_row *row;

      begin ();
      row = add_row (job_key ("c", JOB, ".00001"),
                     i == 0 ? "\x22\x02\x63\x70" : "\xff", i == 0 ? 4 : 1);
      row->undecoded = i == 2;
      answer (true);
      add_job (JOB, BODY);
      add_state (JOB, 0);
      answer (false);
      CU_ASSERT_EQUAL (cell.restored, 1);
      CU_ASSERT_EQUAL (call (KQ_SCHED_EV_QUERY, JOB), STATUS_OK);
      end ();
    }
}

/* A page whose last key is longer than those of this project: the next page
   begins after it. */
static void
test_long_key (void)
{
  char key[201];

  memset (key, 'x', sizeof key - 1);
  key[sizeof key - 1] = '\0';
  begin ();
  add_job (OTHER_JOB, BODY);
  add_row (key, "1", 1);
  answer (true);
  CU_ASSERT_EQUAL (cell.restored, 0);
  CU_ASSERT_TRUE (cursor_is (&pending.after, key));
  answer (false);
  CU_ASSERT_EQUAL (cell.restored, 1);
  end ();
}

static const struct kq_test tests[] = {
  { "a cancelled ID", test_cancelled_id },
  { "a checkpoint", test_checkpoint },
  { "a malformed job", test_malformed_job },
  { "a malformed body", test_malformed_body },
  { "a malformed state", test_malformed_state },
  { "an unknown outcome", test_unknown_outcome },
  { "a malformed part of a state", test_malformed_part },
  { "a record that was not decoded", test_undecoded_record },
  { "short of memory", test_short_memory },
  { "a long key", test_long_key },
};

KQ_TEST_MAIN ("test-unread", tests)
