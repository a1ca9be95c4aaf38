/** @file
 * The scheduler of one cell: the jobs, tasks and workers that one owner
 * manages. It consumes events and produces effects, and uses neither a clock
 * nor sockets.
 *
 * Effects wait for the journal, the log of records in the store: each names
 * the journal position that must be stored before it is carried out.
 * kq_sched_encode_records() returns the changed jobs and closes a position;
 * the event STORED reports up to which position the store holds them.
 */
#ifndef KQ_SCHED_SCHED_H
#define KQ_SCHED_SCHED_H

#include "sched/idset.h"
#include "sched/types.h"

struct kq_sched;

/** State of a job as reported to its caller. */
enum kq_sched_state
{
  KQ_SCHED_QUEUED,
  KQ_SCHED_ACTIVE,
  KQ_SCHED_COMPLETE,
  KQ_SCHED_FAILED_JOB,
  KQ_SCHED_CANCELLED
};

/** Current time: a monotonic clock that also counts while the host is
 *  suspended, and the wall clock in milliseconds since 1970.  */
struct kq_sched_now
{
  kq_usec mono;
  int64_t wall_ms;
};

/** A worker's reply to an order. */
enum kq_sched_reply
{
  KQ_SCHED_OK,
  KQ_SCHED_NO_CAPACITY,
  KQ_SCHED_STALE_RUN, /**< that run or a later one was already stopped there */
  KQ_SCHED_ORDER_EXPIRED, /**< the order had expired on arrival */
  KQ_SCHED_FENCED, /**< another owner has sent orders with a later fence */
  KQ_SCHED_OTHER_INCARNATION, /**< the order is for another incarnation */
  KQ_SCHED_UNHEALTHY,  /**< the worker reports a fault; it ignored the order */
  KQ_SCHED_BAD_ORDER,  /**< the worker cannot parse the order */
  KQ_SCHED_BAD_TICKET, /**< the ticket is invalid or has expired */
  KQ_SCHED_NO_REPLY,   /**< no reply: the order may yet be carried out */
  KQ_SCHED_NOT_SENT,   /**< no reply, and not carried out: there was no
                            connection */
  KQ_SCHED_REFUSED /**< the same: no process listened at the worker's address
                        at some time since sent_at */
};

/** Whether REPLY is one of a process at the worker's address. */
static inline bool
kq_sched_is_reply (enum kq_sched_reply reply)
{
  return reply < KQ_SCHED_NO_REPLY;
}

enum kq_sched_event_kind
{
  KQ_SCHED_EV_SUBMIT,
  KQ_SCHED_EV_QUERY,
  KQ_SCHED_EV_CANCEL,
  KQ_SCHED_EV_PENDING, /**< query of a queue's number of jobs not started */
  KQ_SCHED_EV_CONFIG,
  KQ_SCHED_EV_WORKER,      /**< a worker's registration was read */
  KQ_SCHED_EV_WORKER_GONE, /**< a worker's registration was removed */
  KQ_SCHED_EV_POLLED,      /**< result of a poll */
  KQ_SCHED_EV_STARTED,     /**< result of a start order */
  KQ_SCHED_EV_STOPPED,     /**< result of a stop order */
  KQ_SCHED_EV_PACED,       /**< result of a pace order */
  KQ_SCHED_EV_ADVISED,     /**< result of a request to the policy service */
  KQ_SCHED_EV_EVACUATE,    /**< the zones under evacuation were read */
  KQ_SCHED_EV_STORED       /**< the store holds records up to a position */
};

/** Maximum number of workers in one request to the policy service. */
#define KQ_SCHED_MAX_ADVICE_WORKERS 30

/** Request to the policy service: which of these workers may run a step? */
struct kq_sched_advice_request
{
  struct kq_sched_run step; /**< index and run are unused */
  char workers[KQ_SCHED_MAX_ADVICE_WORKERS][KQ_SCHED_NAME_SIZE];
  int count;
};

/** A worker that may run the step, with the ticket that proves it. */
struct kq_sched_allowed_worker
{
  char worker[KQ_SCHED_NAME_SIZE];
  char ticket[KQ_SCHED_NAME_SIZE];
};

/** Reply to an advice request; a worker of the request that is not in ALLOWED
 *  may not run the step.  */
