/** @file
 * The scheduler of one cell: jobs, their tasks, and the workers that run
 * them.  Events go in, effects come out; it has no clock and no sockets.
 *
 * Effects wait for the journal: each names the position that must be stored
 * before it is carried out.  Changed jobs are taken with
 * kq_sched_take_records(), which closes a position; the event STORED says
 * how far the store has them.
 */
#ifndef KQ_SCHED_SCHED_H
#define KQ_SCHED_SCHED_H

#include "sched/types.h"

struct kq_sched;

/** What a caller is told about its job. */
enum kq_sched_state
{
  KQ_SCHED_QUEUED,
  KQ_SCHED_ACTIVE,
  KQ_SCHED_COMPLETE,
  KQ_SCHED_FAILED_JOB,
  KQ_SCHED_CANCELLED
};

/** Time as the scheduler is told it: a monotonic clock that also counts while
 *  the host is suspended, and the wall clock in milliseconds since 1970.  */
struct kq_sched_now
{
  kq_usec mono;
  int64_t wall_ms;
};

/** How a worker answered an order. */
enum kq_sched_answer
{
  KQ_SCHED_OK,
  KQ_SCHED_NO_ROOM,
  KQ_SCHED_OLD_RUN, /**< that run or a later one was stopped there */
  KQ_SCHED_LATE,    /**< its time had passed on arrival */
  KQ_SCHED_FENCED,  /**< another owner has called the worker */
  KQ_SCHED_OTHER_LIFE /**< the worker has started again since */,
  KQ_SCHED_SICK,      /**< it did nothing and says so */
  KQ_SCHED_BAD_ORDER, /**< it cannot read the order */
  KQ_SCHED_NO_TICKET, /**< the ticket is not, or no longer, good */
  KQ_SCHED_SILENT     /**< no answer: it may be carried out, also later */
};

enum kq_sched_event_kind
{
  KQ_SCHED_EV_SUBMIT,
  KQ_SCHED_EV_QUERY,
  KQ_SCHED_EV_CANCEL,
  KQ_SCHED_EV_PENDING,
  KQ_SCHED_EV_CONFIG,
  KQ_SCHED_EV_WORKER,
  KQ_SCHED_EV_WORKER_GONE,
  KQ_SCHED_EV_LISTED,
  KQ_SCHED_EV_STARTED,
  KQ_SCHED_EV_STOPPED,
  KQ_SCHED_EV_PACED,
  KQ_SCHED_EV_ADVISED,
  KQ_SCHED_EV_STORED
};

/** Most workers that one question to the policy's service names. */
#define KQ_SCHED_ADVISED_WORKERS 30

/** Which of these workers may run a step? */
struct kq_sched_question
{
  struct kq_sched_run step; /**< index and run are not used */
  char workers[KQ_SCHED_ADVISED_WORKERS][KQ_SCHED_NAME];
  int count;
};

/** A worker that may run the step, and the proof of that. */
struct kq_sched_allowed
{
  char worker[KQ_SCHED_NAME];
  char ticket[KQ_SCHED_NAME];
};

/** How a question ended; a worker of it that is not listed is not allowed. */
struct kq_sched_advice
{
  const struct kq_sched_question *question;
  enum kq_sched_answer answer;
  struct kq_sched_allowed allowed[KQ_SCHED_ADVISED_WORKERS];
  int allowed_count;
  int64_t valid_ms; /**< of the tickets, from sent_at on */
  kq_usec sent_at;
};

struct kq_sched_event
{
  enum kq_sched_event_kind kind;
  union
  {
    struct
    {
      uint64_t token; /**< of the answer that follows */
      uint64_t job;
      const char *queue;
      struct kq_sched_spec *spec; /**< SUBMIT: taken over */
      const void *body;           /**< SUBMIT: as received, copied */
      size_t body_size;
    } call;
    const struct kq_sched_config *config; /**< outlives the scheduler's use */
    const struct kq_sched_report *report;
    const char *worker; /**< WORKER_GONE */
    struct
    {
      const char *worker;
      enum kq_sched_answer answer;
      kq_usec sent_at;
      const struct kq_sched_listing *listing; /**< with KQ_SCHED_OK */
    } listed;
    struct
    {
      const char *worker;
      struct kq_sched_run run;
      enum kq_sched_answer answer;
      kq_usec sent_at;
      int64_t local_ms; /**< the worker's, 0 without an answer */
    } order;
    const struct kq_sched_advice *advice;
    uint64_t stored; /**< journal position */
  } u;
};

enum kq_sched_effect_kind
{
  KQ_SCHED_FX_ANSWER,
  KQ_SCHED_FX_START,
  KQ_SCHED_FX_STOP,
  KQ_SCHED_FX_PACE,
  KQ_SCHED_FX_DEPOSED /**< a worker knows a later owner */
};

struct kq_sched_effect
{
  enum kq_sched_effect_kind kind;
  uint64_t after; /**< journal position that must be stored first */
  union
  {
    struct
    {
      uint64_t token;
      int status; /**< 200, 410 */
      int err;    /**< 0 or why */
      enum kq_sched_state state;
      int pending;
    } answer;
    struct
    {
      char worker[KQ_SCHED_NAME];
      struct kq_sched_run run;
      int percent; /**< PACE */
    } order;
  } u;
};

/** Key of the record of what was learned about images. */
#define KQ_SCHED_PRESSURE_KEY "p"

/** A record for the store: KEY and VALUE, both owned by the taker.  A value
 *  of size 0 drops the key.  */
struct kq_sched_record
{
  char key[24];
  uint8_t *value;
  size_t size;
};

