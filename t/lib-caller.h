/** @file
 * Callers for tests: one request at a time, and raw bytes.
 */
#ifndef KQ_T_LIB_CALLER_H
#define KQ_T_LIB_CALLER_H

#include <curl/curl.h>
#include <stddef.h>

/** What a caller got. */
struct kq_test_reply
{
  CURLcode code;
  long status;
  char outcome[16]; /**< header Kumquatrack-Outcome */
  char body[4096];
  size_t length;
};

/** Sends one request to 127.0.0.1:PORT; HEADERS are lines that end with
 *  NULL, BODY may be NULL.  */
struct kq_test_reply kq_test_call (int port, const char *method,
                                   const char *path, const char *body,
                                   const char *const *headers);

/** Sends LENGTH bytes of TEXT and returns the status of what comes back: 0
 *  when the connection is closed without an answer.  With SIZE 0 the caller
 *  leaves instead.  */
int kq_test_raw (int port, const char *text, size_t length, char *answer,
                 size_t size);

#endif
