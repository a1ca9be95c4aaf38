/** @file
 * Parts of an explanation (kq_sched_explain()).
 */
#ifndef KQ_SCHED_EXPLAIN_H
#define KQ_SCHED_EXPLAIN_H

#include "sched/place.h"

/* What the decision code changes in a rack. */
struct explain_rack
{
  struct kq_sched_demand ahead;
  uint64_t pass;
  bool full;
  struct kq_sched_demand full_for;
  struct rack_room room;
};

/* One explanation. */
struct explain_run
{
  struct kq_sched dry; /* copy on which decisions are made */
  struct kq_sched_now now;
  struct pass pass;
  struct explain_rack *racks;
};

/* Returns the first reason why WORKER, for which place_score() is false, may
   not run TASK. */
enum kq_sched_ruled_out explain_reason (const struct worker *worker,
                                        const struct task *task,
                                        struct kq_sched_now now);

/* Copies what the decision code may change.
   Returns 0 or KQ_ENOMEM; explain_end() follows in either case. */
int explain_begin (struct explain_run *run, const struct kq_sched *sched,
                   struct kq_sched_now now);
/* Puts back what was changed, and frees RUN. */
void explain_end (struct explain_run *run, const struct kq_sched *sched);

/* Returns the first ready task of STAGE, of all or of those that do not wait
   for a rack, or NULL. */
struct task *explain_first_ready (const struct stage *stage, bool of_all);

/* Notes in the pass of RUN what a placement does of the stages that come
   before STAGE and find no room. */
void explain_pass_before (struct explain_run *run, const struct stage *stage);

#endif
