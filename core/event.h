/** @file
 * Events that the decision core takes, and effects that it asks for.
 *
 * The core is a function: state + event + now -> effects.  It has no clock,
 * no socket and no random source.  The daemon, the embedded library, the
 * golden sessions and the randomised runs all drive it through these types.
 * Pointers inside an event are valid during the step only; pointers inside
 * an effect belong to the effect list until it is cleared.
 */
#ifndef KQ_CORE_EVENT_H
#define KQ_CORE_EVENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/name.h"

/** What a task needs or a worker has. */
struct kq_size
{
  int32_t cpu_milli;    /**< thousandths of a core */
  int32_t memory_mb;    /**< mebibytes */
  int32_t accelerators; /**< whole devices */
};

/** Names one task: its job and its index within the job. */
struct kq_task_id
{
  struct kq_name job;
  int32_t index;
};

enum kq_task_kind
{
  KQ_TASK_BATCH,
  KQ_TASK_SERVICE
};

/** Attempts that can be started under one epoch of a shard. */
#define KQ_ATTEMPTS_PER_EPOCH (INT64_C (1) << 24)

/** How an attempt stands in a worker's table. */
enum kq_attempt_state
{
  KQ_ATTEMPT_RUNNING,
  KQ_ATTEMPT_CHECKPOINTING,
  KQ_ATTEMPT_DONE,    /**< ended by itself with success */
  KQ_ATTEMPT_FAILED,  /**< ended by itself with failure */
  KQ_ATTEMPT_EVICTED, /**< stopped by command or by a lapsed lease */
};

/** One row of a worker's table.  Ended rows stay until acknowledged. */
struct kq_attempt_row
{
  struct kq_task_id task;
  int64_t attempt;    /**< unique: the shard's epoch it was started under
                         times KQ_ATTEMPTS_PER_EPOCH, plus a serial */
  int64_t binding;    /**< offset of the bind record it was started for */
  int64_t checkpoint; /**< progress saved so far, in run milliseconds */
  enum kq_attempt_state state;
  struct kq_size size;
  int32_t share_milli; /**< 1000 = full speed, less = throttled */
};

/** What a worker says of itself in every answer. */
struct kq_worker_table
{
  struct kq_size capacity;
  int32_t slots;       /**< requests that it serves at the same time */
  int32_t connections; /**< open connections that it takes */
  int32_t busy_slots;  /**< requests being served now */
  int64_t usage_seq;   /**< number of the usage report, rising by one */
  kq_usec usage_lag;   /**< age of that report */
  struct kq_size used; /**< usage that the report states */
  int32_t slow_milli;  /**< time of service of requests in that report,
                          relative to an idle worker, 1000 = as fast; 0 = not
                          stated */
  bool throttled;      /**< the rack's power guard slows this worker */
  const struct kq_attempt_row *rows;
  size_t row_count;
};

/** Answer of a worker to an acquire, renew or release. */
struct kq_lease_answer
{
  struct kq_name worker;
  kq_usec sent_at; /**< when this host sent the request, by its own clock */
  int err;         /**< 0, KQ_ELEASE_HELD, KQ_ELEASE_TERM, KQ_EWORKER_SILENT */
  uint64_t term;   /**< the current term at the worker */
  uint64_t serial; /**< lease requests that the worker has accepted */
  struct kq_name holder;        /**< the current holder, empty if none; see
                                   kq_core_holder() */
  kq_usec left;                 /**< time until the holder's lease lapses */
  struct kq_worker_table table; /**< valid when err is not SILENT */
};

/** What can be asked of one attempt. */
enum kq_task_action
{
  KQ_TASK_START,
  KQ_TASK_STOP,
  KQ_TASK_CHECKPOINT,
  KQ_TASK_THROTTLE,
  KQ_TASK_ACK
};

/** Answer of a worker to a task action. */
struct kq_task_answer
{
  struct kq_name worker;
  struct kq_task_id task;
  int64_t attempt;
  enum kq_task_action action;
  int err; /**< 0, KQ_ELEASE_TERM, KQ_ELEASE_LAPSED, KQ_EEXIST, KQ_ENOENT,
              KQ_EWORKER_FULL, KQ_EWORKER_SILENT (may have taken effect) */
};

