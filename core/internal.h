/** @file
 * Shared definitions of the decision core.  Not for use outside core/.
 */
#ifndef KQ_CORE_INTERNAL_H
#define KQ_CORE_INTERNAL_H

#include <uthash.h>

#include "config/config.h"
#include "core/core.h"
#include "job/job.h"
#include "job/run.h"
#include "lease/lease.h"
#include "worker/worker.h"

/** Time after its last heartbeat during which an entry host counts as live. */
#define KQ_MEMBER_TTL_US (1500 * KQ_USEC_PER_MSEC)

/** Interval between heartbeats. */
#define KQ_HEARTBEAT_INTERVAL_US (400 * KQ_USEC_PER_MSEC)

/** Maximum number of tasks in one BIND, RELEASE or END record. */
#define KQ_RECORD_TASKS_MAX 256

/** A record that this host appends to the log. */
struct kq_append
{
  struct kq_record *record;
  uint64_t command; /**< id of the command to reply to, if has_command */
  bool has_command;
  kq_usec deadline; /**< latest time of the reply to the command */
  kq_usec sent_at;  /**< when it was last sent; 0 = not yet */
  kq_usec lost_at;  /**< when its result was found lost; then the log is read
                       to its end before a retry; 0 = not lost */
  kq_usec retry_at; /**< after a refusal: earliest time of the retry */
  int retries;
  int64_t offset;               /**< offset in the result; 0 = not known yet */
  struct kq_append **owner_ref; /**< the owner's pointer to it, or NULL; reset
                                   when the append is freed */
  struct kq_append *prev, *next;
};

/** State of an entry host from its heartbeats and the host list. */
struct kq_member
{
  struct kq_name name;
  struct kq_name zone;
  uint64_t incarnation;
  kq_usec last_heartbeat_at; /**< when the last heartbeat arrived; 0 = never */
  kq_usec live_since;        /**< live without interruption since then */
  kq_usec config_sent_at;    /**< when the configuration was last sent to it */
  int64_t revision; /**< configuration revision in its last heartbeat */
  int64_t offset;   /**< log offset in its last heartbeat */
  bool has_left;    /**< sent a leave message in this incarnation */
  bool leaving;     /**< marked as leaving in the host list */
  char hop[64];     /**< address and port of its request hop, where it accepts
                       forwarded requests */
  UT_hash_handle hh;
};

/** The host list's entry of a worker. */
struct kq_listed_worker
{
  struct kq_host_entry entry;
  UT_hash_handle hh;
};

struct kq_shard;
struct kq_deferred_config;

/** A worker that the configuration names, with its lease and shard. */
struct kq_node
{
  struct kq_name name;
  struct kq_worker *worker;
  struct kq_lease *lease;
  struct kq_shard *shard;
  bool table_valid; /**< the lease has been held since its table was read */
  const struct kq_listed_worker *listed; /**< NULL: not in the host list yet */
  int32_t reserved_slots; /**< busy with requests of an earlier owner */
  kq_usec reserved_until;
  UT_hash_handle hh;
};

/** A shard of the configuration: a group of workers of one zone.  An entry
 *  host owns it while it holds the leases of a majority of them.  */
struct kq_shard
{
  struct kq_name name;
  struct kq_name zone;
  struct kq_node **nodes;
  struct kq_lease **leases; /**< leases of nodes, in the same order */
  size_t count;             /**< number of nodes */
  bool owner;               /**< this host owns the shard */
  kq_usec owner_since;
  uint64_t epoch;          /**< epoch that this host began; 0 until its EPOCH
                              record was read */
  uint32_t attempt_serial; /**< serial of the last attempt of that epoch */
  kq_usec epoch_at;        /**< when the EPOCH record was read */
  struct kq_append *epoch_append, *bind_append, *release_append, *end_append;
  bool all_attempts_known; /**< every attempt of its tasks that can be running
                              is known */
  kq_usec acquiring_since; /**< when the acquisition of a majority of the
                              leases began; 0 = none */
  kq_usec backoff_until;   /**< no acquisition before then */
  kq_usec unclaimed_since; /**< no host has owned or claimed the shard
                              since then */
  struct kq_name claimed_by;   /**< host whose heartbeats claim ownership */
  kq_usec claimed_at;          /**< when the last such heartbeat arrived */
  struct kq_resources largest; /**< maximum task size, per dimension, that fits
                             on an idle worker; last known */
  bool largest_known;
  struct kq_run *runs; /**< tasks bound to the shard, while it is owned */
  UT_hash_handle hh;
};

