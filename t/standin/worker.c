/** @file
 * Simulates many workers and their endpoints in one process.
 *
 * Worker I, from 0, receives control requests at port --control-port + I and
 * serves requests of callers at --endpoint-port + I.  For tests each control
 * port also serves POST /knobs and GET /violations, /facts and /hosts.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "t/standin/si-facts.h"
#include "t/standin/si-worker.h"

#define GROUPS_MAX 16
#define ADVANCE_INTERVAL_SECONDS 0.01
#define MSEC_PER_SEC 1000.0

static struct ev_loop *loop;
static double default_service_ms;
static kq_usec last_advance_at;

static json_t *
facts_to_json (void)
{
  json_t *all = si_facts ();
  json_t *list = json_array ();
  const struct si_worker *worker;
  kq_usec now = kq_clock_now ();

  LL_FOREACH (si_workers, worker)
  json_array_append_new (
      list,
      json_pack ("{ss ss sI sI sI sI si sO}", "name", worker->name.text,
                 "holder", worker->holder, "term", (json_int_t)worker->term,
                 "served", (json_int_t)worker->served_count, "starts",
                 (json_int_t)worker->start_count, "idle_ms",
                 (json_int_t)((now - worker->last_work_at) / KQ_USEC_PER_MSEC),
                 "busy", worker->used_slots, "knobs", worker->knobs));
  json_object_set_new (all, "workers", list);
  return all;
}

static json_t *
hosts_to_json (void)
{
  json_t *list = json_array ();
  const struct si_worker *worker;

  LL_FOREACH (si_workers, worker)
  json_array_append_new (
      list, json_pack ("{ss ss ss ss ss ss so so}", "name", worker->name.text,
                       "kind", "worker", "zone", worker->zone.text, "region",
                       worker->region.text, "rack", worker->rack.text, "state",
                       si_worker_knob (worker, "leaving") ? "leaving" : "live",
                       "address",
                       json_sprintf ("127.0.0.1:%d", worker->control_port),
                       "endpoint",
                       json_sprintf ("127.0.0.1:%d", worker->endpoint_port)));
  return json_pack ("{so}", "hosts", list);
}

static void
set_knobs (struct si_worker *worker, struct si_request *request)
{
  if (!si_set_knobs (request, worker->knobs))
    return;
  if (si_worker_knob (worker, "silent"))
    {
      worker->silenced_serial = si_server_serial (worker->endpoint);
      json_object_set_new (worker->knobs, "silent", json_integer (0));
    }
  if (!si_worker_knob (worker, "freeze"))
    {
      si_drop_suspended (worker->control);
      si_drop_suspended (worker->endpoint);
    }
}

static bool
handle_admin_request (struct si_worker *worker, struct si_request *request)
{
  if (si_request_matches (request, "POST", "/knobs"))
    set_knobs (worker, request);
  else if (si_request_matches (request, "GET", "/violations"))
    si_respond_json (request, MHD_HTTP_OK, si_violations ());
  else if (si_request_matches (request, "GET", "/facts"))
    si_respond_json (request, MHD_HTTP_OK, facts_to_json ());
  else if (si_request_matches (request, "GET", "/hosts"))
    si_respond_json (request, MHD_HTTP_OK, hosts_to_json ());
  else
    return false;
  return true;
}

static void
handle_control_request (struct si_request *request, void *context)
{
  struct si_worker *worker = context;
  int64_t lose_count = si_worker_knob (worker, "lose_answer");

  if (si_request_matches (request, "GET", "/lease"))
    si_respond_json (request, MHD_HTTP_OK, si_worker_table (worker));
  else if (si_request_matches (request, "POST", "/lease"))
    si_worker_handle_lease (worker, request);
  else if (si_request_matches (request, "POST", "/task"))
    si_worker_handle_task (worker, request);
  else
    si_respond_json (request, MHD_HTTP_NOT_FOUND,
                     json_pack ("{ss}", "error", "no such page"));
  if (lose_count > 0)
    {
      json_object_set_new (worker->knobs, "lose_answer",
                           json_integer (lose_count - 1));
      si_drop (request);
    }
}

static void
on_control (struct si_request *request, void *context)
{
  struct si_worker *worker = context;
  int64_t hold_ms = si_worker_knob (worker, "hold_ms");

  if (handle_admin_request (worker, request))
    return;
  if (si_worker_knob (worker, "freeze"))
    si_suspend (request);
  else if (si_worker_knob (worker, "refuse"))
    si_respond_json (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                     json_pack ("{ss}", "error", "refused"));
  else if (hold_ms > 0)
    si_defer (request, (double)hold_ms / MSEC_PER_SEC, handle_control_request,
              worker);
  else
    handle_control_request (request, worker);
}

static void
finish_request (struct si_request *request, void *context)
{
  struct si_worker *worker = context;
  const char *headers[] = { "X-Worker", worker->name.text, NULL };
  const char *mode = si_string (worker->knobs, "endpoint");
  const char *body = request->size ? request->body : "ok\n";
  size_t size = request->size ? request->size : strlen (body);

  worker->used_slots--;
  worker->served_count++;
  si_fact_count ("served");
  if (request->connection_serial <= worker->silenced_serial)
    return;
  if (si_worker_knob (worker, "freeze"))
    si_suspend (request);
  else if (!strcmp (mode, "close_while"))
    si_drop (request);
  else if (!strcmp (mode, "cut"))
    si_respond_truncated (request, body, size);
  else
    si_respond (request, MHD_HTTP_OK, body, size, headers);
}

/* Returns whether REQUEST may run; otherwise responds that it was not run. */
static bool
admit_request (struct si_worker *worker, struct si_request *request)
{
  static const char *const headers[]
      = { "Kumquatrack-Outcome", "not-run", NULL };
  bool full
      = worker->used_slots >= worker->slots
        || si_server_connections (worker->endpoint) > worker->connections;

  if (full)
    {
      si_fact_count ("refused_slots");
      if (!si_worker_knob (worker, "guard"))
        {
          si_record_violation ("over slots", "%s", worker->name.text);
          full = false;
        }
    }
  if (!full && !si_worker_knob (worker, "refuse"))
    return true;
  si_respond (request, MHD_HTTP_SERVICE_UNAVAILABLE, "busy\n", 5, headers);
  return false;
}