/** A job as an operator submits it. */
struct kq_job
{
  struct kq_name id;
  struct kq_name team;
  struct kq_name zone; /**< empty: any zone */
  enum kq_task_kind kind;
  int32_t importance; /**< 0 (least) to 9 */
  int32_t tasks;      /**< 1 to 100,000 */
  struct kq_size size;
  int64_t run_ms; /**< declared run time of a task; 0 for services */
};

/** One task bound to a shard, or released from it, or ended. */
struct kq_task_ref
{
  struct kq_task_id task;
  int64_t binding;    /**< offset of the bind record in force; 0 = none */
  int64_t checkpoint; /**< released tasks resume from here */
  int err;            /**< of an end: 0 or why the task is given up */
};

enum kq_record_kind
{
  KQ_REC_CONFIG,   /**< a configuration an operator published */
  KQ_REC_JOB,      /**< a submitted job */
  KQ_REC_CANCEL,   /**< a cancelled job */
  KQ_REC_BIND,     /**< tasks bound to a shard */
  KQ_REC_EPOCH,    /**< a host became owner of a shard */
  KQ_REC_RELEASE,  /**< tasks given back by a shard's owner */
  KQ_REC_END,      /**< tasks that have ended */
  KQ_REC_DRAIN,    /**< a worker or host is drained, or undrained */
  KQ_REC_SNAPSHOT, /**< a live job, re-appended before retention removes the
                      records that it was made from */
};

/** Tasks of a job that stand alike, in a snapshot. */
struct kq_task_range
{
  int32_t first;
  int32_t count;
  bool ended;
  int64_t binding;      /**< 0 = bound to no shard */
  int64_t checkpoint;   /**< resume from here */
  struct kq_name shard; /**< empty = bound to no shard */
};

/** A record of the platform's log, decoded. */
struct kq_record
{
  enum kq_record_kind kind;
  struct kq_name id;   /**< unique; finds an append whose answer was lost */
  struct kq_name host; /**< the entry host that appended it */
  union
  {
    struct
    {
      int64_t base;     /**< revision that it was made from */
      const char *text; /**< JSON document */
      bool copy;        /**< repeats revision BASE before retention */
    } config;
    struct kq_job job;
    struct kq_name cancel; /**< job id */
    struct
    {
      struct kq_name shard;
      uint64_t epoch; /**< the shard's epoch, see KQ_REC_EPOCH */
      const struct kq_task_ref *tasks;
      size_t count;
    } tasks; /**< BIND, RELEASE, END */
    struct
    {
      struct kq_name shard;
      uint64_t epoch; /**< the one before; for information only: the epoch
                         of a shard is the offset of its last EPOCH record */
    } epoch;
    struct
    {
      struct kq_name name;
      bool on;
      int64_t base; /**< 0: an operator's; otherwise void unless the record at
                       this offset is in force or nothing is known */
    } drain;
    struct
    {
      struct kq_job job;
      int64_t as_of; /**< last offset that the snapshot includes */
      bool cancelled;
      const struct kq_task_range *ranges;
      size_t count;
    } snapshot;
  } u;
};

/** One entry of the platform's list of hosts, which lags. */
struct kq_host_entry
{
  struct kq_name name;
  struct kq_name zone;
  struct kq_name region;
  struct kq_name rack;
  bool worker;       /**< a worker; otherwise an entry host */
  bool leaving;      /**< takes no new work */
  char address[64];  /**< workers: control; entry hosts: peer socket */
  char endpoint[64]; /**< workers: requests; entry hosts: request hop */
};

/** A shard as its owner tells it to the other entry hosts. */
struct kq_shard_state
{
  struct kq_name name;
  uint64_t epoch;         /**< 0 while the owner has none */
  struct kq_size largest; /**< largest task that a worker can ever carry */
};

/** Messages between entry hosts about ownership. */
enum kq_peer_kind
{
  KQ_PEER_HEARTBEAT, /**< sender lives; says its offset and its shards */
  KQ_PEER_RECORD,    /**< a record the sender has seen, with its offset */
  KQ_PEER_GOODBYE,   /**< the sender stops and has released its leases */
};

