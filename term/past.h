/** @file
 * Earlier owners, as far as the records in the topic of terms tell: until when
 * each may have owned the cell, which bounds the leases that it renewed.
 *
 * Records hold no time that another host could use.  A host that has just
 * started reads them all at once, so each record says how long ago the earlier
 * terms ended as its writer knows: otherwise a host would count each of them
 * from its own start, and a wait that began under an earlier owner anew.
 */
#ifndef KQ_TERM_PAST_H
#define KQ_TERM_PAST_H

#include "term/term.h"
#include "term/term.pb-c.h"

/** An owner of an earlier term, or of the current one. */
struct kq_past_owner
{
  int64_t term;
  char host[KQ_TERM_TEXT_SIZE];
  char incarnation[KQ_TERM_TEXT_SIZE];
  kq_usec heard_at; /**< when its latest record was read */
  kq_usec age;      /**< time that it had owned the term by then, at least */
  kq_usec confirmed_until; /**< as other records tell; 0: unknown */
  kq_usec ended_at;        /**< it had stopped by then; 0: unknown */
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

/** The part of a record that tells of earlier terms. */
struct kq_past_message
{
  KqTerm__PastTerm terms[KQ_TERM_MAX_PAST];
  KqTerm__PastTerm *pointers[KQ_TERM_MAX_PAST];
};

/** Adds the COUNT terms in LIST to RECORD, which refers to MESSAGE. */
void kq_past_write (const struct kq_term_past list[KQ_TERM_MAX_PAST],
                    int count, kq_usec now, struct kq_past_message *message,
                    KqTerm__TermRecord *record);

/** Records what RECORD of the term NUMBER, which was read at NOW, tells of
 *  earlier terms.  */
void kq_past_read (struct kq_past_owners *past, kq_usec now, int64_t number,
                   const KqTerm__TermRecord *record);

#endif
