/** @file
 * Follows two topics of the store on every host: the term, which names the
 * owner, and the operator's, which holds the configuration and the zones under
 * evacuation.
 */
#ifndef KQ_NODE_WATCH_H
#define KQ_NODE_WATCH_H

#include <ev.h>

#include "node/feed.h"
#include "platform/store.h"
#include "sched/types.h"
#include "term/term.h"

struct kq_watch;

struct kq_watch_handler
{
  void *arg;
  /** The known owner may have changed. */
  void (*on_term) (void *arg);
  /** An append to the topic of the term has ended with RESULT. */
  void (*on_append) (void *arg, const struct kq_store_append_result *result);
  /** A later configuration was read; ownership of CONFIG passes on. */
  void (*on_config) (void *arg, struct kq_sched_config *config);
  /** ZONES are all zones that the operator's topic had under evacuation at the
   *  time READ_AT; follows each complete read.  */
  void (*on_zones) (void *arg, const struct kq_sched_zones *zones,
                    kq_usec read_at);
};

/** Creates a watch that reads records into TERM and appends the records
 *  that TERM requests.  */
struct kq_watch *kq_watch_create (struct ev_loop *loop, struct kq_store *store,
                                  struct kq_term *term,
                                  const struct kq_watch_handler *handler);
void kq_watch_destroy (struct kq_watch *watch);
void kq_watch_start (struct kq_watch *watch);

/** Makes WATCH ask other hosts for the operator's topic through FEED; called
 *  before kq_watch_start().  Without a feed it reads all from the store.  */
void kq_watch_set_feed (struct kq_watch *watch, struct kq_feed *feed);

/** Handles the end of a poll of the feed: see kq_feed_done. */
void kq_watch_handle_feed (struct kq_watch *watch,
                           const struct kq_feed_state *state,
                           struct kq_sched_config *config);

/** Reads the operator's topic from the store at once, without waiting for
 *  another host: this host has become the owner.  */
void kq_watch_read_store (struct kq_watch *watch);

/** Reads the term at once, and closely for some time, because the owner does
 *  not reply to requests.  */
void kq_watch_suspect_owner (struct kq_watch *watch);

/** Returns when the store last replied. */
kq_usec kq_watch_last_reply_at (const struct kq_watch *watch);

#endif
