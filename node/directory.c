#include "node/directory.h"

#include <stdio.h>
#include <stdlib.h>

#include "node/follower.h"

/* Interval between reads.  A new host is needed by nobody at once, but hosts
   that start together have to find each other. */
#define READ_INTERVAL_SEC 5.0
#define FIRST_READ_INTERVAL_SEC 0.25
#define FIRST_READS 6

#define ANNOUNCE_CHECK_SEC 0.05
#define ANNOUNCE_TIMEOUT_US (900 * KQ_USEC_PER_MSEC)

struct kq_directory
{
  struct ev_loop *loop;
  struct kq_store *store;
  struct kq_hosts *hosts;
  struct kq_follower *follower;
  int reads;
  void (*on_changed) (void *arg);
  void *arg;
  ev_timer announce_timer;
};

static void
on_row (void *arg, const struct kq_store_row *row)
{
  struct kq_directory *directory = arg;
  char name[KQ_STORE_MAX_KEY_BYTES + 1];

  if (kq_store_row_key (row, name, sizeof name))
    kq_hosts_apply (directory->hosts, kq_clock_now (), name, row->value,
                    row->size);
}

static void
on_read (void *arg, int err)
{
  struct kq_directory *directory = arg;

  /* Without the store no host can announce itself. */
  if (err != 0)
    return;
  if (++directory->reads == FIRST_READS)
    kq_follower_set_interval (directory->follower, READ_INTERVAL_SEC);
  kq_hosts_expire (directory->hosts, kq_clock_now ());
  directory->on_changed (directory->arg);
}

static void
on_announced (void *arg, const struct kq_store_append_result *result)
{
  struct kq_directory *directory = arg;

  kq_hosts_announced (directory->hosts, kq_clock_now (), result->err == 0);
}

static void
on_announce_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct kq_directory *directory = timer->data;
  struct kq_store_condition condition
      = { .expected_end = -1, .epoch = -1, .sequence = -1 };
  struct kq_store_batch batch = { 0 };
  uint8_t bytes[KQ_HOSTS_MAX_BYTES];
  size_t size
      = kq_hosts_next_announcement (directory->hosts, kq_clock_now (), bytes);

  if (size == 0)
    return;
  if (kq_store_batch_add (&batch, kq_hosts_self (directory->hosts)->name,
                          bytes, size)
      != 0)
    kq_hosts_announced (directory->hosts, kq_clock_now (), false);
  else
    kq_store_append (directory->store, KQ_STORE_HOSTS, &batch, &condition,
                     ANNOUNCE_TIMEOUT_US, on_announced, directory);
  kq_store_batch_clear (&batch);
}

struct kq_directory *
kq_directory_create (struct ev_loop *loop, struct kq_store *store,
                     struct kq_hosts *hosts, void (*on_changed) (void *arg),
                     void *arg)
{
  struct kq_directory *directory = calloc (1, sizeof *directory);
  struct kq_follower_handler follower
      = { .arg = directory, .on_row = on_row, .on_read = on_read };

  if (directory == NULL)
    return NULL;
  directory->loop = loop;
  directory->store = store;
  directory->hosts = hosts;
  directory->on_changed = on_changed;
  directory->arg = arg;
  directory->follower = kq_follower_create (
      loop, store, KQ_STORE_HOSTS, FIRST_READ_INTERVAL_SEC, &follower);
  if (directory->follower == NULL)
    {
      free (directory);
      return NULL;
    }
  ev_timer_init (&directory->announce_timer, on_announce_timer,
                 ANNOUNCE_CHECK_SEC, ANNOUNCE_CHECK_SEC);
  directory->announce_timer.data = directory;
  return directory;
}

void
kq_directory_destroy (struct kq_directory *directory)
{
  if (directory == NULL)
    return;
  ev_timer_stop (directory->loop, &directory->announce_timer);
  kq_follower_destroy (directory->follower);
  free (directory);
}

void
kq_directory_start (struct kq_directory *directory)
{
  ev_timer_start (directory->loop, &directory->announce_timer);
  kq_follower_start (directory->follower);
}
