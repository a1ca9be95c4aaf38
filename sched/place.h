/** @file
 * What the placement of tasks (sched/place.c) shares with its explanation
 * (sched/explain.c).
 */
#ifndef KQ_SCHED_PLACE_H
#define KQ_SCHED_PLACE_H

#include "sched/internal.h"

/* Maximum number of services that have their own entry; further services
   share the last one. */
#define MAX_SERVICES 8

/* State of a service in one placement pass: the CPU of its usable workers, and
   the smallest demand that none of them could take, for the fillers of each
   image and for all other tasks; stages that demand as much are skipped. */
struct pool
{
  int service;
  int64_t capacity;
  int64_t used;
  int64_t quarantined_capacity; /* of workers that are only quarantined */
  int64_t quarantined_used;
  int64_t short_room; /* usable by short tasks if no other one ran */
  int64_t large_room; /* of that, by the largest ones */
  bool is_blocking;   /* a task of PRIORITY found no capacity in this pass */
  int priority;
  uint64_t failed_images; /* bit set of the images of fillers */
  bool other_failed;
  struct kq_sched_demand smallest[KQ_INTERFERENCE_IMAGES];
  struct kq_sched_demand smallest_other;
  bool reserve_failed; /* no worker can be reserved for SMALLEST_UNRESERVED */
  struct kq_sched_demand smallest_unreserved;
};

/* State of one placement pass. */
struct pass
{
  bool has_quarantined; /* a worker is quarantined */
  bool has_large_held;  /* room is held for a large task (large.c) */
  struct pool pools[MAX_SERVICES];
  int pool_count;
};

/* A worker that may run a task, with its score: the lower, the better. */
struct place_candidate
{
  struct worker *worker;
  int64_t points;
};

/* Whether this owner may start tasks: its term, and what it has read of the
   workers and of the zones under evacuation, are recent enough. */
bool place_is_permitted (const struct kq_sched *sched,
                         struct kq_sched_now now);

/* Returns the entry of SERVICE in PASS, which is added if it is new. */
struct pool *place_pool (struct pass *pass, int service);

/* Sums up the usable workers of each service. */
void place_sum_pools (const struct kq_sched *sched, struct pass *pass,
                      struct kq_sched_now now);

/* Whether the service keeps the reserve for the lateness of STAGE free
   after one more task. */
bool place_leaves_reserve (const struct pool *pool, const struct stage *stage,
                           struct kq_sched_now now);

/* Whether TASK may start at WORKER although short tasks have needed the room
   lately. A long-running task that has run before goes on at once; one of a
   job that runs nothing waits for a short time only, if most of POOL is idle.
 */
bool place_leaves_short_room (const struct kq_sched *sched,
                              const struct pool *pool,
                              const struct worker *worker,
                              const struct task *task,
                              struct kq_sched_now now);

/* Returns how much room in pieces for large tasks TASK may take from POOL;
   INT64_MAX if any. */
int64_t place_spare_large_room (const struct kq_sched *sched,
                                const struct pool *pool,
                                const struct task *task,
                                struct kq_sched_now now);

/* A task returns to the worker where it failed or stalled only some time
   later. */
bool place_avoids_worker (const struct task *task, const struct worker *worker,
                          struct kq_sched_now now);

/* Whether the job of TASK must not wait any longer, as most of CAPACITY is not
   USED. */
bool place_is_starved (int64_t used, int64_t capacity, const struct task *task,
                       struct kq_sched_now now);

/* Returns what a start of TASK at WORKER takes of the room for short tasks. */
int64_t place_taken_room (const struct kq_sched *sched,
                          const struct worker *worker,
                          const struct task *task);

/* Whether WORKER has room for a task of STAGE, if it takes tasks at all. */
bool place_has_room (const struct worker *worker, const struct stage *stage);

/* Whether TASK has waited for so long that a worker where others have failed
   is better than none. */
bool place_accepts_quarantined (const struct task *task,
                                struct kq_sched_now now);

/* Whether WORKER may run TASK; sets *INTERFERENCE on serving tasks there. */
bool place_suits (struct kq_sched *sched, struct worker *worker,
                  const struct task *task, struct kq_sched_now now,
                  bool disturbing, double *interference);

/* Returns the best worker for TASK, or NULL; RACK and DISTURBING as for
   place_search(). */
struct worker *place_choose_worker (struct kq_sched *sched,
                                    const struct task *task,
                                    struct kq_sched_now now, const char *rack,
                                    bool disturbing);

/* Returns the rack of the bound tasks of STAGE if its tasks have to share
   one, else NULL. */
const char *place_common_rack (const struct stage *stage);

/* Fills BEST with the MAX workers of the lowest score that may run TASK, in
   order: of all workers, or in a large cell of the first MAX_CANDIDATES that
   may, from where the last search ended. With RACK, workers elsewhere score
   higher. If DISTURBING, the interference on serving tasks may exceed its
   limit. Returns their number. */
int place_search (struct kq_sched *sched, const struct task *task,
                  struct kq_sched_now now, const char *rack, bool disturbing,
                  struct place_candidate *best, int max);

/* Blocks lower priorities for TASK, which found no capacity, unless it avoids
   a worker that has some. */
void place_block_lower (struct pool *pool, const struct task *task,
                        struct kq_sched_now now);
/* Whether the tasks of STAGE wait for more urgent ones. Those that have held
   room do not, nor do long-running ones that go on after a loss: they may be
   down for a few seconds only, and urgent tasks may find no room for longer.
 */
bool place_is_blocked (const struct pool *pool, const struct stage *stage);

/* Records a demand that could not be placed only for lack of capacity. */
void place_remember_unplaced (struct pool *pool, const struct stage *stage);
/* Whether a demand of at most that of STAGE could not be placed in this pass,
   and no room is kept for STAGE. */
bool place_cannot_fit (const struct pass *pass, const struct pool *pool,
                       const struct stage *stage, struct kq_sched_now now);

#endif
