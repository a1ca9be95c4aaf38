#include "node/roster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "log/log.h"
#include "platform/site.h"

/* Time between two reads.  Source: a leaving worker gets no new work after
   2.5 s at the latest. */
#define READ_INTERVAL_SEC 0.25

struct kq_roster
{
  struct ev_loop *loop;
  struct kq_store *store;
  struct kq_roster_handler handler;
  char after[256];
  int64_t offset;
  bool listed; /* all pages of the newest entries were read */
  ev_timer timer;
};

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  kq_roster_start (timer->data);
}

struct kq_roster *
kq_roster_create (struct ev_loop *loop, struct kq_store *store,
                  const struct kq_roster_handler *handler)
{
  struct kq_roster *roster = calloc (1, sizeof *roster);

  if (roster == NULL)
    return NULL;
  roster->loop = loop;
  roster->store = store;
  roster->handler = *handler;
  ev_timer_init (&roster->timer, on_timer, 0, 0);
  roster->timer.data = roster;
  return roster;
}

void
kq_roster_destroy (struct kq_roster *roster)
{
  if (roster == NULL)
    return;
  ev_timer_stop (roster->loop, &roster->timer);
  free (roster);
}

static void
take_row (struct kq_roster *roster, const struct kq_store_row *row)
{
  struct kq_sched_report report;
  char id[KQ_SCHED_NAME_SIZE];
  int err;

  snprintf (id, sizeof id, "%.*s", (int)row->key_size, row->key);
  if (row->size == 0)
    {
      roster->handler.on_gone (roster->handler.arg, id);
      return;
    }
  err = kq_site_report_read (row->key, row->key_size, row->value, row->size,
                             &report);
  if (err == 0)
    roster->handler.on_report (roster->handler.arg, &report);
  else
    kq_log (KQ_LOG_DEBUG, "roster", "entry names no worker", err, "worker", id,
            NULL);
}

static void
read_later (struct kq_roster *roster, double seconds)
{
  ev_timer_set (&roster->timer, seconds, 0);
  ev_timer_start (roster->loop, &roster->timer);
}

static void
on_changes (void *arg, const struct kq_store_read_result *answer)
{
  struct kq_roster *roster = arg;

  if (answer->err == KQ_ELOG_RETENTION)
    {
      roster->listed = false;
      roster->after[0] = '\0';
      kq_roster_start (roster);
      return;
    }
  for (size_t i = 0; answer->err == 0 && i < answer->count; i++)
    {
      take_row (roster, &answer->rows[i]);
      roster->offset = answer->rows[i].offset + 1;
    }
  read_later (roster, READ_INTERVAL_SEC);
}

static void
on_page (void *arg, const struct kq_store_read_result *answer)
{
  struct kq_roster *roster = arg;

  if (answer->err != 0)
    {
      read_later (roster, READ_INTERVAL_SEC);
      return;
    }
  if (roster->after[0] == '\0')
    roster->offset = answer->end;
  for (size_t i = 0; i < answer->count; i++)
    {
      take_row (roster, &answer->rows[i]);
      snprintf (roster->after, sizeof roster->after, "%.*s",
                (int)answer->rows[i].key_size, answer->rows[i].key);
    }
  roster->listed = !answer->more || answer->count == 0;
  kq_roster_start (roster);
}

void
kq_roster_start (struct kq_roster *roster)
{
  if (!roster->listed)
    kq_store_read_newest (roster->store, KQ_STORE_WORKERS, roster->after,
                          on_page, roster);
  else
    kq_store_read (roster->store, KQ_STORE_WORKERS, roster->offset, 0,
                   on_changes, roster);
}
