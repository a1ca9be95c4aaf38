/** @file
 * State of the front, shared by the files daemon/front*.c and only used by the
 * front's thread.
 *
 * A call is one request that this host received, from a caller or from another
 * entry host.  An attempt is one sending of it, to an endpoint or by a hop.
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

/** Maximum number of headers of a request that are kept. */
#define KQ_FRONT_MAX_HEADERS 64
/** Size in bytes of a method name with its terminating zero. */
#define KQ_FRONT_METHOD_SIZE 16
/** Maximum size in bytes of a ZeroMQ routing id. */
#define KQ_FRONT_MAX_ROUTING_ID_SIZE 255

/** Sender of a forwarded request and the request's identity there. */
struct kq_front_origin
{
  unsigned char routing_id[KQ_FRONT_MAX_ROUTING_ID_SIZE];
  size_t routing_id_size; /**< in bytes */
  uint64_t id;            /**< of the request at the sender */
  uint32_t attempt;       /**< of that request */
};

/** A request, from its first byte until its last reference is removed. */
struct kq_front_call
{
  struct kq_front *front;
  int refs;                          /**< one for the caller, one for each
                                        attempt in flight */
  bool headers_read;                 /**< method and headers were read */
  bool submitted;                    /**< was handed to the router */
  bool suspended;                    /**< its connection is suspended */
  bool replied;                      /**< outcome, err and answer are set */
  struct MHD_Connection *connection; /**< NULL if forwarded or closed */
  struct kq_front_origin *origin;    /**< NULL unless forwarded */
  struct kq_request_arrival arrival;
  char method[KQ_FRONT_METHOD_SIZE];
  char *uri;
  struct kq_buffer headers; /**< zero-terminated lines "name: value" */
  size_t header_count;
  struct kq_buffer body;
  size_t body_bytes; /**< received so far, including discarded bytes */
  size_t body_share; /**< of it, counted in the front's body_bytes */
  int read_err;      /**< first error found while reading, or 0 */
  struct kq_trace_context trace;
  kq_usec arrived;      /**< monotonic clock */
  kq_usec arrived_wall; /**< wall clock */
  enum kq_outcome outcome;
  int err;
  struct kq_response *answer;
  int32_t free_slots; /**< free slots of this host, less queued requests;
                         reported to the forwarding host */
  struct kq_front_attempt *attempts; /**< in flight */
  UT_hash_handle hh;
};

enum kq_front_attempt_kind
{
  KQ_FRONT_ATTEMPT_ENDPOINT,
  KQ_FRONT_ATTEMPT_HOP
};

/** An attempt of a call, in flight. */
struct kq_front_attempt
{
  enum kq_front_attempt_kind kind;
  struct kq_front_call *call;
  uint32_t number;       /**< within the call, from 0 */
  struct kq_name target; /**< worker or entry host */
  struct kq_trace_context trace;
  kq_usec started;               /**< monotonic clock */
  kq_usec started_wall;          /**< wall clock */
  struct kq_front_attempt *prev; /**< in the list of the call's attempts */
  struct kq_front_attempt *next;
  struct kq_front_peer *peer; /**< HOP */
  bool claim;                 /**< HOP: the receiver only stores the key */
  bool has_free_slots;        /**< HOP: free_slots is set */
  int32_t free_slots;         /**< HOP: reported by the other host */
  /* ENDPOINT */
  CURL *easy;
  int send_count;     /**< number of times libcurl was about to send it */
  bool delimited;     /**< the response head defines where the body ends */
  bool head_complete; /**< the final response head is complete; header lines
                         after it are ignored */
  bool not_run;       /**< the endpoint reported that it did not run it */
  int read_err;       /**< why the response can't be stored, or 0 */
  struct kq_response *answer;
  struct curl_slist header_nodes[KQ_FRONT_MAX_HEADERS + 6];
  char added_headers[6][160]; /**< header lines that the front adds */
};

/** Connection for requests to another entry host. */
struct kq_front_peer
{
  char address[KQ_REQUEST_ADDRESS_SIZE];
  struct kq_front *front;
  void *socket; /**< ZeroMQ DEALER */
  ev_io watcher;
  UT_hash_handle hh;
};

