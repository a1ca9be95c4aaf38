/* Guards against a task that waits beside idle workers for word from a worker
 * that is gone: its start order there had no reply, and nobody is left who
 * could list the run.  And against the second run of a task that does not
 * wait although a later life of that worker may carry out the order.
 */
#include <stdlib.h>
#include <string.h>

#include "t/kqtest.h"
#include "t/lib-sched.h"

#define JOB UINT64_C (0x13)
#define LATER_LIFE 2

/* Until then an order without a reply is carried out. */
#define LATE_MS 5400

/* Longest time after that for which a worker lets a run go on, and the time
   for a poll and a placement. */
#define LONGEST_LEASE_MS 10000
#define POLL_MS INT64_C (1000)

/* The registration of a worker lapses this long after its last heartbeat. */
#define REGISTERED_MS 3300

#define STEP_MS 100

/* What is at the address of the worker that was lost. */
enum address
{
  ADDRESS_REFUSED, /* no process listens there */
  ADDRESS_SILENT,
  ADDRESS_TAKEN /* by another worker */
};

/* The worker that the only task was sent to, and what becomes of it. */
struct loss
{
  struct ts_cell *cell;
  char lost[KQ_SCHED_NAME_SIZE];
  kq_usec ordered_at;
  kq_usec lost_at;
  int answered;             /* polls of it */
  kq_usec stop_answered_at; /* when the latest stop order was sent that was
                               answered */
  enum address address;
  int restarts_ms;     /* after the loss, under its ID; 0: never */
  bool restart_is_cut; /* neither the owner nor the store hears of it */
};

static const char *const workers[] = { "a", "b", "c" };

#define WORKER_COUNT (sizeof workers / sizeof workers[0])

static const struct kq_sched_step short_step
    = { .count = 1, .demand = { 1000, 100, 0 }, .est_ms = 600 };
static const struct kq_sched_step lasting_step
    = { .count = 1, .demand = { 1000, 100, 0 }, .long_running = true };

static int64_t
ms_since (const struct loss *loss, kq_usec at)
{
  return (loss->cell->now.mono - at) / KQ_USEC_PER_MSEC;
}

static bool
has_restarted (const struct loss *loss)
{
  return loss->restarts_ms != 0
         && ms_since (loss, loss->lost_at) >= loss->restarts_ms;
}

/* Returns what becomes of a call to the worker that was lost. */
static enum kq_sched_reply
reply_of_lost (const struct loss *loss)
{
  if (has_restarted (loss))
    return loss->restart_is_cut ? KQ_SCHED_NO_REPLY : KQ_SCHED_OK;
  switch (loss->address)
    {
    case ADDRESS_REFUSED:
      return KQ_SCHED_REFUSED;
    case ADDRESS_TAKEN:
      return KQ_SCHED_OTHER_INCARNATION;
    default:
      return KQ_SCHED_NO_REPLY;
    }
}

static void
answer_poll (struct loss *loss, kq_usec sent_at)
{
  enum kq_sched_reply reply = reply_of_lost (loss);

  if (reply == KQ_SCHED_OK)
    ts_reply_poll_sent_at (loss->cell, loss->lost, sent_at, LATER_LIFE, NULL,
                           0, NULL, 0);
  else
    ts_refuse_poll (loss->cell, loss->lost, sent_at, reply);
}

static void
answer_stop (struct loss *loss)
{
  struct ts_cell *cell = loss->cell;
  const struct ts_order *stop
      = ts_last_order (cell, KQ_SCHED_FX_STOP, JOB, 0, 0);

  if (stop == NULL || stop->at <= loss->stop_answered_at)
    return;
  loss->stop_answered_at = stop->at;
  ts_reply_order (cell, stop, reply_of_lost (loss));
}

/* Answers the polls that were sent in the last step. */
static void
answer_polls (struct loss *loss)
{
  struct ts_cell *cell = loss->cell;
  kq_usec sent_at = 0;
  int sent = ts_count_polls (cell, loss->lost, &sent_at);

  for (size_t i = 0; i < WORKER_COUNT; i++)
    if (strcmp (workers[i], loss->lost) != 0)
      ts_list_runs (cell, workers[i]);
  for (; loss->answered < sent; loss->answered++)
    answer_poll (loss, sent_at);
}

static void
advance (struct loss *loss)
{
  int64_t elapsed = ms_since (loss, loss->lost_at);

  ts_advance (loss->cell, STEP_MS);
  if (elapsed < REGISTERED_MS && elapsed + STEP_MS >= REGISTERED_MS
      && (loss->restarts_ms == 0 || loss->restarts_ms > REGISTERED_MS
          || loss->restart_is_cut))
    ts_deregister (loss->cell, loss->lost);
  if (has_restarted (loss) && !loss->restart_is_cut
      && elapsed < loss->restarts_ms)
    {
      ts_register_incarnation (loss->cell, loss->lost, 4000, 4000, LATER_LIFE);
      kq_sched_note_fence (loss->cell->sched, ++loss->cell->fence);
    }
  answer_polls (loss);
  answer_stop (loss);
}

