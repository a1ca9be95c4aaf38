#include "node/node.h"

#include <ev.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uthash.h>

#include "base/err.h"
#include "log/log.h"
#include "node/closures.h"
#include "node/desk.h"
#include "node/directory.h"
#include "node/dispatch.h"
#include "node/explain.h"
#include "node/feed.h"
#include "node/gauges.h"
#include "node/guard.h"
#include "node/hop.h"
#include "node/http.h"
#include "node/journal.h"
#include "node/metrics-page.h"
#include "node/options.h"
#include "node/owner.h"
#include "node/relay.h"
#include "node/roster.h"
#include "node/self.h"
#include "node/stop.h"
#include "node/turns.h"
#include "node/watch.h"
#include "node/zones.h"
#include "platform/node-settings.h"
#include "term/term.h"

#define EXIT_INVALID_SETTINGS 2

/* A host that has had no reply from the store or an owner for this long
   reports that it is not ready, so that the load balancer opens no more
   connections to it. */
#define READY_TIMEOUT_US (4 * KQ_USEC_PER_SEC)

/* Interval at which the settings file is read again, because it may change
   without a signal. */
#define SETTINGS_INTERVAL_SEC 1.0

/* Hosts that start together know each other after this time. */
#define HOSTS_KNOWN_US (800 * KQ_USEC_PER_MSEC)

#define TIMER_INTERVAL_SEC 0.05

struct node
{
  struct ev_loop *loop;
  const char *path;
  struct kq_node_settings settings;
  kq_usec started_at;
  struct kq_http_client *http_client;
  struct kq_store *store;
  struct kq_hosts *hosts;
  struct kq_directory *directory;
  struct kq_term *term;
  struct kq_watch *watch;
  struct kq_hop *hop;
  struct kq_feed *feed;
  struct kq_relay *relay;
  struct kq_guard *guard;
  struct kq_job_api *job_api;
  struct kq_http *readiness;
  struct kq_http *metrics;
  struct kq_explain *explain;
  struct kq_owner *owner;
  struct kq_sched_config *config;
  struct kq_sched_config *old_config; /* may still be referenced */
  struct kq_sched_zones zones;        /* under evacuation */
  kq_usec zones_read_at;              /* 0: not read yet */
  struct owner_request *owner_requests;
  struct kq_admission_fronts fronts; /* told of closed queues */
  uint64_t last_token;
  int64_t served_term; /* own term that OWNER serves; 0: none */
  int64_t owner_term;  /* term of the last known owner */
  int64_t owner_changes;
  bool superseded;
  kq_usec owner_seen_at; /* when an owner last replied or became known */
  struct kq_stop stop;
  ev_prepare prepare;
  ev_timer timer;
  ev_timer settings_timer;
  ev_signal sigterm;
  ev_signal sigint;
  ev_signal sighup;
};

/* A request to the owner on this host. It comes from another host, or from the
   job API of this host if SENDER is empty. */
struct owner_request
{
  uint64_t token;  /* identifies the request to the owner */
  uint64_t number; /* identifies the request to its sender */
  struct kq_hop_sender sender;
  UT_hash_handle hh;
};

static void
send_result (struct node *node, const struct kq_hop_sender *sender,
             uint64_t number, const struct kq_owner_result *result)
{
  KqNode__Tell message = KQ_NODE__TELL__INIT;
  const struct kq_term_owner *owner = kq_term_owner (node->term);

  if (sender->size == 0)
    {
      struct kq_job_api_reply reply = { .number = number,
                                        .status = (unsigned)result->status,
                                        .state = result->state,
                                        .pending = (unsigned)result->pending,
                                        .err = result->err,
                                        .retry_ms = result->retry_ms };

      kq_job_api_handle_reply (node->job_api, &reply);
      return;
    }
  message.number = number;
  message.status = (uint32_t)result->status;
  message.state = result->state;
  message.pending = (uint32_t)result->pending;
  message.retry_ms = (uint32_t)result->retry_ms;
  message.err = result->err;
  message.owner = (char *)owner->address;
  message.term = owner->term;
  kq_closures_send_reply (node->hop, node->owner, &node->fronts, sender,
                          &message);
}