/** An unused libcurl easy handle, kept with the options that all attempts
 *  share.  */
struct kq_front_idle_handle
{
  CURL *easy;
  struct kq_front_idle_handle *next;
};

struct kq_front
{
  struct kq_front_settings settings;
  pthread_t thread;
  struct ev_loop *loop;
  void *zmq_context;
  void *control_out;              /**< written by the control thread */
  void *control_in;               /**< read by the front's thread */
  _Atomic uint64_t messages_sent; /**< by the control thread; only orders the
                                     two threads for ThreadSanitizer */
  ev_io control_watcher;
  ev_timer tick;
  ev_prepare prepare;
  ev_idle idle; /**< active while work is pending, so that the loop does not
                   block */
  bool stopping;
  kq_usec drain_deadline; /**< set while stopping */
  uint64_t random[2];     /**< state of the random number generator */
  uint64_t last_id;

  struct kq_request_router *router;
  struct kq_request_effects *effects;
  bool running_effects;
  struct kq_front_call *calls; /**< submitted calls by id */
  size_t open_calls;           /**< calls whose callers wait for a reply */

  struct MHD_Daemon *mhd;
  ev_io mhd_watcher;
  ev_timer mhd_timer;
  bool mhd_pending;           /**< kq_front_http_run() has work to do */
  size_t body_bytes;          /**< buffers of the bodies of all calls */
  unsigned ticks_since_check; /**< since callers' connections were checked */

  CURLM *multi;
  ev_timer curl_timer;
  bool curl_pending; /**< kq_front_curl_run() has work to do */
  struct kq_front_idle_handle *idle_handles;

  void *router_socket; /**< ZeroMQ ROUTER */
  ev_io router_watcher;
  bool hop_pending;            /**< kq_front_hop_run() has work to do */
  struct kq_front_peer *peers; /**< by address */
};

/* front.c */

/** Hands EVENT to the router and executes the resulting effects. */
void kq_front_process_event (struct kq_front *front,
                             const struct kq_request_event *event);

/** Returns a random number other than 0, for ids. */
uint64_t kq_front_random (struct kq_front *front);

/* front_call.c */

/** Creates a call with one reference.
 *  @return NULL when out of memory.  */
struct kq_front_call *kq_front_call_create (struct kq_front *front,
                                            const char *uri);
void kq_front_call_unref (struct kq_front_call *call);

/** Adds a request header that is forwarded.
 *  @return 0, KQ_ETOOBIG or KQ_ENOMEM.  */
int kq_front_call_add_header (struct kq_front_call *call, const char *name,
                              const char *value);

/** Like kq_front_call_add_header() for a line "name: value". */
int kq_front_call_add_header_line (struct kq_front_call *call,
                                   const char *line);

/** Hands a complete request to the router. */
void kq_front_call_submit (struct kq_front_call *call);

/** Ends the caller's side of CALL: counts the outcome, records the span and
 *  removes the caller's reference.  */
void kq_front_call_finish (struct kq_front_call *call);

/** Ends an attempt: records its span, reports the end to the router and frees
 *  the attempt.  Takes over the reference to ANSWER.  */
void kq_front_attempt_end (struct kq_front_attempt *attempt,
                           enum kq_outcome outcome, int err,
                           struct kq_response *answer);

/** Executes one effect of the router. */
void kq_front_call_run_effect (struct kq_front *front,
                               struct kq_request_effect *effect);

/** Returns the submitted call with ID, or NULL. */
struct kq_front_call *kq_front_call_find (struct kq_front *front, uint64_t id);

/** Registers the metrics of the front.  Only the first call in a process has
 *  an effect.  */
void kq_front_register_metrics (void);

/** Counts a view that was applied. */
void kq_front_count_view (void);

/** Counts a message of another entry host that can't be read. */
void kq_front_count_bad_message (void);

/* front_headers.c */

/** Reads the method and headers from CALL's connection; sets its read_err. */
void kq_front_headers_read (struct kq_front_call *call, const char *method);

/** Adds service, method, path and body to the hashes of the idempotency key.
 *  Called when the body is complete.  */
void kq_front_headers_complete_key (struct kq_front_call *call);

