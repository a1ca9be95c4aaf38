/** @file
 * Restores all jobs from the store at the beginning of a term.
 */
#ifndef KQ_NODE_RESTORE_H
#define KQ_NODE_RESTORE_H

#include <ev.h>

#include "platform/store.h"
#include "sched/sched.h"
#include "term/term.h"

struct kq_restore;

/** DONE is called with ARG when all jobs are restored into SCHED.
 *  @return NULL when out of memory.  */
struct kq_restore *kq_restore_create (struct ev_loop *loop,
                                      struct kq_store *store,
                                      struct kq_sched *sched,
                                      void (*done) (void *arg), void *arg);
void kq_restore_destroy (struct kq_restore *restore);
void kq_restore_start (struct kq_restore *restore);

/** Tells SCHED of this host's own term and of the earlier ones. */
void kq_restore_terms (struct kq_sched *sched, const struct kq_term *term);

#endif
