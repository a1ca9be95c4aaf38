#include "node/node.h"

#include <ev.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>
#include <uthash.h>

#include "base/err.h"
#include "log/log.h"
#include "metrics/histogram.h"
#include "metrics/metrics.h"
#include "node/desk.h"
#include "node/gauges.h"
#include "node/hop.h"
#include "node/http.h"
#include "node/options.h"
#include "node/owner.h"
#include "node/turns.h"
#include "node/watch.h"
#include "platform/node-settings.h"
#include "term/term.h"

#define EXIT_SETTINGS 2

/* A host that hears neither the store nor an owner for this long asks the
   balancer for no more connections. */
#define READY_AFTER_SILENCE (4 * KQ_USEC_PER_SEC)

/* A planned stop serves on for this long, so that the balancer notices: two
   of its questions, a second apart, and the time between. */
#define STOP_SERVES_ON (3 * KQ_USEC_PER_SEC)

/* It ends this long before it would be killed. */
#define STOP_MARGIN (700 * KQ_USEC_PER_MSEC)

/* The settings file is looked at this often: it may change without a
   signal. */
#define SETTINGS_SEC 1.0

#define STEP_SEC 0.05
#define METRICS_BYTES ((size_t)64 * 1024)

struct node
{
  struct ev_loop *loop;
  const char *path;
  struct kq_node_settings boot;
  struct kq_http_client *caller;
  struct kq_store *store;
  struct kq_term *term;
  struct kq_watch *watch;
  struct kq_hop *hop;
  struct kq_desk *desk;
  struct kq_http *readiness;
  struct kq_http *metrics;
  struct kq_owner *owner;
  struct kq_sched_config *config;
  struct kq_sched_config *old_config; /* until nothing refers to it */
  struct remote *remotes;
  uint64_t last_token;
  int64_t owner_term; /* of the last known owner */
  int64_t owner_changes;
  bool deposed;
  kq_usec owner_heard_at;
  kq_usec stop_at; /* 0: runs */
  ev_prepare prepare;
  ev_timer step;
  ev_timer settings_timer;
  ev_signal on_term;
  ev_signal on_int;
  ev_signal on_hup;
};

/* A question of another host, or of this one where SENDER is empty. */
struct remote
{
  uint64_t token;
  uint64_t number;
  struct kq_hop_sender sender;
  UT_hash_handle hh;
};

static void
tell (struct node *node, const struct kq_hop_sender *sender, uint64_t number,
      const struct kq_owner_answer *answer)
{
  KqNode__Tell message = KQ_NODE__TELL__INIT;
  const struct kq_term_owner *owner = kq_term_owner (node->term);

  if (sender->size == 0)
    {
      struct kq_desk_tell told = { .number = number,
                                   .status = (unsigned)answer->status,
                                   .state = answer->state,
                                   .pending = (unsigned)answer->pending,
                                   .err = answer->err };

      kq_desk_told (node->desk, &told);
      return;
    }
  message.number = number;
  message.status = (uint32_t)answer->status;
  message.state = answer->state;
  message.pending = (uint32_t)answer->pending;
  message.err = answer->err;
  message.owner = (char *)owner->address;
  message.term = owner->term;
  kq_hop_tell (node->hop, sender, &message);
}

static void
on_answer (void *arg, const struct kq_owner_answer *answer)
{
  struct node *node = arg;
  struct remote *remote;

  HASH_FIND (hh, node->remotes, &answer->token, sizeof answer->token, remote);
  if (remote == NULL)
    return;
  HASH_DEL (node->remotes, remote);
  tell (node, &remote->sender, remote->number, answer);
  free (remote);
}

static void
on_deposed (void *arg)
{
  struct node *node = arg;

  /* The owner may not be destroyed inside its own callback. */
  node->deposed = true;
}

static void
ask_owner (struct node *node, const struct kq_hop_sender *sender,
           const KqNode__Ask *ask)
{
  struct kq_owner_answer nobody = { .err = KQ_EPEER_VIEW };
  struct remote *remote;

  if (node->owner == NULL || !kq_owner_is_active (node->owner))
    {
      tell (node, sender, ask->number, &nobody);
      return;
    }
  remote = calloc (1, sizeof *remote);
  if (remote == NULL)
    {
      tell (node, sender, ask->number, &nobody);
      return;
    }
  remote->token = ++node->last_token;
  remote->number = ask->number;
  remote->sender = *sender;
  HASH_ADD (hh, node->remotes, token, sizeof remote->token, remote);
  kq_owner_ask (node->owner, remote->token, (enum kq_ask_verb)ask->verb,
                ask->job, ask->queue, ask->body.data, ask->body.len);
}

