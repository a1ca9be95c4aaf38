#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "daemon/front_impl.h"

/** Maximum number of idle connections to endpoints that are kept open. */
#define MAX_IDLE_CONNECTIONS 4096L

struct socket_watcher
{
  ev_io io;
  struct kq_front *front;
  curl_socket_t fd;
};

static CURL *
acquire_handle (struct kq_front *front)
{
  struct kq_front_idle_handle *idle = front->idle_handles;
  CURL *easy;

  if (idle != NULL)
    {
      front->idle_handles = idle->next;
      easy = idle->easy;
      free (idle);
      return easy;
    }
  easy = curl_easy_init ();
  if (easy != NULL)
    kq_front_endpoint_set_options (easy);
  return easy;
}

static void
release_handle (struct kq_front *front, CURL *easy)
{
  struct kq_front_idle_handle *idle = malloc (sizeof *idle);

  if (idle == NULL)
    {
      curl_easy_cleanup (easy);
      return;
    }
  idle->easy = easy;
  idle->next = front->idle_handles;
  front->idle_handles = idle;
}

int
kq_front_curl_send (struct kq_front_attempt *attempt, const char *address,
                    kq_usec deadline, kq_usec max_age)
{
  struct kq_front *front = attempt->call->front;

  attempt->easy = acquire_handle (front);
  attempt->answer = kq_response_create (0, KQ_FRONT_BODY_LIMIT);
  if (attempt->easy != NULL && attempt->answer != NULL)
    {
      kq_front_endpoint_prepare (attempt, address, deadline, max_age);
      if (curl_multi_add_handle (front->multi, attempt->easy) == CURLM_OK)
        {
          front->curl_pending = true;
          return 0;
        }
    }
  kq_response_unref (attempt->answer);
  if (attempt->easy != NULL)
    release_handle (front, attempt->easy);
  return KQ_ENOMEM;
}

static void
detach_handle (struct kq_front_attempt *attempt)
{
  struct kq_front *front = attempt->call->front;

  curl_multi_remove_handle (front->multi, attempt->easy);
  release_handle (front, attempt->easy);
  attempt->easy = NULL;
}

void
kq_front_curl_abort (struct kq_front_attempt *attempt)
{
  detach_handle (attempt);
  kq_response_unref (attempt->answer);
}

static void
finish_transfers (struct kq_front *front)
{
  struct kq_front_attempt *attempt;
  CURLMsg *message;
  int messages_left;

  while ((message = curl_multi_info_read (front->multi, &messages_left))
         != NULL)
    {
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &attempt);
      detach_handle (attempt);
      kq_front_endpoint_finish (attempt, code);
    }
}

static void
run_socket_action (struct kq_front *front, curl_socket_t fd, int mask)
{
  int running;

  curl_multi_socket_action (front->multi, fd, mask, &running);
  finish_transfers (front);
}

void
kq_front_curl_run (struct kq_front *front)
{
  front->curl_pending = false;
  run_socket_action (front, CURL_SOCKET_TIMEOUT, 0);
}

static void
on_socket_io (struct ev_loop *loop, ev_io *io, int events)
{
  struct socket_watcher *watcher = (struct socket_watcher *)io;
  int mask = 0;

  if (events & EV_READ)
    mask |= CURL_CSELECT_IN;
  if (events & EV_WRITE)
    mask |= CURL_CSELECT_OUT;
  run_socket_action (watcher->front, watcher->fd, mask);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  kq_front_curl_run (timer->data);
}

static int
on_timer_change (CURLM *multi, long ms, void *context)
{
  struct kq_front *front = context;

  ev_timer_stop (front->loop, &front->curl_timer);
  if (ms == 0)
    front->curl_pending = true;
  if (ms > 0)
    {
      ev_timer_set (&front->curl_timer, (double)ms / 1000., 0.);
      ev_timer_start (front->loop, &front->curl_timer);
    }
  return 0;
}

static void
unwatch_socket (struct kq_front *front, curl_socket_t fd,
                struct socket_watcher *watcher)
{
  if (watcher == NULL)
    return;
  ev_io_stop (front->loop, &watcher->io);
  curl_multi_assign (front->multi, fd, NULL);
  free (watcher);
}

static int
on_socket_change (CURL *easy, curl_socket_t fd, int what, void *context,
                  void *assigned)
{
  struct kq_front *front = context;
  struct socket_watcher *watcher = assigned;
  int events = 0;

  if (what == CURL_POLL_REMOVE)
    {
      unwatch_socket (front, fd, watcher);
      return 0;
    }
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    events |= EV_READ;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    events |= EV_WRITE;
  if (watcher == NULL)
    {
      watcher = calloc (1, sizeof *watcher);
      if (watcher == NULL)
        return -1;
      watcher->front = front;
      watcher->fd = fd;
      ev_io_init (&watcher->io, on_socket_io, fd, events);
      curl_multi_assign (front->multi, fd, watcher);
    }
  ev_io_stop (front->loop, &watcher->io);
  ev_io_set (&watcher->io, fd, events);
  ev_io_start (front->loop, &watcher->io);
  return 0;
}

int
kq_front_curl_start (struct kq_front *front)
{
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return KQ_EIO;
  front->multi = curl_multi_init ();
  if (front->multi == NULL)
    return KQ_ENOMEM;
  return 0;
}

void
kq_front_curl_attach (struct kq_front *front)
{
  ev_timer_init (&front->curl_timer, on_timer, 0., 0.);
  front->curl_timer.data = front;
  curl_multi_setopt (front->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (front->multi, CURLMOPT_SOCKETDATA, front);
  curl_multi_setopt (front->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (front->multi, CURLMOPT_TIMERDATA, front);
  curl_multi_setopt (front->multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
}

/* Aborts the attempts that are still in flight after their callers have
   received a reply.  */
static void
abort_attempts (struct kq_front *front)
{
  struct kq_front_call *call;
  struct kq_front_call *next;

  HASH_ITER (hh, front->calls, call, next)
  {
    call->refs++;
    while (call->attempts != NULL)
      {
        struct kq_front_attempt *attempt = call->attempts;

        if (attempt->kind == KQ_FRONT_ATTEMPT_HOP)
          kq_front_hop_abort (attempt);
        else
          kq_front_curl_abort (attempt);
        kq_front_attempt_end (attempt, KQ_OUTCOME_UNKNOWN, KQ_ESTOPPING, NULL);
      }
    kq_front_call_unref (call);
  }
}

void
kq_front_curl_stop (struct kq_front *front)
{
  struct kq_front_idle_handle *idle;

  if (front->multi == NULL)
    return;
  abort_attempts (front);
  while ((idle = front->idle_handles) != NULL)
    {
      front->idle_handles = idle->next;
      curl_easy_cleanup (idle->easy);
      free (idle);
    }
  curl_multi_cleanup (front->multi);
  front->multi = NULL;
}
