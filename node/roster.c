#include "node/roster.h"

#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

#include "base/err.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "node/follower.h"
#include "platform/site.h"

/* Interval between reads. A draining worker must get no new work after 2.5 s
   at the latest. */
#define READ_INTERVAL_SEC 0.25

/* A host without its workers for this long logs it. */
#define UNREAD_REPORT_US (3 * KQ_USEC_PER_SEC)

/* Maximum number of workers whose registration was reported as ignored. */
#define MAX_REPORTED 1000

static struct kq_metric ignored_count
    = { .name = "kq_ignored_registrations_total",
        .help = "Registrations that describe no usable worker." };

/* A worker whose last registration was ignored. */
struct ignored_worker
{
  char id[KQ_SCHED_NAME_SIZE];
  UT_hash_handle hh;
};

struct kq_registrations
{
  struct kq_follower *follower;
  struct kq_registrations_handler handler;
  struct ignored_worker *ignored; /* by ID */
  kq_usec started_at;
  bool all_read;        /* all that were there at some time were read */
  bool unread_reported; /* that they were not */
};

void
kq_registrations_register_metrics (void)
{
  kq_metric_register (&ignored_count);
}

/* Counts an ignored registration of worker ID; logs the first in a row. */
static void
report_ignored (struct kq_registrations *registrations, const char *id,
                int err)
{
  struct ignored_worker *worker;

  kq_metric_add (&ignored_count, 1);
  HASH_FIND_STR (registrations->ignored, id, worker);
  if (worker != NULL || HASH_COUNT (registrations->ignored) >= MAX_REPORTED)
    return;
  kq_log (KQ_LOG_WARN, "roster", "registration of an unusable worker ignored",
          err, "worker", id, NULL);
  worker = calloc (1, sizeof *worker);
  if (worker == NULL)
    return;
  snprintf (worker->id, sizeof worker->id, "%s", id);
  HASH_ADD_STR (registrations->ignored, id, worker);
}

static void
forget_ignored (struct kq_registrations *registrations, const char *id)
{
  struct ignored_worker *worker;

  HASH_FIND_STR (registrations->ignored, id, worker);
  if (worker == NULL)
    return;
  HASH_DEL (registrations->ignored, worker);
  free (worker);
}

static void
on_row (void *arg, const struct kq_store_row *row)
{
  struct kq_registrations *registrations = arg;
  struct kq_sched_registration registration;
  char id[KQ_SCHED_NAME_SIZE];
  int err;

  if (!kq_site_worker_id_read (row->key, row->key_size, id))
    {
      report_ignored (registrations, id, KQ_ESYNTAX);
      return;
    }
  if (row->size == 0)
    {
      forget_ignored (registrations, id);
      registrations->handler.on_removed (registrations->handler.arg, id);
      return;
    }
  err = kq_site_registration_read (row->key, row->key_size, row->value,
                                   row->size, &registration);
  if (err != 0)
    {
      report_ignored (registrations, id, err);
      return;
    }
  forget_ignored (registrations, id);
  registrations->handler.on_registration (registrations->handler.arg,
                                          &registration);
}

/* A host that cannot read the workers accepts jobs that no worker runs. */
static void
on_read (void *arg, int err)
{
  struct kq_registrations *registrations = arg;

  if (err == 0 || registrations->all_read || registrations->unread_reported
      || kq_clock_now () - registrations->started_at < UNREAD_REPORT_US)
    return;
  registrations->unread_reported = true;
  kq_log (KQ_LOG_ERROR, "roster", "workers not known, no task starts", err,
          NULL);
}

static void
on_caught_up (void *arg, kq_usec sent_at)
{
  struct kq_registrations *registrations = arg;

  if (registrations->unread_reported && !registrations->all_read)
    kq_log (KQ_LOG_WARN, "roster", "workers known", 0, NULL);
  registrations->all_read = true;
  registrations->handler.on_caught_up (registrations->handler.arg, sent_at);
}

struct kq_registrations *
kq_registrations_create (struct ev_loop *loop, struct kq_store *store,
                         const struct kq_registrations_handler *handler)
{
  struct kq_registrations *registrations = calloc (1, sizeof *registrations);
  struct kq_follower_handler follower = { .arg = registrations,
                                          .on_row = on_row,
                                          .on_read = on_read,
                                          .on_caught_up = on_caught_up };

  if (registrations == NULL)
    return NULL;
  registrations->handler = *handler;
  registrations->follower = kq_follower_create (loop, store, KQ_STORE_WORKERS,
                                                READ_INTERVAL_SEC, &follower);
  if (registrations->follower == NULL)
    {
      free (registrations);
      return NULL;
    }
  return registrations;
}

void
kq_registrations_destroy (struct kq_registrations *registrations)
{
  struct ignored_worker *worker;
  struct ignored_worker *next;

  if (registrations == NULL)
    return;
  kq_follower_destroy (registrations->follower);
  worker = registrations->ignored;
  HASH_CLEAR (hh, registrations->ignored);
  for (; worker != NULL; worker = next)
    {
      next = worker->hh.next;
      free (worker);
    }
  free (registrations);
}

void
kq_registrations_start (struct kq_registrations *registrations)
{
  registrations->started_at = kq_clock_now ();
  kq_follower_start (registrations->follower);
}