static void
on_result (void *arg, const struct kq_owner_result *result)
{
  struct node *node = arg;
  struct owner_request *request;

  HASH_FIND (hh, node->owner_requests, &result->token, sizeof result->token,
             request);
  if (request == NULL)
    return;
  HASH_DEL (node->owner_requests, request);
  send_result (node, &request->sender, request->number, result);
  free (request);
}

static void
on_superseded (void *arg)
{
  struct node *node = arg;

  /* The owner must not be destroyed in its own callback. */
  node->superseded = true;
}

static void
pass_to_owner (struct node *node, const struct kq_hop_sender *sender,
               const KqNode__Ask *message)
{
  struct kq_owner_result no_owner = { .err = KQ_EPEER_VIEW };
  struct owner_request *request;

  if (node->owner == NULL || !kq_owner_is_active (node->owner))
    {
      send_result (node, sender, message->number, &no_owner);
      return;
    }
  request = calloc (1, sizeof *request);
  if (request == NULL)
    {
      send_result (node, sender, message->number, &no_owner);
      return;
    }
  request->token = ++node->last_token;
  request->number = message->number;
  request->sender = *sender;
  HASH_ADD (hh, node->owner_requests, token, sizeof request->token, request);
  kq_owner_handle_request (
      node->owner, request->token, (enum kq_hop_verb)message->verb,
      message->job, message->queue, message->body.data, message->body.len);
}

static void
on_hop_request (void *arg, const struct kq_hop_sender *sender,
                const KqNode__Ask *message)
{
  struct node *node = arg;

  if (message->verb == KQ_HOP_ORDERS)
    kq_relay_handle_orders (node->relay, sender, message);
  else if (message->verb == KQ_HOP_EXPLAIN)
    kq_explain_handle_hop (node->explain, sender, message);
  else if (message->verb == KQ_HOP_FEED)
    kq_feed_handle_poll (node->feed, sender, message);
  else
    pass_to_owner (node, sender, message);
}

static void
on_hop_reply (void *arg, const char *address, const KqNode__Tell *message)
{
  struct node *node = arg;
  struct kq_job_api_reply reply
      = { .number = message->number,
          .status = message->status,
          .state = (enum kq_sched_state)message->state,
          .pending = message->pending,
          .err = message->err,
          .retry_ms = message->retry_ms,
          .closures = message };

  if (message->results.len > 0)
    {
      if (node->owner != NULL)
        kq_owner_handle_results (node->owner, address, message->results.data,
                                 message->results.len);
      return;
    }
  if (message->feed.len > 0)
    {
      kq_feed_handle_reply (node->feed, message);
      return;
    }
  if (message->status != 0)
    node->owner_seen_at = kq_clock_now ();
  else
    kq_term_learn_owner (node->term, kq_clock_now (), message->owner,
                         message->term);
  if (!kq_explain_handle_reply (node->explain, message))
    kq_job_api_handle_reply (node->job_api, &reply);
}

/* Selects the host that a request is sent to: the owner, or any other host if
   neither the store nor the owner has replied for a second, because that host
   may know a later owner. */
static const char *
choose_address (struct node *node)
{
  const struct kq_term_owner *owner = kq_term_owner (node->term);
  kq_usec now = kq_clock_now ();

  if (now - kq_watch_last_reply_at (node->watch) > KQ_USEC_PER_SEC
      && now - node->owner_seen_at > KQ_USEC_PER_SEC)
    {
      const char *peer = kq_hosts_peer (node->hosts, node->last_token++);

      if (peer != NULL)
        return peer;
    }
  return owner->address[0] != '\0' ? owner->address : NULL;
}

static bool
on_forward (void *arg, const KqNode__Ask *message)
{
  static const struct kq_hop_sender here = { .size = 0 };
  struct node *node = arg;
  const char *address;

  if (node->owner != NULL)
    {
      pass_to_owner (node, &here, message);
      return true;
    }
  address = choose_address (node);
  return address != NULL
         && kq_hop_send_request (node->hop, address, message) == 0;
}

static void
on_no_reply (void *arg)
{
  struct node *node = arg;

  if (node->owner == NULL)
    kq_watch_suspect_owner (node->watch);
}