/** What a worker is called with, to renew its lease and to look. */
struct kq_sched_look
{
  char worker[KQ_SCHED_NAME];
  char address[KQ_SCHED_NAME];
  int64_t seen;         /**< ends up to this number are stored */
  int64_t lease_end_ms; /**< on the worker's clock, 0 while that is unknown */
  int wait_ms;          /**< its answer may wait this long for an end */
};

/** All that a start order carries. */
struct kq_sched_start
{
  char address[KQ_SCHED_NAME];
  int64_t lease_end_ms;
  const char *text;       /**< valid until the next event */
  const char *checkpoint; /**< "" for none; valid until the next event */
  const char *ticket;     /**< "" for none; valid until the next event */
};

struct kq_sched *kq_sched_create (void);
void kq_sched_destroy (struct kq_sched *sched);

/** Takes one event; effects are added to the queue. */
void kq_sched_event (struct kq_sched *sched, struct kq_sched_now now,
                     const struct kq_sched_event *event);

/** Looks at what time alone changes: due occurrences, silent workers, stops
 *  that are repeated, tasks that stand still.  */
void kq_sched_tick (struct kq_sched *sched, struct kq_sched_now now);

/** Places what is ready. */
void kq_sched_place (struct kq_sched *sched, struct kq_sched_now now);

/** Moves the oldest effect to EFFECT.  @return false when there is none. */
bool kq_sched_next_effect (struct kq_sched *sched,
                           struct kq_sched_effect *effect);

/** Encodes changed jobs, at most MAX_BYTES beyond the first, into a new array
 *  at RECORDS.  Sets *POSITION to the journal position that they close.
 *  @return how many, 0 when nothing has changed, or KQ_ENOMEM.  */
int kq_sched_take_records (struct kq_sched *sched, size_t max_bytes,
                           struct kq_sched_record **records,
                           uint64_t *position);

/** Fills START for an order that is about to be sent.
 *  @return 0, or KQ_ENOENT when it is no longer wanted.  */
int kq_sched_start_order (struct kq_sched *sched, struct kq_sched_now now,
                          const struct kq_sched_effect *effect,
                          struct kq_sched_start *start);

/** Names a worker whose lease is due for renewal and marks it as called.
 *  @return false when none is.  */
bool kq_sched_next_look (struct kq_sched *sched, struct kq_sched_now now,
                         struct kq_sched_look *look);

/** Fills QUESTION with the next one for the policy's service and marks it as
 *  asked: one at a time; the event ADVISED ends it.
 *  @return false when there is none.  */
bool kq_sched_next_question (struct kq_sched *sched, struct kq_sched_now now,
                             struct kq_sched_question *question);

/** Says that the store confirmed the owner's term at the time MONO.  An owner
 *  that is not confirmed for a while renews no leases: its successor, if there
 *  is one, waits no longer than that for workers that do not answer.  */
void kq_sched_confirm (struct kq_sched *sched, kq_usec mono);

/** Sets how long a worker is left alone between its answer and the next look:
 *  0 notices each end at once, more saves calls.  */
void kq_sched_set_look_gap (struct kq_sched *sched, kq_usec gap);

/** Returns WORKER's address, or NULL. */
const char *kq_sched_worker_address (const struct kq_sched *sched,
                                     const char *worker);

/** Takes up a job from the store.  SPEC is taken over, STATE may be NULL. */
int kq_sched_restore (struct kq_sched *sched, struct kq_sched_now now,
                      uint64_t job, const char *queue, int64_t accepted_ms,
                      struct kq_sched_spec *spec, const uint8_t *state,
                      size_t state_size);

/** Takes up what earlier owners learned, the record with the key
 *  KQ_SCHED_PRESSURE_KEY.  @return 0 or KQ_ESYNTAX.  */
int kq_sched_restore_pressure (struct kq_sched *sched, const uint8_t *value,
                               size_t size);

/** A job's record as it was written. */
struct kq_sched_job_record
{
  char queue[KQ_SCHED_NAME];
  int64_t accepted_ms;
  size_t body_size;
  char body[]; /**< as the caller sent it, with a zero after it */
};

/** Reads a record whose key begins with 'j'; NULL when it is malformed or
 *  there is no memory.  Freed with free().  */
struct kq_sched_job_record *kq_sched_job_record_read (const uint8_t *value,
                                                      size_t size);

/** Ends the restoring: earlier owners may have sent orders until now. */
void kq_sched_restored (struct kq_sched *sched, struct kq_sched_now now);

/** Whether JOB is known. */
bool kq_sched_knows (const struct kq_sched *sched, uint64_t job);

/** Counts for metrics and tests. */
struct kq_sched_counts
{
  int jobs;
  int open_jobs;
  int ready_tasks;
  int ready_late; /**< of these, too late for their objective */
  int bound_tasks;
  int workers;
  int usable_workers;
  int64_t cpu_capacity; /**< of usable workers, thousandths of a core */
  int64_t cpu_used;     /**< counted against it */
  int64_t cpu_lasting;  /**< of that, for tasks that last */
  int64_t mem_capacity; /**< MiB */
  int64_t mem_used;
  int64_t starts;
  int64_t paces;
  int64_t moves;  /**< tasks stopped since they disturbed others */
  int64_t stalls; /**< tasks that stood still */
  int64_t ends[KQ_SCHED_ALONE + 1];
};

void kq_sched_count (const struct kq_sched *sched,
                     struct kq_sched_counts *counts);

/** Aborts the process where a rule of the scheduler is broken: a worker that
 *  guards nothing is over its capacity, a task is bound twice.  */
void kq_sched_assert (const struct kq_sched *sched);

#endif
