/** @file
 * Test double for the platform: the append-only log and the list of hosts, as
 * described in docs/design/assumptions.md, numbers 1 to 4.  All data is held
 * in memory.
 *
 * The same log is served on several ports, so that a test can disconnect one
 * availability zone from it: the knobs "down" and "delay_ms" apply only to the
 * port that they are posted to; all other knobs apply to every port.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/clock.h"
#include "t/standin/si-http.h"

#define PORTS_MAX 16
#define READ_RECORDS_MAX 1000
#define MSEC_PER_SEC 1000.0

struct record
{
  char *id;
  json_t *body;
};

struct host_list
{
  kq_usec visible_at;
  json_t *hosts;
  struct host_list *next;
};

/* One port on which the log and the host list are served. */
struct listener
{
  struct si_server *server;
  json_t *knobs;
};

static struct ev_loop *loop;
static struct listener listeners[PORTS_MAX];
static json_t *shared_knobs;     /* knobs that apply to every port */
static struct record *records;   /* record at offset N is records[N - 1] */
static int64_t first_offset = 1; /* oldest offset that is retained */
static int64_t next_offset = 1;  /* offset of the next append */
static struct si_request *waiting_reads;
static struct host_list *host_lists; /* newest first */
static kq_usec
    limit_window_start; /* start of the second in which appends are counted */
static int64_t limit_window_appends;
static uint64_t random_state = 1;
static int64_t refused_appends, lost_responses;

static int64_t
get_knob (const json_t *knobs, const char *name)
{
  return si_number (knobs, name, 0);
}

static bool
random_chance (int64_t permille)
{
  random_state = random_state * 6364136223846793005U + 1442695040888963407U;
  return (int64_t)((random_state >> 33) % 1000) < permille;
}

static void
remove_old_records (int64_t keep_count)
{
  for (; first_offset < next_offset - keep_count; first_offset++)
    {
      free (records[first_offset - 1].id);
      json_decref (records[first_offset - 1].body);
    }
}

static void
respond_read (struct si_request *request, void *context)
{
  int64_t from = si_argument (request, "from", 1);
  int64_t max = si_argument (request, "max", READ_RECORDS_MAX);
  json_t *list;

  if (from < 1)
    from = 1;
  if (from < first_offset)
    {
      si_respond_json (request, MHD_HTTP_GONE,
                       json_pack ("{sI}", "first", (json_int_t)first_offset));
      return;
    }
  list = json_array ();
  for (int64_t offset = from; offset < next_offset && max-- > 0; offset++)
    json_array_append_new (list, json_pack ("{sI ss sO}", "offset",
                                            (json_int_t)offset, "id",
                                            records[offset - 1].id, "record",
                                            records[offset - 1].body));
  si_respond_json (request, MHD_HTTP_OK,
                   json_pack ("{sI sI so}", "first", (json_int_t)first_offset,
                              "next", (json_int_t)next_offset, "records",
                              list));
}

static void
on_wait_timeout (struct si_request *request, void *context)
{
  DL_DELETE (waiting_reads, request);
  if (get_knob (shared_knobs, "hold_reads"))
    si_suspend (request);
  else
    respond_read (request, NULL);
}

static void
read_log (struct si_request *request)
{
  int64_t wait_ms = si_argument (request, "wait_ms", 0);

  if (get_knob (shared_knobs, "hold_reads"))
    {
      si_suspend (request);
      return;
    }
  if (si_argument (request, "from", 1) < next_offset || wait_ms <= 0)
    {
      respond_read (request, NULL);
      return;
    }
  DL_APPEND (waiting_reads, request);
  si_defer (request, (double)wait_ms / MSEC_PER_SEC, on_wait_timeout, NULL);
}

