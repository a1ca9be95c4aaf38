/** @file
 * Input events and output effects of the decision core.
 *
 * The core is a function: state + event + now -> effects.  It has no clock,
 * no socket and no random source.  The daemon, the embedded library, the
 * golden sessions and the randomised tests all drive it through these types.
 * Pointers inside an event need to be valid during the step only; pointers
 * inside an effect are valid until the effect list is cleared.
 */
#ifndef KQ_CORE_EVENT_H
#define KQ_CORE_EVENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/name.h"

/** Amount of resources that a task needs or a worker provides. */
struct kq_resources
{
  int32_t cpu_milli;    /**< thousandths of a core */
  int32_t memory_mb;    /**< mebibytes */
  int32_t accelerators; /**< whole devices */
};

/** Identifies one task by its job and its index within the job. */
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

/** Maximum number of attempts started under one epoch of a shard. */
#define KQ_ATTEMPTS_PER_EPOCH (INT64_C (1) << 24)

/** State of an attempt, one execution of a task, in a worker's table. */
enum kq_attempt_state
{
  KQ_ATTEMPT_RUNNING,
  KQ_ATTEMPT_CHECKPOINTING,
  KQ_ATTEMPT_DONE,    /**< exited with success */
  KQ_ATTEMPT_FAILED,  /**< exited with failure */
  KQ_ATTEMPT_EVICTED, /**< stopped by a task action or a lapsed lease */
};

/** One attempt in a worker's table.  Rows of ended attempts stay until they
 *  are acknowledged.  */
struct kq_attempt_row
{
  struct kq_task_id task;
  int64_t attempt;    /**< unique number: the shard's epoch at its start times
                         KQ_ATTEMPTS_PER_EPOCH, plus a serial number */
  int64_t binding;    /**< log offset of the BIND record that it executes */
  int64_t checkpoint; /**< progress saved so far, in ms of run time */
  enum kq_attempt_state state;
  struct kq_resources size;
  int32_t share_milli; /**< 1000 = full speed, less = throttled */
};

/** Load, capacity and table of attempts of a worker, which are part of every
 *  lease reply.  */
struct kq_worker_table
{
  struct kq_resources capacity;
  int32_t slots;       /**< maximum number of concurrent requests */
  int32_t connections; /**< maximum number of open connections */
  int32_t busy_slots;  /**< requests in service now */
  int64_t usage_seq;   /**< sequence number of the last usage report; each is
                          higher by one */
  kq_usec usage_age;   /**< age of that report */
  struct kq_resources used; /**< usage in that report */
  int32_t slow_milli; /**< service time of requests in that report relative to
                         an idle worker, 1000 = equal; 0 = not reported */
  bool throttled;     /**< the rack's power guard throttles this worker */
  const struct kq_attempt_row *rows;
  size_t row_count;
};

/** Reply of a worker to an acquire, renew or release of its lease. */
struct kq_lease_reply
{
  struct kq_name worker;
  kq_usec sent_at; /**< send time of the request by this host's clock */
  int err;         /**< 0, KQ_ELEASE_HELD, KQ_ELEASE_TERM, KQ_EWORKER_SILENT */
  uint64_t term;   /**< the worker's current term: increases with each acquire,
                      unchanged by renewals */
  uint64_t serial; /**< number of lease requests that the worker accepted */
  struct kq_name holder;        /**< current lease holder, empty if none; see
                                   kq_core_holder() */
  kq_usec remaining;            /**< time until the holder's lease lapses */
  struct kq_worker_table table; /**< valid unless err is KQ_EWORKER_SILENT */
};

/** Action that a worker can perform on one attempt. */
enum kq_task_action
{
  KQ_TASK_START,
  KQ_TASK_STOP,
  KQ_TASK_CHECKPOINT,
  KQ_TASK_THROTTLE,
  KQ_TASK_ACK
};

/** Reply of a worker to a task action. */
struct kq_task_reply
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
  struct kq_resources size;
  int64_t run_ms; /**< declared run time of a task; 0 for services */
};

/** One task in a BIND, RELEASE or END record. */
struct kq_task_ref
{
  struct kq_task_id task;
  int64_t binding;    /**< offset of the current BIND record; 0 = none */
  int64_t checkpoint; /**< RELEASE: the task resumes from here, in ms of run
                         time */
  int err;            /**< END: 0, or why the task failed for good */
};

enum kq_record_kind
{
  KQ_REC_CONFIG,   /**< a configuration that an operator published */
  KQ_REC_JOB,      /**< a submitted job */
  KQ_REC_CANCEL,   /**< a cancelled job */
  KQ_REC_BIND,     /**< tasks bound to a shard */
  KQ_REC_EPOCH,    /**< a host became owner of a shard */
  KQ_REC_RELEASE,  /**< tasks that a shard's owner unbound */
  KQ_REC_END,      /**< tasks that have ended */
  KQ_REC_DRAIN,    /**< a worker or host is drained, or undrained */
  KQ_REC_SNAPSHOT, /**< state of a live job, appended before retention removes
                      the records that it was built from */
};

/** Consecutive tasks of a job with the same state, in a snapshot. */
struct kq_task_range
{
  int32_t first;
  int32_t count;
  bool ended;
  int64_t binding;      /**< 0 = bound to no shard */
  int64_t checkpoint;   /**< the tasks resume from here, in ms of run time */
  struct kq_name shard; /**< empty = bound to no shard */
};

