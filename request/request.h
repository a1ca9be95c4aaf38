/** @file
 * The request router: decides where each request is sent, whether it is
 * queued, sent again or refused, and what its caller receives.
 *
 * A caller is a client of a service.  An entry host accepts requests of
 * callers and owns some of the workers, to whose endpoints it sends them.  It
 * forwards requests to another entry host by a hop.  An attempt is one such
 * sending, to an endpoint or by a hop.
 *
 * An idempotency key keeps a repeated request from running again.  Of the
 * entry hosts in an availability zone one is the home of the key: it decides
 * whether a request with that key runs.  Before it does, it has another one,
 * the backup of the key, store the key as claimed, so that the backup refuses
 * a second run when the home is lost.
 *
 * Pure like core/core.h: a function of state, event and current time that
 * returns effects; it uses no clock, socket or random source.  A valid request
 * has one of three outcomes: answered, not run or unknown.  "Not run" is only
 * reported if nothing was sent or if all attempts ended as not run.  The
 * router never has more requests in flight at a worker than the worker has
 * slots; it aborts the process instead.
 */
#ifndef KQ_REQUEST_REQUEST_H
#define KQ_REQUEST_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/name.h"
#include "core/core.h"
#include "request/response.h"

/** Size in bytes of the address and port of an endpoint or a hop, as text
 *  with a terminating zero.  */
#define KQ_REQUEST_ADDRESS_SIZE 64

enum kq_outcome
{
  KQ_OUTCOME_ANSWERED, /**< the endpoint's response is complete */
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
  size_t queue_limit; /**< maximum number of queued requests */
  size_t key_limit;   /**< maximum number of stored idempotency keys */
  size_t key_bytes;   /**< maximum size of the stored responses of all keys */
  kq_usec key_ttl;    /**< time for which a key is stored after its run */
  kq_usec linger;     /**< time after the reply to the caller at which an
                           attempt that is still in flight is cancelled; it
                           holds its slot until then */
  kq_usec stall;      /**< minimum time without a response after which a
                           connection is suspected to be dead */
};

/** Fills SETTINGS with defaults except host, zone and region. */
void kq_request_settings_default (struct kq_request_settings *settings);

enum kq_request_event_kind
{
  KQ_REQ_EV_ARRIVE,     /**< a request was received completely */
  KQ_REQ_EV_END,        /**< an attempt has ended */
  KQ_REQ_EV_KEY_RESULT, /**< another host reports the result of a key that it
                         had claimed here */
  KQ_REQ_EV_DISCONNECT, /**< the caller closed its connection */
  KQ_REQ_EV_VIEW,       /**< ownership or configuration changed */
  KQ_REQ_EV_TICK /**< time has passed; required every KQ_REQUEST_TICK_US while
                      the router is busy */
};

/** Time between ticks while the router holds requests. */
#define KQ_REQUEST_TICK_US (10 * KQ_USEC_PER_MSEC)

/** Hashes that identify a request with an idempotency key; the event loop
 *  computes them.  */
struct kq_request_key
{
  uint64_t hash[2];     /**< of service and key */
  uint64_t fingerprint; /**< of method, path and body */
};

struct kq_request_arrival
{
  uint64_t id; /**< unique for the lifetime of the router */
  struct kq_name service;
  bool idempotent; /**< by its method */
  bool forwarded;  /**< received from another entry host */
  bool homed;      /**< forwarded because this host is the key's home */
  bool claim;      /**< forwarded by the key's home: only store the key */
  bool keyed;      /**< key is set */
  struct kq_request_key key;
  int32_t importance; /**< 0 to 9; negative: that of the service */
  kq_usec deadline;   /**< point in time; 0: that of the service */
};

struct kq_request_end
{
  uint64_t id;
  uint32_t attempt;
  enum kq_outcome outcome;
  int err;                    /**< 0 when answered */
  struct kq_response *answer; /**< when answered; the router takes over the
                                 reference */
  bool has_free;              /**< of a hop: free is set */
  int32_t free;               /**< free slots that the other host reported */
};

/** Result of the run under a key. */
struct kq_request_key_result
{
  struct kq_request_key key;
  enum kq_outcome outcome;
  int err;
  struct kq_response *answer; /**< a reference for the receiver, or NULL */
};

struct kq_request_event
{
  enum kq_request_event_kind kind;
  union
  {
    struct kq_request_arrival arrive;
    struct kq_request_end end;
    struct kq_request_key_result settle; /**< of KQ_REQ_EV_KEY_RESULT */
    uint64_t disconnected_id;            /**< id of the request */
    const struct kq_view *view;          /**< only used during the step */
  } u;
};