struct kq_sched_advice
{
  const struct kq_sched_advice_request *policy_request;
  enum kq_sched_reply reply;
  struct kq_sched_allowed_worker allowed[KQ_SCHED_MAX_ADVICE_WORKERS];
  int allowed_count;
  int64_t valid_ms; /**< validity of the tickets, counted from sent_at */
  kq_usec sent_at;
};

struct kq_sched_event
{
  enum kq_sched_event_kind kind;
  union
  {
    struct
    {
      uint64_t token; /**< identifies the result of this call */
      uint64_t job;
      const char *queue;
      struct kq_sched_spec *spec; /**< SUBMIT: ownership passes on */
      const void *body;           /**< SUBMIT: job body as received; copied */
      size_t body_size;
    } call;
    const struct kq_sched_config *config; /**< must outlive its use */
    const struct kq_sched_registration *report;
    const char *worker;                 /**< WORKER_GONE */
    const struct kq_sched_zones *zones; /**< EVACUATE: all of them */
    struct
    {
      const char *worker;
      enum kq_sched_reply reply;
      kq_usec sent_at;
      int64_t fence; /**< of the poll; 0: unknown */
      const struct kq_sched_status *worker_status; /**< with KQ_SCHED_OK */
    } polled;
    struct
    {
      const char *worker;
      struct kq_sched_run run;
      enum kq_sched_reply reply;
      kq_usec sent_at;
      int64_t fence;           /**< of the order; 0: unknown */
      int64_t worker_clock_ms; /**< worker's clock; 0 without a reply */
    } order;
    const struct kq_sched_advice *advice;
    uint64_t stored; /**< journal position */
  } u;
};

enum kq_sched_effect_kind
{
  KQ_SCHED_FX_RESULT,
  KQ_SCHED_FX_START,
  KQ_SCHED_FX_STOP,
  KQ_SCHED_FX_PACE,      /**< limits the CPU of a filler */
  KQ_SCHED_FX_SUPERSEDED /**< a worker has accepted a later owner */
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
      int status; /**< HTTP status: 200, 410, 429 or 503 */
      int err;    /**< 0 or an error code that explains the status */
      enum kq_sched_state state;
      int pending;      /**< PENDING: number of jobs that have not started */
      int64_t retry_ms; /**< 429 and 503: when the caller should try again;
                           0: unknown */
      bool has_job;     /**< the result tells the state of JOB */
      uint64_t job;
    } result;
    struct
    {
      char worker[KQ_SCHED_NAME_SIZE];
      struct kq_sched_run run;
      int percent; /**< PACE: CPU limit as a percentage of the demand */
    } order;
  } u;
};

/** Key of the record with the learned interference model. */
#define KQ_SCHED_INTERFERENCE_KEY "p"

/** Key of the record with the age of the cell, by which ended jobs expire. */
#define KQ_SCHED_AGE_KEY "a"

/** First character of the keys of records that name the owner that last
 *  renewed leases at each worker.  */
#define KQ_SCHED_GRANT_KEY 'g'

/** First character of the keys of records of cancelled IDs that no job had. */
#define KQ_SCHED_TOMBSTONE_KEY 'x'

/** Maximum number of earlier terms that a restore takes into account. */
#define KQ_SCHED_MAX_PAST_TERMS 8

/** Size in bytes of a record's key, including the terminating zero. */
#define KQ_SCHED_KEY_SIZE 32

/** A record for the store. The receiver owns VALUE; a size of 0 deletes the
 *  key.  */
struct kq_sched_record
{
  char key[KQ_SCHED_KEY_SIZE];
  uint8_t *value;
  size_t size;
  bool is_first; /**< the store learns of JOB from it; the records of the
                    job's state, if any, follow it */
  uint64_t job;
};

/** Parameters of a poll: the call to a worker that renews its lease and
 *  returns its status.  */
struct kq_sched_poll
{
  char worker[KQ_SCHED_NAME_SIZE];
  char address[KQ_SCHED_NAME_SIZE];
  int64_t acked;        /**< acknowledged: ends up to this number are stored */
  int64_t lease_end_ms; /**< on the worker's clock; 0 if that is unknown */
  int wait_ms; /**< how long the worker may delay its reply until a run ends */
};