/* Starts the only task, of STEP; its worker is lost as the order is sent,
   which has REPLY. */
static void
begin_loss_with_reply (struct loss *loss, const struct kq_sched_step *step,
                       enum kq_sched_reply reply)
{
  struct ts_order order;

  loss->cell = ts_create ();
  for (size_t i = 0; i < WORKER_COUNT; i++)
    ts_add_idle_worker (loss->cell, workers[i], 4000);
  ts_submit (loss->cell, JOB, "batch", step, 1);
  ts_advance (loss->cell, 20);
  order = *ts_last_order (loss->cell, KQ_SCHED_FX_START, JOB, 0, 0);
  strcpy (loss->lost, order.worker);
  loss->answered = ts_count_polls (loss->cell, loss->lost, &loss->lost_at);
  loss->ordered_at = loss->cell->now.mono;
  loss->lost_at = loss->cell->now.mono;
  ts_reply_order (loss->cell, &order, reply);
}

static void
begin_loss (struct loss *loss, const struct kq_sched_step *step)
{
  begin_loss_with_reply (loss, step, KQ_SCHED_NO_REPLY);
}

/* Returns after how many ms the task was started again, LIMIT_MS at most, and
   sets *WORKER to where that was. */
static int64_t
await_second_start (struct loss *loss, int64_t limit_ms, const char **worker)
{
  while (ts_run_of (loss->cell, JOB, 0) < 2
         && ms_since (loss, loss->ordered_at) < limit_ms)
    advance (loss);
  *worker = ts_last_order (loss->cell, KQ_SCHED_FX_START, JOB, 0, 0)->worker;
  return ms_since (loss, loss->ordered_at);
}

/* The wait ends with the time in which the order could be carried out. */
static void
test_refused (void)
{
  struct loss loss = { .address = ADDRESS_REFUSED };
  const char *worker;
  int64_t ms;

  begin_loss (&loss, &short_step);
  ms = await_second_start (&loss, 30000, &worker);
  CU_ASSERT (ms >= LATE_MS);
  CU_ASSERT (ms <= LATE_MS + POLL_MS);
  CU_ASSERT_STRING_NOT_EQUAL (worker, loss.lost);
  ts_destroy (loss.cell);
}

/* Silence proves nothing: a later life may have begun the run behind a cut,
   and go on under the longest lease. */
static void
test_silent (void)
{
  struct loss loss = { .address = ADDRESS_SILENT };
  const char *worker;
  int64_t ms;

  begin_loss (&loss, &short_step);
  ms = await_second_start (&loss, 30000, &worker);
  CU_ASSERT (ms >= LATE_MS + LONGEST_LEASE_MS);
  CU_ASSERT (ms <= LATE_MS + LONGEST_LEASE_MS + 2 * POLL_MS);
  ts_destroy (loss.cell);
}

/* Another process refuses the order however late it is. */
static void
test_taken (void)
{
  struct loss loss = { .address = ADDRESS_TAKEN };
  const char *worker;

  begin_loss (&loss, &short_step);
  CU_ASSERT (await_second_start (&loss, 30000, &worker) <= 3 * POLL_MS);
  CU_ASSERT_STRING_NOT_EQUAL (worker, loss.lost);
  ts_destroy (loss.cell);
}

/* A worker that is registered is there: it refuses connections for want of
   them, or has started again. */
static void
test_refused_while_registered (void)
{
  struct loss loss = { .address = ADDRESS_REFUSED };
  const char *worker;

  begin_loss (&loss, &short_step);
  while (ms_since (&loss, loss.ordered_at) < LATE_MS + LONGEST_LEASE_MS)
    {
      ts_register_incarnation (loss.cell, loss.lost, 4000, 4000, 1);
      advance (&loss);
    }
  CU_ASSERT_EQUAL (ts_run_of (loss.cell, JOB, 0), 1);
  await_second_start (&loss, 30000, &worker);
  CU_ASSERT_EQUAL (ts_run_of (loss.cell, JOB, 0), 2);
  ts_destroy (loss.cell);
}

/* A refusal before the order is too old says nothing: the worker may restart
   behind a cut and carry it out then. */
static void
test_restart_behind_a_cut (void)
{
  for (int ms = STEP_MS; ms < LATE_MS; ms += STEP_MS)
    {
      struct loss loss = { .address = ADDRESS_REFUSED,
                           .restarts_ms = ms,
                           .restart_is_cut = true };
      const char *worker;

      begin_loss (&loss, &short_step);
      CU_ASSERT (await_second_start (&loss, 30000, &worker)
                 >= LATE_MS + LONGEST_LEASE_MS);
      ts_destroy (loss.cell);
    }
}

