#include "daemon/front.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <zmq.h>

#include "base/err.h"
#include "daemon/front_impl.h"
#include "log/log.h"

/** Maximum number of rounds of pending work before the loop polls its sockets
 *  again.  */
#define MAX_PENDING_ROUNDS 4

enum message_kind
{
  MESSAGE_VIEW,
  MESSAGE_STOP
};

/* Message from the control thread to the front's thread. */
struct message
{
  enum message_kind kind;
  struct kq_view *view;
};

uint64_t
kq_front_random (struct kq_front *front)
{
  uint64_t a = front->random[0];
  uint64_t b = front->random[1];

  front->random[0] = b;
  a ^= a << 23;
  a ^= a >> 17;
  a ^= b ^ (b >> 26);
  front->random[1] = a;
  return a + b != 0 ? a + b : 1;
}

void
kq_front_process_event (struct kq_front *front,
                        const struct kq_request_event *event)
{
  struct kq_request_effect effect;
  int err = kq_request_step (front->router, kq_clock_now (), event,
                             front->effects);

  if (err == KQ_ENOMEM && event->kind == KQ_REQ_EV_ARRIVE)
    {
      memset (&effect, 0, sizeof effect);
      effect.kind = KQ_REQ_FX_REPLY;
      effect.id = event->u.arrive.id;
      effect.u.reply.outcome = KQ_OUTCOME_NOT_RUN;
      effect.u.reply.err = err;
      kq_request_effects_push (front->effects, &effect);
    }
  /* Executing an effect may process another event, whose effects the outer
     call executes.  */
  if (front->running_effects)
    return;
  front->running_effects = true;
  while (kq_request_effects_pop (front->effects, &effect))
    kq_front_call_run_effect (front, &effect);
  front->running_effects = false;
}

static bool
has_pending_work (const struct kq_front *front)
{
  return front->mhd_pending || front->curl_pending || front->hop_pending;
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct kq_front *front = watcher->data;

  for (int i = 0; i < MAX_PENDING_ROUNDS && has_pending_work (front); i++)
    {
      if (front->hop_pending)
        kq_front_hop_run (front);
      if (front->mhd_pending)
        kq_front_http_run (front);
      if (front->curl_pending)
        kq_front_curl_run (front);
    }
  if (has_pending_work (front))
    ev_idle_start (loop, &front->idle);
  else
    ev_idle_stop (loop, &front->idle);
}

static void
on_idle (struct ev_loop *loop, ev_idle *watcher, int events)
{
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct kq_front *front = watcher->data;
  struct kq_request_event event = { .kind = KQ_REQ_EV_TICK };

  if (kq_request_busy (front->router))
    kq_front_process_event (front, &event);
  kq_front_http_check_disconnects (front);
  if (front->stopping
      && (front->open_calls == 0 || kq_clock_now () >= front->drain_deadline))
    ev_break (loop, EVBREAK_ALL);
}

static void
handle_message (struct kq_front *front, const struct message *message)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_VIEW };

  switch (message->kind)
    {
    case MESSAGE_VIEW:
      event.u.view = message->view;
      kq_front_process_event (front, &event);
      kq_view_free (message->view);
      kq_front_count_view ();
      return;
    case MESSAGE_STOP:
      front->stopping = true;
      front->drain_deadline = kq_clock_now () + front->settings.drain;
      kq_front_http_quiesce (front);
      return;
    }
}

static void
on_control (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct kq_front *front = watcher->data;
  struct message message;

  while (zmq_recv (front->control_in, &message, sizeof message, ZMQ_DONTWAIT)
         == (int)sizeof message)
    {
      atomic_load_explicit (&front->messages_sent, memory_order_acquire);
      handle_message (front, &message);
    }
}

static void *
run_thread (void *argument)
{
  struct kq_front *front = argument;

  ev_run (front->loop, 0);
  kq_front_http_stop (front);
  kq_front_curl_stop (front);
  kq_front_hop_stop (front);
  return NULL;
}

/* Returns a name that no other front of this process has had. ZeroMQ keeps the
   name of a closed socket until its own thread has run, so that the address of
   a front, which may be that of an earlier one, would be refused at times.  */
static void
name_control (char address[64])
{
  static atomic_uint count;

  snprintf (address, 64, "inproc://front-%u", atomic_fetch_add (&count, 1));
}