/** Contents of a start order. */
struct kq_sched_start
{
  char address[KQ_SCHED_NAME_SIZE];
  int64_t lease_end_ms;
  const char *text;       /**< valid until the next event */
  const char *checkpoint; /**< "" if none; valid until the next event */
  const char *ticket;     /**< "" if none; valid until the next event */
};

struct kq_sched *kq_sched_create (void);
void kq_sched_destroy (struct kq_sched *sched);

/** Sets the properties of the deployment; KQ_SCHED_DEFAULT_SETTINGS hold until
 *  then.  */
void kq_sched_set_settings (struct kq_sched *sched,
                            const struct kq_sched_settings *settings);

/** Handles one event; resulting effects are added to the effect queue. */
void kq_sched_event (struct kq_sched *sched, struct kq_sched_now now,
                     const struct kq_sched_event *event);

/** Handles what depends on time alone: occurrences that fall due, workers that
 *  stopped replying, stop orders to repeat, job retention.  */
void kq_sched_tick (struct kq_sched *sched, struct kq_sched_now now);

/** Assigns ready tasks to workers. */
void kq_sched_place (struct kq_sched *sched, struct kq_sched_now now);

/** Removes the oldest effect and copies it to EFFECT.
 *  @return false if there is none.  */
bool kq_sched_next_effect (struct kq_sched *sched,
                           struct kq_sched_effect *effect);

/** Encodes all changed jobs into a new array at RECORDS, in the order in which
 *  they should be stored: what has ended first, then by priority. The records
 *  of a job are next to each other; no value of its state exceeds MAX_BYTES,
 *  and a warning is logged for others that do. Sets *POSITION to the journal
 *  position that they close.
 *  @return the number of records, 0 if nothing has changed, or KQ_ENOMEM.  */
int kq_sched_encode_records (struct kq_sched *sched, size_t max_bytes,
                             struct kq_sched_record **records,
                             uint64_t *position);

/** Records that the store holds, or may hold, some of the records up to
 *  POSITION.  */
void kq_sched_note_maybe_stored (struct kq_sched *sched, uint64_t position);

/** Removes JOB, none of whose records is stored, nor can be stored later. Its
 *  tasks are released; of the effects that were not taken yet, its results
 *  become 503 and its orders are dropped.
 *  @return 0, KQ_ENOENT if it is unknown, or KQ_EEXIST if it may be stored. */
int kq_sched_withdraw (struct kq_sched *sched, uint64_t job);

/** Changes an EFFECT that waits for the store when JOB is withdrawn.
 *  @return false if it must be dropped.  */
bool kq_sched_withdraw_effect (struct kq_sched_effect *effect, uint64_t job);

/** Copies to JOBS up to MAX new jobs that were not encoded yet.
 *  @return their number.  */
int kq_sched_list_unsent (const struct kq_sched *sched, uint64_t *jobs,
                          int max);

/** Fills START for an order that is about to be sent, and records it as sent.
 *  If the worker is no longer usable, the run ends instead.
 *  @return 0, or KQ_ENOENT if the order must not be sent.  */
int kq_sched_start_order (struct kq_sched *sched, struct kq_sched_now now,
                          const struct kq_sched_effect *effect,
                          struct kq_sched_start *start);

/** Selects the next worker that is due for a poll and marks the poll as in
 *  flight.
 *  @return false if none is due.  */
bool kq_sched_next_poll (struct kq_sched *sched, struct kq_sched_now now,
                         struct kq_sched_poll *poll);

/** Fills POLICY_REQUEST with the next request for the policy service and marks
 *  it as in flight. Only one is in flight at a time; the event ADVISED
 *  completes it.
 *  @return false if there is none.  */
bool
kq_sched_next_advice_request (struct kq_sched *sched, struct kq_sched_now now,
                              struct kq_sched_advice_request *policy_request);

/** Records that the store confirmed the owner's term at the time MONO. An
 *  owner without confirmation for some time renews no leases. This bounds the
 *  time for which a successor waits for workers that do not reply.  */
void kq_sched_confirm_term (struct kq_sched *sched, kq_usec mono);

/** Records that this owner's orders may carry fences up to FENCE. Each restart
 *  of a worker under its ID takes a higher fence than its orders had before,
 *  and the worker gets no tasks until there is one.  */
