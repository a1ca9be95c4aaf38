/** @file
 * Load generator of the subcommand "load": sends HTTP requests at a fixed
 * rate, or as fast as a number of connections allows.
 */
#ifndef KQ_BUILTIN_LOAD_H
#define KQ_BUILTIN_LOAD_H

#include <curl/curl.h>
#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"

/** Outcome of a request, as seen by its caller. */
enum kq_load_outcome
{
  KQ_LOAD_ANSWERED,          /**< complete response of the endpoint */
  KQ_LOAD_NOT_RUN,           /**< refused by the system, certainly not run */
  KQ_LOAD_UNKNOWN,           /**< the system can't tell whether it ran */
  KQ_LOAD_INVALID,           /**< refused as malformed */
  KQ_LOAD_CONNECT_FAILED,    /**< no connection: certainly not sent */
  KQ_LOAD_CONNECTION_CLOSED, /**< closed before the response was complete */
  KQ_LOAD_TIMED_OUT,         /**< no complete response in timeout_ms */
  KQ_LOAD_OUTCOMES
};

/** Parameters of a load run, and its results. */
struct kq_load
{
  const char *const *urls; /**< used in rotation */
  int url_count;
  struct curl_slist *headers; /**< sent with every request */
  const char *body;
  long body_size;  /**< bytes; 0: GET, otherwise POST */
  int64_t rate;    /**< requests per second; 0: as fast as responses arrive */
  int connections; /**< maximum number of concurrent requests */
  int seconds;     /**< time in which requests are sent */
  long timeout_ms; /**< time limit for each response */
  int64_t keyed_permille; /**< requests in 1000 with an Idempotency-Key */

  int64_t sent;
  int64_t outcomes[KQ_LOAD_OUTCOMES];
  json_t *errors; /**< number of errors by name, from responses of the system
                       itself; the caller provides and frees the object */
  kq_usec elapsed_us; /**< from the first request to the last response */
  uint32_t *latency;  /**< latency of each answered request, in microseconds;
                           the caller frees it */
};

/** Sends the requests and waits for their responses. */
void kq_load_run (struct kq_load *load);

#endif
