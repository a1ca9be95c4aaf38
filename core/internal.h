/** @file
 * What the files of the decision core share.  Not for use outside core/.
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

/** An entry host counts as live this long after its last heartbeat. */
#define KQ_MEMBER_TTL (1500 * KQ_USEC_PER_MSEC)

/** Between two heartbeats. */
#define KQ_HEARTBEAT_EVERY (400 * KQ_USEC_PER_MSEC)

/** Tasks in one BIND, RELEASE or END record. */
#define KQ_BATCH_MAX 256

/** A record that this host wants in the log. */
struct kq_append
{
  struct kq_record *record;
  uint64_t command; /**< reply to it; 0 = nobody waits */
  bool has_command;
  kq_usec deadline; /**< of the command */
  kq_usec sent_at;  /**< last sent; 0 = not yet */
  kq_usec lost_at;  /**< answer lost then; look before a retry */
  kq_usec retry_at; /**< refused; not before then */
  int retries;
  int64_t offset;          /**< where the log says it is; 0 = not known */
  struct kq_append **slot; /**< where its owner keeps it, or NULL */
  struct kq_append *prev, *next;
};

/** An entry host as heartbeats and the host list show it. */
struct kq_member
{
  struct kq_name name;
  struct kq_name zone;
  uint64_t incarnation;
  kq_usec heard_at;   /**< last heartbeat; 0 = never */
  kq_usec live_since; /**< heartbeats without a break since then */
  kq_usec pushed_at;  /**< configuration last sent to it */
  int64_t revision;
  int64_t offset;
  bool left;    /**< said goodbye in this incarnation */
  bool leaving; /**< the host list or a drain says so */
  char hop[64];
  UT_hash_handle hh;
};

/** A worker as the host list shows it. */
struct kq_listed
{
  struct kq_host_entry entry;
  UT_hash_handle hh;
};

struct kq_shard;
struct kq_late_config;

/** A worker of the configuration. */
struct kq_node
{
  struct kq_name name;
  struct kq_worker *worker;
  struct kq_lease *lease;
  struct kq_shard *shard;
  bool known; /**< its table was read under an unbroken claim */
  const struct kq_listed *listed; /**< NULL: not in the host list yet */
  int32_t reserved_slots;
  kq_usec reserved_until;
  UT_hash_handle hh;
};

/** A shard of the configuration. */
struct kq_shard
{
  struct kq_name name;
  struct kq_name zone;
  struct kq_node **nodes;
  struct kq_lease **leases; /**< of the nodes */
  size_t count;
  bool owner;
  kq_usec owner_since;
  uint64_t epoch;          /**< this host's own, 0 until its record was read */
  uint32_t attempt_serial; /**< of the last start under that epoch */
  kq_usec epoch_at;        /**< when that was */
  struct kq_append *epoch_append, *bind, *release, *end;
  bool all_clear;      /**< no unlisted attempt of its tasks can be alive */
  kq_usec seeks_since; /**< tries to get a majority since then; 0 = no */
  kq_usec rests_until; /**< no try before then */
  kq_usec unclaimed_since;
  struct kq_name claimed_by; /**< by its heartbeats */
  kq_usec claimed_at;
  struct kq_size largest; /**< largest task a worker can carry, last known */
  bool largest_known;
  struct kq_run *runs;
  UT_hash_handle hh;
};

struct kq_drain
{
  struct kq_name name;
  int64_t offset;   /**< of the record in force */
  bool on;          /**< false: undrained; remembered */
  kq_usec noted_at; /**< when that record was read */
  UT_hash_handle hh;
};

struct kq_place;