void kq_sched_note_fence (struct kq_sched *sched, int64_t fence);

/** Returns the fence that the next order to the worker ID has to carry, or 0
 *  for that of the term.  */
int64_t kq_sched_order_fence (const struct kq_sched *sched, const char *id);

/** Records that all registrations which the store held at the time MONO have
 *  been applied. An owner whose last such read is too long ago starts nothing:
 *  a worker's capacity may have shrunk since.  */
void kq_sched_note_registrations (struct kq_sched *sched, kq_usec mono);

/** Records that the event EVACUATE has given the zones that the operator's
 *  topic named at the time MONO. Where the settings have evac_ms, an owner
 *  without such a read, or whose last one is too long ago, starts nothing.  */
void kq_sched_note_zones (struct kq_sched *sched, kq_usec mono);

/** Sets the time between a worker's reply and the next poll: 0 notices each
 *  ended run at once, a longer time saves calls.  */
void kq_sched_set_poll_interval (struct kq_sched *sched, kq_usec interval);

/** Returns the address of WORKER, or NULL. */
const char *kq_sched_worker_address (const struct kq_sched *sched,
                                     const char *worker);

/** Restores a job from the store. Ownership of SPEC passes to the scheduler;
 *  STATE may be NULL.
 *  @param queue as stored; the configuration's settings go before its own.
 *  @return 0, KQ_ENOMEM or KQ_ESYNTAX.  */
int kq_sched_restore_job (struct kq_sched *sched, struct kq_sched_now now,
                          uint64_t job, const struct kq_sched_queue *queue,
                          int64_t accepted_ms, struct kq_sched_spec *spec,
                          const uint8_t *state, size_t state_size);

/** First character of the keys of the further parts of a job's state. */
#define KQ_SCHED_PART_KEY 't'

/** Reads the job and the number of a part, from 1 on, from its KEY.
 *  @return whether it is such a key.  */
bool kq_sched_part_key_read (const char *key, uint64_t *job, int *part);

/** First character of the keys of records with long checkpoints. */
#define KQ_SCHED_CHECKPOINT_KEY 'c'

/** Reads the job and the number of a task, from 1 on, from the KEY of a
 *  checkpoint.
 *  @return whether it is such a key.  */
bool kq_sched_checkpoint_key_read (const char *key, uint64_t *job,
                                   int *number);

/** Restores a long checkpoint of a task of JOB, which must be restored with
 *  all its parts; before kq_sched_finish_restore().
 *  @return 0, KQ_ENOENT, KQ_ENOMEM or KQ_ESYNTAX.  */
int kq_sched_restore_checkpoint (struct kq_sched *sched, uint64_t job,
                                 const uint8_t *value, size_t size);

/** Restores a further PART of the state of JOB, which must be restored; before
 *  kq_sched_finish_restore().
 *  @return 0, KQ_ENOENT, KQ_EINVAL, KQ_ENOMEM or KQ_ESYNTAX.  */
int kq_sched_restore_part (struct kq_sched *sched, struct kq_sched_now now,
                           uint64_t job, int part, const uint8_t *value,
                           size_t size);

/** Records that the store has the job ID, which could not be restored, or not
 *  all of its state: this owner neither runs it nor accepts it as new, and
 *  answers calls about it with 503.
 *  @return 0 or KQ_ENOMEM.  */
int kq_sched_add_unread (struct kq_sched *sched, uint64_t id);

/** Removes the job ID, of whose state only a part was restored, so that it can
 *  be restored again.  */
void kq_sched_drop_restored (struct kq_sched *sched, uint64_t id);

/** Restores the interference model that earlier owners stored with the key
 *  KQ_SCHED_INTERFERENCE_KEY.
 *  @return 0 or KQ_ESYNTAX.  */
int kq_sched_restore_interference (struct kq_sched *sched,
                                   const uint8_t *value, size_t size);

/** Restores the age of the cell that earlier owners stored with the key
 *  KQ_SCHED_AGE_KEY; before kq_sched_finish_restore().
 *  @return 0 or KQ_ESYNTAX.  */
int kq_sched_restore_age (struct kq_sched *sched, const uint8_t *value,
                          size_t size);

