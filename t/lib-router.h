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

/** Creates a router for HOST in zone dakar-sandaga with default settings. */
struct kq_test_router kq_test_router_create (const char *host);
void kq_test_router_destroy (struct kq_test_router *t);

/** Passes VIEW to the router and frees it. */
void kq_test_router_view (struct kq_test_router *t, struct kq_view *view);

/** Passes a request for SERVICE to the router, with KEY unless that is 0.
 *  @return the id of the request.  */
uint64_t kq_test_router_arrive (struct kq_test_router *t, const char *service,
                                uint64_t key);

/** Ends an attempt; an answered one gets an empty response with status 200.
 *  @return the result of kq_request_step().  */
int kq_test_router_end (struct kq_test_router *t, uint64_t id,
                        uint32_t attempt, enum kq_outcome outcome, int err);

/** Advances the time by AFTER, one tick at a time. */
void kq_test_router_advance (struct kq_test_router *t, kq_usec after);

/** Removes and returns the next effect, with kind -1 when there is none. Frees
 *  the response that it holds.  */
struct kq_request_effect kq_test_router_any_effect (struct kq_test_router *t);

/** Like kq_test_router_any_effect(), but skips effects of kind
 *  KQ_REQ_FX_CONNECT.  */
struct kq_request_effect kq_test_router_effect (struct kq_test_router *t);

#endif
