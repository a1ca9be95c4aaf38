/** @file
 * Which host relays the owner's orders to which worker.
 *
 * In a large cell the owner does not call the workers itself: some hosts of
 * each zone hold the connections to the zone's workers and carry out its
 * orders there.  This module decides which, without I/O: the number of relays
 * follows from the workers and hosts that are known, and a worker changes its
 * relay only where its relay comes or goes.
 */
#ifndef KQ_RELAY_PLAN_H
#define KQ_RELAY_PLAN_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "term/hosts.h"

struct kq_relay_plan;

/** Creates a plan for the owner on the host SELF.
 *  @return NULL when out of memory.  */
struct kq_relay_plan *kq_relay_plan_create (const char *self);
void kq_relay_plan_destroy (struct kq_relay_plan *plan);

/** Sets the hosts to those in HOSTS. */
void kq_relay_plan_set_hosts (struct kq_relay_plan *plan,
                              const struct kq_hosts *hosts);

/** Adds or moves a worker of ZONE; removes one. */
void kq_relay_plan_set_worker (struct kq_relay_plan *plan, const char *worker,
                               const char *zone);
void kq_relay_plan_remove_worker (struct kq_relay_plan *plan,
                                  const char *worker);

/** Leaves out the host at ADDRESS until UNTIL. */
void kq_relay_plan_suspend (struct kq_relay_plan *plan, const char *address,
                            kq_usec until);

/** Records whether a call to WORKER was answered.  After two in a row that
 *  were not, another relay is tried.  */
void kq_relay_plan_note_reply (struct kq_relay_plan *plan, const char *worker,
                               bool answered);

/** Returns the address of the relay for WORKER at NOW, or NULL: the owner
 * calls it itself.  */
const char *kq_relay_plan_find (struct kq_relay_plan *plan, kq_usec now,
                                const char *worker);

/** Returns the number of hosts that relay at NOW. */
int kq_relay_plan_count (struct kq_relay_plan *plan, kq_usec now);

#endif
