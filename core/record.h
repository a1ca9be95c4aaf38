/** @file
 * Copies of log records that outlive the event they came with.
 */
#ifndef KQ_CORE_RECORD_H
#define KQ_CORE_RECORD_H

#include "core/event.h"

/** Returns a deep copy of RECORD, NULL when out of memory. */
struct kq_record *kq_record_copy (const struct kq_record *record);

/** Frees a copy; NULL is allowed. */
void kq_record_free (struct kq_record *record);

#endif
