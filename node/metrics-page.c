#include "node/metrics-page.h"

#include <microhttpd.h>

#include "metrics/histogram.h"
#include "metrics/metrics.h"

#define MAX_PAGE_BYTES ((size_t)64 * 1024)

static int
print_page (char *page, size_t size)
{
  int length = kq_metric_print (page, size);
  int more;

  if (length < 0)
    return length;
  more = kq_histogram_print (page + length, size - (size_t)length);
  return more < 0 ? more : length + more;
}

void
kq_metrics_page_respond (struct kq_http *http, struct kq_http_request *request)
{
  static char page[MAX_PAGE_BYTES];
  struct kq_http_response response = { .status = MHD_HTTP_OK,
                                       .type = "text/plain; version=0.0.4",
                                       .body = page };
  int length = print_page (page, sizeof page);

  if (length < 0)
    response.status = MHD_HTTP_INTERNAL_SERVER_ERROR;
  else
    response.body_size = (size_t)length;
  kq_http_respond (http, request, &response);
}