static void
on_hosts_changed (void *arg)
{
  struct node *node = arg;

  kq_term_set_standing (node->term, kq_hosts_rank (node->hosts),
                        kq_hosts_max_cores (node->hosts));
  if (node->owner != NULL)
    kq_owner_update_hosts (node->owner);
}

/* Logs that this host acts as the owner no more, and how long ago the store
   has confirmed its term last. */
static void
log_owner_stopped (const struct node *node)
{
  char confirmed[24];

  snprintf (confirmed, sizeof confirmed, "%" PRId64,
            (kq_clock_now () - kq_term_confirmed_at (node->term))
                / KQ_USEC_PER_MSEC);
  kq_log (KQ_LOG_INFO, "owner", "stopped", 0, "confirmed_ms_ago", confirmed,
          NULL);
}

static void
stop_owner (struct node *node)
{
  struct owner_request *request;
  struct owner_request *next;

  if (node->owner == NULL)
    return;
  log_owner_stopped (node);
  kq_owner_destroy (node->owner);
  node->owner = NULL;
  /* Open requests get no reply, because they may have been carried out. */
  request = node->owner_requests;
  HASH_CLEAR (hh, node->owner_requests);
  for (; request != NULL; request = next)
    {
      next = request->hh.next;
      free (request);
    }
}

static void
on_feed (void *arg, const struct kq_feed_state *state,
         struct kq_sched_config *config)
{
  const struct node *node = arg;

  kq_watch_handle_feed (node->watch, state, config);
}

static void
start_owner (struct node *node)
{
  struct kq_owner_handler handler = { .arg = node,
                                      .on_result = on_result,
                                      .on_superseded = on_superseded };
  struct kq_owner_context context
      = { .loop = node->loop,
          .store = node->settings.store,
          .store_limits = node->settings.store_limits,
          .advice = node->settings.advice,
          .term = node->term,
          .hosts = node->hosts,
          .hop = node->hop,
          .settings = node->settings.sched,
          .zones = &node->zones,
          .zones_read_at = node->zones_read_at };

  /* Without relays the owner of a large cell would open connections to all
     workers. */
  if (kq_hosts_count (node->hosts) == 1)
    context.first_polls_at = node->started_at + HOSTS_KNOWN_US;

  node->owner = kq_owner_create (&context, node->config, &handler);
  if (node->owner == NULL)
    {
      kq_log (KQ_LOG_ERROR, "node", "term released: owner not created",
              KQ_ENOMEM, NULL);
      kq_term_release (node->term);
    }
  kq_watch_read_store (node->watch);
}

static void
log_owner (const struct kq_term_owner *owner)
{
  char number[24];

  snprintf (number, sizeof number, "%" PRId64, owner->term);
  kq_log (KQ_LOG_INFO, "node", "owner known", 0, "owner", owner->host,
          "address", owner->address, "term", number, NULL);
}

static void
follow_term (struct node *node)
{
  const struct kq_term_owner *owner = kq_term_owner (node->term);
  int64_t own_term = kq_term_own_term (node->term);

  if (node->superseded)
    {
      node->superseded = false;
      kq_term_supersede (node->term, kq_clock_now ());
      stop_owner (node);
      own_term = 0;
    }
  if (own_term == 0 || own_term != node->served_term)
    stop_owner (node);
  node->served_term = own_term;
  if (own_term == 0)
    kq_term_note_idle (node->term, kq_clock_now ());
  else if (node->owner == NULL)
    start_owner (node);
  if (node->owner != NULL)
    kq_owner_confirm (node->owner, kq_term_confirmed_at (node->term),
                      kq_term_fence (node->term));
  if (owner->term != node->owner_term)
    {
      node->owner_term = owner->term;
      node->owner_changes++;
      node->owner_seen_at = kq_clock_now ();
      log_owner (owner);
      kq_job_api_resend_pending (node->job_api);
    }
}

static void
on_term_changed (void *arg)
{
  follow_term (arg);
}

static void
on_term_append (void *arg, const struct kq_store_append_result *result)
{
  struct node *node = arg;

  if (node->owner != NULL)
    kq_owner_note_term_append (node->owner, result);
}

