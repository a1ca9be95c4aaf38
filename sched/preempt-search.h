/** @file
 * The search for room for urgent work (preempt_search): which tasks of lower
 * priority would have to be stopped, and what that costs. For preempt.c only.
 */
#ifndef KQ_SCHED_PREEMPT_SEARCH_H
#define KQ_SCHED_PREEMPT_SEARCH_H

#include "sched/internal.h"

/* Maximum number of tasks that are stopped at a worker at a time. */
#define MAX_STOPS 16

/* Maximum number of rooms that are made at a time: a stage with more tasks
   waiting is not narrow. */
#define MAX_ROOMS 16

/* The tasks to be stopped at a worker, and what that costs. */
struct plan
{
  struct worker *worker;
  struct task *stops[MAX_STOPS];
  int stop_count;
  int rooms;      /* tasks of the stage that fit then */
  int64_t lost;   /* work that has to be done again */
  int64_t unused; /* room that serves nobody while the tasks stop */
};

/* The cheapest plans, in order of their cost. */
struct plans
{
  struct plan best[MAX_ROOMS];
  int count;
};

/* A search for room for the tasks of one stage. */
struct search
{
  const struct kq_sched *sched;
  const struct stage *stage;
  struct kq_sched_now now;
  int64_t slack_ms; /* time until the stage's tasks must start */
  int waiting;      /* number of these that have no room held */
  int64_t needed;   /* rooms that these and the tasks ahead of them need */
  /* Results: */
  int64_t natural_rooms; /* that come free within the slack */
  int64_t capacity;      /* of the service's usable workers, CPU */
  bool found_candidate;
  struct plans spread; /* each makes one room at least */
  struct plans packed; /* each makes as many rooms as it can */
};

/* Fills the results of SEARCH; looks at workers from the index FIRST on.
   Returns the index where the next search begins. */
size_t preempt_search (struct search *search, size_t first);

/* Returns how many of the cheapest plans make MISSING rooms; 0 if all of them
   do not. */
int preempt_count_plans (const struct plans *plans, int missing);

#endif