struct kq_core
{
  struct kq_core_settings settings;
  struct kq_place *place; /**< of the workers that this host owns */
  struct kq_lease_terms terms;
  struct kq_config *config;
  int64_t config_applied; /**< revision that shards were made from */
  struct kq_jobs *jobs;
  struct kq_member *members;
  struct kq_listed *listed;
  struct kq_node *nodes;
  struct kq_shard *shards;
  struct kq_run *runs;
  struct kq_drain *drains;
  struct kq_append *appends;
  int64_t offset;       /**< last record read */
  int64_t caught_up_at; /**< offset when the log was first read to its end */
  kq_usec rebuilt_at;   /**< after a gap, all snapshots have come by then */
  kq_usec config_at;    /**< when the configuration in force was learned */
  struct kq_append *config_append;
  int64_t gap_end; /**< first offset after a gap, until all is read; or 0 */
  struct kq_late_config *late_configs;
  kq_usec log_ok_at, log_down_at;
  uint64_t serial;
  kq_usec heartbeat_at;
  kq_usec tick_at;
  bool view_dirty;
  kq_usec view_at;
  kq_usec refresh_at;
  kq_usec bind_at;
  bool stopping, stopped;
  kq_usec stop_at;
  kq_usec released_at;    /**< all shards handed over in a planned stop */
  kq_usec step_at;        /**< of the step before */
  kq_usec now;            /**< of the step */
  struct kq_effects *out; /**< of the step */
};

/* effects.c */
void kq_effects_add (struct kq_effects *effects,
                     const struct kq_effect *effect);
/** Copies SIZE bytes; the copy lives until kq_effects_clear(). */
void *kq_effects_keep (struct kq_effects *effects, const void *bytes,
                       size_t size);
struct kq_record *kq_effects_keep_record (struct kq_effects *effects,
                                          const struct kq_record *record);

/* append.c */
/** Wants RECORD, a copy of which is kept, in the log; sets its id and host.
 *  Returns NULL when out of memory.  */
struct kq_append *kq_append_want (struct kq_core *core,
                                  struct kq_record *record);
void kq_append_answer (struct kq_core *core, const struct kq_event *event);
/** Takes the end of a read that began at SENT_AT and found all records. */
void kq_append_log_end (struct kq_core *core, kq_usec sent_at);
/** Ends the append that RECORD, just read, fulfils, and replies. */
void kq_append_landed (struct kq_core *core, int64_t offset,
                       const struct kq_record *record, int err);
/** Settles the appends whose records were removed before FIRST unread. */
void kq_append_gap (struct kq_core *core, int64_t first);
void kq_append_tick (struct kq_core *core);
/** Drops the append *SLOT if any: it is not sent again. */
void kq_append_drop (struct kq_core *core, struct kq_append **slot);
void kq_append_destroy_all (struct kq_core *core);

/* member.c */
void kq_member_heard (struct kq_core *core,
                      const struct kq_peer_message *message);
void kq_member_hosts (struct kq_core *core,
                      const struct kq_host_entry *entries, size_t count);
void kq_member_tick (struct kq_core *core);
void kq_member_goodbye (struct kq_core *core);
bool kq_member_live (const struct kq_core *core,
                     const struct kq_member *member);
/** Rank of this host among those that may own SHARD, 0 = preferred. */
int kq_member_rank (const struct kq_core *core, const struct kq_shard *shard);
/** Whether this host is the one of all live ones that looks after NAME. */
bool kq_member_keeper (const struct kq_core *core, const char *name);
uint64_t kq_member_hash (const char *a, const char *b);

/** Returns the host list's entry of worker NAME, NULL when there is none. */
const struct kq_listed *kq_member_listed (const struct kq_core *core,
                                          const struct kq_name *name);
void kq_member_destroy_all (struct kq_core *core);

/** Whether NODE gets no new work, by host list or drain. */
bool kq_node_leaving (const struct kq_core *core, const struct kq_node *node);

/* shard.c */
/** Whether another host's heartbeats claim SHARD at NOW. */
bool kq_shard_claimed (const struct kq_shard *shard, kq_usec now);
void kq_shard_configure (struct kq_core *core);
void kq_shard_tick (struct kq_core *core);
void kq_shard_lease_answer (struct kq_core *core,
                            const struct kq_lease_answer *answer);
