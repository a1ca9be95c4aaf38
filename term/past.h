/** @file
 * Earlier owners, as far as their records in the topic of terms tell: until
 * when each may have owned the cell, which bounds the leases that it renewed.
 */
#ifndef KQ_TERM_PAST_H
#define KQ_TERM_PAST_H

#include "term/term.h"

/** An owner of an earlier term, or of the current one. */
struct kq_past_owner
{
  int64_t term;
  char host[KQ_TERM_TEXT_SIZE];
  char incarnation[KQ_TERM_TEXT_SIZE];
  kq_usec heard_at; /**< when its latest record was read */
  kq_usec age;      /**< time that it had owned the term by then, at least */
  kq_usec ended_at; /**< it had stopped by then; 0: unknown */
};

/** The latest owners, latest term first. */
struct kq_past_owners
{
  struct kq_past_owner owners[KQ_TERM_MAX_PAST];
  int count;
};

/** Records that a record of the owner of TERM was read, written when it had
 *  owned the term for AGE; 0: unknown.  */
void kq_past_note_heard (struct kq_past_owners *past, kq_usec now,
                         int64_t term, const char *host,
                         const char *incarnation, kq_usec age);

/** Records that the owner of TERM has stopped by NOW. */
void kq_past_note_end (struct kq_past_owners *past, kq_usec now, int64_t term);

/** Records that some records were deleted before they were read. */
void kq_past_note_gap (struct kq_past_owners *past, kq_usec now);

/** Fills LIST with the terms before OWN_TERM (0: all), as known to the process
 *  INCARNATION of HOST, which started at STARTED_AT.
 *  @return their number.  */
int kq_past_list (const struct kq_past_owners *past, int64_t own_term,
                  const char *host, const char *incarnation,
                  kq_usec started_at,
                  struct kq_term_past list[KQ_TERM_MAX_PAST]);

#endif
