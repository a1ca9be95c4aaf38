/** @file
 * What no caller has asked for: starts of a job whose cancellation was
 * acknowledged, and starts with a checkpoint that no worker has returned for
 * the task.  Also draws the checkpoints that workers return.
 */
#ifndef SI_UNASKED_H
#define SI_UNASKED_H

#include <jansson.h>

#include "t/standin/si-runs.h"

/** Limit of the length of checkpoints; 0: workers return none. */
extern int si_checkpoint_bytes;

/** Number of such starts, and the first one; "": none. */
extern int64_t si_unasked_count;
extern char si_unasked[256];

/** Notes that a host has acknowledged the cancellation of the job ID. */
void si_note_acknowledged_cancel (const char *id);

/** Returns the checkpoint that RUN has reached, and notes that it is
 *  returned.  */
json_t *si_return_checkpoint (const struct run *run);

/** Checks the start of TASK with CHECKPOINT. */
void si_check_asked (const char *task, const char *checkpoint);

#endif
