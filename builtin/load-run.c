#include "builtin/load.h"

#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TICK_SECONDS 0.001
#define MSEC_PER_SEC 1000.0
#define PERMILLE 1000

/* One connection with at most one request on it. */
struct channel
{
  CURL *easy;
  struct curl_slist *headers;
  struct run *run;
  kq_usec due_at;
  char body[512]; /* start of the answer's body */
  size_t body_size;
  int written;          /* times that the request was written */
  struct channel *next; /* in the list of idle ones */
};

struct run
{
  struct kq_load *load;
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer curl_timer, tick;
  struct channel *channels, *idle;
  kq_usec start, end;
  int64_t done;
  size_t latency_room;
};

struct watch
{
  ev_io io;
  struct run *run;
};

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  struct channel *channel = context;
  size_t room = sizeof channel->body - channel->body_size;
  size_t part = size * count < room ? size * count : room;

  memcpy (channel->body + channel->body_size, data, part);
  channel->body_size += part;
  return size * count;
}

/* Counts the error that an answer of the system's own names. */
static void
count_error (struct channel *channel)
{
  json_t *errors = channel->run->load->errors;
  json_t *body = json_loadb (channel->body, channel->body_size, 0, NULL);
  const char *error = json_string_value (json_object_get (body, "error"));

  if (error)
    json_object_set_new (
        errors, error,
        json_integer (json_integer_value (json_object_get (errors, error))
                      + 1));
  json_decref (body);
}

static enum kq_load_outcome
answer_outcome (struct channel *channel)
{
  struct curl_header *header;

  if (curl_easy_header (channel->easy, "Kumquatrack-Outcome", 0, CURLH_HEADER,
                        -1, &header)
      != CURLHE_OK)
    return KQ_LOAD_ANSWERED;
  count_error (channel);
  if (!strcmp (header->value, "not-run"))
    return KQ_LOAD_NOT_RUN;
  if (!strcmp (header->value, "invalid"))
    return KQ_LOAD_INVALID;
  return KQ_LOAD_UNKNOWN;
}

/* curl writes a request again when a connection that was used before closes
   without an answer.  A caller must see that as cut, and not run it twice. */
static int
on_write (void *context, char *to, char *from, int to_port, int from_port)
{
  struct channel *channel = context;

  return channel->written++ == 0 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

static enum kq_load_outcome
outcome_of (struct channel *channel, CURLcode code)
{
  switch (code)
    {
    case CURLE_OK:
      return answer_outcome (channel);
    case CURLE_COULDNT_CONNECT:
      return channel->written == 0 ? KQ_LOAD_REFUSED : KQ_LOAD_CUT;
    case CURLE_OPERATION_TIMEDOUT:
      return KQ_LOAD_SILENT;
    default:
      return KQ_LOAD_CUT;
    }
}

static void
add_latency (struct run *run, kq_usec latency)
{
  size_t count = (size_t)run->load->outcomes[KQ_LOAD_ANSWERED];

  if (count >= run->latency_room)
    {
      size_t room = run->latency_room ? run->latency_room * 2 : 4096;
      uint32_t *more = realloc (run->load->latency, room * sizeof *more);

      if (!more)
        abort ();
      run->load->latency = more;
      run->latency_room = room;
    }
  run->load->latency[count] = (uint32_t)latency;
}

/* Gives the request its own headers; a part of them gets a key. */
static void
set_headers (struct channel *channel)
{
  struct run *run = channel->run;
  char line[64];
  struct curl_slist *key;

  if (run->load->keyed_permille == 0)
    return;
  curl_slist_free_all (channel->headers);
  channel->headers = NULL;
  if (run->load->sent * run->load->keyed_permille / PERMILLE
      == (run->load->sent - 1) * run->load->keyed_permille / PERMILLE)
    {
      curl_easy_setopt (channel->easy, CURLOPT_HTTPHEADER, run->load->headers);
      return;
    }
  snprintf (line, sizeof line, "Idempotency-Key: load-%d-%lld-%lld",
            (int)getpid (), (long long)run->start, (long long)run->load->sent);
  key = curl_slist_append (NULL, line);
  for (const struct curl_slist *at = run->load->headers; at; at = at->next)
    key = curl_slist_append (key, at->data);
  channel->headers = key;
  curl_easy_setopt (channel->easy, CURLOPT_HTTPHEADER, key);
}

static void
send_request (struct run *run, kq_usec due_at)
{
  struct channel *channel = run->idle;

  run->idle = channel->next;
  channel->due_at = due_at;
  channel->body_size = 0;
  channel->written = 0;
  run->load->sent++;
  if (run->load->url_count > 1)
    curl_easy_setopt (channel->easy, CURLOPT_URL,
                      run->load->urls[run->load->sent % run->load->url_count]);
  set_headers (channel);
  curl_multi_add_handle (run->multi, channel->easy);
}

/* Sends what is due and ends the run when all is answered. */
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
  if (now >= run->end && run->done == run->load->sent)
    {
      run->load->took = now - run->start;
      ev_break (run->loop, EVBREAK_ALL);
    }
}

