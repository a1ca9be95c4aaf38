/** @file
 * An HTTP endpoint for tests.  The first word of the path selects what it
 * does: /slow/MS responds after MS milliseconds; /cut sends a part of the
 * response; /close reads the request and sends nothing; /large sends 2 MiB;
 * /open ends the response by closing the connection; /full reports not-run;
 * /silent never responds; /echo returns the body; any other path is returned
 * as the body.  A connection whose request has the method DIE is reset before
 * the request is read.
 */
#ifndef KQ_T_LIB_ENDPOINT_H
#define KQ_T_LIB_ENDPOINT_H

#include <stdatomic.h>

struct kq_test_endpoint;

/** Starts an endpoint on a free port of 127.0.0.1.
 *  @return NULL on failure.  */
struct kq_test_endpoint *kq_test_endpoint_start (void);

int kq_test_endpoint_port (struct kq_test_endpoint *endpoint);

/** Closes all connections, ends all threads and frees ENDPOINT. */
void kq_test_endpoint_stop (struct kq_test_endpoint *endpoint);

/** Return the number of requests that were read completely so far and the
 *  maximum number of them at the same time.  */
int kq_test_endpoint_run_count (struct kq_test_endpoint *endpoint);
int kq_test_endpoint_max_concurrent (struct kq_test_endpoint *endpoint);

/** Makes all open connections stop responding; with ALL, also those that are
 *  opened later.  */
void kq_test_endpoint_make_unresponsive (struct kq_test_endpoint *endpoint,
                                         int all);

#endif
