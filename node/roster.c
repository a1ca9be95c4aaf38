#include "node/roster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "platform/site.h"

/* Interval between reads. A draining worker must get no new work after 2.5 s
   at the latest. */
#define READ_INTERVAL_SEC 0.25

struct kq_registrations
{
  struct ev_loop *loop;
  struct kq_store *store;
  struct kq_registrations_handler handler;
  char last_key[256];
  int64_t offset;
  bool newest_read; /* the newest value of every key was read */
  ev_timer timer;
};

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  kq_registrations_start (timer->data);
}

struct kq_registrations *
kq_registrations_create (struct ev_loop *loop, struct kq_store *store,
                         const struct kq_registrations_handler *handler)
{
  struct kq_registrations *registrations = calloc (1, sizeof *registrations);

  if (registrations == NULL)
    return NULL;
  registrations->loop = loop;
  registrations->store = store;
  registrations->handler = *handler;
  ev_timer_init (&registrations->timer, on_timer, 0, 0);
  registrations->timer.data = registrations;
  return registrations;
}

void
kq_registrations_destroy (struct kq_registrations *registrations)
{
  if (registrations == NULL)
    return;
  ev_timer_stop (registrations->loop, &registrations->timer);
  free (registrations);
}

static void
handle_row (struct kq_registrations *registrations,
            const struct kq_store_row *row)
{
  struct kq_sched_registration registration;
  char id[KQ_SCHED_NAME_SIZE];
  int err;

  snprintf (id, sizeof id, "%.*s", (int)row->key_size, row->key);
  if (row->size == 0)
    {
      registrations->handler.on_removed (registrations->handler.arg, id);
      return;
    }
  err = kq_site_registration_read (row->key, row->key_size, row->value,
                                   row->size, &registration);
  if (err == 0)
    registrations->handler.on_registration (registrations->handler.arg,
                                            &registration);
  else
    kq_log (KQ_LOG_DEBUG, "roster",
            "registration of an unusable worker ignored", err, "worker", id,
            NULL);
}

static void
schedule_read (struct kq_registrations *registrations, double seconds)
{
  ev_timer_set (&registrations->timer, seconds, 0);
  ev_timer_start (registrations->loop, &registrations->timer);
}

static void
on_changes (void *arg, const struct kq_store_read_result *result)
{
  struct kq_registrations *registrations = arg;

  if (result->err == KQ_ELOG_RETENTION)
    {
      registrations->newest_read = false;
      registrations->last_key[0] = '\0';
      kq_registrations_start (registrations);
      return;
    }
  for (size_t i = 0; result->err == 0 && i < result->count; i++)
    {
      handle_row (registrations, &result->rows[i]);
      registrations->offset = result->rows[i].offset + 1;
    }
  schedule_read (registrations, READ_INTERVAL_SEC);
}

static void
on_page (void *arg, const struct kq_store_read_result *result)
{
  struct kq_registrations *registrations = arg;

  if (result->err != 0)
    {
      schedule_read (registrations, READ_INTERVAL_SEC);
      return;
    }
  if (registrations->last_key[0] == '\0')
    registrations->offset = result->end;
  for (size_t i = 0; i < result->count; i++)
    {
      handle_row (registrations, &result->rows[i]);
      snprintf (registrations->last_key, sizeof registrations->last_key,
                "%.*s", (int)result->rows[i].key_size, result->rows[i].key);
    }
  registrations->newest_read = !result->more || result->count == 0;
  kq_registrations_start (registrations);
}

void
kq_registrations_start (struct kq_registrations *registrations)
{
  if (!registrations->newest_read)
    kq_store_read_newest (registrations->store, KQ_STORE_WORKERS,
                          registrations->last_key, on_page, registrations);
  else
    kq_store_read (registrations->store, KQ_STORE_WORKERS,
                   registrations->offset, 0, on_changes, registrations);
}