static void
on_config (void *arg, struct kq_sched_config *config)
{
  struct node *node = arg;

  kq_sched_config_destroy (node->old_config);
  node->old_config = node->config;
  node->config = config;
  kq_job_api_configure (node->job_api, config);
  if (node->metrics != NULL)
    kq_http_limit_body (node->metrics, config->max_body_bytes);
  if (node->owner != NULL)
    kq_owner_configure (node->owner, config);
}

static void
on_zones (void *arg, const struct kq_sched_zones *zones, kq_usec read_at)
{
  struct node *node = arg;

  node->zones = *zones;
  node->zones_read_at = read_at;
  if (node->owner != NULL)
    kq_owner_evacuate (node->owner, zones, read_at);
}

static bool
is_ready (const struct node *node)
{
  kq_usec now = kq_clock_now ();

  return node->stop.started_at == 0 && node->config != NULL
         && (now - kq_watch_last_reply_at (node->watch) < READY_TIMEOUT_US
             || now - node->owner_seen_at < READY_TIMEOUT_US);
}

static void
on_readiness (void *arg, struct kq_http_request *request)
{
  struct node *node = arg;
  bool ready = is_ready (node);
  struct kq_http_response response
      = { .status = ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
          .type = "text/plain",
          .body = ready ? "ready\n" : "not ready\n" };

  response.body_size = strlen (response.body);
  kq_http_respond (node->readiness, request, &response);
}

static void
set_gauges (const struct node *node)
{
  struct kq_sched_counts counts;

  if (node->owner != NULL)
    kq_owner_count (node->owner, &counts);
  kq_gauges_set (node->owner != NULL ? &counts : NULL);
  kq_gauges_set_host_state (node->config != NULL ? node->config->version : 0,
                            node->owner_term, node->owner_changes,
                            kq_clock_now ()
                                - kq_watch_last_reply_at (node->watch));
}

static void
on_metrics (void *arg, struct kq_http_request *request)
{
  struct node *node = arg;

  if (kq_explain_handle_http (node->explain, node->metrics, request))
    return;
  set_gauges (node);
  kq_metrics_page_respond (node->metrics, request);
}

static void
on_metrics_disconnect (void *arg, struct kq_http_request *request)
{
  const struct node *node = arg;

  kq_explain_drop (node->explain, request);
}

static void
on_explain_host (void *arg, struct kq_explain_host *host)
{
  const struct node *node = arg;

  *host = (struct kq_explain_host){ .owner = node->owner,
                                    .known = kq_term_owner (node->term),
                                    .last_heard_at = node->owner_seen_at };
}

static void
on_stop (struct ev_loop *loop, ev_signal *signal, int events)
{
  struct node *node = signal->data;

  if (node->stop.started_at != 0)
    return;
  kq_log (KQ_LOG_INFO, "node", "planned stop started", 0, NULL);
  node->stop.started_at = kq_clock_now ();
  node->stop.grace = node->settings.stop_grace;
  kq_term_stop (node->term, kq_stop_release_at (&node->stop),
                kq_stop_last_release_at (&node->stop));
  kq_relay_leave (node->relay);
  kq_feed_leave (node->feed);
  kq_job_api_disable_keep_alive (node->job_api);
}

static void
read_settings (struct node *node)
{
  struct kq_node_settings settings;
  struct kq_node_settings_error error;
  int err = kq_node_settings_read (node->path, &settings, &error);

  if (err != 0)
    kq_log (KQ_LOG_WARN, "node", "settings file not applied", err, "field",
            error.field, "why", error.why, NULL);
  else if (!kq_node_settings_equal (&settings, &node->settings))
    {
      kq_log (KQ_LOG_INFO, "node", "settings changed", 0, "store",
              settings.store, NULL);
      node->settings = settings;
    }
}

static void
on_sighup (struct ev_loop *loop, ev_signal *signal, int events)
{
  kq_log (KQ_LOG_INFO, "node", "reload", 0, NULL);
  read_settings (signal->data);
}

static void
on_settings_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  read_settings (timer->data);
}

