/** @file
 * The decision core of one entry host.
 *
 * It composes the aggregates (shards with their worker leases, jobs,
 * configuration, membership) and is driven by kq_core_step().  Not safe for
 * use from several threads.
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
  uint64_t incarnation;   /**< rises each time the host starts */
  kq_usec lease_ttl;      /**< of a worker lease */
  kq_usec task_ttl;       /**< of a running attempt */
  kq_usec renew_every;    /**< between renewals of a lease */
  int32_t clock_rate_ppm; /**< bound on clock rate error, parts a million */
  kq_usec refresh_every;  /**< what still counts is appended again when it is
                             older; at most a third of what the log keeps */
};

/** Fills SETTINGS with defaults except host, zone, region, incarnation. */
void kq_core_settings_default (struct kq_core_settings *settings);

/** Creates a core that knows nothing yet; NULL when out of memory. */
struct kq_core *kq_core_create (const struct kq_core_settings *settings);

void kq_core_destroy (struct kq_core *core);

/** Returns the name under which CORE holds leases: the host and its
 *  incarnation.  KQ_FX_LEASE and KQ_FX_TASK are sent under this name, so that
 *  a host that starts again never takes an earlier incarnation's late request
 *  for its own.  A request that arrives late is void by its serial; the loop
 *  still gives one up that gets no answer in lease_ttl, so that the worker is
 *  asked again in time.  */
const struct kq_name *kq_core_holder (const struct kq_core *core);

/** Takes EVENT at time NOW and appends what is to be done to OUT.  An
 *  invariant that does not hold ends the process with abort().
 *  @return 0 or KQ_EINVAL for an event that breaks its own contract; the
 *  state is unchanged then.  */
int kq_core_step (struct kq_core *core, kq_usec now,
                  const struct kq_event *event, struct kq_effects *out);

/** Creates an empty list of effects. */
struct kq_effects *kq_effects_create (void);
void kq_effects_destroy (struct kq_effects *effects);

/** Takes the oldest effect out of the list into *EFFECT.
 *  @return false when the list is empty.  What the effect points to stays
 *  valid until kq_effects_clear().  */
bool kq_effects_take (struct kq_effects *effects, struct kq_effect *effect);

/** Empties the list and frees what its effects point to. */
void kq_effects_clear (struct kq_effects *effects);

/** Tables that operators can ask for. */
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

/** Returns the rows of TABLE as a new JSON array of flat objects; each has
 *  a "name", a "state" and, where something waits, a "reason".  */
json_t *kq_core_rows (const struct kq_core *core, enum kq_table table,
                      kq_usec now);

/** Returns the configuration in force as a new JSON object with "revision"
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
  bool leaving;           /**< takes no new work */
  kq_usec owned_until;    /**< this host's authority ends here */
  kq_usec reserved_until; /**< until then, reserved slots stay taken */
  int32_t reserved_slots; /**< left by an earlier owner's requests */
  int32_t slots;
  int32_t connections;
  char endpoint[64];  /**< address and port of the worker's endpoint */
  char owner_hop[64]; /**< address and port of the owner's request hop */
};

/** One service as the request path sees it. */
struct kq_view_service
{
  struct kq_name name;
  int32_t importance;
  int32_t deadline_ms;     /**< when the caller gives none */
  bool idempotent;         /**< all of its requests are idempotent */
  struct kq_name *workers; /**< that serve it; of the view */
  size_t worker_count;     /**< 0: every worker */
};

/** An immutable picture that the core publishes; see KQ_FX_VIEW. */
struct kq_view
{
  int64_t revision;
  size_t worker_count;
  size_t service_count;
  struct kq_view_worker *workers;
  struct kq_view_service *services;
};

/** Returns a new view; the caller frees it with kq_view_free(). */
struct kq_view *kq_core_view (const struct kq_core *core, kq_usec now);
void kq_view_free (struct kq_view *view);

#endif