enum kq_request_effect_kind
{
  KQ_REQ_FX_SEND,       /**< send to an endpoint; KQ_REQ_EV_END follows */
  KQ_REQ_FX_HOP,        /**< forward to another entry host; KQ_REQ_EV_END
                             follows */
  KQ_REQ_FX_KEY_RESULT, /**< report the result of a key to its backup */
  KQ_REQ_FX_CANCEL, /**< cancel an attempt; KQ_REQ_EV_END follows at once */
  KQ_REQ_FX_REPLY,  /**< reply to the caller; the last effect for a caller */
  KQ_REQ_FX_CONNECT /**< connect to an entry host, to which requests may be
                      forwarded */
};

struct kq_request_effect
{
  enum kq_request_effect_kind kind;
  uint64_t id;      /**< of the request */
  uint32_t attempt; /**< number of the attempt, from 0 */
  union
  {
    struct
    {
      struct kq_name name; /**< worker, or entry host of a hop */
      char address[KQ_REQUEST_ADDRESS_SIZE];
      kq_usec deadline;
      int32_t importance;
      bool homed;      /**< HOP: the receiver is the home of the key */
      bool claim;      /**< HOP: the receiver only stores the key */
      bool keyed;      /**< HOP: the key is sent too */
      kq_usec max_age; /**< maximum age of a reused connection; 0: open a new
                            one; negative: no limit */
    } send;            /**< of KQ_REQ_FX_SEND and KQ_REQ_FX_HOP */
    struct
    {
      enum kq_outcome outcome;
      int err;
      struct kq_response *answer; /**< a reference for the event loop */
      int32_t free; /**< free slots of this host, less queued requests */
    } reply;
    /** Of KQ_REQ_FX_CONNECT: hop address of the entry host. */
    char peer[KQ_REQUEST_ADDRESS_SIZE];
    struct
    {
      char address[KQ_REQUEST_ADDRESS_SIZE];
      struct kq_request_key_result key_result;
    } settle; /**< of KQ_REQ_FX_KEY_RESULT; to the hop address of the backup */
  } u;
};

/** Maximum age of a connection that is reused. */
#define KQ_REQUEST_CONNECTION_AGE_US (60 * KQ_USEC_PER_SEC)

struct kq_request_router;
struct kq_request_effects;

/** Creates a router without a view.
 *  @return NULL when out of memory.  */
struct kq_request_router *
kq_request_create (const struct kq_request_settings *settings);
void kq_request_destroy (struct kq_request_router *router);

/** Handles EVENT at time NOW and appends the resulting effects to OUT.
 *  @return 0; KQ_EINVAL for the arrival of an id that is in use, for the end
 *  of an attempt that is not in flight and for an unknown kind; KQ_ENOMEM when
 *  there is no memory for an arrival, which is then dropped, or for a
 *  view.  */
int kq_request_step (struct kq_request_router *router, kq_usec now,
                     const struct kq_request_event *event,
                     struct kq_request_effects *out);

/** Returns whether the router holds requests and therefore needs ticks. */
bool kq_request_busy (const struct kq_request_router *router);

/** Counters and gauges of the router. */
struct kq_request_counts
{
  int64_t waiting;        /**< queued requests */
  int64_t admitted;       /**< slots in use on own workers */
  int64_t slots;          /**< slots of the workers that this host owns */
  int64_t arrived;        /**< total of requests */
  int64_t extra_attempts; /**< total of retries and hedges */
  int64_t suspected;      /**< total of stalls attributed to connections */
  int64_t ejected;        /**< total of ejections of endpoints */
  int64_t keys;           /**< stored idempotency keys */
};
void kq_request_get_counts (const struct kq_request_router *router,
                            kq_usec now, struct kq_request_counts *counts);

/** Creates an empty list of effects.
 *  @return NULL when out of memory.  */
struct kq_request_effects *kq_request_effects_create (void);

/** Frees the list and the responses of the effects left in it. */
void kq_request_effects_destroy (struct kq_request_effects *effects);

/** Removes the oldest effect and copies it to EFFECT.
 *  @return false when the list is empty.  */
bool kq_request_effects_pop (struct kq_request_effects *effects,
                             struct kq_request_effect *effect);

/** Appends EFFECT.  Aborts the process when out of memory, because no effect
 *  may be lost.  */
void kq_request_effects_push (struct kq_request_effects *effects,
                              const struct kq_request_effect *effect);

#endif
