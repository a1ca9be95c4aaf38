/** @file
 * The decision core of one entry host, a host that accepts the requests and
 * jobs of callers and owns shards of workers.
 *
 * It combines shards with their worker leases, jobs, configuration and
 * membership, and changes state in kq_core_step() only.  Not thread-safe.
 */
#ifndef KQ_CORE_CORE_H
#define KQ_CORE_CORE_H

#include <jansson.h>

#include "core/event.h"

struct kq_core;
struct kq_effects;

struct kq_core_settings
{
  struct kq_name host;
  struct kq_name zone;
  struct kq_name region;
  uint64_t incarnation;   /**< increases with each start of the host */
  kq_usec lease_ttl;      /**< time to live of a worker lease */
  kq_usec task_ttl;       /**< time to live of a running attempt without
                             renewal */
  kq_usec renew_interval; /**< interval between renewals of a lease */
  int32_t clock_rate_ppm; /**< bound on clock rate error, parts per million */
  kq_usec refresh_interval; /**< current records that are older than this are
                            appended again; at most a third of the log's
                            retention time */
};

/** Sets the durations and clock_rate_ppm of SETTINGS to their defaults; host,
 *  zone, region and incarnation stay unchanged.  */
void kq_core_settings_default (struct kq_core_settings *settings);

/** Creates a core with empty state; NULL when out of memory. */
struct kq_core *kq_core_create (const struct kq_core_settings *settings);

void kq_core_destroy (struct kq_core *core);

/** Returns the name under which CORE holds leases: the host and its
 *  incarnation.  KQ_FX_LEASE and KQ_FX_TASK must be sent under this name, so
 *  that after a restart a delayed request of the earlier incarnation is not
 *  mistaken for a request of this one.  A worker rejects a delayed request by
 *  its serial; the caller must still time out a request without a reply
 *  within lease_ttl, so that the next request is sent in time.  */
const struct kq_name *kq_core_holder (const struct kq_core *core);

/** Processes EVENT at time NOW and appends the resulting effects to OUT.  A
 *  violated invariant ends the process with abort().
 *  @return 0, or KQ_EINVAL for an invalid event, which changes no state.  */
int kq_core_step (struct kq_core *core, kq_usec now,
                  const struct kq_event *event, struct kq_effects *out);

/** Creates an empty list of effects. */
struct kq_effects *kq_effects_create (void);
void kq_effects_destroy (struct kq_effects *effects);

/** Removes the oldest effect from the list and stores it in *EFFECT.
 *  Pointers in it stay valid until kq_effects_clear().
 *  @return false when the list is empty.  */
bool kq_effects_pop (struct kq_effects *effects, struct kq_effect *effect);

/** Empties the list and frees the memory that its effects point to. */
void kq_effects_clear (struct kq_effects *effects);

/** Tables that operators can query. */
enum kq_table
{
  KQ_TABLE_HOSTS,
  KQ_TABLE_WORKERS,
  KQ_TABLE_SERVICES,
  KQ_TABLE_JOBS,
  KQ_TABLE_TASKS,
  KQ_TABLE_SHARDS,
  KQ_TABLE_HISTORY
};

/** Returns the rows of TABLE as a new JSON array of flat objects, NULL when
 *  out of memory.  Each has a "name", a "state" and, where something waits or
 *  failed, a "reason".  */
json_t *kq_core_rows (const struct kq_core *core, enum kq_table table,
                      kq_usec now);

/** Returns the current configuration as a new JSON object with "revision"
 *  and "document", or NULL when none is known.  */
json_t *kq_core_config (const struct kq_core *core);

/** One worker as the request path sees it. */
struct kq_view_worker
{
  struct kq_name name;
  struct kq_name zone;
  struct kq_name region;
  struct kq_name owner;   /**< entry host; empty if unknown */
  bool owned;             /**< this host holds its lease */
  bool leaving;           /**< accepts no new work */
  kq_usec owned_until;    /**< end of this host's authority over the worker */
  kq_usec reserved_until; /**< end of the reservation of reserved_slots */
  int32_t reserved_slots; /**< slots still busy with requests of an earlier
                             owner */
  int32_t slots;          /**< maximum number of concurrent requests */
  int32_t connections;    /**< maximum number of open connections */
  char endpoint[64];      /**< address and port of the worker's endpoint */
  char owner_hop[64];     /**< address and port of the owner's request hop,
                             where it accepts forwarded requests */
};

/** One service as the request path sees it. */
struct kq_view_service
{
  struct kq_name name;
  int32_t importance;
  int32_t deadline_ms;     /**< default when the caller sets no deadline */
  bool idempotent;         /**< all of its requests are idempotent */
  struct kq_name *workers; /**< workers that serve it; owned by the view */
  size_t worker_count;     /**< 0: every worker */
};

/** An immutable snapshot of workers and services for the request path; see
 *  KQ_FX_VIEW.  */
struct kq_view
{
  int64_t revision;
  size_t worker_count;
  size_t service_count;
  struct kq_view_worker *workers;
  struct kq_view_service *services;
};

/** Returns a new view, to be freed with kq_view_free(); NULL when out of
 *  memory.  */
struct kq_view *kq_core_view (const struct kq_core *core, kq_usec now);
void kq_view_free (struct kq_view *view);

#endif
