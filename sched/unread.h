/** @file
 * Stored jobs that this owner could not restore (unread_*).
 */
#ifndef KQ_SCHED_UNREAD_H
#define KQ_SCHED_UNREAD_H

#include "sched/sched.h"

/** Answers EVENT, a call about a job, if that job could not be restored.
 *  @return whether it was answered.  */
bool unread_answer (struct kq_sched *sched,
                    const struct kq_sched_event *event);

/** Adds the IDs of these jobs to IDS.  */
void unread_add_ids (const struct kq_sched *sched, struct kq_idset *ids);

void unread_clear (struct kq_sched *sched);

#endif
