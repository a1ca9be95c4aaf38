#include "builtin/load.h"

#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TICK_SECONDS 0.001
#define MSEC_PER_SEC 1000.0
#define PERMILLE 1000

/* A curl handle with its connection and at most one request in flight. */
struct transfer
{
  CURL *easy;
  struct curl_slist *headers;
  struct run *run;
  kq_usec due_at;
  char body[512]; /* first bytes of the response body */
  size_t body_size;
  int send_count;        /* number of times that the request was sent */
  struct transfer *next; /* in the list of idle transfers */
};

/* State of one kq_load_run(). */
struct run
{
  struct kq_load *load;
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer curl_timer, tick;
  struct transfer *transfers, *idle;
  kq_usec start, end;
  int64_t completed;
  size_t latency_capacity;
};

struct socket_watcher
{
  ev_io io;
  struct run *run;
};

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  struct transfer *transfer = context;
  size_t free_bytes = sizeof transfer->body - transfer->body_size;
  size_t length = size * count < free_bytes ? size * count : free_bytes;

  memcpy (transfer->body + transfer->body_size, data, length);
  transfer->body_size += length;
  return size * count;
}

/* Counts the error named in a response that the system itself generated. */
static void
count_error (struct transfer *transfer)
{
  json_t *errors = transfer->run->load->errors;
  json_t *body = json_loadb (transfer->body, transfer->body_size, 0, NULL);
  const char *error = json_string_value (json_object_get (body, "error"));

  if (error)
    json_object_set_new (
        errors, error,
        json_integer (json_integer_value (json_object_get (errors, error))
                      + 1));
  json_decref (body);
}

static enum kq_load_outcome
response_outcome (struct transfer *transfer)
{
  struct curl_header *header;

  if (curl_easy_header (transfer->easy, "Kumquatrack-Outcome", 0, CURLH_HEADER,
                        -1, &header)
      != CURLHE_OK)
    return KQ_LOAD_ANSWERED;
  count_error (transfer);
  if (!strcmp (header->value, "not-run"))
    return KQ_LOAD_NOT_RUN;
  if (!strcmp (header->value, "invalid"))
    return KQ_LOAD_INVALID;
  return KQ_LOAD_UNKNOWN;
}

/* curl sends a request again if a reused connection closes without a response.
   Aborts the second attempt: the request must not run twice, and it counts as
   KQ_LOAD_CONNECTION_CLOSED.  */
static int
on_request_send (void *context, char *to, char *from, int to_port,
                 int from_port)
{
  struct transfer *transfer = context;

  return transfer->send_count++ == 0 ? CURL_PREREQFUNC_OK
                                     : CURL_PREREQFUNC_ABORT;
}

static enum kq_load_outcome
transfer_outcome (struct transfer *transfer, CURLcode code)
{
  switch (code)
    {
    case CURLE_OK:
      return response_outcome (transfer);
    case CURLE_COULDNT_CONNECT:
      return transfer->send_count == 0 ? KQ_LOAD_CONNECT_FAILED
                                       : KQ_LOAD_CONNECTION_CLOSED;
    case CURLE_OPERATION_TIMEDOUT:
      return KQ_LOAD_TIMED_OUT;
    default:
      return KQ_LOAD_CONNECTION_CLOSED;
    }
}

static void
add_latency (struct run *run, kq_usec latency)
{
  size_t count = (size_t)run->load->outcomes[KQ_LOAD_ANSWERED];

  if (count >= run->latency_capacity)
    {
      size_t capacity
          = run->latency_capacity ? run->latency_capacity * 2 : 4096;
      uint32_t *new_latency
          = realloc (run->load->latency, capacity * sizeof *new_latency);

      if (!new_latency)
        abort ();
      run->load->latency = new_latency;
      run->latency_capacity = capacity;
    }
  run->load->latency[count] = (uint32_t)latency;
}

/* Sets the headers of the next request.  keyed_permille of the requests get an
   Idempotency-Key, spread evenly.  */
static void
set_headers (struct transfer *transfer)
{
  struct run *run = transfer->run;
  char line[64];
  struct curl_slist *key;

  if (run->load->keyed_permille == 0)
    return;
  curl_slist_free_all (transfer->headers);
  transfer->headers = NULL;
  if (run->load->sent * run->load->keyed_permille / PERMILLE
      == (run->load->sent - 1) * run->load->keyed_permille / PERMILLE)
    {
      curl_easy_setopt (transfer->easy, CURLOPT_HTTPHEADER,
                        run->load->headers);
      return;
    }
  snprintf (line, sizeof line, "Idempotency-Key: load-%d-%lld-%lld",
            (int)getpid (), (long long)run->start, (long long)run->load->sent);
  key = curl_slist_append (NULL, line);
  for (const struct curl_slist *at = run->load->headers; at; at = at->next)
    key = curl_slist_append (key, at->data);
  transfer->headers = key;
  curl_easy_setopt (transfer->easy, CURLOPT_HTTPHEADER, key);
}

static void
send_request (struct run *run, kq_usec due_at)
{
  struct transfer *transfer = run->idle;

  run->idle = transfer->next;
  transfer->due_at = due_at;
  transfer->body_size = 0;
  transfer->send_count = 0;
  run->load->sent++;
  if (run->load->url_count > 1)
    curl_easy_setopt (transfer->easy, CURLOPT_URL,
                      run->load->urls[run->load->sent % run->load->url_count]);
  set_headers (transfer);
  curl_multi_add_handle (run->multi, transfer->easy);
}