struct kq_peer_message
{
  enum kq_peer_kind kind;
  struct kq_name from;
  struct kq_name zone;
  uint64_t incarnation; /**< rises each time the sender starts */
  uint64_t view;        /**< hash of the membership the sender sees */
  int64_t offset;       /**< HEARTBEAT: last offset seen; RECORD: its offset */
  int64_t revision;     /**< configuration in force at the sender */
  const struct kq_shard_state *shards; /**< HEARTBEAT: what the sender owns */
  size_t shard_count;
  const struct kq_record *record; /**< RECORD only */
};

/** A command of an operator that changes something. */
enum kq_command_kind
{
  KQ_CMD_SUBMIT,
  KQ_CMD_CANCEL,
  KQ_CMD_DRAIN,
  KQ_CMD_UNDRAIN,
  KQ_CMD_CONFIGURE
};

struct kq_command
{
  enum kq_command_kind kind;
  uint64_t id;         /**< names the reply */
  struct kq_name name; /**< job, worker or host */
  struct kq_job job;   /**< SUBMIT */
  int64_t base;        /**< CONFIGURE: revision that it was made from */
  const char *text;    /**< CONFIGURE: JSON document */
};

enum kq_event_kind
{
  KQ_EV_TICK, /**< time has passed; sent at least every 100 ms */
  KQ_EV_LEASE,
  KQ_EV_TASK,
  KQ_EV_RECORD,   /**< next record of the log, in order of offset */
  KQ_EV_APPENDED, /**< outcome of an append this host asked for */
  KQ_EV_LOG_END,  /**< a read that began at sent_at reached the log's end */
  KQ_EV_LOG_GAP,  /**< records before offset were removed by retention */
  KQ_EV_HOSTS,
  KQ_EV_PEER,
  KQ_EV_COMMAND,
  KQ_EV_STOP /**< planned stop: hand over, then say KQ_FX_STOPPED */
};

struct kq_event
{
  enum kq_event_kind kind;
  union
  {
    struct kq_lease_answer lease;
    struct kq_task_answer task;
    struct
    {
      int64_t offset;
      const struct kq_record *record;
    } record;
    struct
    {
      struct kq_name id;
      int64_t offset;
      int err; /**< 0; KQ_ELOG_BUSY: not appended; KQ_ELOG_DOWN: unknown */
    } appended;
    struct
    {
      kq_usec sent_at;
      int64_t offset; /**< first offset after the end, or after the gap */
    } log;
    struct
    {
      const struct kq_host_entry *entries;
      size_t count;
    } hosts;
    struct kq_peer_message peer;
    struct kq_command command;
  } u;
};

enum kq_effect_kind
{
  KQ_FX_LEASE,  /**< acquire, renew (same term) or release (ttl 0) */
  KQ_FX_TASK,   /**< a task action */
  KQ_FX_APPEND, /**< append a record to the log */
  KQ_FX_PEER,   /**< send a message to a peer, or to all when to is empty */
  KQ_FX_REPLY,  /**< outcome of an operator's command */
  KQ_FX_VIEW,   /**< what the request path uses has changed */
  KQ_FX_STOPPED /**< everything is handed over; the process may end */
};

struct kq_effect
{
  enum kq_effect_kind kind;
  union
  {
    struct
    {
      struct kq_name worker;
      uint64_t term;   /**< the term expected at the worker */
      uint64_t serial; /**< the serial expected at the worker */
      kq_usec ttl;
      kq_usec task_ttl; /**< every running attempt lives at least this much
                           longer; 0 leaves the end of each as it is */
    } lease;
    struct
    {
      struct kq_name worker;
      uint64_t term;
      uint64_t serial; /**< the last serial known; one older is taken, too */
      enum kq_task_action action;
      struct kq_attempt_row row; /**< START uses all fields; others the ids
                                    and, for THROTTLE, share_milli */
      enum kq_task_kind task_kind;
      int64_t run_ms;
    } task;
    struct kq_record *append;
    struct
    {
      struct kq_name to;
      struct kq_peer_message message;
    } peer;
    struct
    {
      uint64_t id;
      int err;
      int64_t revision; /**< offset of the accepted record, or the winner's */
    } reply;
  } u;
};

#endif