/** Restores that ID was cancelled while no job had it, from a record whose key
 *  begins with KQ_SCHED_TOMBSTONE_KEY; before kq_sched_finish_restore().
 *  @param value may be NULL: it could not be decoded.
 *  @return 0 or KQ_ENOMEM.  */
int kq_sched_restore_tombstone (struct kq_sched *sched, uint64_t id,
                                const uint8_t *value, size_t size);

/** Decoded JobRecord. */
struct kq_sched_job_record
{
  struct kq_sched_queue queue; /**< name and stored settings */
  int64_t accepted_ms;
  size_t body_size;
  char body[]; /**< as sent by the caller, with a terminating zero */
};

/** Decodes a record whose key begins with 'j'. The caller frees it with
 *  free().
 *  @return NULL if the record is malformed or memory is short.  */
struct kq_sched_job_record *kq_sched_job_record_read (const uint8_t *value,
                                                      size_t size);

/** An earlier owner's term. */
struct kq_sched_past_term
{
  int64_t term;
  kq_usec confirmed_until; /**< the store confirmed it no later than this */
  kq_usec ended_at;        /**< its owner had stopped by then; 0: unknown */
  kq_usec heard_at;        /**< when a record of its owner was read */
  kq_usec age; /**< for how long at least it had owned the term by then */
};

/** Sets the number of this owner's term, which it has owned since BEGAN_AT;
 *  later terms have higher numbers.  */
void kq_sched_begin_term (struct kq_sched *sched, int64_t term,
                          kq_usec began_at);

/** Adds an earlier owner's term.  At most KQ_SCHED_MAX_PAST_TERMS are kept. */
void kq_sched_add_past_term (struct kq_sched *sched,
                             const struct kq_sched_past_term *past);

/** Restores which owner last renewed leases at workers, from a record whose
 *  key begins with KQ_SCHED_GRANT_KEY.
 *  @return 0, KQ_ESYNTAX or KQ_ENOMEM.  */
int kq_sched_restore_grants (struct kq_sched *sched, const uint8_t *value,
                             size_t size);

/** Completes the restore. Sets for each worker when the leases of earlier
 *  owners have lapsed there: counted from the last record of the owner that
 *  last renewed them, or from now if it is unknown.  */
void kq_sched_finish_restore (struct kq_sched *sched, struct kq_sched_now now);

/** A queue that is closed: each of its jobs is refused, except those that
 *  are never refused and repeats.  */
struct kq_sched_closure
{
  char queue[KQ_SCHED_NAME_SIZE];
  int64_t until_ms; /**< from now */
  int64_t retry_ms;
};

/** Fills CLOSURES with the queues that are closed, at most MAX; returns their
 *  number.  */
int kq_sched_closures (const struct kq_sched *sched, struct kq_sched_now now,
                       struct kq_sched_closure *closures, int max);

/** Returns how often queues were closed in this term. */
int64_t kq_sched_closure_number (const struct kq_sched *sched);

/** Adds the IDs of all known jobs to IDS. */
void kq_sched_known_ids (const struct kq_sched *sched, struct kq_idset *ids);

/** Returns whether JOB is known. */
bool kq_sched_has_job (const struct kq_sched *sched, uint64_t job);

/** Returns whether JOB is known and was cancelled. */
bool kq_sched_is_cancelled (const struct kq_sched *sched, uint64_t job);

/** Maximum number of steps in an explanation, and of candidates for each. */
#define KQ_SCHED_EXPLAINED_STEPS 16
#define KQ_SCHED_EXPLAINED_CANDIDATES 5

/** Why a worker may not run a task now; the first reason that applies. */
enum kq_sched_ruled_out
{
  KQ_SCHED_OUT_SERVICE, /**< it belongs to another service */
  KQ_SCHED_OUT_LABEL,   /**< it is of another kind and in another rack */
  KQ_SCHED_OUT_DRAINING,
  KQ_SCHED_OUT_EVACUATED, /**< its zone is under evacuation */
  KQ_SCHED_OUT_QUARANTINED,
  KQ_SCHED_OUT_SILENT, /**< no recent reply, or of another incarnation */
  KQ_SCHED_OUT_CAPACITY,
  KQ_SCHED_OUT_LIMIT,        /**< the step's limit per worker */
  KQ_SCHED_OUT_AVOIDED,      /**< the task has just failed there */
  KQ_SCHED_OUT_LATE,         /**< an earlier order may start it elsewhere */
  KQ_SCHED_OUT_NO_TICKET,    /**< the policy service has given no ticket */
  KQ_SCHED_OUT_RESERVED,     /**< reserved or held for other tasks */
  KQ_SCHED_OUT_COLD,         /**< cold, and has just been given a task */
  KQ_SCHED_OUT_INTERFERENCE, /**< it would slow down serving tasks */
  KQ_SCHED_OUT_KINDS
};

