/** @file
 * The front's state, shared by the files daemon/front*.c and owned by the
 * front's thread.
 */
#ifndef KQ_DAEMON_FRONT_IMPL_H
#define KQ_DAEMON_FRONT_IMPL_H

#include <curl/curl.h>
#include <ev.h>
#include <microhttpd.h>
#include <pthread.h>
#include <sys/socket.h>
#include <uthash.h>
#include <zmq.h>

#include "daemon/front.h"
#include "metrics/metrics.h"
#include "request/buffer.h"
#include "request/request.h"
#include "trace/trace.h"

/** Most headers of a request. */
#define KQ_FRONT_HEADERS 64
/** Bytes of a method's name, with its terminating zero. */
#define KQ_FRONT_METHOD_SIZE 16
/** Most bytes of a ZeroMQ routing id. */
#define KQ_FRONT_ROUTE_SIZE 255

/** Where a forwarded request came from. */
struct kq_front_origin
{
  unsigned char route[KQ_FRONT_ROUTE_SIZE];
  size_t route_size;
  uint64_t id;
  uint32_t attempt;
};

/** A request from its first byte until nothing refers to it. */
struct kq_front_call
{
  struct kq_front *front;
  int refs;                          /**< the caller's side and each attempt */
  bool started;                      /**< headers were read */
  bool submitted;                    /**< the router knows it, or knew it */
  bool suspended;                    /**< its connection is suspended */
  bool replied;                      /**< outcome, err and answer are set */
  struct MHD_Connection *connection; /**< NULL: forwarded, or gone */
  struct kq_front_origin *origin;    /**< forwarded requests only */
  struct kq_request_arrival arrival;
  char method[KQ_FRONT_METHOD_SIZE];
  char *uri;
  struct kq_buffer headers; /**< "name: value", zero, and so on */
  size_t header_count;
  struct kq_buffer body;
  size_t body_bytes; /**< received so far, kept or not */
  int refusal;       /**< error found while reading, or 0 */
  struct kq_trace_context trace;
  kq_usec arrived;      /**< monotonic */
  kq_usec arrived_wall; /**< wall clock */
  enum kq_outcome outcome;
  int err;
  struct kq_response *answer;
  int32_t free; /**< slots of this host, stated to the host it came from */
  struct kq_front_attempt *attempts; /**< in flight */
  UT_hash_handle hh;
};

enum kq_front_attempt_kind
{
  KQ_ATTEMPT_ENDPOINT,
  KQ_ATTEMPT_HOP
};

/** One attempt of a call, in flight. */
struct kq_front_attempt
{
  enum kq_front_attempt_kind kind;
  struct kq_front_call *call;
  uint32_t number;
  struct kq_name target;
  struct kq_trace_context trace;
  kq_usec started;               /**< monotonic */
  kq_usec started_wall;          /**< wall clock */
  struct kq_front_attempt *prev; /**< other attempts of the call */
  struct kq_front_attempt *next;
  struct kq_front_peer *peer; /**< HOP */
  bool claim;                 /**< HOP: the key is remembered, no more */
  bool has_free;              /**< HOP: the other host stated free */
  int32_t free;               /**< its free slots */
  /* ENDPOINT */
  CURL *easy;
  int requests;   /**< times that libcurl was about to send it */
  bool delimited; /**< the answer's head says where its body ends */
  bool head_done; /**< the final head is complete; what follows is dropped */
  bool not_run;   /**< the endpoint says so */
  int refusal;    /**< why the answer can't be kept, or 0 */
  struct kq_response *answer;
  struct curl_slist nodes[KQ_FRONT_HEADERS + 6];
  char own_headers[6][160];
};

/** Another entry host's request hop. */
struct kq_front_peer
{
  char address[KQ_REQUEST_ADDRESS_SIZE];
  struct kq_front *front;
  void *socket; /**< ZeroMQ DEALER */
  ev_io watcher;
  UT_hash_handle hh;
};

/** A handle that keeps its options between attempts. */
struct kq_front_easy
{
  CURL *easy;
  struct kq_front_easy *next;
};

struct kq_front
{
  struct kq_front_settings settings;
  pthread_t thread;
  struct ev_loop *loop;
  void *zmq;
  void *control_out; /**< the control thread's end */
  void *control_in;
  _Atomic uint64_t handed_over; /**< messages of the control thread */
  ev_io control_watcher;
  ev_timer tick;
  ev_prepare prepare;
  ev_idle idle; /**< keeps the loop from waiting while work is pending */
  bool stopping;
  kq_usec stop_at; /**< end of the drain time */
  uint64_t random[2];
  uint64_t last_id;

  struct kq_request_router *router;
  struct kq_request_effects *effects;
  bool running_effects;
  struct kq_front_call *calls; /**< by id */
  size_t open_calls;           /**< requests that callers wait for */

  struct MHD_Daemon *mhd;
  ev_io mhd_watcher;
  ev_timer mhd_timer;
  bool mhd_pending;
  unsigned ticks; /**< since callers' connections were checked */

  CURLM *multi;
  ev_timer curl_timer;
  bool curl_pending;
  struct kq_front_easy *idle_handles;

  void *router_socket; /**< ZeroMQ ROUTER */
  ev_io router_watcher;
  bool hop_pending;
  struct kq_front_peer *peers;
};

/* front.c */

/** Hands EVENT to the router and does what it asks for. */
void kq_front_feed (struct kq_front *front,
                    const struct kq_request_event *event);

