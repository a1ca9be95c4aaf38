/** @file
 * A fast endpoint and a closed-loop caller for benches: one thread each,
 * raw sockets, one small request and answer of fixed form.
 */
#ifndef KQ_T_LIB_FAST_H
#define KQ_T_LIB_FAST_H

#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

struct kq_fast_endpoint;

/** Listens on a free port and answers each request after half to one and
 *  a half of SERVICE_TIME.  */
struct kq_fast_endpoint *kq_fast_endpoint_start (kq_usec service_time);
int kq_fast_endpoint_port (const struct kq_fast_endpoint *endpoint);
void kq_fast_endpoint_set (struct kq_fast_endpoint *endpoint,
                           kq_usec service_time);
void kq_fast_endpoint_stop (struct kq_fast_endpoint *endpoint);

/** What a closed loop saw.  Latencies in nanoseconds, sorted. */
struct kq_fast_result
{
  uint32_t *latency;
  size_t count;
  size_t room;
  size_t failed; /**< answers other than 200, and broken connections */
  kq_usec took;
};

/** Calls 127.0.0.1:PORT over CONNECTIONS at once for the time FOR, and
 *  appends what it saw to RESULT.  */
void kq_fast_call (int port, int connections, kq_usec length,
                   struct kq_fast_result *result);

/** Sorts RESULT and returns the latency below which PERMILLE lie, in ms. */
double kq_fast_latency (struct kq_fast_result *result, int permille);

#endif
