/** @file
 * Faults of the platform's workers: crashes, after which the worker or another
 * one starts at the same address, and silence.  Checks that lasting tasks run
 * again in time.
 */
#ifndef SI_CRASH_H
#define SI_CRASH_H

#include "t/standin/si-runs.h"

/** Number of crashes, and longest time in milliseconds for which a lasting
 *  task that was not cancelled did not run.  */
extern int64_t si_crash_count;
extern int64_t si_longest_down_ms;

/** Lets WORKER crash: its runs vanish and it answers nothing.  After DOWN_MS
 *  another worker has its address, or it starts itself if SAME_ID.  */
void si_crash (struct worker *worker, int64_t down_ms, bool same_id);

/** Makes WORKER silent for MS; its runs go on.  */
void si_silence (struct worker *worker, int64_t ms, enum silence silence,
                 bool unregistered);

/** Makes WORKER silent for MS, DELAY_MS after its next start; it registers
 *  on. */
void si_silence_after_start (struct worker *worker, enum silence silence,
                             int64_t delay_ms, int64_t ms);

/** Lets WORKER lose PERMILLE of its calls, and of its replies, for MS. */
void si_make_lossy (struct worker *worker, int64_t permille, int64_t ms);

/** Lets WORKER hear only owners up to the present one's fence for MS. */
void si_bar_later_owners (struct worker *worker, int64_t ms);

/** Ends the silence of WORKER, but not the time for which it is down.  */
void si_end_silence (struct worker *worker);

/** Records a disturbance, which delays the check of lasting tasks.  */
void si_note_disturbance (void);

/** Records that the job ID is being cancelled: its tasks need not run.  */
void si_note_cancel (const char *id);

/** Returns the number of lasting tasks that run and are not cancelled.  */
int si_lasting_running (void);

/** Starts workers that were down, removes entries of crashed ones while the
 *  store is up, and checks lasting tasks.  */
void si_advance_faults (struct worker *workers, int count, bool store_up);

#endif
