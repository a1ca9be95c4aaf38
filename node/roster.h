/** @file
 * Worker registrations (kq_registrations_*).
 *
 * Follows the registrations of the workers in the store.
 */
#ifndef KQ_NODE_ROSTER_H
#define KQ_NODE_ROSTER_H

#include <ev.h>

#include "platform/store.h"
#include "sched/types.h"

struct kq_registrations;

struct kq_registrations_handler
{
  void *arg;
  /** A worker has registered or changed its registration. */
  void (*on_registration) (void *arg,
                           const struct kq_sched_registration *registration);
  /** The registration of WORKER was removed. */
  void (*on_removed) (void *arg, const char *worker);
  /** All registrations that the store held at the time SENT_AT were read. */
  void (*on_caught_up) (void *arg, kq_usec sent_at);
};

void kq_registrations_register_metrics (void);

struct kq_registrations *
kq_registrations_create (struct ev_loop *loop, struct kq_store *store,
                         const struct kq_registrations_handler *handler);
void kq_registrations_destroy (struct kq_registrations *registrations);
void kq_registrations_start (struct kq_registrations *registrations);

#endif