/** The current DRAIN record of a worker or host. */
struct kq_drain
{
  struct kq_name name;
  int64_t offset;  /**< offset of that record */
  bool on;         /**< false: undrained; kept, so that a copy of an earlier
                      drain is recognized as outdated */
  kq_usec read_at; /**< when that record was read */
  UT_hash_handle hh;
};

struct kq_place;

struct kq_core
{
  struct kq_core_settings settings;
  struct kq_place *place; /**< placement on the workers that this host owns */
  struct kq_lease_settings lease_settings;
  struct kq_config *config;
  int64_t config_applied; /**< revision that shards were created from */
  struct kq_jobs *jobs;
  struct kq_member *members;
  struct kq_listed_worker *listed_workers;
  struct kq_node *nodes;
  struct kq_shard *shards;
  struct kq_run *runs;
  struct kq_drain *drains;
  struct kq_append *appends;
  int64_t offset;           /**< offset of the last record read */
  int64_t caught_up_offset; /**< last offset when the log was first read to its
                               end */
  kq_usec snapshots_due_at; /**< after a gap: when the snapshots of all live
                               jobs must have been read */
  kq_usec config_received_at; /**< when the current configuration, or the last
                                 copy of it, was received */
  struct kq_append *config_append; /**< copy of the current configuration */
  int64_t gap_end; /**< first offset after a gap, until the log was read to its
                      end; otherwise 0 */
  struct kq_deferred_config *deferred_configs;
  kq_usec log_answered_at; /**< when the log last answered */
  kq_usec log_failed_at;   /**< when an append last failed with KQ_ELOG_DOWN */
  uint64_t record_serial;  /**< serial number of the last record id */
  kq_usec next_heartbeat_at; /**< when the next heartbeat is due */
  kq_usec next_tick_at;      /**< earliest time of the next tick() */
  bool view_dirty;           /**< the view has changed since KQ_FX_VIEW */
  kq_usec view_published_at; /**< time of the last KQ_FX_VIEW */
  kq_usec next_refresh_at;   /**< when the next search of refresh.c is due */
  kq_usec next_bind_at;      /**< when the next pass of bind.c is due */
  bool stopping, stopped;
  kq_usec stop_requested_at; /**< when KQ_EV_STOP arrived */
  kq_usec all_released_at;  /**< when a planned stop had released all shards */
  kq_usec previous_step_at; /**< time of the previous step */
  kq_usec now;              /**< time of the current step */
  struct kq_effects *out;   /**< effects of the current step */
};

/* effects.c */
void kq_effects_add (struct kq_effects *effects,
                     const struct kq_effect *effect);
/** Returns a copy of SIZE bytes that is valid until kq_effects_clear(); NULL
 *  when out of memory.  */
void *kq_effects_copy (struct kq_effects *effects, const void *bytes,
                       size_t size);
struct kq_record *kq_effects_copy_record (struct kq_effects *effects,
                                          const struct kq_record *record);

/* append.c */
/** Enqueues a copy of RECORD for the log, after setting its id and host.
 *  Returns NULL when out of memory.  */
struct kq_append *kq_append_enqueue (struct kq_core *core,
                                     struct kq_record *record);
void kq_append_handle_result (struct kq_core *core,
                              const struct kq_event *event);
/** Schedules a retry of lost appends: a read that began at SENT_AT reached
 *  the log's end without finding their records.  */