/** Returns a random number that isn't 0, for ids. */
uint64_t kq_front_random (struct kq_front *front);

/* front_call.c */

/** Creates a call with one reference; NULL when out of memory. */
struct kq_front_call *kq_front_call_create (struct kq_front *front,
                                            const char *uri);
void kq_front_call_unref (struct kq_front_call *call);

/** Keeps a header of the request.
 *  @return 0, KQ_ETOOBIG or KQ_ENOMEM.  */
int kq_front_call_header (struct kq_front_call *call, const char *name,
                          const char *value);

/** The same for a header that is one line already: "name: value". */
int kq_front_call_header_line (struct kq_front_call *call, const char *line);

/** Hands a complete request to the router. */
void kq_front_call_submit (struct kq_front_call *call);

/** Ends the caller's side of CALL: counts it, records its span and removes
 *  the reference.  */
void kq_front_call_done (struct kq_front_call *call);

/** Ends an attempt: records its span, tells the router and frees it.  The
 *  reference to ANSWER is taken.  */
void kq_front_attempt_end (struct kq_front_attempt *attempt,
                           enum kq_outcome outcome, int err,
                           struct kq_response *answer);

/** Does one effect of the router. */
void kq_front_call_effect (struct kq_front *front,
                           struct kq_request_effect *effect);

/** Returns the call with ID that a caller waits for, or NULL. */
struct kq_front_call *kq_front_call_find (struct kq_front *front, uint64_t id);

/** Registers the front's counters; called once a process. */
void kq_front_metrics (void);

/** Counts a view that was taken over. */
void kq_front_count_view (void);

/** Counts a hop's message that could not be read. */
void kq_front_count_bad_message (void);

/* front_headers.c */

/** Reads the method and headers of CALL's connection; sets its refusal. */
void kq_front_headers_read (struct kq_front_call *call, const char *method);

/** Completes the idempotency key once the body is there. */
void kq_front_headers_key (struct kq_front_call *call);

/** Returns whether a header of an endpoint's answer is passed on. */
bool kq_front_headers_pass (const char *name, size_t length);

/* front_http.c */

/** Starts to listen for callers.
 *  @return 0, KQ_EINVAL or KQ_EIO.  */
int kq_front_http_start (struct kq_front *front);
void kq_front_http_attach (struct kq_front *front);
void kq_front_http_run (struct kq_front *front);
void kq_front_http_quiesce (struct kq_front *front);
void kq_front_http_stop (struct kq_front *front);

/** Tells the router of callers that closed their connections. */
void kq_front_http_check (struct kq_front *front);

/** Answers a call whose outcome is set, as soon as its connection can. */
void kq_front_http_reply (struct kq_front_call *call);

/* front_curl.c */
int kq_front_curl_start (struct kq_front *front);
void kq_front_curl_attach (struct kq_front *front);
void kq_front_curl_run (struct kq_front *front);
void kq_front_curl_stop (struct kq_front *front);

/** Sends an attempt to the endpoint at ADDRESS; MAX_AGE as in the effect.
 *  @return 0, or an error when nothing was sent.  */
int kq_front_curl_send (struct kq_front_attempt *attempt, const char *address,
                        kq_usec deadline, kq_usec max_age);

/** Aborts an attempt without telling anyone. */
void kq_front_curl_abort (struct kq_front_attempt *attempt);

/* front_endpoint.c */

/** Sets the options that all attempts share. */
void kq_front_endpoint_options (CURL *easy);

/** Sets what ATTEMPT's request is, and how it may connect. */
void kq_front_endpoint_prepare (struct kq_front_attempt *attempt,
                                const char *address, kq_usec deadline,
                                kq_usec max_age);

/** Judges how ATTEMPT, which libcurl ended with CODE, has ended. */
void kq_front_endpoint_finish (struct kq_front_attempt *attempt,
                               CURLcode code);

/* front_message.c */

/** Sends an attempt to another entry host as EFFECT says.
 *  @return 0, or an error when nothing was sent.  */
int kq_front_hop_send (struct kq_front_attempt *attempt,
                       const struct kq_request_effect *effect);

/** Tells another entry host how a key has ended; the answer's reference is
 *  taken.  When it is lost, that host says "unknown" of the key.  */
void kq_front_hop_settle (struct kq_front *front,
                          const struct kq_request_effect *effect);

/** Forgets an attempt without telling anyone. */
void kq_front_hop_abort (struct kq_front_attempt *attempt);

/** Answers a forwarded call whose outcome is set. */
void kq_front_hop_reply (struct kq_front_call *call);

/** Reads a message of another entry host and acts on it.  ROUTE: where it
 *  came from, for those that hand requests over; NULL for answers.  */
void kq_front_message_take (struct kq_front *front,
                            const struct kq_front_origin *route, void *data,
                            size_t size);

/* front_hop.c */

/** Sends FRAME over SOCKET, to ROUTE first if that is given, and never waits.
 *  @return 0, or an error when nothing was sent.  */
int kq_front_hop_put (void *socket, const struct kq_front_origin *route,
                      zmq_msg_t *frame);

int kq_front_hop_start (struct kq_front *front);
void kq_front_hop_attach (struct kq_front *front);
void kq_front_hop_run (struct kq_front *front);
void kq_front_hop_stop (struct kq_front *front);

/** Connects to the hop at ADDRESS unless that was done before. */
void kq_front_hop_connect (struct kq_front *front, const char *address);

#endif
