/** @file
 * Writes the owner's records: one append at a time carries all that has
 * changed since the last, with the owner's term as epoch.
 */
#ifndef KQ_NODE_JOURNAL_H
#define KQ_NODE_JOURNAL_H

#include <ev.h>

#include "platform/store.h"
#include "sched/sched.h"

struct kq_journal;

struct kq_journal_handler
{
  void *arg;
  /** All up to POSITION is stored; 0 for the opening append. */
  void (*on_stored) (void *arg, uint64_t position);
  /** A later owner has written. */
  void (*on_fenced) (void *arg);
};

struct kq_journal *
kq_journal_create (struct ev_loop *loop, struct kq_store *store, int64_t epoch,
                   const struct kq_journal_handler *handler);
void kq_journal_destroy (struct kq_journal *journal);

/** Shuts out earlier epochs; on_stored (0) follows. */
void kq_journal_open (struct kq_journal *journal);

/** Appends what has changed in SCHED, if no append is under way. */
void kq_journal_write (struct kq_journal *journal, struct kq_sched *sched);

/** Returns when the last append that was stored was sent. */
kq_usec kq_journal_confirmed_at (const struct kq_journal *journal);

/** Whether the append under way has failed at least once. */
bool kq_journal_is_failing (const struct kq_journal *journal);

#endif
