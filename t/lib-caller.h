/** @file
 * Clients of a service for tests: send one request or raw bytes.
 */
#ifndef KQ_T_LIB_CALLER_H
#define KQ_T_LIB_CALLER_H

#include <curl/curl.h>
#include <stddef.h>

/** Result of a request. */
struct kq_test_response
{
  CURLcode code;
  long status;
  char outcome[16]; /**< header Kumquatrack-Outcome */
  char body[4096];
  size_t length;
};

/** Sends one request to 127.0.0.1:PORT.  HEADERS are header lines, ended by
 *  NULL; BODY may be NULL.  */
struct kq_test_response kq_test_send_request (int port, const char *method,
                                              const char *path,
                                              const char *body,
                                              const char *const *headers);

/** Sends LENGTH bytes of TEXT and returns the status of the response, or 0 if
 *  the connection is closed without one.  With SIZE 0, closes the connection
 *  without reading a response.  */
int kq_test_send_raw (int port, const char *text, size_t length,
                      char *response, size_t size);

#endif
