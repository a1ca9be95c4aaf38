/** @file
 * Decisions about requests: where each one goes, whether it may wait, be
 * sent again or be refused, and what its caller is told.
 *
 * Pure like core/core.h: state + event + now -> effects; no clock, socket
 * or random source.  A request has one of three outcomes: answered, not run
 * or unknown.  "Not run" is said only when nothing was sent, or when
 * whatever was sent came back as not run.  The router never admits more
 * requests to a worker than its slots; it aborts the process instead.
 */
#ifndef KQ_REQUEST_REQUEST_H
#define KQ_REQUEST_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/name.h"
#include "core/core.h"
#include "request/answer.h"

/** Longest address and port of an endpoint or a hop, as text. */
#define KQ_REQUEST_ADDRESS_SIZE 64

enum kq_outcome
{
  KQ_OUTCOME_ANSWERED, /**< the endpoint's whole answer is there */
  KQ_OUTCOME_NOT_RUN,  /**< certainly not run */
  KQ_OUTCOME_UNKNOWN,  /**< may have run */
  KQ_OUTCOME_INVALID   /**< refused as malformed; not run */
};

/** Returns "answered", "not-run", "unknown" or "invalid". */
const char *kq_outcome_name (enum kq_outcome outcome);

struct kq_request_settings
{
  struct kq_name host;
  struct kq_name zone;
  struct kq_name region;
  size_t queue_limit; /**< requests that may wait */
  size_t key_limit;   /**< idempotency keys that are remembered */
  size_t key_bytes;   /**< of stored answers, all keys together */
  kq_usec key_ttl;    /**< a key is remembered this long after its end */
  kq_usec linger;     /**< an unanswered attempt holds its slot this long
                           after its caller was told */
  kq_usec stall;      /**< least time without an answer before a connection
                           is suspected to be silent */
};

/** Fills SETTINGS with defaults except host, zone and region. */
void kq_request_settings_default (struct kq_request_settings *settings);

enum kq_request_event_kind
{
  KQ_REQ_EV_ARRIVE, /**< a request is complete */
  KQ_REQ_EV_END,    /**< an attempt has ended */
  KQ_REQ_EV_SETTLE, /**< another host says how a key that it claimed ended */
  KQ_REQ_EV_LEAVE,  /**< the caller closed its connection */
  KQ_REQ_EV_VIEW,   /**< ownership or configuration changed */
  KQ_REQ_EV_TICK    /**< time has passed; every KQ_REQUEST_TICK when busy */
};

/** Time between ticks while requests are in the router. */
#define KQ_REQUEST_TICK (10 * KQ_USEC_PER_MSEC)

/** What names a keyed request: hashes made by the loop. */
struct kq_request_key
{
  uint64_t hash[2];     /**< of service and key */
  uint64_t fingerprint; /**< of method, path and body */
};

struct kq_request_arrival
{
  uint64_t id; /**< never used twice */
  struct kq_name service;
  bool idempotent; /**< by its method */
  bool forwarded;  /**< came from another entry host */
  bool homed;      /**< forwarded because this host decides about its key */
  bool claim;      /**< forwarded: only remember the key, for its home */
  bool keyed;      /**< key is set */
  struct kq_request_key key;
  int32_t importance; /**< 0 to 9; negative: the service's */
  kq_usec deadline;   /**< point in time; 0: by the service */
};

struct kq_request_end
{
  uint64_t id;
  uint32_t attempt;
  enum kq_outcome outcome;
  int err;                  /**< 0 when answered */
  struct kq_answer *answer; /**< when answered; the router takes the
                                 reference */
  bool has_free;            /**< of a hop: free is set */
  int32_t free;             /**< free slots that the other host stated */
};

/** How the run under a key has ended. */
struct kq_request_settlement
{
  struct kq_request_key key;
  enum kq_outcome outcome;
  int err;
  struct kq_answer *answer; /**< a reference that is handed over, or NULL */
};

