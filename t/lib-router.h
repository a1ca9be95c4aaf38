/** @file
 * Drives a request router in virtual time, for tests.
 */
#ifndef KQ_T_LIB_ROUTER_H
#define KQ_T_LIB_ROUTER_H

#include "request/request.h"

struct kq_test_router
{
  struct kq_request_router *router;
  struct kq_request_effects *effects;
  kq_usec now;
  uint64_t last_id;
};

/** Creates a router of HOST in dakar-sandaga with default settings. */
struct kq_test_router kq_test_router_create (const char *host);
void kq_test_router_destroy (struct kq_test_router *t);

/** Publishes VIEW and frees it. */
void kq_test_router_view (struct kq_test_router *t, struct kq_view *view);

/** Lets a request for SERVICE arrive, with KEY unless that is 0, and returns
 *  its id.  */
uint64_t kq_test_router_arrive (struct kq_test_router *t, const char *service,
                                uint64_t key);

/** Ends an attempt; an answered one gets an empty answer with status 200. */
int kq_test_router_end (struct kq_test_router *t, uint64_t id,
                        uint32_t attempt, enum kq_outcome outcome, int err);

/** Lets AFTER pass in ticks. */
void kq_test_router_pass (struct kq_test_router *t, kq_usec after);

/** Takes the next effect; of kind -1 when there is none.  The answer of a
 *  reply is freed.  */
struct kq_request_effect kq_test_router_next (struct kq_test_router *t);

/** The same, without effects of kind KQ_REQ_FX_PEER. */
struct kq_request_effect kq_test_router_do (struct kq_test_router *t);

#endif
