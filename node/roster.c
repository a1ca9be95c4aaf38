#include "node/roster.h"

#include <stdio.h>
#include <stdlib.h>

#include "log/log.h"
#include "node/follower.h"
#include "platform/site.h"

/* Interval between reads. A draining worker must get no new work after 2.5 s
   at the latest. */
#define READ_INTERVAL_SEC 0.25

struct kq_registrations
{
  struct kq_follower *follower;
  struct kq_registrations_handler handler;
};

static void
on_row (void *arg, const struct kq_store_row *row)
{
  struct kq_registrations *registrations = arg;
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
on_caught_up (void *arg, kq_usec sent_at)
{
  struct kq_registrations *registrations = arg;

  registrations->handler.on_caught_up (registrations->handler.arg, sent_at);
}

struct kq_registrations *
kq_registrations_create (struct ev_loop *loop, struct kq_store *store,
                         const struct kq_registrations_handler *handler)
{
  struct kq_registrations *registrations = calloc (1, sizeof *registrations);
  struct kq_follower_handler follower = { .arg = registrations,
                                          .on_row = on_row,
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
  if (registrations == NULL)
    return;
  kq_follower_destroy (registrations->follower);
  free (registrations);
}

void
kq_registrations_start (struct kq_registrations *registrations)
{
  kq_follower_start (registrations->follower);
}
