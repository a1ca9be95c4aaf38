/** @file
 * State of placement, shared by the files of this folder.
 */
#ifndef KQ_PLACE_INTERNAL_H
#define KQ_PLACE_INTERNAL_H

#include <uthash.h>
#include <utlist.h>

#include "place/estimate.h"
#include "place/place.h"

/** Full speed, and the least that a task is throttled to. */
#define SHARE_FULL 1000
#define SHARE_LEAST 250

/** Part of the memory that may be used. */
#define MEMORY_LIMIT 0.97

/** First guesses of what a slot uses, and the most that all slots of a worker
 *  are guessed to use, as part of its capacity.  */
#define SLOT_CPU_MILLI 500.0
#define SLOT_MEMORY_MB 256.0
#define SLOTS_PART 0.25

/** Without any report for this long, usage is taken to be never reported. */
#define REPORTS_EXPECTED (30 * KQ_USEC_PER_SEC)

/** How long ended tasks are remembered: the oldest usable report. */
#define MEMORY_OF_ENDED (60 * KQ_USEC_PER_SEC)

/** What an intervention needs to show in usage. */
#define SETTLE_TIME (2 * KQ_USEC_PER_SEC)

/** Least time between two steps of a learned limit upwards. */
#define RAISE_EVERY (5 * KQ_USEC_PER_SEC)

/** What is learned of the tasks of one team, or of one job of a team. */
struct place_class
{
  char key[2 * KQ_NAME_SIZE]; /**< "TEAM" or "TEAM JOB" */
  struct place_class *team;   /**< NULL for a team's own class */
  struct kq_estimate cpu;     /**< used / declared */
  struct kq_estimate memory;  /**< used / declared */
  struct kq_estimate slow;    /**< slow-down of services when the class has
                                 the whole worker */
  struct kq_size occupied;    /**< team: declared sizes that run */
  struct kq_size quota;       /**< team: bound on occupied */
  int tasks;                  /**< that run or are remembered */
  int running;                /**< that run */
  struct place_class *prev, *next; /**< all of them, oldest first */
  UT_hash_handle hh;
};

struct place_task
{
  struct kq_place_task task;
  struct kq_size granted; /**< that the worker's guard counts */
  int64_t checkpoint;     /**< as last reported */
  struct place_class *class;
  kq_usec started_at;
  kq_usec saved_at; /**< work since then is lost by a stop */
  kq_usec ended_at; /**< 0 while it runs */
  int32_t share;
  int32_t share_before; /**< share before share_at */
  kq_usec share_at;
  kq_usec leaving_at; /**< when its eviction was asked for; 0 */
  struct place_task *prev, *next;
};

struct place_rack
{
  struct kq_name name;
  double limit;       /**< part of the rack's processors that may be used */
  double ceiling;     /**< part in use when it was last throttled */
  int tasks;          /**< that run, by the last update */
  double used;        /**< expected use in milli, by the last update */
  double capacity;    /**< milli, by the last update */
  kq_usec lowered_at; /**< reports taken before say nothing new */
  kq_usec raised_at;
  int workers;
  UT_hash_handle hh;
};

/** Sums over the tasks of a worker, by expected size. */
struct place_load
{
  double cpu;          /**< milli, services included, without a margin */
  double cpu_variance; /**< of its error, milli squared */
  double memory;       /**< MB, services included, with a margin */
  struct kq_size granted;
  int tasks;   /**< that run */
  double slow; /**< expected slow-down of services, 0 = none */
};

struct place_worker
{
  struct kq_name name;
  struct place_rack *rack;
  struct kq_size capacity;
  int32_t slots;
  double busy; /**< busy slots, smoothed */
  struct kq_place_usage usage;
  bool reported;
  bool fresh; /**< the report has led to no action yet */
  kq_usec acted_at;
  kq_usec room_until; /**< room is being made until then */
  struct kq_task_id room_for;
  struct place_task *tasks;
  struct place_load load;
  UT_hash_handle hh;
};

struct kq_place
{
  double slow_limit;    /**< bound on the slow-down of services */
  double cpu_limit;     /**< part of a worker's processors to be used */
  double cpu_margin;    /**< standard deviations added to a size */
  double memory_margin; /**< the same for memory */
  double spread_weight; /**< cost of slow-down against that of packing */
  struct kq_estimate slot_cpu;    /**< of a busy slot / the guess */
  struct kq_estimate slot_memory; /**< of a slot / the guess */
  bool reported;                  /**< some worker has reported its usage */
  kq_usec began_at; /**< when a task was to be placed first; 0 = not yet */
  bool slow_seen;   /**< some report stated the slow-down of services */
  bool slow_silent; /**< reports come, but none has stated it */
  bool stale;       /**< estimates have changed since loads were computed */
  struct place_class *classes;    /**< hash by key */
  struct place_class *class_list; /**< the same, oldest first */
  struct place_worker *workers;
  struct place_rack *racks;
};