static void
on_hop_ask (void *arg, const struct kq_hop_sender *sender,
            const KqNode__Ask *ask)
{
  ask_owner (arg, sender, ask);
}

static void
on_hop_tell (void *arg, const KqNode__Tell *message)
{
  struct node *node = arg;
  struct kq_desk_tell told = { .number = message->number,
                               .status = message->status,
                               .state = (enum kq_sched_state)message->state,
                               .pending = message->pending,
                               .err = message->err };

  if (message->status != 0)
    node->owner_heard_at = kq_clock_now ();
  else
    kq_term_learn_owner (node->term, kq_clock_now (), message->owner,
                         message->term);
  kq_desk_told (node->desk, &told);
}

/* Without the store and without word of the owner, any other host may know
   more. */
static const char *
address_to_ask (struct node *node)
{
  const struct kq_term_owner *owner = kq_term_owner (node->term);
  kq_usec now = kq_clock_now ();

  if (now - kq_watch_heard_at (node->watch) > KQ_USEC_PER_SEC
      && now - node->owner_heard_at > KQ_USEC_PER_SEC)
    {
      const char *peer
          = kq_term_peer (node->term, node->last_token++ % KQ_TERM_MAX_PEERS);

      if (peer != NULL)
        return peer;
    }
  return owner->address[0] != '\0' ? owner->address : NULL;
}

static bool
on_desk_ask (void *arg, const KqNode__Ask *ask)
{
  static const struct kq_hop_sender here = { .size = 0 };
  struct node *node = arg;
  const char *address;

  if (node->owner != NULL)
    {
      ask_owner (node, &here, ask);
      return true;
    }
  address = address_to_ask (node);
  return address != NULL && kq_hop_ask (node->hop, address, ask) == 0;
}

static void
drop_owner (struct node *node)
{
  struct remote *remote;
  struct remote *next;

  if (node->owner == NULL)
    return;
  kq_owner_destroy (node->owner);
  node->owner = NULL;
  /* These may have been done: they are left without an answer. */
  remote = node->remotes;
  HASH_CLEAR (hh, node->remotes);
  for (; remote != NULL; remote = next)
    {
      next = remote->hh.next;
      free (remote);
    }
}

static void
become_owner (struct node *node, int64_t term)
{
  struct kq_owner_handler handler
      = { .arg = node, .on_answer = on_answer, .on_deposed = on_deposed };

  node->owner
      = kq_owner_create (node->loop, node->boot.store, node->boot.advice, term,
                         node->config, &handler);
  if (node->owner == NULL)
    {
      kq_log (KQ_LOG_ERROR, "node", "term not taken up", KQ_ENOMEM, NULL);
      kq_term_release (node->term, 0);
    }
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
  int64_t mine = kq_term_own_term (node->term);

  if (node->deposed)
    {
      node->deposed = false;
      kq_term_supersede (node->term, kq_clock_now ());
      drop_owner (node);
      mine = 0;
    }
  if (mine == 0)
    drop_owner (node);
  else if (node->owner == NULL)
    become_owner (node, mine);
  if (node->owner != NULL)
    kq_owner_confirm (node->owner, kq_term_confirmed_at (node->term));
  if (owner->term != node->owner_term)
    {
      node->owner_term = owner->term;
      node->owner_changes++;
      node->owner_heard_at = kq_clock_now ();
      log_owner (owner);
      kq_desk_ask_again (node->desk);
    }
}

static void
on_term_changed (void *arg)
{
  follow_term (arg);
}

static void
on_config (void *arg, struct kq_sched_config *config)
{
  struct node *node = arg;

  kq_sched_config_destroy (node->old_config);
  node->old_config = node->config;
  node->config = config;
  kq_desk_configure (node->desk, config);
  if (node->owner != NULL)
    kq_owner_configure (node->owner, config);
}

