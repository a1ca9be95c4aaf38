/** @file
 * A fast HTTP endpoint and a closed-loop caller for benchmarks.  Each runs in
 * one thread on raw sockets, with one small fixed request and response.
 */
#ifndef KQ_T_LIB_FAST_H
#define KQ_T_LIB_FAST_H

#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

struct kq_fast_endpoint;

/** Starts an endpoint on a free port.  It responds to each request after a
 *  random time between 0.5 and 1.5 times SERVICE_TIME.  */
struct kq_fast_endpoint *kq_fast_endpoint_start (kq_usec service_time);
int kq_fast_endpoint_port (const struct kq_fast_endpoint *endpoint);
void kq_fast_endpoint_set_service_time (struct kq_fast_endpoint *endpoint,
                                        kq_usec service_time);
void kq_fast_endpoint_stop (struct kq_fast_endpoint *endpoint);

/** Results of kq_fast_run_callers(). */
struct kq_fast_result
{
  uint32_t *latency; /**< of successful requests in ns; sorted by
                        kq_fast_latency_ms() */
  size_t count;
  size_t capacity; /**< allocated elements of latency */
  size_t failed;   /**< responses other than 200, and closed connections */
  kq_usec elapsed; /**< measured time */
};

/** Sends requests to 127.0.0.1:PORT for the time DURATION, one at a time on
 *  each of CONNECTION_COUNT connections, and adds the results to RESULT.  */
void kq_fast_run_callers (int port, int connection_count, kq_usec duration,
                          struct kq_fast_result *result);

/** Sorts RESULT and returns its latency at the quantile PERMILLE / 1000, in
 *  ms; 0 when RESULT is empty.  */
double kq_fast_latency_ms (struct kq_fast_result *result, int permille);

#endif