struct kq_request_event
{
  enum kq_request_event_kind kind;
  union
  {
    struct kq_request_arrival arrive;
    struct kq_request_end end;
    struct kq_request_settlement settle;
    uint64_t leave;
    const struct kq_view *view; /**< used during the step only */
  } u;
};

enum kq_request_effect_kind
{
  KQ_REQ_FX_SEND,   /**< send to an endpoint; its end is reported later */
  KQ_REQ_FX_HOP,    /**< send to another entry host; likewise */
  KQ_REQ_FX_SETTLE, /**< tell another entry host how a key has ended */
  KQ_REQ_FX_DROP,   /**< abort an attempt; its end is reported at once */
  KQ_REQ_FX_REPLY,  /**< tell the caller; the last effect for a caller */
  KQ_REQ_FX_PEER    /**< an entry host's hop may be used: connect to it */
};

struct kq_request_effect
{
  enum kq_request_effect_kind kind;
  uint64_t id;
  uint32_t attempt;
  union
  {
    struct
    {
      struct kq_name name; /**< worker, or entry host of a hop */
      char address[KQ_REQUEST_ADDRESS_SIZE];
      kq_usec deadline;
      int32_t importance;
      bool homed;      /**< HOP: that host decides about the key */
      bool claim;      /**< HOP: that host only remembers the key */
      bool keyed;      /**< HOP: the key goes along */
      kq_usec max_age; /**< use no connection that was opened longer ago;
                            0: open a new one; negative: any */
    } send;
    struct
    {
      enum kq_outcome outcome;
      int err;
      struct kq_answer *answer; /**< a reference that the loop takes */
      int32_t free; /**< free slots of this host, less those that wait */
    } reply;
    char peer[KQ_REQUEST_ADDRESS_SIZE];
    struct
    {
      char address[KQ_REQUEST_ADDRESS_SIZE];
      struct kq_request_settlement settlement;
    } settle;
  } u;
};

/** No connection is used again that was opened longer ago than this. */
#define KQ_REQUEST_CONNECTION_AGE (60 * KQ_USEC_PER_SEC)

struct kq_request_router;
struct kq_request_effects;

/** Creates a router without a view; NULL when out of memory. */
struct kq_request_router *
kq_request_create (const struct kq_request_settings *settings);
void kq_request_destroy (struct kq_request_router *router);

/** Takes EVENT at time NOW and appends what is to be done to OUT.
 *  @return 0; KQ_EINVAL for an id that is in use; KQ_ENOMEM when there is no
 *  memory for an arrival, which is forgotten then.  */
int kq_request_step (struct kq_request_router *router, kq_usec now,
                     const struct kq_request_event *event,
                     struct kq_request_effects *out);

/** Returns whether the router holds requests and so needs ticks. */
bool kq_request_busy (const struct kq_request_router *router);

/** What the router counts, for gauges and tests. */
struct kq_request_counts
{
  int64_t waiting;   /**< requests in the queue */
  int64_t admitted;  /**< slots in use on own workers */
  int64_t slots;     /**< slots of workers owned now */
  int64_t arrived;   /**< requests so far */
  int64_t added;     /**< retries and hedges so far */
  int64_t suspected; /**< stalls held against connections so far */
  int64_t ejected;   /**< times an endpoint was taken out so far */
  int64_t keys;      /**< idempotency keys remembered */
};
void kq_request_count (const struct kq_request_router *router, kq_usec now,
                       struct kq_request_counts *counts);

/** Creates an empty list of effects; NULL when out of memory. */
struct kq_request_effects *kq_request_effects_create (void);

/** Frees the list and the answers in it that were not taken. */
void kq_request_effects_destroy (struct kq_request_effects *effects);

/** Takes the oldest effect; false when there is none. */
bool kq_request_effects_take (struct kq_request_effects *effects,
                              struct kq_request_effect *effect);

/** Appends EFFECT; ends the process when out of memory, because an effect
 *  must not be lost.  */
void kq_request_effects_put (struct kq_request_effects *effects,
                             const struct kq_request_effect *effect);

#endif
