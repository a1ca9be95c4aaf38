/** @file
 * Follows the registrations of the workers.
 */
#ifndef KQ_NODE_ROSTER_H
#define KQ_NODE_ROSTER_H

#include <ev.h>

#include "platform/store.h"
#include "sched/types.h"

struct kq_roster;

struct kq_roster_handler
{
  void *arg;
  void (*on_report) (void *arg, const struct kq_sched_report *report);
  void (*on_gone) (void *arg, const char *worker);
};

struct kq_roster *kq_roster_create (struct ev_loop *loop,
                                    struct kq_store *store,
                                    const struct kq_roster_handler *handler);
void kq_roster_destroy (struct kq_roster *roster);
void kq_roster_start (struct kq_roster *roster);

#endif