/** Ends ownership that has run out by now; called before anything else. */
void kq_shard_expire (struct kq_core *core);
void kq_shard_lose (struct kq_core *core, struct kq_shard *shard);
void kq_shard_give_up (struct kq_core *core, struct kq_shard *shard);
/** Begins a new epoch of an owned shard. */
void kq_shard_renew_epoch (struct kq_core *core, struct kq_shard *shard);
void kq_shard_destroy_all (struct kq_core *core);
void kq_shard_epoch_read (struct kq_core *core, int64_t offset,
                          const struct kq_record *record);

/* task.c */
/** Makes the runs of TASK agree with the log. */
void kq_task_sync (struct kq_core *core, const struct kq_task_id *id);
void kq_task_sync_record (struct kq_core *core,
                          const struct kq_record *record);
void kq_task_table (struct kq_core *core, struct kq_node *node,
                    const struct kq_lease_answer *answer);
void kq_task_answer (struct kq_core *core,
                     const struct kq_task_answer *answer);
void kq_task_tick (struct kq_core *core, struct kq_shard *shard);
/** Moves the task of ATTEMPT away: checkpoint, then stop. */
void kq_task_move (struct kq_core *core, struct kq_attempt *attempt);
/** Sets the share of ATTEMPT's worker that it may use, in thousandths. */
void kq_task_throttle (struct kq_core *core, struct kq_attempt *attempt,
                       int32_t share_milli);
void kq_task_load (struct kq_core *core, struct kq_shard *shard);
void kq_task_unload (struct kq_core *core, struct kq_shard *shard);
void kq_task_drop_node (struct kq_core *core, struct kq_node *node);
struct kq_run *kq_task_run (const struct kq_core *core,
                            const struct kq_task_id *id);

/* start.c */
void kq_start_tick (struct kq_core *core, struct kq_shard *shard);

/* quota.c */
/** Returns how many more tasks of JOB its team's quota allows to be bound, at
 *  most MOST.  */
int64_t kq_quota_tasks (const struct kq_core *core, const struct kq_job *job,
                        int64_t most);

/* advise.c */
/** Tells placement what a table of NODE, read under its lease, says. */
void kq_advise_table (struct kq_core *core, struct kq_node *node,
                      const struct kq_lease_answer *answer);
/** Tells placement that NODE is this host's no more. */
void kq_advise_drop (struct kq_core *core, const struct kq_node *node);
/** Chooses where RUN is started, and the size that its start states, and
 *  notes the start; less important tasks may be slowed down or moved for it.
 *  @return 0, or why it waits.  */
int kq_advise_start (struct kq_core *core, const struct kq_shard *shard,
                     const struct kq_run *run, struct kq_node **node,
                     struct kq_size *grant);
/** Says with which size a task of JOB is started, and what it is expected to
 *  use.  */
void kq_advise_sizes (struct kq_core *core, const struct kq_job *job,
                      struct kq_size *grant, struct kq_size *expected);
/** Returns what learned limits leave on NODE. */
struct kq_size kq_advise_limits (struct kq_core *core,
                                 const struct kq_node *node);
/** Relieves owned workers under pressure. */
void kq_advise_tick (struct kq_core *core);
/** Takes weights and quotas of the configuration in force. */
void kq_advise_configure (struct kq_core *core,
                          const struct kq_config_document *document);

/* bind.c */
void kq_bind_tick (struct kq_core *core);

/* catchup.c */
/** Keeps a CONFIG record that was read after a gap. */
int kq_catchup_keep (struct kq_core *core, int64_t offset,
                     const struct kq_record *record);
/** Judges the kept records now that the log was read to its end. */
void kq_catchup_end (struct kq_core *core);
void kq_catchup_drop (struct kq_core *core);

/* refresh.c */
/** Marks what was learned so far as old: its age is not known. */
void kq_refresh_caught_up (struct kq_core *core);
void kq_refresh_tick (struct kq_core *core);

/* command.c */
int kq_command_take (struct kq_core *core, const struct kq_command *command);
void kq_command_reply (struct kq_core *core, uint64_t id, int err,
                       int64_t revision);

bool kq_core_drained (const struct kq_core *core, const struct kq_name *name);

#endif