static bool
holds_term (const struct node *node)
{
  return kq_stop_holds_term (kq_term_held_term (node->term),
                             kq_term_confirmed_at (node->term),
                             kq_clock_now ());
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct node *node = timer->data;

  follow_term (node);
  kq_feed_tick (node->feed);
  if (node->stop.started_at != 0
      && kq_stop_is_over (&node->stop, kq_clock_now (),
                          kq_job_api_is_idle (node->job_api)
                              && !holds_term (node)))
    ev_break (loop, EVBREAK_ALL);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  struct node *node = prepare->data;

  if (node->superseded)
    follow_term (node);
  kq_log_flush ();
}

static void
watch_signal (struct node *node, ev_signal *watcher, int number,
              void (*on_signal) (struct ev_loop *, ev_signal *, int))
{
  ev_signal_init (watcher, on_signal, number);
  watcher->data = node;
  ev_signal_start (node->loop, watcher);
}

static void
start_timers (struct node *node)
{
  ev_timer_init (&node->timer, on_timer, TIMER_INTERVAL_SEC,
                 TIMER_INTERVAL_SEC);
  node->timer.data = node;
  ev_timer_start (node->loop, &node->timer);
  ev_timer_init (&node->settings_timer, on_settings_timer,
                 SETTINGS_INTERVAL_SEC, SETTINGS_INTERVAL_SEC);
  node->settings_timer.data = node;
  ev_timer_start (node->loop, &node->settings_timer);
  ev_prepare_init (&node->prepare, on_prepare);
  node->prepare.data = node;
  ev_prepare_start (node->loop, &node->prepare);
  watch_signal (node, &node->sigterm, SIGTERM, on_stop);
  watch_signal (node, &node->sigint, SIGINT, on_stop);
  watch_signal (node, &node->sighup, SIGHUP, on_sighup);
}

static int
start_listeners (struct node *node, const char *hop_address, int metrics_port)
{
  struct kq_hop_handler hop = { .arg = node,
                                .on_request = on_hop_request,
                                .on_reply = on_hop_reply };
  struct kq_job_api_handler job_api
      = { .arg = node, .on_forward = on_forward, .on_no_reply = on_no_reply };
  struct kq_http_handler readiness
      = { .arg = node, .on_request = on_readiness };
  struct kq_http_handler metrics = { .arg = node,
                                     .on_request = on_metrics,
                                     .on_disconnect = on_metrics_disconnect };
  struct kq_explain_handler explain
      = { .arg = node, .on_host = on_explain_host };
  char address[KQ_NODE_SETTINGS_TEXT + 8];
  int err = 0;

  node->hop = kq_hop_create (node->loop, hop_address, &hop, &err);
  if (err == 0)
    {
      kq_hop_limit_queue (node->hop, kq_guard_max_body_bytes (node->guard));
      node->relay = kq_relay_create (node->loop, node->hop);
      node->explain = kq_explain_create (node->loop, node->hop, &explain);
      node->feed
          = kq_feed_create (node->hop, node->hosts, node->term, on_feed, node);
      err = node->relay != NULL && node->explain != NULL && node->feed != NULL
                ? 0
                : KQ_ENOMEM;
    }
  if (err == 0)
    node->job_api
        = kq_job_api_create (node->loop, node->settings.job_api_address,
                             &job_api, node->guard, &err);
  if (err == 0)
    node->readiness = kq_http_start (
        node->loop, node->settings.readiness, &readiness, node->guard,
        kq_guard_max_operators (node->guard), &err);
  snprintf (address, sizeof address, "%s:%d", node->settings.ip, metrics_port);
  if (err == 0 && metrics_port > 0)
    node->metrics = kq_http_start (node->loop, address, &metrics, node->guard,
                                   kq_guard_max_operators (node->guard), &err);
  return err;
}

