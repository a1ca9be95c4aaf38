/** @file
 * The page of counters, gauges and histograms that a host serves.
 */
#ifndef KQ_NODE_METRICS_PAGE_H
#define KQ_NODE_METRICS_PAGE_H

#include "node/http.h"

/** Responds to REQUEST with the registered metrics as they are now; with
 *  status 500 if the page is too long.  */
void kq_metrics_page_respond (struct kq_http *http,
                              struct kq_http_request *request);

#endif