/** Returns the name of REASON in logs and explanations. */
const char *kq_sched_ruled_out_name (enum kq_sched_ruled_out reason);

/** Why the first candidate of a step is not given its task now. */
enum kq_sched_held_back
{
  KQ_SCHED_NOT_HELD_BACK,
  KQ_SCHED_HELD_NO_WORKER,  /**< there is no candidate */
  KQ_SCHED_HELD_BLOCKED,    /**< more urgent tasks wait for room */
  KQ_SCHED_HELD_RESERVE,    /**< the job is late, and the service is nearly
                               full */
  KQ_SCHED_HELD_SHORT_ROOM, /**< the room is kept for short tasks */
  KQ_SCHED_HELD_GANG,       /**< there is no room for all of the gang */
  KQ_SCHED_HELD_RACK        /**< it waits for room in a rack */
};

struct kq_sched_candidate
{
  char worker[KQ_SCHED_NAME_SIZE];
  int64_t points; /**< score; the lower, the better */
  bool near;      /**< in the rack of the task's data or group */
  bool cold;
  int64_t reply_age_ms; /**< since its last reply */
  struct kq_sched_demand free;
};

/** A step that could start now. */
struct kq_sched_step_explanation
{
  int step;
  int occurrence;
  int ready;    /**< number of its tasks that are to be placed */
  int lateness; /**< 0: in time, 1: late, 2: past three times the objective */
  enum kq_sched_held_back held_back;
  char rack[KQ_SCHED_NAME_SIZE]; /**< that it prefers; "": none */
  int64_t rack_wait_ms;          /**< expected wait for it */
  int suitable;                  /**< number of workers that may run a task */
  int ruled_out[KQ_SCHED_OUT_KINDS];
  char late_worker[KQ_SCHED_NAME_SIZE]; /**< that has not answered an earlier
                                             start order of its first task;
                                             "": none that matters */
  int64_t late_ms;         /**< time in which that may be carried out */
  int64_t late_longest_ms; /**< time until the task is free of it, if the
                              worker neither lists its runs nor is gone */
  struct kq_sched_candidate candidates[KQ_SCHED_EXPLAINED_CANDIDATES];
  int candidate_count;
};

/** Whether the owner may start anything, and the age of what it knows. Ages
 *  are in ms, -1: never.  */
struct kq_sched_owner_state
{
  int64_t term;
  bool superseded;
  bool term_current;
  bool registrations_current;
  bool evacuations_current;
  bool has_evacuations; /**< the deployment has them */
  int64_t term_age_ms;
  int64_t registrations_age_ms;
  int64_t evacuations_age_ms;
};

struct kq_sched_explanation
{
  struct kq_sched_owner_state owner;
  bool known; /**< it is a job that was accepted */
  char queue[KQ_SCHED_NAME_SIZE];
  enum kq_sched_state state; /**< of a known job */
  int bound;                 /**< number of its tasks that are bound */
  int waiting;               /**< of those that wait for earlier steps */
  int held;             /**< of these, until an outage of workers is over */
  int losses;           /**< workers lost under its tasks before their
                             runs settled */
  int losses_set_aside; /**< of these, explained by an outage */
  int64_t starts_in_ms; /**< of a new job with a schedule */
  bool refused;         /**< admission would refuse the job */
  int64_t retry_ms;     /**< at least, up to a half more by its ID */
  int more_steps;       /**< that could start, but are not in STEPS */
  struct kq_sched_step_explanation steps[KQ_SCHED_EXPLAINED_STEPS];
  int step_count;
};

