/** @file
 * A small endpoint for tests: what it does is named by the path's first
 * word.  /ok answers; /slow/MS answers later; /cut, /close and /die answer
 * in part, not at all after reading the request, and reset without reading;
 * /full says not-run; /silent never answers, on a connection's first use
 * or, as /stale, on each but the first; /echo repeats the body; /open ends
 * its answer with the connection.
 */
#ifndef KQ_T_LIB_ENDPOINT_H
#define KQ_T_LIB_ENDPOINT_H

#include <stdatomic.h>

struct kq_test_endpoint;

/** Listens on 127.0.0.1:PORT; NULL on failure. */
struct kq_test_endpoint *kq_test_endpoint_start (int port);

/** Closes all connections and ends all threads. */
void kq_test_endpoint_stop (struct kq_test_endpoint *endpoint);

/** Requests that were read whole so far, and most of them at one time. */
int kq_test_endpoint_runs (struct kq_test_endpoint *endpoint);
int kq_test_endpoint_peak (struct kq_test_endpoint *endpoint);

/** Makes all connections that are open now silent, or those opened later
 *  too when ALL.  */
void kq_test_endpoint_silence (struct kq_test_endpoint *endpoint, int all);

#endif
