/** @file
 * Follows a keyed topic of the store: reads the newest record of each key, and
 * then the records that were added, at an interval.  Starts again with the
 * newest records when the added ones are no longer kept.
 */
#ifndef KQ_NODE_FOLLOWER_H
#define KQ_NODE_FOLLOWER_H

#include <ev.h>

#include "platform/store.h"

struct kq_follower;

struct kq_follower_handler
{
  void *arg;
  /** A record was read; a size of 0 removes its key. */
  void (*on_row) (void *arg, const struct kq_store_row *row);
  /** A read has ended with ERR, 0 if it was successful; may be NULL. */
  void (*on_read) (void *arg, int err);
  /** All records that the topic held at the time SENT_AT were read; may be
   *  NULL.  */
  void (*on_caught_up) (void *arg, kq_usec sent_at);
};

/** Creates a follower of TOPIC that reads every INTERVAL_SEC seconds.
 *  @return NULL when out of memory.  */
struct kq_follower *
kq_follower_create (struct ev_loop *loop, struct kq_store *store,
                    enum kq_store_topic topic, double interval_sec,
                    const struct kq_follower_handler *handler);
void kq_follower_destroy (struct kq_follower *follower);

/** Sets the interval from the next read on. */
void kq_follower_set_interval (struct kq_follower *follower,
                               double interval_sec);

/** Starts the first read. */
void kq_follower_start (struct kq_follower *follower);

#endif