static bool
is_ready (const struct node *node)
{
  kq_usec now = kq_clock_now ();

  return node->stop_at == 0 && node->config != NULL
         && (now - kq_watch_heard_at (node->watch) < READY_AFTER_SILENCE
             || now - node->owner_heard_at < READY_AFTER_SILENCE);
}

static void
on_readiness (void *arg, struct kq_http_request *request)
{
  struct node *node = arg;
  bool ready = is_ready (node);
  struct kq_http_answer answer
      = { .status = ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
          .type = "text/plain",
          .body = ready ? "ready\n" : "not ready\n" };

  answer.body_size = strlen (answer.body);
  kq_http_reply (node->readiness, request, &answer);
}

static void
set_gauges (const struct node *node)
{
  struct kq_sched_counts counts;

  if (node->owner != NULL)
    kq_owner_count (node->owner, &counts);
  kq_gauges_set (node->owner != NULL ? &counts : NULL);
  kq_gauges_set_beliefs (node->config != NULL ? node->config->version : 0,
                         node->owner_term, node->owner_changes,
                         kq_clock_now () - kq_watch_heard_at (node->watch));
}

static int
print_metrics (char *page, size_t size)
{
  int length = kq_metric_print (page, size);
  int more;

  if (length < 0)
    return length;
  more = kq_histogram_print (page + length, size - (size_t)length);
  return more < 0 ? more : length + more;
}

static void
on_metrics (void *arg, struct kq_http_request *request)
{
  struct node *node = arg;
  static char page[METRICS_BYTES];
  struct kq_http_answer answer = { .status = MHD_HTTP_OK,
                                   .type = "text/plain; version=0.0.4",
                                   .body = page };
  int length;

  set_gauges (node);
  length = print_metrics (page, sizeof page);
  if (length < 0)
    answer.status = MHD_HTTP_INTERNAL_SERVER_ERROR;
  else
    answer.body_size = (size_t)length;
  kq_http_reply (node->metrics, request, &answer);
}

static void
on_stop (struct ev_loop *loop, ev_signal *signal, int events)
{
  struct node *node = signal->data;

  if (node->stop_at != 0)
    return;
  kq_log (KQ_LOG_INFO, "node", "planned stop", 0, NULL);
  node->stop_at = kq_clock_now ();
  kq_term_release (node->term, INT64_MAX);
  kq_desk_close_softly (node->desk);
}

static void
read_settings (struct node *node)
{
  struct kq_node_settings boot;
  struct kq_node_settings_error error;
  int err = kq_node_settings_read (node->path, &boot, &error);

  if (err != 0)
    kq_log (KQ_LOG_WARN, "node", "settings refused", err, "field", error.field,
            "why", error.why, NULL);
  else if (!kq_node_settings_equal (&boot, &node->boot))
    {
      kq_log (KQ_LOG_INFO, "node", "settings changed", 0, "store", boot.store,
              NULL);
      node->boot = boot;
    }
}

static void
on_hup (struct ev_loop *loop, ev_signal *signal, int events)
{
  kq_log (KQ_LOG_INFO, "node", "reload", 0, NULL);
  read_settings (signal->data);
}

static void
on_settings_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  read_settings (timer->data);
}

static void
on_step (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct node *node = timer->data;
  kq_usec since;

  follow_term (node);
  if (node->stop_at == 0)
    return;
  since = kq_clock_now () - node->stop_at;
  if ((since > STOP_SERVES_ON && kq_desk_is_idle (node->desk))
      || since > node->boot.stop_grace - STOP_MARGIN)
    ev_break (loop, EVBREAK_ALL);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  struct node *node = prepare->data;

  if (node->deposed)
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
  ev_timer_init (&node->step, on_step, STEP_SEC, STEP_SEC);
  node->step.data = node;
  ev_timer_start (node->loop, &node->step);
  ev_timer_init (&node->settings_timer, on_settings_timer, SETTINGS_SEC,
                 SETTINGS_SEC);
  node->settings_timer.data = node;
  ev_timer_start (node->loop, &node->settings_timer);
  ev_prepare_init (&node->prepare, on_prepare);
  node->prepare.data = node;
  ev_prepare_start (node->loop, &node->prepare);
  watch_signal (node, &node->on_term, SIGTERM, on_stop);
  watch_signal (node, &node->on_int, SIGINT, on_stop);
  watch_signal (node, &node->on_hup, SIGHUP, on_hup);
}

