/** @file
 * All runs of tasks at the platform's workers, and the rule that no task has
 * two of them at a time or one after an end that counts.
 */
#ifndef SI_TWICE_H
#define SI_TWICE_H

#include <jansson.h>

#include "t/standin/si-runs.h"

/** A run that a worker has accepted. */
struct twice_run;

/** Records that a run of TASK starts at WORKER, ordered with FENCE, and checks
 *  it against the earlier ones.  */
struct twice_run *si_twice_start (const struct worker *worker,
                                  const char *task, int64_t number,
                                  int64_t fence);

/** Records that RUN has ended: "done", "stopped", "lapsed", or "died" with its
 *  worker.  */
void si_twice_end (struct twice_run *run, const char *outcome);

/** Records that a host has taken note of the end of RUN, which was done, while
 *  the worker's lease had not lapsed since that end; checks the later runs. */
void si_twice_note (struct twice_run *run);

/** Returns the violations as a new array of objects with "text", "task",
 *  "worker" and "other" (the workers of the first and second run), "from_ms"
 *  and "to_ms".  */
json_t *si_twice_to_json (void);

#endif
