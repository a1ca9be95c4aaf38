#include "daemon/control.h"

#include <ev.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "daemon/admin.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "peer/peer.h"
#include "platform/client.h"

/* Interval of ticks of the core. */
#define TICK_INTERVAL_SEC 0.05

struct kq_control
{
  const struct kq_settings *settings;
  struct kq_front *front;
  pthread_t thread;
  struct ev_loop *loop;
  struct kq_core *core;
  struct kq_effects *effects;
  struct kq_client *client;
  struct kq_admin *admin;
  struct kq_peers *peers;
  void *zmq_context;
  uint64_t incarnation;
  ev_timer tick;
  ev_async stop;
  bool view_changed;
  bool stopping;
  kq_usec drain_deadline;  /* time at which the loop ends at the latest */
  kq_usec log_end_read_at; /* start of the last read that reached the end
                              of the log; 0: none */
};

static struct kq_metric events_total
    = { .name = "kq_core_steps_total", .help = "Events the core has taken." };
static struct kq_metric views_total
    = { .name = "kq_views_total", .help = "Views handed to the front." };

void
kq_control_register_metrics (void)
{
  kq_metric_register (&events_total);
  kq_metric_register (&views_total);
  kq_client_register_metrics ();
  kq_admin_register_metrics ();
  kq_peers_register_metrics ();
}

static void
call_platform (struct kq_control *control, const struct kq_effect *effect)
{
  int err = kq_client_execute (control->client, effect);

  if (err != 0)
    kq_log (KQ_LOG_ERROR, "control", "call_failed", err, NULL);
}

static void
send_message (struct kq_control *control, const struct kq_effect *effect)
{
  int err = kq_peers_send (control->peers, &effect->u.peer.to,
                           &effect->u.peer.message);

  if (err != 0)
    kq_log (KQ_LOG_WARN, "control", "send_failed", err, "peer",
            effect->u.peer.to.text, NULL);
}

static void
run_effect (struct kq_control *control, const struct kq_effect *effect)
{
  switch (effect->kind)
    {
    case KQ_FX_LEASE:
    case KQ_FX_TASK:
    case KQ_FX_APPEND:
      call_platform (control, effect);
      break;
    case KQ_FX_PEER:
      send_message (control, effect);
      break;
    case KQ_FX_REPLY:
      kq_admin_reply (control->admin, effect->u.reply.id, effect->u.reply.err,
                      effect->u.reply.revision);
      break;
    case KQ_FX_VIEW:
      control->view_changed = true;
      break;
    case KQ_FX_STOPPED:
      ev_break (control->loop, EVBREAK_ALL);
      break;
    }
}

/* Hands EVENT to the core and executes the resulting effects. */
static void
process_event (struct kq_control *control, const struct kq_event *event)
{
  struct kq_effect effect;
  int err
      = kq_core_step (control->core, kq_clock_now (), event, control->effects);

  kq_metric_add (&events_total, 1);
  if (err != 0)
    kq_log (KQ_LOG_ERROR, "control", "event_refused", err, NULL);
  while (kq_effects_pop (control->effects, &effect))
    run_effect (control, &effect);
  kq_effects_clear (control->effects);
}

static void
publish (struct kq_control *control)
{
  struct kq_view *view;

  if (!control->view_changed)
    return;
  view = kq_core_view (control->core, kq_clock_now ());
  if (view == NULL)
    return;
  control->view_changed = false;
  kq_metric_add (&views_total, 1);
  kq_front_publish (control->front, view);
}

static void
on_event (void *arg, const struct kq_event *event)
{
  struct kq_control *control = arg;

  if (event->kind == KQ_EV_LOG_END)
    control->log_end_read_at = event->u.log.sent_at;
  if (event->kind == KQ_EV_HOSTS)
    kq_peers_apply_host_list (control->peers, event->u.hosts.entries,
                              event->u.hosts.count);
  process_event (control, event);
}

static void
on_message (void *arg, const struct kq_peer_message *message)
{
  struct kq_event event = { .kind = KQ_EV_PEER };

  event.u.peer = *message;
  process_event (arg, &event);
}