static int
start (struct node *node, int metrics_port)
{
  struct kq_watch_handler watch = { .arg = node,
                                    .on_term = on_term_changed,
                                    .on_append = on_term_append,
                                    .on_config = on_config,
                                    .on_zones = on_zones };
  struct kq_host self;
  int err;

  node->started_at = kq_clock_now ();
  kq_self_describe (&node->settings, &self);
  node->guard = kq_guard_create (
      &(struct kq_guard_limits){ .memory_mb = node->settings.memory_mb,
                                 .descriptors = node->settings.descriptors });
  if (node->guard == NULL)
    return KQ_ENOMEM;
  node->loop = ev_loop_new (EVFLAG_AUTO);
  if (node->loop == NULL)
    return KQ_ENOMEM;
  node->http_client = kq_http_client_create (node->loop, node);
  node->store = node->http_client != NULL
                    ? kq_store_create (node->http_client, node->settings.store)
                    : NULL;
  node->hosts = kq_hosts_create (&self);
  node->term = kq_term_create (self.name, self.address, self.incarnation,
                               self.cores, kq_clock_now ());
  if (node->store != NULL && node->hosts != NULL)
    node->directory = kq_directory_create (
        node->loop, node->store, node->hosts, on_hosts_changed, node);
  if (node->directory == NULL || node->term == NULL)
    return KQ_ENOMEM;
  err = start_listeners (node, self.address, metrics_port);
  if (err != 0)
    return err;
  node->watch = kq_watch_create (node->loop, node->store, node->term, &watch);
  if (node->watch == NULL)
    return KQ_ENOMEM;
  kq_watch_set_feed (node->watch, node->feed);
  start_timers (node);
  kq_watch_start (node->watch);
  kq_directory_start (node->directory);
  return 0;
}

static void
stop (struct node *node)
{
  stop_owner (node);
  kq_watch_destroy (node->watch);
  kq_directory_destroy (node->directory);
  kq_job_api_destroy (node->job_api);
  kq_http_stop (node->readiness);
  kq_explain_destroy (node->explain);
  kq_http_stop (node->metrics);
  kq_guard_destroy (node->guard);
  kq_relay_destroy (node->relay);
  kq_feed_destroy (node->feed);
  kq_hop_destroy (node->hop);
  kq_http_client_destroy (node->http_client);
  kq_store_destroy (node->store);
  kq_term_destroy (node->term);
  kq_hosts_destroy (node->hosts);
  kq_sched_config_destroy (node->config);
  kq_sched_config_destroy (node->old_config);
  if (node->loop != NULL)
    ev_loop_destroy (node->loop);
}

static int
run (const char *path, const struct kq_node_options *options)
{
  static struct node node;
  struct kq_node_settings_error error;
  int err = kq_node_settings_read (path, &node.settings, &error);

  node.path = path;
  kq_log_to_stdout ();
  if (err != 0)
    {
      kq_log (KQ_LOG_ERROR, "node", "settings file rejected", err, "field",
              error.field, "why", error.why, NULL);
      kq_log_flush ();
      return EXIT_INVALID_SETTINGS;
    }
  signal (SIGPIPE, SIG_IGN);
  kq_log_setup (options->log_level, node.settings.host);
  kq_call_register_metrics ();
  kq_store_register_metrics ();
  kq_job_api_register_metrics ();
  kq_closures_register_metrics ();
  kq_journal_register_metrics ();
  kq_explain_register_metrics ();
  kq_feed_register_metrics ();
  kq_guard_register_metrics ();
  kq_loop_timing_register_metrics ();
  kq_relay_register_metrics ();
  kq_dispatch_register_metrics ();
  kq_zones_register_metrics ();
  kq_registrations_register_metrics ();
  kq_gauges_register ();
  err = start (&node, options->metrics_port);
  if (err != 0)
    {
      kq_log (KQ_LOG_ERROR, "node", "start failed", err, NULL);
      kq_log_flush ();
      stop (&node);
      return EXIT_FAILURE;
    }
  kq_log (KQ_LOG_INFO, "node", "started", 0, "callers",
          node.settings.job_api_address, "store", node.settings.store, "zone",
          node.settings.zone, NULL);
  ev_run (node.loop, 0);
  kq_log (KQ_LOG_INFO, "node", "stopped", 0, NULL);
  stop (&node);
  kq_log_flush ();
  return EXIT_SUCCESS;
}

int
kq_node_main (const char *path, int argc, char **argv)
{
  struct kq_node_options options;
  int result = kq_node_options_read (argc, argv, stdout, stderr, &options);

  if (result == KQ_NODE_SHOWN)
    return EXIT_SUCCESS;
  return result == KQ_NODE_RUN ? run (path, &options) : EXIT_INVALID_SETTINGS;
}