static int
start_control (struct kq_front *front)
{
  char address[64];
  int fd;
  size_t size = sizeof fd;

  name_control (address);
  front->control_in = zmq_socket (front->zmq_context, ZMQ_PAIR);
  front->control_out = zmq_socket (front->zmq_context, ZMQ_PAIR);
  if (front->control_in == NULL || front->control_out == NULL
      || zmq_bind (front->control_in, address) != 0
      || zmq_connect (front->control_out, address) != 0
      || zmq_getsockopt (front->control_in, ZMQ_FD, &fd, &size) != 0)
    return KQ_EIO;
  ev_io_init (&front->control_watcher, on_control, fd, EV_READ);
  front->control_watcher.data = front;
  ev_io_start (front->loop, &front->control_watcher);
  return 0;
}

static void
start_watchers (struct kq_front *front)
{
  ev_prepare_init (&front->prepare, on_prepare);
  front->prepare.data = front;
  ev_prepare_start (front->loop, &front->prepare);
  ev_idle_init (&front->idle, on_idle);
  ev_timer_init (&front->tick, on_tick, 0.,
                 (double)KQ_REQUEST_TICK_US / KQ_USEC_PER_SEC);
  front->tick.data = front;
  ev_timer_again (front->loop, &front->tick);
  kq_front_http_attach (front);
  kq_front_curl_attach (front);
  kq_front_hop_attach (front);
}

static int
create_router (struct kq_front *front)
{
  struct kq_request_settings settings = { 0 };

  kq_request_settings_default (&settings);
  settings.host = front->settings.host;
  settings.zone = front->settings.zone;
  settings.region = front->settings.region;
  front->router = kq_request_create (&settings);
  front->effects = kq_request_effects_create ();
  front->loop = ev_loop_new (EVFLAG_AUTO);
  if (front->router == NULL || front->effects == NULL || front->loop == NULL)
    return KQ_ENOMEM;
  if (getrandom (front->random, sizeof front->random, 0)
      != (ssize_t)sizeof front->random)
    return KQ_EIO;
  front->last_id = kq_front_random (front);
  return 0;
}

static void
free_front (struct kq_front *front)
{
  kq_front_http_stop (front);
  kq_front_curl_stop (front);
  kq_front_hop_stop (front);
  if (front->control_in != NULL)
    zmq_close (front->control_in);
  if (front->control_out != NULL)
    zmq_close (front->control_out);
  kq_request_effects_destroy (front->effects);
  kq_request_destroy (front->router);
  if (front->loop != NULL)
    ev_loop_destroy (front->loop);
  free (front);
}

struct kq_front *
kq_front_start (const struct kq_front_settings *settings, void *zmq_context,
                int *err)
{
  struct kq_front *front = calloc (1, sizeof *front);

  *err = KQ_ENOMEM;
  if (front == NULL)
    return NULL;
  kq_front_register_metrics ();
  front->settings = *settings;
  front->zmq_context = zmq_context;
  *err = create_router (front);
  if (*err == 0)
    *err = start_control (front);
  if (*err == 0)
    *err = kq_front_curl_start (front);
  if (*err == 0)
    *err = kq_front_hop_start (front);
  if (*err == 0)
    *err = kq_front_http_start (front);
  if (*err == 0)
    {
      start_watchers (front);
      if (pthread_create (&front->thread, NULL, run_thread, front) != 0)
        *err = KQ_ENOMEM;
    }
  if (*err == 0)
    return front;
  free_front (front);
  return NULL;
}

pthread_t
kq_front_thread (const struct kq_front *front)
{
  return front->thread;
}

static void
send_message (struct kq_front *front, const struct message *message)
{
  /* libzmq is not instrumented for ThreadSanitizer.  This release, with the
     acquire in on_control(), shows it that the message was written before it
     is read.  */
  atomic_fetch_add_explicit (&front->messages_sent, 1, memory_order_release);
  if (zmq_send (front->control_out, message, sizeof *message, 0) < 0)
    kq_log (KQ_LOG_ERROR, "front", "control_send", KQ_EIO, NULL);
}

void
kq_front_publish (struct kq_front *front, struct kq_view *view)
{
  struct message message = { .kind = MESSAGE_VIEW, .view = view };

  send_message (front, &message);
}

void
kq_front_stop (struct kq_front *front)
{
  struct message message = { .kind = MESSAGE_STOP };
  struct message unread;

  send_message (front, &message);
  pthread_join (front->thread, NULL);
  while (zmq_recv (front->control_in, &unread, sizeof unread, ZMQ_DONTWAIT)
         == (int)sizeof unread)
    if (unread.kind == MESSAGE_VIEW)
      kq_view_free (unread.view);
  free_front (front);
}
