/** @file
 * The records of one journal position on their way to the store, in appends of
 * bounded size (kq_append_*).
 *
 * The position is stored once its last append is. While the store refuses an
 * append, new jobs may be taken back from it: the append that follows has the
 * same sequence number and the remaining records, which is safe only while no
 * attempt had an unknown outcome.
 */
#ifndef KQ_NODE_APPEND_H
#define KQ_NODE_APPEND_H

#include "platform/store.h"
#include "sched/sched.h"

/** Records of a position; all zero if there are none. */
struct kq_append
{
  struct kq_sched_record *records;
  int count;
  size_t max_bytes;            /**< maximum size of an append */
  int first;                   /**< first record of the current append */
  int next;                    /**< first record after it */
  struct kq_store_batch batch; /**< the current append */
  bool maybe_stored; /**< some of the position's records are stored, or an
                        attempt to store them had no definite outcome */
};

/** Decides whether the new job JOB is taken back.
 *  @return whether it was.  */
typedef bool kq_append_withdraw (void *arg, uint64_t job);

/** Takes the COUNT RECORDS of a position and makes the first append. An append
 *  has at most MAX_BYTES, or one record. The records of a job are in the same
 *  append if they fit.  */
void kq_append_begin (struct kq_append *append,
                      struct kq_sched_record *records, int count,
                      size_t max_bytes);

/** Makes the next append after the current one was stored.
 *  @return false if all records of the position are stored.  */
bool kq_append_advance (struct kq_append *append);

/** Offers the new jobs of the position to WITHDRAW and removes the records of
 *  those that are taken back, unless the store may have some of them.
 *  @return the number of jobs taken back.  */
int kq_append_withdraw_jobs (struct kq_append *append,
                             kq_append_withdraw *withdraw, void *arg);

/** Frees the records. */
void kq_append_clear (struct kq_append *append);

#endif