/** Explains where the tasks of JOB, or if SPEC is not NULL of a new job of
 *  QUEUE, would be placed now. Nothing is placed, stored, counted or learned.
 *  @return 0, KQ_EJOB_UNKNOWN, KQ_ENOENT if the queue is unknown, or
 *  KQ_ENOMEM.  */
int kq_sched_explain (struct kq_sched *sched, struct kq_sched_now now,
                      uint64_t job, const char *queue,
                      const struct kq_sched_spec *spec,
                      struct kq_sched_explanation *explanation);

/** Counters for metrics and tests. */
struct kq_sched_counts
{
  int jobs;
  int open_jobs;
  int ready_tasks;
  int ready_late; /**< of these, expected to miss their objective */
  int bound_tasks;
  int workers;
  int usable_workers;
  int64_t cpu_capacity;     /**< of usable workers, in thousandths of a core */
  int64_t cpu_used;         /**< reserved by tasks other than fillers */
  int64_t cpu_long_running; /**< of that, by tasks that run until cancelled */
  int64_t mem_capacity;     /**< MiB */
  int64_t mem_used;         /**< MiB */
  int64_t starts;
  int64_t paces;
  int64_t moves;               /**< fillers stopped to spare serving tasks */
  int64_t stalls;              /**< tasks stopped for lack of progress */
  int64_t preemptions;         /**< tasks stopped for a long-running one */
  int64_t urgent_preemptions;  /**< tasks stopped for urgent work */
  int64_t preempted_work;      /**< discarded by these, in millionths of a
                                  core-second */
  int64_t preemptions_refused; /**< decisions that the budget did not allow */
  int overdue_tasks; /**< long-running, not run for 2 s after a loss */
  int64_t overdue_beside_room; /**< times per second and step that a worker had
                                  room for such a task twice over */
  int64_t holds;           /**< workers whose room was held for a large task */
  int rack_waiting;        /**< tasks and gangs that wait for room in a
                              rack */
  int64_t rack_waits;      /**< waits begun; those that ended paid off or
                              not */
  int64_t rack_waits_paid; /**< a start in the rack, within the gain */
  int64_t rack_waits_lost; /**< given up, or the task was not started at
                              all */
  int64_t far_runs;        /**< starts away from the rack of the task's data
                              or of its group, where a task runs longer
                              there */
  int64_t crashes; /**< runs that had not settled when their worker was lost */
  int64_t losses_set_aside; /**< of these, explained by an outage */
  int64_t losses_refuted;   /**< of these, by workers that replied later */
  int64_t outages;          /**< times that many workers were lost together */
  int64_t lapsed_workers;   /**< workers whose runs ended with their leases */
  int evacuated_workers;    /**< registered, in a zone under evacuation */
  int64_t evacuation_moves; /**< tasks stopped to move them out of a zone */
  int64_t evacuated_starts; /**< starts dropped because their zone was to be
                               evacuated */
  int64_t withdrawals; /**< new jobs taken back because the store was away */
  int64_t checkpoint_bytes;    /**< of the checkpoints that are stored apart */
  int64_t checkpoints_refused; /**< too long, or without room */
  int tombstones;              /**< cancelled IDs that no job had */
  int64_t late_submissions;    /**< of such IDs, refused */
  int64_t unread_ends; /**< ended runs that workers forgot before this owner
                          read them */
  int64_t second_runs; /**< runs listed by a worker while another run of their
                          task was bound elsewhere or had ended */
  int64_t late_starts; /**< runs that were over while their start orders could
                          still be carried out */
  int64_t other_incarnation_replies; /**< replies of another incarnation than
                                        the order was for */
  int64_t refused;           /**< jobs that could be of no use any more */
  int64_t closures;          /**< times that a queue was closed */
  int64_t admitted_late;     /**< jobs expected to be late, but of use */
  int64_t admitted_too_late; /**< jobs of no use that were admitted so that a
                                queue or its largest jobs are not shut out */
  int64_t ends[KQ_SCHED_GANG_INCOMPLETE + 1];
};

void kq_sched_count (const struct kq_sched *sched,
                     struct kq_sched_counts *counts);

/** Aborts the process if an invariant of the scheduler is violated: the
 *  resources in use at a worker differ from the sum over its tasks, or a task
 *  is bound twice.  */
void kq_sched_assert (const struct kq_sched *sched);

#endif
