/** @file
 * Deep copies of log records.
 */
#ifndef KQ_CORE_RECORD_H
#define KQ_CORE_RECORD_H

#include "core/event.h"

/** Returns a deep copy of RECORD, NULL when out of memory. */
struct kq_record *kq_record_copy (const struct kq_record *record);

/** Frees RECORD, a copy made by kq_record_copy(), or NULL. */
void kq_record_free (struct kq_record *record);

#endif
