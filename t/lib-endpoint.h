/** @file
 * A small endpoint for tests: what it does is named by the path's first
 * word.  /slow/MS answers after MS; /cut, /close and /large answer in part,
 * not at all after reading the request, and with 2 MiB; /open ends its
 * answer with the connection; /full says not-run; /silent never answers;
 * /echo repeats the body; all others answer with the path.  A request with
 * the method DIE is reset before it is read.
 */
#ifndef KQ_T_LIB_ENDPOINT_H
#define KQ_T_LIB_ENDPOINT_H

#include <stdatomic.h>

struct kq_test_endpoint;

/** Listens on a free port of 127.0.0.1; NULL on failure. */
struct kq_test_endpoint *kq_test_endpoint_start (void);

int kq_test_endpoint_port (struct kq_test_endpoint *endpoint);

/** Closes all connections and ends all threads. */
void kq_test_endpoint_stop (struct kq_test_endpoint *endpoint);

/** Requests that were read whole so far, and most of them at one time. */
int kq_test_endpoint_runs (struct kq_test_endpoint *endpoint);
int kq_test_endpoint_peak (struct kq_test_endpoint *endpoint);

/** Makes all connections that are open now silent, or those opened later
 *  too when ALL.  */
void kq_test_endpoint_silence (struct kq_test_endpoint *endpoint, int all);

#endif