static void
on_endpoint (struct si_request *request, void *context)
{
  struct si_worker *worker = context;
  const char *key = si_header (request, "Idempotency-Key");
  const char *service_ms_text = si_header (request, "X-Service-Ms");
  double duration_ms
      = service_ms_text ? strtod (service_ms_text, NULL) : default_service_ms;

  /* A connection accepted before knob "silent" was set gets no response and
     stays open.  */
  if (request->connection_serial <= worker->silenced_serial)
    return;
  if (si_worker_knob (worker, "freeze"))
    {
      si_suspend (request);
      return;
    }
  if (!strcmp (si_string (worker->knobs, "endpoint"), "close_before"))
    {
      si_drop (request);
      return;
    }
  if (!admit_request (worker, request))
    return;
  if (key && !si_fact_add ("keys", key))
    si_record_violation ("key executed twice", "%s on %s", key,
                         worker->name.text);
  worker->used_slots++;
  worker->last_work_at = kq_clock_now ();
  duration_ms = duration_ms * si_worker_slowdown (worker)
                + (double)si_worker_knob (worker, "delay_ms");
  if (duration_ms > 0)
    si_defer (request, duration_ms / MSEC_PER_SEC, finish_request, worker);
  else
    finish_request (request, worker);
}

static void
on_advance (struct ev_loop *ev, ev_timer *timer, int events)
{
  kq_usec now = kq_clock_now ();

  si_workers_advance (now - last_advance_at);
  last_advance_at = now;
}

struct flags
{
  struct arg_int *control, *endpoint, *rack, *slots, *connections;
  struct arg_int *cpu, *memory, *accelerators;
  struct arg_dbl *service_ms;
  struct arg_str *prefix, *group;
};