void kq_append_handle_log_end (struct kq_core *core, kq_usec sent_at);
/** Completes the append of RECORD, which was read at OFFSET, and replies to
 *  its command with ERR.  */
void kq_append_complete (struct kq_core *core, int64_t offset,
                         const struct kq_record *record, int err);
/** Drops the appends whose records may be among those that retention removed
 *  before FIRST, and replies KQ_ELOG_UNKNOWN to their commands.  */
void kq_append_handle_gap (struct kq_core *core, int64_t first);
void kq_append_tick (struct kq_core *core);
/** Drops the append *OWNER_REF, if any: it is not sent again. */
void kq_append_drop (struct kq_core *core, struct kq_append **owner_ref);
void kq_append_destroy_all (struct kq_core *core);

/* member.c */
void kq_member_handle_message (struct kq_core *core,
                               const struct kq_peer_message *message);
void kq_member_update_hosts (struct kq_core *core,
                             const struct kq_host_entry *entries,
                             size_t count);
void kq_member_tick (struct kq_core *core);
void kq_member_send_leave (struct kq_core *core);
bool kq_member_is_live (const struct kq_core *core,
                        const struct kq_member *member);
/** Returns this host's rank among those that may own SHARD, 0 = preferred. */
int kq_member_rank (const struct kq_core *core, const struct kq_shard *shard);
/** Returns whether this host is the refresher of the record of NAME: the one
 *  live host that appends it again before retention removes it.  */
bool kq_member_is_refresher (const struct kq_core *core, const char *name);
/** Returns a hash of the names A and B.  It is used for rendezvous hashing:
 *  of several candidates B for A, the one with the highest hash is
 *  preferred.  */
uint64_t kq_member_hash (const char *a, const char *b);

/** Returns the host list's entry of worker NAME, NULL when there is none. */
const struct kq_listed_worker *
kq_member_find_worker (const struct kq_core *core, const struct kq_name *name);
/** Frees all members and all worker entries of the host list. */
void kq_member_destroy_all (struct kq_core *core);

/** Returns whether NODE gets no new work, because of the host list or a
 *  drain.  */
bool kq_node_is_leaving (const struct kq_core *core,
                         const struct kq_node *node);

/* shard.c */
/** Returns whether another host's heartbeats claim SHARD at NOW. */
bool kq_shard_is_claimed (const struct kq_shard *shard, kq_usec now);
/** Creates and destroys shards to match the current configuration. */
void kq_shard_configure (struct kq_core *core);
void kq_shard_tick (struct kq_core *core);
void kq_shard_handle_lease_reply (struct kq_core *core,
                                  const struct kq_lease_reply *reply);
/** Ends ownership that has expired; called first in every step. */
void kq_shard_expire (struct kq_core *core);
/** Ends this host's ownership of SHARD without releasing its leases. */
void kq_shard_end_ownership (struct kq_core *core, struct kq_shard *shard);
/** Releases all leases of SHARD and ends ownership of it. */
void kq_shard_relinquish (struct kq_core *core, struct kq_shard *shard);
/** Begins a new epoch of an owned shard. */
void kq_shard_renew_epoch (struct kq_core *core, struct kq_shard *shard);
void kq_shard_destroy_all (struct kq_core *core);
void kq_shard_handle_epoch (struct kq_core *core, int64_t offset,
                            const struct kq_record *record);

/* task.c */
/** Creates, replaces or removes the run of task ID so that it agrees with the
 *  log.  */
void kq_task_sync (struct kq_core *core, const struct kq_task_id *id);
void kq_task_sync_record (struct kq_core *core,
                          const struct kq_record *record);
void kq_task_apply_table (struct kq_core *core, struct kq_node *node,
                          const struct kq_lease_reply *reply);
void kq_task_handle_reply (struct kq_core *core,
                           const struct kq_task_reply *reply);