static void
append_record (const char *id, json_t *body)
{
  struct si_request *request, *other;
  int64_t keep_count = get_knob (shared_knobs, "retention");

  if ((next_offset & (next_offset - 1)) == 0)
    records = realloc (records, sizeof *records * (size_t)next_offset * 2);
  if (!records)
    abort ();
  records[next_offset - 1]
      = (struct record){ .id = strdup (id), .body = json_incref (body) };
  next_offset++;
  if (keep_count > 0)
    remove_old_records (keep_count);
  if (get_knob (shared_knobs, "hold_reads"))
    return;
  DL_FOREACH_SAFE (waiting_reads, request, other)
  {
    DL_DELETE (waiting_reads, request);
    ev_timer_stop (loop, &request->timer);
    respond_read (request, NULL);
  }
}

/* Counts one append in the current second; returns whether it is within the
   limit of appends a second.  */
static bool
within_append_limit (void)
{
  kq_usec now = kq_clock_now ();
  int64_t limit = get_knob (shared_knobs, "append_limit");

  if (now - limit_window_start >= KQ_USEC_PER_SEC)
    {
      limit_window_start = now;
      limit_window_appends = 0;
    }
  return limit <= 0 || limit_window_appends++ < limit;
}

static void
handle_append (struct si_request *request)
{
  int64_t lose_count = get_knob (shared_knobs, "lose_answer");
  json_t *body = si_parse_body (request);
  json_t *record;

  if (!body)
    return;
  record = json_object_get (body, "record");
  if (!json_is_object (record) || !*si_string (body, "id"))
    si_respond_json (request, MHD_HTTP_BAD_REQUEST,
                     json_pack ("{ss}", "error", "no id or record"));
  else if (random_chance (get_knob (shared_knobs, "refuse_permille"))
           || !within_append_limit ())
    {
      refused_appends++;
      si_respond_json (request, MHD_HTTP_TOO_MANY_REQUESTS,
                       json_pack ("{ss}", "error", "busy"));
    }
  else
    {
      append_record (si_string (body, "id"), record);
      if (lose_count > 0)
        {
          lost_responses++;
          json_object_set_new (shared_knobs, "lose_answer",
                               json_integer (lose_count - 1));
          si_drop (request);
        }
      else
        si_respond_json (
            request, MHD_HTTP_OK,
            json_pack ("{sI}", "offset", (json_int_t)(next_offset - 1)));
    }
  json_decref (body);
}

static void
set_hosts (struct si_request *request)
{
  json_t *body = si_parse_body (request);
  struct host_list *list;

  if (!body)
    return;
  list = calloc (1, sizeof *list);
  if (!list)
    abort ();
  list->hosts = body;
  list->visible_at
      = kq_clock_now ()
        + get_knob (shared_knobs, "host_lag_ms") * KQ_USEC_PER_MSEC;
  LL_PREPEND (host_lists, list);
  si_respond_json (request, MHD_HTTP_OK, json_object ());
}

static void
show_hosts (struct si_request *request)
{
  const struct host_list *list = host_lists;

  while (list && list->visible_at > kq_clock_now ())
    list = list->next;
  si_respond_json (request, MHD_HTTP_OK,
                   list ? json_incref (list->hosts)
                        : json_pack ("{s[]}", "hosts"));
}

/* Suspends the reads that wait at LISTENER, which goes down: they get no
   response.  */
static void
suspend_waiting_reads (struct listener *listener)
{
  struct si_request *request, *other;

  DL_FOREACH_SAFE (waiting_reads, request, other)
  if (request->server == listener->server)
    {
      ev_timer_stop (loop, &request->timer);
      DL_DELETE (waiting_reads, request);
      si_suspend (request);
    }
}

static void
set_knobs (struct si_request *request, struct listener *listener)
{
  json_object_update (listener->knobs, shared_knobs);
  if (!si_set_knobs (request, listener->knobs))
    return;
  json_object_update_existing (shared_knobs, listener->knobs);
  if (!strcmp (si_string (listener->knobs, "down"), "no"))
    si_drop_suspended (listener->server);
  else
    suspend_waiting_reads (listener);
  if (get_knob (shared_knobs, "retention") > 0)
    remove_old_records (get_knob (shared_knobs, "retention"));
}