static void
take_done (struct run *run)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (run->multi, &left)))
    {
      struct channel *channel;
      enum kq_load_outcome outcome;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &channel);
      outcome = outcome_of (channel, message->data.result);
      if (outcome == KQ_LOAD_ANSWERED)
        add_latency (run, kq_clock_now () - channel->due_at);
      run->load->outcomes[outcome]++;
      run->done++;
      curl_multi_remove_handle (run->multi, channel->easy);
      channel->next = run->idle;
      run->idle = channel;
    }
  send_due (run);
}

static void
on_socket_ready (struct ev_loop *loop, ev_io *io, int events)
{
  struct run *run = ((struct watch *)io)->run;
  int running;
  int action = (events & EV_READ ? CURL_CSELECT_IN : 0)
               | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

  curl_multi_socket_action (run->multi, io->fd, action, &running);
  take_done (run);
}

static int
on_socket (CURL *easy, curl_socket_t socket, int what, void *context,
           void *slot)
{
  struct run *run = context;
  struct watch *watch = slot;

  if (watch)
    ev_io_stop (run->loop, &watch->io);
  if (what == CURL_POLL_REMOVE)
    {
      free (watch);
      curl_multi_assign (run->multi, socket, NULL);
      return 0;
    }
  if (!watch)
    {
      watch = calloc (1, sizeof *watch);
      if (!watch)
        abort ();
      watch->run = run;
      curl_multi_assign (run->multi, socket, watch);
    }
  ev_io_init (&watch->io, on_socket_ready, socket,
              (what & CURL_POLL_IN ? EV_READ : 0)
                  | (what & CURL_POLL_OUT ? EV_WRITE : 0));
  ev_io_start (run->loop, &watch->io);
  return 0;
}

static void
on_curl_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct run *run = timer->data;
  int running;

  curl_multi_socket_action (run->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  take_done (run);
}

static int
on_timeout (CURLM *multi, long timeout_ms, void *context)
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
channel_open (struct run *run, struct channel *channel, int index)
{
  CURL *easy = curl_easy_init ();

  if (!easy)
    abort ();
  channel->easy = easy;
  channel->run = run;
  curl_easy_setopt (easy, CURLOPT_PRIVATE, channel);
  curl_easy_setopt (easy, CURLOPT_URL,
                    run->load->urls[index % run->load->url_count]);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, run->load->headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, channel);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_write);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, channel);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, run->load->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  if (run->load->body_size > 0)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, run->load->body_size);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, run->load->body);
    }
  channel->next = run->idle;
  run->idle = channel;
}

void
kq_load_run (struct kq_load *load)
{
  struct run all = { .load = load };
  struct run *run = &all;

  run->loop = ev_loop_new (EVFLAG_AUTO);
  run->multi = curl_multi_init ();
  run->channels = calloc ((size_t)load->connections, sizeof *run->channels);
  if (!run->loop || !run->multi || !run->channels)
    abort ();
  curl_multi_setopt (run->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (run->multi, CURLMOPT_SOCKETDATA, run);
  curl_multi_setopt (run->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
  curl_multi_setopt (run->multi, CURLMOPT_TIMERDATA, run);
  curl_multi_setopt (run->multi, CURLMOPT_MAXCONNECTS,
                     (long)load->connections * load->url_count);
  for (int i = 0; i < load->connections; i++)
    channel_open (run, &run->channels[i], i);
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
      curl_easy_cleanup (run->channels[i].easy);
      curl_slist_free_all (run->channels[i].headers);
    }
  curl_multi_cleanup (run->multi);
  ev_loop_destroy (run->loop);
  free (run->channels);
}
