/** @file
 * Stand-in for the platform: the append-only log and the list of hosts, as
 * docs/design/assumptions.md numbers 1 to 4 say, held in memory.
 *
 * It serves the same log on several ports, so that a zone can be cut off
 * from it: "down" and "delay_ms" hold for the port that they are posted to.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/clock.h"
#include "t/standin/si-http.h"

#define PORTS_MAX 16
#define READ_MAX 1000
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

/* One port of the platform. */
struct gate
{
  struct si_server *server;
  json_t *knobs;
};

static struct ev_loop *loop;
static struct gate gates[PORTS_MAX];
static json_t *shared;          /* knobs that hold for all ports */
static struct record *records;  /* record of offset N at records[N - 1] */
static int64_t first = 1;       /* oldest offset that is kept */
static int64_t next_offset = 1; /* first one after the end */
static struct si_request *waiting;
static struct host_list *lists; /* newest first */
static kq_usec limit_from;      /* start of the second that is counted */
static int64_t limit_used;
static uint64_t random_state = 1;
static int64_t refused, lost;

static int64_t
knob (const json_t *knobs, const char *name)
{
  return si_number (knobs, name, 0);
}

static bool
by_chance (int64_t permille)
{
  random_state = random_state * 6364136223846793005U + 1442695040888963407U;
  return (int64_t)((random_state >> 33) % 1000) < permille;
}

static void
remove_old (int64_t keep)
{
  for (; first < next_offset - keep; first++)
    {
      free (records[first - 1].id);
      json_decref (records[first - 1].body);
    }
}

static void
answer_read (struct si_request *request, void *context)
{
  int64_t from = si_argument (request, "from", 1);
  int64_t max = si_argument (request, "max", READ_MAX);
  json_t *list;

  if (from < 1)
    from = 1;
  if (from < first)
    {
      si_answer_json (request, MHD_HTTP_GONE,
                      json_pack ("{sI}", "first", (json_int_t)first));
      return;
    }
  list = json_array ();
  for (int64_t at = from; at < next_offset && max-- > 0; at++)
    json_array_append_new (
        list, json_pack ("{sI ss sO}", "offset", (json_int_t)at, "id",
                         records[at - 1].id, "record", records[at - 1].body));
  si_answer_json (request, MHD_HTTP_OK,
                  json_pack ("{sI sI so}", "first", (json_int_t)first, "next",
                             (json_int_t)next_offset, "records", list));
}

static void
on_wait_over (struct si_request *request, void *context)
{
  DL_DELETE (waiting, request);
  if (knob (shared, "hold_reads"))
    si_park (request);
  else
    answer_read (request, NULL);
}

static void
read_log (struct si_request *request)
{
  int64_t wait_ms = si_argument (request, "wait_ms", 0);

  if (knob (shared, "hold_reads"))
    {
      si_park (request);
      return;
    }
  if (si_argument (request, "from", 1) < next_offset || wait_ms <= 0)
    {
      answer_read (request, NULL);
      return;
    }
  DL_APPEND (waiting, request);
  si_after (request, (double)wait_ms / MSEC_PER_SEC, on_wait_over, NULL);
}

static void
append_record (const char *id, json_t *body)
{
  struct si_request *request, *other;
  int64_t keep = knob (shared, "retention");

  if ((next_offset & (next_offset - 1)) == 0)
    records = realloc (records, sizeof *records * (size_t)next_offset * 2);
  if (!records)
    abort ();
  records[next_offset - 1]
      = (struct record){ .id = strdup (id), .body = json_incref (body) };
  next_offset++;
  if (keep > 0)
    remove_old (keep);
  if (knob (shared, "hold_reads"))
    return;
  DL_FOREACH_SAFE (waiting, request, other)
  {
    DL_DELETE (waiting, request);
    ev_timer_stop (loop, &request->timer);
    answer_read (request, NULL);
  }
}

/* Counts an append against the limit of the running second. */
static bool
within_limit (void)
{
  kq_usec now = kq_clock_now ();
  int64_t limit = knob (shared, "append_limit");

  if (now - limit_from >= KQ_USEC_PER_SEC)
    {
      limit_from = now;
      limit_used = 0;
    }
  return limit <= 0 || limit_used++ < limit;
}

static void
append (struct si_request *request)
{
  int64_t lose = knob (shared, "lose_answer");
  json_t *body = si_body (request);
  json_t *record;

  if (!body)
    return;
  record = json_object_get (body, "record");
  if (!json_is_object (record) || !*si_string (body, "id"))
    si_answer_json (request, MHD_HTTP_BAD_REQUEST,
                    json_pack ("{ss}", "error", "no id or record"));
  else if (by_chance (knob (shared, "refuse_permille")) || !within_limit ())
    {
      refused++;
      si_answer_json (request, MHD_HTTP_TOO_MANY_REQUESTS,
                      json_pack ("{ss}", "error", "busy"));
    }
  else
    {
      append_record (si_string (body, "id"), record);
      if (lose > 0)
        {
          lost++;
          json_object_set_new (shared, "lose_answer", json_integer (lose - 1));
          si_drop (request);
        }
      else
        si_answer_json (
            request, MHD_HTTP_OK,
            json_pack ("{sI}", "offset", (json_int_t)(next_offset - 1)));
    }
  json_decref (body);
}

