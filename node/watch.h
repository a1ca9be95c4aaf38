/** @file
 * Follows two topics of the store on every host: who is the owner, and the
 * operator's configuration.
 */
#ifndef KQ_NODE_WATCH_H
#define KQ_NODE_WATCH_H

#include <ev.h>

#include "platform/store.h"
#include "sched/types.h"
#include "term/term.h"

struct kq_watch;

struct kq_watch_handler
{
  void *arg;
  /** The view of the owner may have changed. */
  void (*on_term) (void *arg);
  /** A later configuration; taken over. */
  void (*on_config) (void *arg, struct kq_sched_config *config);
};

/** TERM is read and written by the watch. */
struct kq_watch *kq_watch_create (struct ev_loop *loop, struct kq_store *store,
                                  struct kq_term *term,
                                  const struct kq_watch_handler *handler);
void kq_watch_destroy (struct kq_watch *watch);
void kq_watch_start (struct kq_watch *watch);

/** Returns when the store last answered. */
kq_usec kq_watch_heard_at (const struct kq_watch *watch);

#endif
