/** @file
 * Sends HTTP requests at a rate or over a number of connections; the
 * subcommand "load" is its user.
 */
#ifndef KQ_BUILTIN_LOAD_H
#define KQ_BUILTIN_LOAD_H

#include <curl/curl.h>
#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"

/** How a request ended, as its caller sees it. */
enum kq_load_outcome
{
  KQ_LOAD_ANSWERED, /**< the endpoint's whole answer */
  KQ_LOAD_NOT_RUN,  /**< refused by the system, certainly not run */
  KQ_LOAD_UNKNOWN,  /**< the system can't say whether it ran */
  KQ_LOAD_INVALID,  /**< refused as malformed */
  KQ_LOAD_REFUSED,  /**< no connection: certainly not sent */
  KQ_LOAD_CUT,      /**< the connection ended before the whole answer */
  KQ_LOAD_SILENT,   /**< no answer in time */
  KQ_LOAD_OUTCOMES
};

/** What to send, and what came of it. */
struct kq_load
{
  const char *const *urls; /**< taken in turn */
  int url_count;
  struct curl_slist *headers; /**< of every request */
  const char *body;
  long body_size;  /**< 0: GET, otherwise POST */
  int64_t rate;    /**< requests a second; 0: as answers come */
  int connections; /**< most requests at the same time */
  int seconds;
  long timeout_ms;        /**< after which an answer is given up */
  int64_t keyed_permille; /**< part of the requests that have a key */

  int64_t sent;
  int64_t outcomes[KQ_LOAD_OUTCOMES];
  json_t *errors;    /**< counts by name, of the system's own answers; an
    object that the caller gives and frees */
  kq_usec took;      /**< from the first request to the last answer */
  uint32_t *latency; /**< microseconds of each answered request; the
                          caller frees it */
};

/** Sends the requests and waits for the answers. */
void kq_load_run (struct kq_load *load);

#endif