static void
set_hosts (struct si_request *request)
{
  json_t *body = si_body (request);
  struct host_list *list;

  if (!body)
    return;
  list = calloc (1, sizeof *list);
  if (!list)
    abort ();
  list->hosts = body;
  list->visible_at
      = kq_clock_now () + knob (shared, "host_lag_ms") * KQ_USEC_PER_MSEC;
  LL_PREPEND (lists, list);
  si_answer_json (request, MHD_HTTP_OK, json_object ());
}

static void
show_hosts (struct si_request *request)
{
  const struct host_list *list = lists;

  while (list && list->visible_at > kq_clock_now ())
    list = list->next;
  si_answer_json (request, MHD_HTTP_OK,
                  list ? json_incref (list->hosts)
                       : json_pack ("{s[]}", "hosts"));
}

/* Reads that wait at GATE while it goes down get no answer. */
static void
park_waiting (struct gate *gate)
{
  struct si_request *request, *other;

  DL_FOREACH_SAFE (waiting, request, other)
  if (request->server == gate->server)
    {
      ev_timer_stop (loop, &request->timer);
      DL_DELETE (waiting, request);
      si_park (request);
    }
}

static void
set_knobs (struct si_request *request, struct gate *gate)
{
  json_object_update (gate->knobs, shared);
  if (!si_set_knobs (request, gate->knobs))
    return;
  json_object_update_existing (shared, gate->knobs);
  if (!strcmp (si_string (gate->knobs, "down"), "no"))
    si_unpark (gate->server);
  else
    park_waiting (gate);
  if (knob (shared, "retention") > 0)
    remove_old (knob (shared, "retention"));
}

/* What works also while the platform is down for its users. */
static bool
administer (struct si_request *request, struct gate *gate)
{
  if (si_is (request, "POST", "/knobs"))
    set_knobs (request, gate);
  else if (si_is (request, "GET", "/knobs"))
    {
      json_object_update (gate->knobs, shared);
      si_answer_json (request, MHD_HTTP_OK, json_incref (gate->knobs));
    }
  else if (si_is (request, "POST", "/hosts"))
    set_hosts (request);
  else if (si_is (request, "POST", "/remove-old"))
    {
      remove_old (si_argument (request, "keep", 0));
      si_answer_json (request, MHD_HTTP_OK,
                      json_pack ("{sI}", "first", (json_int_t)first));
    }
  else if (si_is (request, "GET", "/facts"))
    si_answer_json (request, MHD_HTTP_OK,
                    json_pack ("{sI sI sI sI}", "first", (json_int_t)first,
                               "next", (json_int_t)next_offset, "refused",
                               (json_int_t)refused, "answers_lost",
                               (json_int_t)lost));
  else
    return false;
  return true;
}

static void
serve (struct si_request *request, void *context)
{
  if (si_is (request, "POST", "/log/append"))
    append (request);
  else if (si_is (request, "GET", "/log/read"))
    read_log (request);
  else if (si_is (request, "GET", "/hosts"))
    show_hosts (request);
  else
    si_answer_json (request, MHD_HTTP_NOT_FOUND,
                    json_pack ("{ss}", "error", "no such page"));
}

static void
on_request (struct si_request *request, void *context)
{
  struct gate *gate = context;
  const char *down = si_string (gate->knobs, "down");

  if (administer (request, gate))
    return;
  if (!strcmp (down, "hang"))
    si_park (request);
  else if (!strcmp (down, "refuse"))
    si_answer_json (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                    json_pack ("{ss}", "error", "down"));
  else if (knob (gate->knobs, "delay_ms") > 0)
    si_after (request, (double)knob (gate->knobs, "delay_ms") / MSEC_PER_SEC,
              serve, NULL);
  else
    serve (request, NULL);
}

int
main (int argc, char **argv)
{
  struct arg_int *port = arg_int1 (NULL, "port", "PORT", "first port");
  struct arg_int *ports = arg_int0 (NULL, "ports", "N", "ports (default 1)");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "of refusals");
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
  shared = json_pack ("{si si si si si si}", "hold_reads", 0,
                      "refuse_permille", 0, "lose_answer", 0, "append_limit",
                      0, "retention", 0, "host_lag_ms", 0);
  for (int i = 0; i < ports->ival[0]; i++)
    {
      gates[i].knobs = json_pack ("{ss si}", "down", "no", "delay_ms", 0);
      json_object_update (gates[i].knobs, shared);
      gates[i].server
          = si_server_start (loop, port->ival[0] + i, on_request, &gates[i]);
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  si_run (loop);
  return 0;
}