/* Handles the requests of tests, which are served also while the platform is
   down; returns whether REQUEST is one.  */
static bool
handle_admin_request (struct si_request *request, struct listener *listener)
{
  if (si_request_matches (request, "POST", "/knobs"))
    set_knobs (request, listener);
  else if (si_request_matches (request, "GET", "/knobs"))
    {
      json_object_update (listener->knobs, shared_knobs);
      si_respond_json (request, MHD_HTTP_OK, json_incref (listener->knobs));
    }
  else if (si_request_matches (request, "POST", "/hosts"))
    set_hosts (request);
  else if (si_request_matches (request, "POST", "/remove-old"))
    {
      remove_old_records (si_argument (request, "keep", 0));
      si_respond_json (request, MHD_HTTP_OK,
                       json_pack ("{sI}", "first", (json_int_t)first_offset));
    }
  else if (si_request_matches (request, "GET", "/facts"))
    si_respond_json (request, MHD_HTTP_OK,
                     json_pack ("{sI sI sI sI}", "first",
                                (json_int_t)first_offset, "next",
                                (json_int_t)next_offset, "refused",
                                (json_int_t)refused_appends, "answers_lost",
                                (json_int_t)lost_responses));
  else
    return false;
  return true;
}

static void
handle_request (struct si_request *request, void *context)
{
  if (si_request_matches (request, "POST", "/log/append"))
    handle_append (request);
  else if (si_request_matches (request, "GET", "/log/read"))
    read_log (request);
  else if (si_request_matches (request, "GET", "/hosts"))
    show_hosts (request);
  else
    si_respond_json (request, MHD_HTTP_NOT_FOUND,
                     json_pack ("{ss}", "error", "no such page"));
}

static void
on_request (struct si_request *request, void *context)
{
  struct listener *listener = context;
  const char *down = si_string (listener->knobs, "down");

  if (handle_admin_request (request, listener))
    return;
  if (!strcmp (down, "hang"))
    si_suspend (request);
  else if (!strcmp (down, "refuse"))
    si_respond_json (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                     json_pack ("{ss}", "error", "down"));
  else if (get_knob (listener->knobs, "delay_ms") > 0)
    si_defer (request,
              (double)get_knob (listener->knobs, "delay_ms") / MSEC_PER_SEC,
              handle_request, NULL);
  else
    handle_request (request, NULL);
}

int
main (int argc, char **argv)
{
  struct arg_int *port
      = arg_int1 (NULL, "port", "PORT", "first port to listen on");
  struct arg_int *ports
      = arg_int0 (NULL, "ports", "N", "number of ports, 1 to 16 (default 1)");
  struct arg_int *seed
      = arg_int0 (NULL, "seed", "N", "random seed of refused appends");
  struct arg_end *end = arg_end (8);
  void *table[] = { port, ports, seed, end };

  ports->ival[0] = 1;
  seed->ival[0] = 1;
  if (arg_parse (argc, argv, table) > 0 || ports->ival[0] < 1
      || ports->ival[0] > PORTS_MAX)
    {
      arg_print_errors (stderr, end, "platform");
      arg_print_glossary (stderr, table, "  %-20s %s\n");
      return 2;
    }
  random_state = (uint64_t)seed->ival[0];
  loop = ev_default_loop (0);
  shared_knobs = json_pack (
      "{si si si si si si}", "hold_reads", 0, "refuse_permille", 0,
      "lose_answer", 0, "append_limit", 0, "retention", 0, "host_lag_ms", 0);
  for (int i = 0; i < ports->ival[0]; i++)
    {
      listeners[i].knobs = json_pack ("{ss si}", "down", "no", "delay_ms", 0);
      json_object_update (listeners[i].knobs, shared_knobs);
      listeners[i].server = si_server_start (loop, port->ival[0] + i,
                                             on_request, &listeners[i]);
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  si_run_loop (loop);
  return 0;
}
