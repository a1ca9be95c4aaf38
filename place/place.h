/** @file
 * Chooses the worker of a shard that a task is started on.
 */
#ifndef KQ_PLACE_PLACE_H
#define KQ_PLACE_PLACE_H

#include <stdbool.h>
#include <stddef.h>

#include "core/event.h"

/** A worker that can take the task now. */
struct kq_place_worker
{
  struct kq_name name;
  struct kq_name rack;
  struct kq_size capacity;
  struct kq_size free; /**< not taken by running and pending attempts */
  const struct kq_worker_table *table; /**< last report, rows excepted */
  bool failed_before;                  /**< the task failed there */
};

/** What is to be placed. */
struct kq_place_task
{
  struct kq_task_id id;
  enum kq_task_kind kind;
  int32_t importance;
  struct kq_size size; /**< declared */
  int64_t run_ms;
  struct kq_name team;
  int32_t moved; /**< how often it was evicted before */
};

/** Chooses among COUNT WORKERS; one where the task failed before only when
 *  there is no other.
 *  @return its index or KQ_EWORKER_FULL.  */
int kq_place_pick (const struct kq_place_task *task,
                   const struct kq_place_worker *workers, size_t count);

#endif
