#include "node/follower.h"

#include <stdlib.h>

#include "base/err.h"

struct kq_follower
{
  struct ev_loop *loop;
  struct kq_store *store;
  enum kq_store_topic topic;
  double interval_sec;
  struct kq_follower_handler handler;
  struct kq_store_cursor cursor; /* of the next page of newest records */
  int64_t offset;
  kq_usec
      pages_since;  /* when the first page of newest records was asked for */
  bool newest_read; /* the newest value of every key was read */
  ev_timer timer;
};

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  kq_follower_start (timer->data);
}

struct kq_follower *
kq_follower_create (struct ev_loop *loop, struct kq_store *store,
                    enum kq_store_topic topic, double interval_sec,
                    const struct kq_follower_handler *handler)
{
  struct kq_follower *follower = calloc (1, sizeof *follower);

  if (follower == NULL)
    return NULL;
  follower->loop = loop;
  follower->store = store;
  follower->topic = topic;
  follower->interval_sec = interval_sec;
  follower->handler = *handler;
  ev_timer_init (&follower->timer, on_timer, 0, 0);
  follower->timer.data = follower;
  return follower;
}

void
kq_follower_destroy (struct kq_follower *follower)
{
  if (follower == NULL)
    return;
  ev_timer_stop (follower->loop, &follower->timer);
  free (follower);
}

static void
schedule_read (struct kq_follower *follower)
{
  ev_timer_set (&follower->timer, follower->interval_sec, 0);
  ev_timer_start (follower->loop, &follower->timer);
}

static void
report_read (struct kq_follower *follower, int err)
{
  if (follower->handler.on_read != NULL)
    follower->handler.on_read (follower->handler.arg, err);
}

static void
report_caught_up (struct kq_follower *follower, kq_usec sent_at)
{
  if (follower->handler.on_caught_up != NULL)
    follower->handler.on_caught_up (follower->handler.arg, sent_at);
}

static void
on_changes (void *arg, const struct kq_store_read_result *result)
{
  struct kq_follower *follower = arg;

  if (result->err == KQ_ELOG_RETENTION)
    {
      follower->newest_read = false;
      follower->cursor.is_set = false;
      kq_follower_start (follower);
      return;
    }
  for (size_t i = 0; result->err == 0 && i < result->count; i++)
    {
      follower->handler.on_row (follower->handler.arg, &result->rows[i]);
      follower->offset = result->rows[i].offset + 1;
    }
  report_read (follower, result->err);
  if (result->err == 0 && follower->offset >= result->end)
    report_caught_up (follower, result->sent_at);
  schedule_read (follower);
}

static void
on_page (void *arg, const struct kq_store_read_result *result)
{
  struct kq_follower *follower = arg;

  if (result->err != 0)
    {
      report_read (follower, result->err);
      schedule_read (follower);
      return;
    }
  if (!follower->cursor.is_set)
    {
      follower->offset = result->end;
      follower->pages_since = result->sent_at;
    }
  for (size_t i = 0; i < result->count; i++)
    if (!result->rows[i].undecoded)
      follower->handler.on_row (follower->handler.arg, &result->rows[i]);
  follower->cursor = result->next;
  follower->newest_read = !result->more;
  if (follower->newest_read)
    {
      report_read (follower, 0);
      report_caught_up (follower, follower->pages_since);
    }
  kq_follower_start (follower);
}

void
kq_follower_set_interval (struct kq_follower *follower, double interval_sec)
{
  follower->interval_sec = interval_sec;
}

void
kq_follower_start (struct kq_follower *follower)
{
  if (!follower->newest_read)
    kq_store_read_newest (follower->store, follower->topic, &follower->cursor,
                          on_page, follower);
  else
    kq_store_read (follower->store, follower->topic, follower->offset, 0,
                   on_changes, follower);
}