/* A life that lists its runs settles the question; before that the task starts
   at its worker only. */
static void
test_restart_within_reach (void)
{
  for (int ms = STEP_MS; ms < LATE_MS + LONGEST_LEASE_MS; ms += STEP_MS)
    {
      struct loss loss = { .address = ADDRESS_REFUSED, .restarts_ms = ms };
      const char *worker;
      int64_t second;

      begin_loss (&loss, &short_step);
      second = await_second_start (&loss, 30000, &worker);
      CU_ASSERT (second >= LATE_MS || strcmp (worker, loss.lost) == 0);
      CU_ASSERT (second <= LATE_MS + POLL_MS);
      ts_destroy (loss.cell);
    }
}

/* Another host becomes the owner MS after the order, and knows the workers
   that are left. */
static void
check_takeover (int64_t ms)
{
  struct loss loss = { .address = ADDRESS_REFUSED };
  const char *worker;

  begin_loss (&loss, &short_step);
  while (ms_since (&loss, loss.ordered_at) < ms)
    advance (&loss);
  CU_ASSERT_EQUAL (ts_run_of (loss.cell, JOB, 0), 1);
  ts_take_over (loss.cell);
  for (size_t i = 0; i < WORKER_COUNT; i++)
    if (strcmp (workers[i], loss.lost) != 0)
      ts_add_idle_worker (loss.cell, workers[i], 4000);
  CU_ASSERT (await_second_start (&loss, 30000, &worker)
             <= LATE_MS + 2 * POLL_MS);
  ts_destroy (loss.cell);
}

/* The next owner finds no registration, and asks at the stored address. */
static void
test_takeover (void)
{
  for (int64_t ms = REGISTERED_MS; ms < LATE_MS; ms += STEP_MS)
    check_takeover (ms);
}

/* A task that lasts has to go on sooner, and does. */
static void
test_lasting_task (void)
{
  struct loss loss = { .address = ADDRESS_REFUSED };
  const char *worker;

  begin_loss (&loss, &lasting_step);
  CU_ASSERT (await_second_start (&loss, 30000, &worker) <= LATE_MS + POLL_MS);
  ts_destroy (loss.cell);
}

/* Guards against a wait for an order that was never sent. */
static void
test_order_not_sent (void)
{
  static const enum kq_sched_reply replies[]
      = { KQ_SCHED_NOT_SENT, KQ_SCHED_REFUSED };

  for (size_t i = 0; i < sizeof replies / sizeof replies[0]; i++)
    {
      struct loss loss
          = { .address = i == 0 ? ADDRESS_SILENT : ADDRESS_REFUSED };
      const char *worker;

      begin_loss_with_reply (&loss, &short_step, replies[i]);
      CU_ASSERT (await_second_start (&loss, 30000, &worker) <= POLL_MS);
      CU_ASSERT_STRING_NOT_EQUAL (worker, loss.lost);
      ts_destroy (loss.cell);
    }
}

/* Guards against a wait that neither says for whom it is nor when it ends. */
static void
test_explanation (void)
{
  static struct kq_sched_explanation explanation;
  const struct kq_sched_step_explanation *step = &explanation.steps[0];
  struct loss loss = { .address = ADDRESS_REFUSED };
  int64_t left;

  begin_loss (&loss, &short_step);
  while (ms_since (&loss, loss.ordered_at) < LATE_MS - POLL_MS)
    advance (&loss);
  left = LATE_MS - ms_since (&loss, loss.ordered_at);
  CU_ASSERT_EQUAL (kq_sched_explain (loss.cell->sched, loss.cell->now, JOB,
                                     NULL, NULL, &explanation),
                   0);
  CU_ASSERT_EQUAL (explanation.step_count, 1);
  CU_ASSERT_STRING_EQUAL (step->late_worker, loss.lost);
  CU_ASSERT (llabs (step->late_ms - left) < STEP_MS);
  CU_ASSERT (step->late_longest_ms >= step->late_ms + LONGEST_LEASE_MS);
  ts_destroy (loss.cell);
}

static const struct kq_test tests[] = {
  { "a worker whose address refuses connections", test_refused },
  { "a worker that is silent", test_silent },
  { "a worker whose address another process has", test_taken },
  { "a registered worker that refuses connections",
    test_refused_while_registered },
  { "a restart behind a cut", test_restart_behind_a_cut },
  { "a restart within reach", test_restart_within_reach },
  { "another owner", test_takeover },
  { "a task that lasts", test_lasting_task },
  { "an order that was not sent", test_order_not_sent },
  { "an explanation of the wait", test_explanation },
};

KQ_TEST_MAIN ("test-gone-worker", tests)