void kq_task_tick (struct kq_core *core, struct kq_shard *shard);
/** Marks ATTEMPT for eviction: checkpoint, then stop. */
void kq_task_begin_eviction (struct kq_core *core, struct kq_attempt *attempt);
/** Sends the new share of ATTEMPT, in thousandths of full speed. */
void kq_task_throttle (struct kq_core *core, struct kq_attempt *attempt,
                       int32_t share_milli);
/** Creates the runs of all tasks that are bound to SHARD. */
void kq_task_load (struct kq_core *core, struct kq_shard *shard);
/** Removes all runs of SHARD. */
void kq_task_unload (struct kq_core *core, struct kq_shard *shard);
/** Removes NODE from placement, detaches all of its attempts from their runs
 *  and removes those that can't be running.  */
void kq_task_drop_node (struct kq_core *core, struct kq_node *node);
/** Returns the run of task ID, NULL when this host has none. */
struct kq_run *kq_task_find_run (const struct kq_core *core,
                                 const struct kq_task_id *id);

/* start.c */
void kq_start_tick (struct kq_core *core, struct kq_shard *shard);

/* quota.c */
/** Returns how many more tasks of JOB can be bound within its team's quota,
 *  at most MAX_TASKS.  */
int64_t kq_quota_remaining_tasks (const struct kq_core *core,
                                  const struct kq_job *job, int64_t max_tasks);

/* placement.c */
/** Updates placement from a table of NODE that was read under its lease. */
void kq_placement_update_worker (struct kq_core *core, struct kq_node *node,
                                 const struct kq_lease_reply *reply);
/** Removes NODE from placement when this host no longer owns it. */
void kq_placement_remove_worker (struct kq_core *core,
                                 const struct kq_node *node);
/** Chooses the worker for RUN and the size that it is started with, and
 *  records the start in placement.  Less important tasks may be throttled or
 *  evicted for it.
 *  @return 0, or why it waits.  */
int kq_placement_assign (struct kq_core *core, const struct kq_shard *shard,
                         const struct kq_run *run, struct kq_node **node,
                         struct kq_resources *grant);
/** Sets *GRANT to the size that a task of JOB is started with, and *EXPECTED
 *  to its expected usage.  */
void kq_placement_sizes (struct kq_core *core, const struct kq_job *job,
                         struct kq_resources *grant,
                         struct kq_resources *expected);
/** Returns the free capacity of NODE within the limits that placement has
 *  learned from usage reports.  */
struct kq_resources kq_placement_free_capacity (struct kq_core *core,
                                                const struct kq_node *node);
/** Throttles or evicts tasks on overloaded workers that this host owns. */
void kq_placement_tick (struct kq_core *core);
/** Applies the weights and quotas of DOCUMENT, the current configuration. */
void kq_placement_configure (struct kq_core *core,
                             const struct kq_config_document *document);

/* bind.c */
void kq_bind_tick (struct kq_core *core);

/* catchup.c */
/** Stores a CONFIG record that was read after a gap.
 *  @return 0 or KQ_ENOMEM.  */
int kq_catchup_store (struct kq_core *core, int64_t offset,
                      const struct kq_record *record);
/** Applies the stored records once the log was read to its end. */
void kq_catchup_apply (struct kq_core *core);
/** Frees the stored records. */
void kq_catchup_clear (struct kq_core *core);

/* refresh.c */
/** Marks all records read so far as due for a refresh, since their age is not
 *  known; called when the log was first read to its end.  */
void kq_refresh_mark_all_due (struct kq_core *core);
void kq_refresh_tick (struct kq_core *core);

/* command.c */
/** Checks COMMAND, and replies to it or enqueues its record.
 *  @return 0 or KQ_ENOMEM.  */
int kq_command_handle (struct kq_core *core, const struct kq_command *command);
void kq_command_reply (struct kq_core *core, uint64_t id, int err,
                       int64_t revision);

/** Returns whether the worker or host NAME is drained. */
bool kq_core_is_drained (const struct kq_core *core,
                         const struct kq_name *name);

#endif
