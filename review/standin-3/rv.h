/* Shared by the stand-ins of the third review: see rv.c. */
#ifndef REVIEW_RV_H
#define REVIEW_RV_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#define BEAT_MS INT64_C (1100)

/* A connection with its request. */
struct conn
{
  int fd;
  char *in;
  size_t in_size;
  char *out;
  size_t out_size;
  size_t out_at;
  bool has_request;
  bool seen; /* the request was handled once, and waits */
  char method[8];
  char path[512];
  char query[1024];
  char instance[128];
  const char *body;
  size_t body_size;
  size_t request_size;
  int64_t deadline;
};

typedef bool handler (struct conn *conn);

/* rv-http.c */
extern const char *record_path;
int64_t clock_ms (clockid_t id);
int64_t now_ms (void);
/* Appends one line to the record. */
void note (const char *format, ...);
int listen_at (const char *address, int port);
void respond (struct conn *conn, int status, const char *type,
              const void *body, size_t size);
void respond_json (struct conn *conn, int status, json_t *body);
const char *find_header (const char *head, const char *name);
/* Serves LISTENER for good: HANDLE is called again until it has answered. */
void serve (int listener, handler *handle, void (*tick) (void));

/* rv-call.c */
extern int argument_count;
extern char **arguments;
const char *option (const char *name, const char *fallback);
int64_t number_option (const char *name, int64_t fallback);
/* Copies the value of NAME in the query to TEXT, decoded; returns its length,
   or -1 if it is absent. */
int query_text (const struct conn *conn, const char *name, char *text,
                size_t max);
int64_t query_number (const struct conn *conn, const char *name,
                      int64_t fallback);
/* Makes one call; returns the status, 0 without a whole response.  The body of
   the response is put into REPLY. */
int call (const char *method, const char *address, const char *host,
          const char *path, int timeout_ms, const char *body, size_t size,
          char *reply, size_t max);

int run_store (void);
int run_worker (void);

#endif