/* The host list of a peer is used as a substitute while the platform is
   unreachable.  */
static void
on_peer_hosts (void *arg, const struct kq_host_entry *entries, size_t count)
{
  struct kq_control *control = arg;
  struct kq_event event = { .kind = KQ_EV_HOSTS };

  event.u.hosts.entries = entries;
  event.u.hosts.count = count;
  kq_client_add_hosts (control->client, entries, count);
  kq_peers_connect_hosts (control->peers, entries, count);
  process_event (control, &event);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct kq_control *control = timer->data;
  struct kq_event event = { .kind = KQ_EV_TICK };

  process_event (control, &event);
  publish (control);
  if (control->stopping && kq_clock_now () >= control->drain_deadline)
    {
      kq_log (KQ_LOG_WARN, "control", "handover_cut", KQ_ETIMEDOUT, NULL);
      ev_break (loop, EVBREAK_ALL);
    }
}

static void
on_stop (struct ev_loop *loop, ev_async *async, int events)
{
  struct kq_control *control = async->data;
  struct kq_event event = { .kind = KQ_EV_STOP };

  if (control->stopping)
    return;
  control->stopping = true;
  control->drain_deadline
      = kq_clock_now () + control->settings->drain_ms * KQ_USEC_PER_MSEC;
  kq_log (KQ_LOG_INFO, "control", "stopping", 0, NULL);
  process_event (control, &event);
}

static json_t *
get_rows (void *arg, enum kq_table table)
{
  struct kq_control *control = arg;

  return kq_core_rows (control->core, table, kq_clock_now ());
}

static json_t *
get_config (void *arg)
{
  struct kq_control *control = arg;

  return kq_core_config (control->core);
}

static int64_t
get_log_age_ms (void *arg)
{
  struct kq_control *control = arg;

  if (control->log_end_read_at == 0)
    return -1;
  return (kq_clock_now () - control->log_end_read_at) / KQ_USEC_PER_MSEC;
}

static json_t *
get_health (void *arg, bool *serving)
{
  struct kq_control *control = arg;
  json_t *configuration = kq_core_config (control->core);
  json_int_t revision
      = json_integer_value (json_object_get (configuration, "revision"));
  const char *state = "serving";

  if (configuration == NULL)
    state = "no configuration";
  if (control->stopping)
    state = "stopping";
  *serving = configuration != NULL && !control->stopping;
  json_decref (configuration);
  return json_pack (
      "{s:s,s:s,s:s,s:I,s:I}", "host", control->settings->host.text, "zone",
      control->settings->zone.text, "state", state, "revision", revision,
      "log_age_ms", (json_int_t)get_log_age_ms (control));
}

static void
run_command (void *arg, const struct kq_command *command)
{
  struct kq_event event = { .kind = KQ_EV_COMMAND };

  event.u.command = *command;
  process_event (arg, &event);
}

static void *
run_thread (void *arg)
{
  struct kq_control *control = arg;

  kq_client_start (control->client);
  ev_run (control->loop, 0);
  publish (control);
  return NULL;
}

static int
create_core (struct kq_control *control)
{
  const struct kq_settings *settings = control->settings;
  struct kq_core_settings core_settings;

  kq_core_settings_default (&core_settings);
  core_settings.host = settings->host;
  core_settings.zone = settings->zone;
  core_settings.region = settings->region;
  core_settings.incarnation = control->incarnation;
  core_settings.lease_ttl = settings->lease_ttl_ms * KQ_USEC_PER_MSEC;
  core_settings.task_ttl = settings->task_ttl_ms * KQ_USEC_PER_MSEC;
  core_settings.renew_interval = settings->renew_ms * KQ_USEC_PER_MSEC;
  control->core = kq_core_create (&core_settings);
  control->effects = kq_effects_create ();
  return control->core != NULL && control->effects != NULL ? 0 : KQ_ENOMEM;
}