/* Sends the requests that are due, and ends the run when the time is over and
   all requests have completed.  */
static void
send_due (struct run *run)
{
  kq_usec now = kq_clock_now ();
  kq_usec until = now < run->end ? now : run->end;
  kq_usec due_at = now;

  while (run->idle)
    {
      if (run->load->rate > 0)
        {
          due_at = run->start
                   + run->load->sent * KQ_USEC_PER_SEC / run->load->rate;
          if (due_at >= until)
            break;
        }
      else if (now >= run->end)
        break;
      send_request (run, due_at);
    }
  if (now >= run->end && run->completed == run->load->sent)
    {
      run->load->elapsed_us = now - run->start;
      ev_break (run->loop, EVBREAK_ALL);
    }
}

static void
handle_completed (struct run *run)
{
  CURLMsg *message;
  int messages_left;

  while ((message = curl_multi_info_read (run->multi, &messages_left)))
    {
      struct transfer *transfer;
      enum kq_load_outcome outcome;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &transfer);
      outcome = transfer_outcome (transfer, message->data.result);
      if (outcome == KQ_LOAD_ANSWERED)
        add_latency (run, kq_clock_now () - transfer->due_at);
      run->load->outcomes[outcome]++;
      run->completed++;
      curl_multi_remove_handle (run->multi, transfer->easy);
      transfer->next = run->idle;
      run->idle = transfer;
    }
  send_due (run);
}

static void
on_socket_ready (struct ev_loop *loop, ev_io *io, int events)
{
  struct run *run = ((struct socket_watcher *)io)->run;
  int running;
  int action = (events & EV_READ ? CURL_CSELECT_IN : 0)
               | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

  curl_multi_socket_action (run->multi, io->fd, action, &running);
  handle_completed (run);
}

static int
on_socket (CURL *easy, curl_socket_t socket, int poll_events, void *context,
           void *socket_data)
{
  struct run *run = context;
  struct socket_watcher *socket_watcher = socket_data;

  if (socket_watcher)
    ev_io_stop (run->loop, &socket_watcher->io);
  if (poll_events == CURL_POLL_REMOVE)
    {
      free (socket_watcher);
      curl_multi_assign (run->multi, socket, NULL);
      return 0;
    }
  if (!socket_watcher)
    {
      socket_watcher = calloc (1, sizeof *socket_watcher);
      if (!socket_watcher)
        abort ();
      socket_watcher->run = run;
      curl_multi_assign (run->multi, socket, socket_watcher);
    }
  ev_io_init (&socket_watcher->io, on_socket_ready, socket,
              (poll_events & CURL_POLL_IN ? EV_READ : 0)
                  | (poll_events & CURL_POLL_OUT ? EV_WRITE : 0));
  ev_io_start (run->loop, &socket_watcher->io);
  return 0;
}

static void
on_curl_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct run *run = timer->data;
  int running;

  curl_multi_socket_action (run->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  handle_completed (run);
}

static int
on_timeout_change (CURLM *multi, long timeout_ms, void *context)
{
  struct run *run = context;

  ev_timer_stop (run->loop, &run->curl_timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&run->curl_timer, (double)timeout_ms / MSEC_PER_SEC, 0);
  ev_timer_start (run->loop, &run->curl_timer);
  return 0;
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  send_due (timer->data);
}

static void
transfer_init (struct run *run, struct transfer *transfer, int index)
{
  CURL *easy = curl_easy_init ();

  if (!easy)
    abort ();
  transfer->easy = easy;
  transfer->run = run;
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_URL,
                    run->load->urls[index % run->load->url_count]);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, run->load->headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_request_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, run->load->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  if (run->load->body_size > 0)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, run->load->body_size);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, run->load->body);
    }
  transfer->next = run->idle;
  run->idle = transfer;
}

void
kq_load_run (struct kq_load *load)
{
  struct run state = { .load = load };
  struct run *run = &state;

  run->loop = ev_loop_new (EVFLAG_AUTO);
  run->multi = curl_multi_init ();
  run->transfers = calloc ((size_t)load->connections, sizeof *run->transfers);
  if (!run->loop || !run->multi || !run->transfers)
    abort ();
  curl_multi_setopt (run->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (run->multi, CURLMOPT_SOCKETDATA, run);
  curl_multi_setopt (run->multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
  curl_multi_setopt (run->multi, CURLMOPT_TIMERDATA, run);
  curl_multi_setopt (run->multi, CURLMOPT_MAXCONNECTS,
                     (long)load->connections * load->url_count);
  for (int i = 0; i < load->connections; i++)
    transfer_init (run, &run->transfers[i], i);
  ev_timer_init (&run->curl_timer, on_curl_timer, 0, 0);
  run->curl_timer.data = run;
  ev_timer_init (&run->tick, on_tick, 0, TICK_SECONDS);
  run->tick.data = run;
  ev_timer_start (run->loop, &run->tick);
  run->start = kq_clock_now ();
  run->end = run->start + load->seconds * KQ_USEC_PER_SEC;
  ev_run (run->loop, 0);
  for (int i = 0; i < load->connections; i++)
    {
      curl_easy_cleanup (run->transfers[i].easy);
      curl_slist_free_all (run->transfers[i].headers);
    }
  curl_multi_cleanup (run->multi);
  ev_loop_destroy (run->loop);
  free (run->transfers);
}