/** A decoded record of the platform's log. */
struct kq_record
{
  enum kq_record_kind kind;
  struct kq_name id; /**< unique; identifies an append whose result was lost */
  struct kq_name host; /**< the entry host that appended it */
  union
  {
    struct
    {
      int64_t base;     /**< revision that it is based on */
      const char *text; /**< JSON document */
      bool copy;        /**< copy of revision base, appended before retention
                           removes the original */
    } config;
    struct kq_job job;
    struct kq_name cancel; /**< job id */
    struct
    {
      struct kq_name shard;
      uint64_t epoch; /**< epoch of the shard: see u.epoch */
      const struct kq_task_ref *tasks;
      size_t count;
    } tasks; /**< BIND, RELEASE, END */
    struct
    {
      struct kq_name shard;
      uint64_t epoch; /**< previous epoch, for information only: the epoch of a
                         shard is the offset of its last EPOCH record */
    } epoch;
    struct
    {
      struct kq_name name;
      bool on;
      int64_t base; /**< 0: command of an operator; otherwise a copy of the
                       record at this offset, ignored unless that one is
                       current or none is known */
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

/** One entry of the platform's list of hosts.  The list is eventually
 *  consistent.  */
struct kq_host_entry
{
  struct kq_name name;
  struct kq_name zone;
  struct kq_name region;
  struct kq_name rack;
  bool worker;       /**< a worker; otherwise an entry host */
  bool leaving;      /**< accepts no new work */
  char address[64];  /**< workers: control address; entry hosts: peer socket */
  char endpoint[64]; /**< workers: request endpoint; entry hosts: request hop,
                        where requests forwarded by other entry hosts arrive */
};

/** State of a shard in its owner's heartbeats. */
struct kq_shard_state
{
  struct kq_name name;
  uint64_t epoch;              /**< 0 while the owner has none */
  struct kq_resources largest; /**< maximum task size, per dimension, that fits
                             on an idle worker of the shard */
};

/** Messages between entry hosts about ownership. */
enum kq_peer_kind
{
  KQ_PEER_HEARTBEAT, /**< sender is live; states its offset and its shards */
  KQ_PEER_RECORD,    /**< a record that the sender has read, with its offset */
  KQ_PEER_LEAVE,     /**< leave message: the sender stops and has released its
                          leases */
};

struct kq_peer_message
{
  enum kq_peer_kind kind;
  struct kq_name from;
  struct kq_name zone;
  uint64_t incarnation; /**< increases with each start of the sender */
  uint64_t view;        /**< hash of the entry hosts that are live for the
                           sender */
  int64_t offset;       /**< HEARTBEAT: last offset read; RECORD: its offset */
  int64_t revision;     /**< current configuration revision of the sender */
  const struct kq_shard_state *shards; /**< HEARTBEAT: shards of the sender */
  size_t shard_count;
  const struct kq_record *record; /**< RECORD only */
};

/** A command of an operator that changes stored state. */
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
  uint64_t id;         /**< repeated in the reply */
  struct kq_name name; /**< job, worker or host */
  struct kq_job job;   /**< SUBMIT */
  int64_t base;        /**< CONFIGURE: revision that it is based on */
  const char *text;    /**< CONFIGURE: JSON document */
};

enum kq_event_kind
{
  KQ_EV_TICK,          /**< periodic, at least every 100 ms */
  KQ_EV_LEASE,         /**< reply of a worker to a lease request */
  KQ_EV_TASK,          /**< reply of a worker to a task action */
  KQ_EV_RECORD,        /**< next record of the log, in order of offset */
  KQ_EV_APPEND_RESULT, /**< result of a KQ_FX_APPEND */
  KQ_EV_LOG_END, /**< a read that began at sent_at reached the log's end */
  KQ_EV_LOG_GAP, /**< records before offset were removed by retention */
  KQ_EV_HOSTS,   /**< new copy of the platform's list of hosts */
  KQ_EV_PEER,    /**< message of another entry host */
  KQ_EV_COMMAND,
  KQ_EV_STOP /**< planned stop: release all leases, then KQ_FX_STOPPED */
};

struct kq_event
{
  enum kq_event_kind kind;
  union
  {
    struct kq_lease_reply lease;
    struct kq_task_reply task;
    struct
    {
      int64_t offset;
      const struct kq_record *record;
    } record;
    struct
    {
      struct kq_name id;
      int64_t offset;
      int err; /**< 0; KQ_ELOG_BUSY: not appended; KQ_ELOG_DOWN: the record may
                  or may not have been appended */
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
  KQ_FX_LEASE,  /**< acquire, renew (same term) or release (ttl 0) a lease */
  KQ_FX_TASK,   /**< send a task action to a worker */
  KQ_FX_APPEND, /**< append a record to the log */
  KQ_FX_PEER,   /**< send a message to a peer, or to all when to is empty */
  KQ_FX_REPLY,  /**< result of an operator's command */
  KQ_FX_VIEW,   /**< the result of kq_core_view() has changed */
  KQ_FX_STOPPED /**< all leases are released; the process may exit */
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
      kq_usec task_ttl; /**< every running attempt may run at least this much
                           longer; 0 = the end of each stays unchanged */
    } lease;
    struct
    {
      struct kq_name worker;
      uint64_t term;
      uint64_t serial; /**< last serial known; the worker also accepts the one
                          before */
      enum kq_task_action action;
      struct kq_attempt_row row; /**< START uses all fields; other actions the
                                    ids and, for THROTTLE, share_milli */
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
      int64_t revision; /**< offset of the accepted record; on
                           KQ_ECONFIG_CONFLICT the current revision */
    } reply;
  } u;
};

#endif