/** Returns the class of TASK, made on demand; NULL when out of memory. */
struct place_class *place_class_of (struct kq_place *place,
                                    const struct kq_place_task *task);

/** Returns the class of TEAM, made on demand; NULL when out of memory. */
struct place_class *place_team_of (struct kq_place *place,
                                   const struct kq_name *team);

/** Moves the team of CLASS towards what CLASS has learned. */
void place_class_inform_team (struct place_class *class);

/** Returns the expected size of one task of CLASS with declared SIZE. */
struct kq_size place_size (const struct kq_place *place,
                           const struct place_class *class,
                           const struct kq_size *size);

/** Returns the share that TASK had at time AT; 0 when it did not run. */
int32_t place_share_at (const struct place_task *task, kq_usec at);

/** Returns the first guess of what a busy slot of WORKER uses, in milli. */
double place_slot_cpu (const struct place_worker *worker);

/** Returns the first guess of what a slot of WORKER uses, in MB. */
double place_slot_memory (const struct place_worker *worker);

/** Returns the processors that LOAD needs with a margin, in milli. */
double place_cpu_upper (const struct kq_place *place,
                        const struct place_load *load);

/** Returns what a task of CLASS that declares CPU_MILLI is expected to use,
 *  without a margin.  */
double place_cpu_mean (const struct place_class *class, int32_t cpu_milli);

/** Computes the expected load of WORKER anew. */
void place_load_update (struct kq_place *place, struct place_worker *worker);

/** Returns whether usage seems never to be reported: what would be learned
 *  from it holds nothing back then.  */
bool place_blind (const struct kq_place *place, kq_usec now);

/** Returns the bound on the slow-down of services on WORKER. */
double place_slow_limit (const struct kq_place *place,
                         const struct place_worker *worker);

/** Returns what is granted to a task of CLASS that declares SIZE: no more
 *  than it declares, less when it is known to use less.  */
struct kq_size place_grant (const struct kq_place *place,
                            const struct place_class *class,
                            const struct kq_size *size);

/** Returns whether the guard of WORKER, whose load is LOAD, admits a task
 *  with GRANT.  */
bool place_guard_admits (const struct place_worker *worker,
                         const struct place_load *load,
                         const struct kq_size *grant);

/** Adds to LOAD what a task of CLASS and SIZE is expected to bring. */
void place_load_add (const struct kq_place *place,
                     const struct place_worker *worker,
                     const struct place_class *class,
                     const struct kq_size *size, int32_t share,
                     struct place_load *load);

/** Computes the expected load of all workers and racks anew, where it may
 *  have changed.  */
void place_loads_update (struct kq_place *place);

/** Returns whether TASK of CLASS can be placed on WORKER within all limits;
 *  loads must be up to date.  */
bool place_within_limits (const struct kq_place *place,
                          struct place_worker *worker,
                          const struct place_class *class,
                          const struct kq_place_task *task, kq_usec now);

/** Returns whether no report has shown a task of CLASS yet. */
bool place_unseen (const struct place_class *class);

/** Returns the batch task of WORKER, less important than IMPORTANCE, that is
 *  throttled first; NULL when all are throttled already.  */
struct place_task *place_loudest (const struct place_worker *worker,
                                  int32_t importance);

/** Returns the batch task of WORKER, less important than IMPORTANCE, that is
 *  moved first: the least important one, and among these the one whose move
 *  costs least.  */
struct place_task *place_victim (const struct place_worker *worker,
                                 int32_t importance, kq_usec now);

/** Sets the share of TASK of WORKER and writes the action for it. */
void place_set_share (struct kq_place *place, struct place_worker *worker,
                      struct place_task *task, int32_t share, kq_usec now,
                      struct kq_place_action *action);

/** Marks TASK of WORKER as leaving and writes the action for it. */
void place_evict (struct place_worker *worker, struct place_task *task,
                  kq_usec now, struct kq_place_action *action);

/** Returns what moving TASK away at NOW costs: core seconds lost, more for a
 *  task that was moved before.  */
double place_eviction_cost (const struct place_task *task, kq_usec now);

/** Notes TASK as running on WORKER.  @return 0 or KQ_ENOMEM.  */
int place_task_add (struct kq_place *place, struct place_worker *worker,
                    const struct kq_place_running *running, kq_usec now);

bool place_id_eq (const struct kq_task_id *a, const struct kq_task_id *b);

struct place_worker *place_worker_find (const struct kq_place *place,
                                        const struct kq_name *name);

struct place_task *place_task_find (struct place_worker *worker,
                                    const struct kq_task_id *id);

#endif