/** Returns whether a header of an endpoint's response is forwarded to the
 *  caller.  */
bool kq_front_headers_is_forwarded (const char *name, size_t length);

/* front_http.c, front_curl.c and front_hop.c have the same functions: _start
   creates the library's objects and listening sockets, _attach registers them
   with the event loop, _run does the pending work, _stop frees them.  */

/* front_http.c */

/** Starts to listen for callers.
 *  @return 0, KQ_EINVAL or KQ_EIO.  */
int kq_front_http_start (struct kq_front *front);
void kq_front_http_attach (struct kq_front *front);
void kq_front_http_run (struct kq_front *front);
/** Stops accepting connections; open ones stay. */
void kq_front_http_quiesce (struct kq_front *front);
void kq_front_http_stop (struct kq_front *front);

/** Reports callers that closed their connections to the router. */
void kq_front_http_check_disconnects (struct kq_front *front);

/** Frees the body of CALL, which no longer counts against the limit of all
 *  bodies.  */
void kq_front_http_clear_body (struct kq_front_call *call);

/** Sends the response to a call whose outcome is set: resumes its suspended
 *  connection.  */
void kq_front_http_reply (struct kq_front_call *call);

/* front_curl.c */
int kq_front_curl_start (struct kq_front *front);
void kq_front_curl_attach (struct kq_front *front);
void kq_front_curl_run (struct kq_front *front);
void kq_front_curl_stop (struct kq_front *front);

/** Sends an attempt to the endpoint at ADDRESS; MAX_AGE as in
 *  struct kq_request_effect.
 *  @return 0, or an error if nothing was sent.  */
int kq_front_curl_send (struct kq_front_attempt *attempt, const char *address,
                        kq_usec deadline, kq_usec max_age);

/** Aborts the transfer of an attempt.  The router is not notified. */
void kq_front_curl_abort (struct kq_front_attempt *attempt);

/* front_endpoint.c */

/** Sets the options that all attempts share. */
void kq_front_endpoint_set_options (CURL *easy);

/** Sets the options of ATTEMPT: address, request, timeout and connection
 *  reuse.  */
void kq_front_endpoint_prepare (struct kq_front_attempt *attempt,
                                const char *address, kq_usec deadline,
                                kq_usec max_age);

/** Determines the outcome of ATTEMPT, whose transfer ended with CODE, and ends
 *  the attempt.  */
void kq_front_endpoint_finish (struct kq_front_attempt *attempt,
                               CURLcode code);

/* front_message.c */

/** Sends an attempt to another entry host as specified by EFFECT.
 *  @return 0, or an error if nothing was sent.  */
int kq_front_hop_send (struct kq_front_attempt *attempt,
                       const struct kq_request_effect *effect);

/** Sends the result of a key to its backup, another entry host, and releases
 *  the reference to the response in it.  If the message is lost, the backup
 *  reports the key's outcome as unknown.  */
void kq_front_hop_send_key_result (struct kq_front *front,
                                   const struct kq_request_effect *effect);

/** Cancels an attempt at the other entry host.  The router is not
 *  notified.  */
void kq_front_hop_abort (struct kq_front_attempt *attempt);

/** Sends the result of a forwarded call whose outcome is set. */
void kq_front_hop_reply (struct kq_front_call *call);

/** Parses a message of another entry host and handles it.  ORIGIN: sender of a
 *  request, a cancellation or a key result; NULL for a reply.  */
void kq_front_message_handle (struct kq_front *front,
                              const struct kq_front_origin *origin, void *data,
                              size_t size);

/* front_hop.c */

/** Sends FRAME over SOCKET without blocking, preceded by the routing id of
 *  ORIGIN unless that is NULL.
 *  @return 0, or an error if nothing was sent.  */
int kq_front_hop_send_frame (void *socket,
                             const struct kq_front_origin *origin,
                             zmq_msg_t *frame);

int kq_front_hop_start (struct kq_front *front);
void kq_front_hop_attach (struct kq_front *front);
void kq_front_hop_run (struct kq_front *front);
void kq_front_hop_stop (struct kq_front *front);

/** Connects to the hop at ADDRESS unless already connected. */
void kq_front_hop_connect (struct kq_front *front, const char *address);

#endif