/* Differs in each life of the process. */
static void
draw_life (char *life, size_t size)
{
  uint64_t number = 0;

  if (getrandom (&number, sizeof number, 0) != sizeof number)
    number = (uint64_t)kq_clock_wall () ^ (uint64_t)getpid () << 48;
  snprintf (life, size, "%016" PRIx64, number);
}

static int
start_listeners (struct node *node, const char *hop_address, int metrics_port)
{
  struct kq_hop_handler hop
      = { .arg = node, .on_ask = on_hop_ask, .on_tell = on_hop_tell };
  struct kq_desk_handler desk = { .arg = node, .on_ask = on_desk_ask };
  struct kq_http_handler readiness
      = { .arg = node, .on_request = on_readiness };
  struct kq_http_handler metrics = { .arg = node, .on_request = on_metrics };
  char address[KQ_NODE_SETTINGS_TEXT + 8];
  int err = 0;

  node->hop = kq_hop_create (node->loop, hop_address, &hop, &err);
  if (err == 0)
    node->desk
        = kq_desk_create (node->loop, node->boot.job_api_address, &desk, &err);
  if (err == 0)
    node->readiness
        = kq_http_start (node->loop, node->boot.readiness, &readiness, &err);
  snprintf (address, sizeof address, "%s:%d", node->boot.ip, metrics_port);
  if (err == 0 && metrics_port > 0)
    node->metrics = kq_http_start (node->loop, address, &metrics, &err);
  return err;
}

static int
start (struct node *node, int metrics_port)
{
  struct kq_watch_handler watch
      = { .arg = node, .on_term = on_term_changed, .on_config = on_config };
  char hop_address[KQ_NODE_SETTINGS_TEXT + 8];
  char life[32];
  int err;

  draw_life (life, sizeof life);
  snprintf (hop_address, sizeof hop_address, "%s:%d", node->boot.ip,
            node->boot.first_port);
  node->loop = ev_loop_new (EVFLAG_AUTO);
  if (node->loop == NULL)
    return KQ_ENOMEM;
  node->caller = kq_http_client_create (node->loop, node);
  node->store = node->caller != NULL
                    ? kq_store_create (node->caller, node->boot.store)
                    : NULL;
  node->term
      = kq_term_create (node->boot.host, hop_address, life, node->boot.cores);
  if (node->store == NULL || node->term == NULL)
    return KQ_ENOMEM;
  err = start_listeners (node, hop_address, metrics_port);
  if (err != 0)
    return err;
  node->watch = kq_watch_create (node->loop, node->store, node->term, &watch);
  if (node->watch == NULL)
    return KQ_ENOMEM;
  start_timers (node);
  kq_watch_start (node->watch);
  return 0;
}

static void
stop (struct node *node)
{
  drop_owner (node);
  kq_watch_destroy (node->watch);
  kq_desk_destroy (node->desk);
  kq_http_stop (node->readiness);
  kq_http_stop (node->metrics);
  kq_hop_destroy (node->hop);
  kq_http_client_destroy (node->caller);
  kq_store_destroy (node->store);
  kq_term_destroy (node->term);
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
  int err = kq_node_settings_read (path, &node.boot, &error);

  node.path = path;
  kq_log_to_stdout ();
  if (err != 0)
    {
      kq_log (KQ_LOG_ERROR, "node", "settings refused", err, "field",
              error.field, "why", error.why, NULL);
      kq_log_flush ();
      return EXIT_SETTINGS;
    }
  signal (SIGPIPE, SIG_IGN);
  kq_log_setup (options->log_level, node.boot.host);
  kq_call_register_metrics ();
  kq_desk_register_metrics ();
  kq_turns_register_metrics ();
  kq_gauges_register ();
  err = start (&node, options->metrics_port);
  if (err != 0)
    {
      kq_log (KQ_LOG_ERROR, "node", "not started", err, NULL);
      kq_log_flush ();
      stop (&node);
      return EXIT_FAILURE;
    }
  kq_log (KQ_LOG_INFO, "node", "started", 0, "callers",
          node.boot.job_api_address, "store", node.boot.store, "zone",
          node.boot.zone, NULL);
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
  return result == KQ_NODE_RUN ? run (path, &options) : EXIT_SETTINGS;
}
