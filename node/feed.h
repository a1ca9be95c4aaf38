/** @file
 * Passes what one host has read of the operator's topic on to others, so that
 * a large configuration crosses the way from the store a few times instead of
 * once for each host.
 *
 * The owner reads the store itself.  The first host of each availability zone
 * asks the owner, and the others of the zone ask that host; a poll is held
 * until there is something new.  A host whose source is silent, or knows
 * nothing recent, reads the store itself.
 */
#ifndef KQ_NODE_FEED_H
#define KQ_NODE_FEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "node/hop.h"
#include "sched/types.h"
#include "term/hosts.h"
#include "term/term.h"

struct kq_feed;

/** What a host has read of the operator's topic. */
struct kq_feed_state
{
  int64_t offset;  /**< all records before it were read */
  int64_t version; /**< of the configuration; -1: none */
  kq_usec read_at; /**< all records that the topic had then were read; 0: they
                      never were */
  struct kq_sched_zones zones; /**< under evacuation */
};

/** Reports the reply to a poll.  STATE is NULL if there was none in time, or
 *  no usable one.  CONFIG, whose ownership passes on, is that of its version,
 *  or NULL if the poll named that version or a later one.  */
typedef void kq_feed_done (void *arg, const struct kq_feed_state *state,
                           struct kq_sched_config *config);

/** Creates a feed that calls DONE with ARG for each poll.
 *  @return NULL when out of memory.  */
struct kq_feed *kq_feed_create (struct kq_hop *hop,
                                const struct kq_hosts *hosts,
                                const struct kq_term *term, kq_feed_done *done,
                                void *arg);
void kq_feed_destroy (struct kq_feed *feed);

/** Asks this host's source for what is newer than STATE; a poll in flight is
 *  given up.
 *  @return false if this host is to read the store itself.  */
bool kq_feed_poll (struct kq_feed *feed, const struct kq_feed_state *state);

/** Gives up the poll in flight, if any; returns whether there was one. */
bool kq_feed_cancel (struct kq_feed *feed);

/** Returns whether STATE is recent enough for a host with this one's place:
 *  one whose source fails must notice in time to read the store.  */
bool kq_feed_is_recent (const struct kq_feed *feed, kq_usec read_at);

/** Sets what polls of other hosts get. */
void kq_feed_publish (struct kq_feed *feed, const struct kq_feed_state *state);

/** Sets the configuration that they get with a state of its version.  One that
 *  came with a reply is known already.  */
void kq_feed_set_config (struct kq_feed *feed,
                         const struct kq_sched_config *config);

/** Handles a poll of another host. */
void kq_feed_handle_poll (struct kq_feed *feed,
                          const struct kq_hop_sender *sender,
                          const KqNode__Ask *message);

/** Handles the reply in MESSAGE. */
void kq_feed_handle_reply (struct kq_feed *feed, const KqNode__Tell *message);

/** Replies to polls that were held for long enough, and ends one that has no
 *  reply; called at least every 100 ms.  */
void kq_feed_tick (struct kq_feed *feed);

/** Tells hosts that ask this one to ask another, since it is about to stop. */
void kq_feed_leave (struct kq_feed *feed);

/** Registers the metrics of this module; must be called once. */
void kq_feed_register_metrics (void);

#endif