static void
add_worker (const struct flags *flags, const char *zone, const char *region,
            int index, int index_in_group)
{
  struct si_worker *worker = calloc (1, sizeof *worker);

  if (!worker)
    abort ();
  snprintf (worker->name.text, KQ_NAME_SIZE, "%s%d", flags->prefix->sval[0],
            index + 1);
  snprintf (worker->zone.text, KQ_NAME_SIZE, "%s", zone);
  snprintf (worker->region.text, KQ_NAME_SIZE, "%s", region);
  snprintf (worker->rack.text, KQ_NAME_SIZE, "%.30s-rack%d", zone,
            index_in_group / flags->rack->ival[0] + 1);
  worker->capacity
      = (struct kq_resources){ flags->cpu->ival[0], flags->memory->ival[0],
                               flags->accelerators->ival[0] };
  worker->slots = flags->slots->ival[0];
  worker->connections = flags->connections->ival[0];
  worker->control_port = flags->control->ival[0] + index;
  worker->endpoint_port = flags->endpoint->ival[0] + index;
  worker->knobs = si_worker_default_knobs ();
  worker->control
      = si_server_start (loop, worker->control_port, on_control, worker);
  worker->endpoint
      = si_server_start (loop, worker->endpoint_port, on_endpoint, worker);
  LL_APPEND (si_workers, worker);
}

/* Adds the workers of all --group flags, such as "dakar-sandaga:dakar:6". */
static int
add_groups (const struct flags *flags)
{
  int index = 0;

  for (int i = 0; i < flags->group->count; i++)
    {
      char zone[KQ_NAME_SIZE];
      char region[KQ_NAME_SIZE];
      char count[8];

      if (sscanf (flags->group->sval[i], "%47[^:]:%47[^:]:%7[0-9]", zone,
                  region, count)
          != 3)
        {
          fprintf (stderr, "--group %s: expected ZONE:REGION:COUNT\n",
                   flags->group->sval[i]);
          return -1;
        }
      for (int n = 0; n < (int)strtol (count, NULL, 10); n++)
        add_worker (flags, zone, region, index++, n);
    }
  return 0;
}

int
main (int argc, char **argv)
{
  static ev_timer advance;
  struct flags f = {
    .control = arg_int1 (NULL, "control-port", "PORT", "first control port"),
    .endpoint
    = arg_int1 (NULL, "endpoint-port", "PORT", "first endpoint port"),
    .group = arg_strn (NULL, "group", "ZONE:REGION:COUNT", 1, GROUPS_MAX,
                       "add workers of one availability zone"),
    .prefix
    = arg_str0 (NULL, "prefix", "TEXT", "prefix of worker names (default w)"),
    .rack = arg_int0 (NULL, "rack", "N", "workers per rack (default 10)"),
    .slots
    = arg_int0 (NULL, "slots", "N", "request slots per worker (default 8)"),
    .connections = arg_int0 (NULL, "connections", "N",
                             "connections per endpoint (default 64)"),
    .cpu
    = arg_int0 (NULL, "cpu-milli", "N", "processor capacity (default 16000)"),
    .memory
    = arg_int0 (NULL, "memory-mb", "N", "memory capacity (default 60000)"),
    .accelerators = arg_int0 (NULL, "accelerators", "N",
                              "accelerators per worker (default 0)"),
    .service_ms
    = arg_dbl0 (NULL, "service-ms", "MS", "service time (default 0)"),
  };
  struct arg_end *end = arg_end (8);
  void *table[] = { f.control, f.endpoint,     f.group,       f.prefix,
                    f.rack,    f.slots,        f.connections, f.cpu,
                    f.memory,  f.accelerators, f.service_ms,  end };

  f.prefix->sval[0] = "w";
  f.rack->ival[0] = 10;
  f.slots->ival[0] = 8;
  f.connections->ival[0] = 64;
  f.cpu->ival[0] = 16000;
  f.memory->ival[0] = 60000;
  f.accelerators->ival[0] = 0;
  f.service_ms->dval[0] = 0;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "worker");
      arg_print_glossary (stderr, table, "  %-26s %s\n");
      return 2;
    }
  loop = ev_default_loop (0);
  default_service_ms = f.service_ms->dval[0];
  if (add_groups (&f) < 0)
    return 2;
  last_advance_at = kq_clock_now ();
  ev_timer_init (&advance, on_advance, ADVANCE_INTERVAL_SECONDS,
                 ADVANCE_INTERVAL_SECONDS);
  ev_timer_start (loop, &advance);
  si_run_loop (loop);
  return 0;
}
