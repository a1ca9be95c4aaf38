/** @file
 * Writes the owner's records to the store. At most one append is in flight;
 * the next one carries everything that has changed since, or what of it fits.
 * Appends have the owner's term as epoch.
 */
#ifndef KQ_NODE_JOURNAL_H
#define KQ_NODE_JOURNAL_H

#include <ev.h>

#include "node/append.h"
#include "sched/sched.h"

struct kq_journal;

struct kq_journal_handler
{
  void *arg;
  /** All records up to POSITION are stored; 0 for the append of
   *  kq_journal_open().  */
  void (*on_stored) (void *arg, uint64_t position);
  /** The store refused an append because a later owner has written. */
  void (*on_fenced) (void *arg);
  /** The store holds, or may hold, some of the records of POSITION. */
  void (*on_maybe_stored) (void *arg, uint64_t position);
  /** An attempt has ended with RESULT, and none is in flight. New jobs may be
   *  withdrawn now.  */
  void (*on_attempt) (void *arg, const struct kq_store_append_result *result);
};

void kq_journal_register_metrics (void);

/** @return NULL when out of memory. */
struct kq_journal *
kq_journal_create (struct ev_loop *loop, struct kq_store *store,
                   const struct kq_store_limits *limits, int64_t epoch,
                   const struct kq_journal_handler *handler);
void kq_journal_destroy (struct kq_journal *journal);

/** Makes the store refuse appends of earlier epochs; on_stored (0) follows. */
void kq_journal_open (struct kq_journal *journal);

/** Appends what has changed in SCHED, unless an append is in flight. */
void kq_journal_write (struct kq_journal *journal, struct kq_sched *sched);

/** Offers the new jobs of the append that has failed to WITHDRAW, and sends it
 *  without those that are taken back from then on.  Jobs that the store may
 *  hold are not offered.  Only to be called from on_attempt.
 *  @return the number of jobs taken back.  */
int kq_journal_withdraw (struct kq_journal *journal,
                         kq_append_withdraw *withdraw, void *arg);

/** Returns when the last stored append was sent. */
kq_usec kq_journal_confirmed_at (const struct kq_journal *journal);

/** Returns whether no append is in flight or to be repeated. */
bool kq_journal_is_idle (const struct kq_journal *journal);

/** Returns whether the append in flight has failed at least once. */
bool kq_journal_is_failing (const struct kq_journal *journal);

#endif