static int
create_client (struct kq_control *control)
{
  const struct kq_settings *settings = control->settings;
  struct kq_client_settings client_settings
      = { .platform = settings->platform,
          .holder = *kq_core_holder (control->core),
          .worker_timeout = settings->lease_ttl_ms * KQ_USEC_PER_MSEC / 2,
          .seed
          = XXH3_64bits (settings->host.text, strlen (settings->host.text)) };

  control->client
      = kq_client_create (control->loop, &client_settings, on_event, control);
  return control->client != NULL ? 0 : KQ_ENOMEM;
}

static int
create_admin (struct kq_control *control)
{
  struct kq_admin_handler handler = { .arg = control,
                                      .host = control->settings->host.text,
                                      .rows = get_rows,
                                      .config = get_config,
                                      .health = get_health,
                                      .log_age_ms = get_log_age_ms,
                                      .command = run_command };
  int err;

  control->admin = kq_admin_start (
      control->loop, control->settings->admin_listen, &handler, &err);
  if (err != 0)
    kq_log (KQ_LOG_ERROR, "control", "admin_listen", err, "address",
            control->settings->admin_listen, NULL);
  return err;
}

static int
create_peers (struct kq_control *control)
{
  const struct kq_settings *settings = control->settings;
  struct kq_peers_settings peers_settings
      = { .self = { .host = settings->host,
                    .zone = settings->zone,
                    .incarnation = control->incarnation },
          .region = settings->region,
          .bootstrap = settings->peers,
          .bootstrap_count = settings->peer_count };
  struct kq_peers_handler handler
      = { .arg = control, .message = on_message, .hosts = on_peer_hosts };
  int err;

  snprintf (peers_settings.self.address, sizeof peers_settings.self.address,
            "%s", settings->peer_listen);
  control->peers = kq_peers_create (control->loop, control->zmq_context,
                                    &peers_settings, &handler, &err);
  if (err != 0)
    kq_log (KQ_LOG_ERROR, "control", "peer_listen", err, "address",
            settings->peer_listen, NULL);
  return err;
}

static void
free_control (struct kq_control *control)
{
  kq_admin_stop (control->admin);
  kq_client_destroy (control->client);
  kq_peers_destroy (control->peers);
  kq_core_destroy (control->core);
  kq_effects_destroy (control->effects);
  if (control->loop != NULL)
    {
      ev_timer_stop (control->loop, &control->tick);
      ev_async_stop (control->loop, &control->stop);
      ev_loop_destroy (control->loop);
    }
  free (control);
}

static int
create_components (struct kq_control *control)
{
  int err;

  control->loop = ev_loop_new (EVFLAG_AUTO);
  if (control->loop == NULL)
    return KQ_ENOMEM;
  ev_timer_init (&control->tick, on_tick, 0, TICK_INTERVAL_SEC);
  control->tick.data = control;
  ev_timer_start (control->loop, &control->tick);
  ev_async_init (&control->stop, on_stop);
  control->stop.data = control;
  ev_async_start (control->loop, &control->stop);
  err = create_core (control);
  if (err == 0)
    err = create_client (control);
  if (err == 0)
    err = create_peers (control);
  if (err == 0)
    err = create_admin (control);
  return err;
}

struct kq_control *
kq_control_start (const struct kq_settings *settings, struct kq_front *front,
                  void *zmq_context, int *err)
{
  struct kq_control *control = calloc (1, sizeof *control);

  *err = KQ_ENOMEM;
  if (control == NULL)
    return NULL;
  control->settings = settings;
  control->front = front;
  control->zmq_context = zmq_context;
  control->incarnation = (uint64_t)(kq_clock_wall () / KQ_USEC_PER_MSEC);
  *err = create_components (control);
  if (*err == 0
      && pthread_create (&control->thread, NULL, run_thread, control) != 0)
    *err = KQ_ENOMEM;
  if (*err != 0)
    {
      free_control (control);
      return NULL;
    }
  return control;
}

void
kq_control_stop (struct kq_control *control)
{
  ev_async_send (control->loop, &control->stop);
  pthread_join (control->thread, NULL);
  free_control (control);
}
