/** @file
 * Measures the decisions of the request router in virtual time at the
 * Groupement's size: 65 workers of 8 slots in 3 availability zones of 2
 * regions, and 8 entry hosts.
 *
 * The baseline, in the same run: each entry host sends round robin to its own
 * workers, has an unlimited queue, and retries twice.  Prints one line per
 * figure: name, value, unit, the value of the baseline, and the ratio of the
 * two.
 */
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "request/request.h"
#include "t/lib-view.h"

#define HOSTS 8
#define WORKERS 65
#define SLOTS 8
#define MEAN_SERVICE_MS 20.
#define DEADLINE_US (500 * KQ_USEC_PER_MSEC)
#define WARM_UP_US (2 * KQ_USEC_PER_SEC)
#define RUN_END_US (8 * KQ_USEC_PER_SEC)
#define MAX_REQUESTS 400000
#define MAX_EVENTS 65536
#define SEED 7
#define MAX_ATTEMPTS 3

enum event_kind
{
  EVENT_ARRIVE,
  EVENT_RUN,
  EVENT_DONE, /* the end of an attempt reaches its host */
  EVENT_HOP,  /* a forwarded request reaches its host */
  EVENT_TICK
};

struct event
{
  kq_usec at;
  enum event_kind kind;
  int host;
  int worker; /* -1: forwarded to another entry host */
  int from;
  uint64_t id;
  uint32_t attempt;
  enum kq_outcome outcome;
  int err;
  int32_t free_slots;
};

/* A request as known to one entry host. */
struct local_request
{
  uint64_t caller;
  int from;              /* entry host that forwarded it, -1: none */
  uint64_t from_id;      /* id of the request at that host */
  uint32_t from_attempt; /* attempt of that host */
  int failed_attempts;   /* of the baseline */
};

struct host
{
  struct kq_request_router *router;
  struct kq_request_effects *effects;
  struct local_request *local_requests;
  uint64_t last_id;
  /* Of the baseline: */
  uint64_t *queue;
  size_t first;
  size_t count;
  int next_worker;
};

struct caller
{
  kq_usec arrived;
  bool reported; /* an outcome was reported */
  bool ran;      /* a worker ran the request */
};

enum fault
{
  FAULT_NONE,
  FAULT_SKEW,   /* half of the requests arrive at 2 of the entry hosts */
  FAULT_FAILING /* the first HOSTS workers, all of the first zone, fail every
                   request within 1 ms */
};

struct figures
{
  double percentile[3]; /* latency of responses within the deadline, in ms */
  double goodput;       /* responses within the deadline per second */
  double refused;       /* of all requests */
  double failed;        /* of all requests: unknown */
};

struct run
{
  bool baseline;
  double load;
  enum fault fault;
  gsl_rng *rng;
  kq_usec now;
  struct event *heap[MAX_EVENTS];
  size_t heap_count;
  struct host hosts[HOSTS];
  int busy[WORKERS];
  struct caller *callers;
  uint64_t caller_count;
  uint32_t *latency;
  size_t answered;
  size_t refused;
  size_t failed;
  size_t counted;
};

static const struct
{
  const char *zone;
  const char *region;
  int hosts;
  int workers;
} zones[] = { { "dakar-sandaga", "dakar", 3, 25 },
              { "dakar-pikine", "dakar", 3, 20 },
              { "thies-nord", "thies", 2, 20 } };

/* Returns the index of the zone of a worker or of an entry host. */
static int
zone_of (int index, bool worker)
{
  int zone = 0;
  int size = worker ? zones[0].workers : zones[0].hosts;

  while (index >= size)
    {
      index -= size;
      zone++;
      size = worker ? zones[zone].workers : zones[zone].hosts;
    }
  return zone;
}

static int
owner_of (int worker)
{
  int zone = zone_of (worker, true);
  int first = 0;

  for (int i = 0; i < zone; i++)
    first += zones[i].hosts;
  return first + worker % zones[zone].hosts;
}

static kq_usec
network_delay (int a, int b)
{
  int from = zone_of (a, false);
  int to = zone_of (b, false);

  if (from == to)
    return 200;
  if (strcmp (zones[from].region, zones[to].region) == 0)
    return KQ_USEC_PER_MSEC;
  return 8 * KQ_USEC_PER_MSEC;
}

static void
push_event (struct run *run, const struct event *event)
{
  struct event *copy = malloc (sizeof *copy);
  size_t at = run->heap_count++;

  if (copy == NULL || at == MAX_EVENTS)
    abort ();
  *copy = *event;
  while (at > 0 && run->heap[(at - 1) / 2]->at > copy->at)
    {
      run->heap[at] = run->heap[(at - 1) / 2];
      at = (at - 1) / 2;
    }
  run->heap[at] = copy;
}

static struct event
pop_event (struct run *run)
{
  struct event first = *run->heap[0];
  struct event *last = run->heap[--run->heap_count];
  size_t at = 0;

  free (run->heap[0]);
  for (;;)
    {
      size_t child = 2 * at + 1;

      if (child >= run->heap_count)
        break;
      if (child + 1 < run->heap_count
          && run->heap[child + 1]->at < run->heap[child]->at)
        child++;
      if (run->heap[child]->at >= last->at)
        break;
      run->heap[at] = run->heap[child];
      at = child;
    }
  run->heap[at] = last;
  return first;
}

static void
report_outcome (struct run *run, uint64_t id, enum kq_outcome outcome)
{
  struct caller *caller = &run->callers[id];
  kq_usec elapsed = run->now - caller->arrived;

  if (caller->reported)
    return;
  caller->reported = true;
  if (outcome == KQ_OUTCOME_NOT_RUN && caller->ran)
    {
      fprintf (stderr, "bench: request %llu ran but was reported as not run\n",
               (unsigned long long)id);
      exit (1);
    }
  if (caller->arrived < WARM_UP_US)
    return;
  run->counted++;
  if (outcome == KQ_OUTCOME_NOT_RUN)
    run->refused++;
  else if (outcome != KQ_OUTCOME_ANSWERED || elapsed > DEADLINE_US)
    run->failed++;
  else
    run->latency[run->answered++] = (uint32_t)elapsed;
}

static void
send_to_worker (struct run *run, int host, int worker, uint64_t id,
                uint32_t attempt)
{
  struct event event = { .at = run->now + 100,
                         .kind = EVENT_RUN,
                         .host = host,
                         .worker = worker,
                         .id = id,
                         .attempt = attempt };

  push_event (run, &event);
}

/* Runs a request on a worker; the end of the attempt reaches the host after
   the service time.  */
static void
run_attempt (struct run *run, struct event event)
{
  double ms = gsl_ran_lognormal (run->rng, 0, 0.6);
  kq_usec time = (kq_usec)(ms / 1.197 * MEAN_SERVICE_MS * 1000);

  event.outcome = KQ_OUTCOME_ANSWERED;
  if (run->fault == FAULT_FAILING && event.worker < HOSTS)
    {
      event.outcome = KQ_OUTCOME_UNKNOWN;
      event.err = KQ_ECLOSED;
      time = KQ_USEC_PER_MSEC;
    }
  run->callers[run->hosts[event.host].local_requests[event.id].caller].ran
      = true;
  event.at = run->now + time + 100;
  event.kind = EVENT_DONE;
  push_event (run, &event);
}

/* Baseline: sends queued requests to workers with a free slot, round robin. */
static void
dispatch_queued (struct run *run, int index)
{
  struct host *host = &run->hosts[index];

  for (int checked = 0; checked < WORKERS && host->count > 0; checked++)
    {
      int worker = host->next_worker;

      host->next_worker = (worker + 1) % WORKERS;
      if (owner_of (worker) != index || run->busy[worker] >= SLOTS)
        continue;
      run->busy[worker]++;
      send_to_worker (run, index, worker, host->queue[host->first], 0);
      host->first = (host->first + 1) % MAX_REQUESTS;
      host->count--;
      checked = -1;
    }
}

static void
enqueue (struct run *run, int index, uint64_t id)
{
  struct host *host = &run->hosts[index];

  host->queue[(host->first + host->count++) % MAX_REQUESTS] = id;
  dispatch_queued (run, index);
}

static void
handle_baseline_end (struct run *run, const struct event *event)
{
  struct local_request *local_request
      = &run->hosts[event->host].local_requests[event->id];

  run->busy[event->worker]--;
  if (event->outcome != KQ_OUTCOME_ANSWERED
      && ++local_request->failed_attempts < MAX_ATTEMPTS)
    enqueue (run, event->host, event->id);
  else
    report_outcome (run, local_request->caller, event->outcome);
  dispatch_queued (run, event->host);
}

static void
on_reply (struct run *run, int index, const struct kq_request_effect *effect)
{
  struct local_request *local_request
      = &run->hosts[index].local_requests[effect->id];
  struct event event = { .kind = EVENT_DONE, .worker = -1 };

  if (effect->u.reply.answer != NULL)
    kq_response_unref (effect->u.reply.answer);
  if (local_request->from < 0)
    {
      report_outcome (run, local_request->caller, effect->u.reply.outcome);
      return;
    }
  event.at = run->now + network_delay (index, local_request->from);
  event.host = local_request->from;
  event.id = local_request->from_id;
  event.attempt = local_request->from_attempt;
  event.outcome = effect->u.reply.outcome;
  event.err = effect->u.reply.err;
  event.free_slots = effect->u.reply.free;
  push_event (run, &event);
}

static void
step_router (struct run *run, int index, const struct kq_request_event *event)
{
  struct host *host = &run->hosts[index];
  struct kq_request_effect effect;
  struct event hop = { .kind = EVENT_HOP, .from = index };

  kq_request_step (host->router, run->now, event, host->effects);
  while (kq_request_effects_pop (host->effects, &effect))
    switch (effect.kind)
      {
      case KQ_REQ_FX_SEND:
        send_to_worker (run, index, atoi (effect.u.send.name.text + 1),
                        effect.id, effect.attempt);
        break;
      case KQ_REQ_FX_HOP:
        hop.host = effect.u.send.name.text[1] - '0';
        hop.at = run->now + network_delay (index, hop.host);
        hop.id = effect.id;
        hop.attempt = effect.attempt;
        push_event (run, &hop);
        break;
      case KQ_REQ_FX_REPLY:
        on_reply (run, index, &effect);
        break;
      default: /* no keys, no cancelled attempts */
        break;
      }
}

static void
handle_attempt_end (struct run *run, const struct event *event)
{
  struct kq_request_event attempt_end = { .kind = KQ_REQ_EV_END };

  if (run->baseline)
    {
      handle_baseline_end (run, event);
      return;
    }
  attempt_end.u.end.id = event->id;
  attempt_end.u.end.attempt = event->attempt;
  attempt_end.u.end.outcome = event->outcome;
  attempt_end.u.end.err = event->err;
  attempt_end.u.end.has_free = event->worker < 0;
  attempt_end.u.end.free = event->free_slots;
  if (event->outcome == KQ_OUTCOME_ANSWERED)
    attempt_end.u.end.answer = kq_response_create (200, 0);
  step_router (run, event->host, &attempt_end);
}

static void
handle_arrival (struct run *run, int index, uint64_t caller,
                const struct event *hop)
{
  struct host *host = &run->hosts[index];
  struct kq_request_event event = { .kind = KQ_REQ_EV_ARRIVE };
  uint64_t id = ++host->last_id;
  struct local_request local_request = { .caller = caller, .from = -1 };

  if (hop != NULL)
    {
      local_request.from = hop->from;
      local_request.from_id = hop->id;
      local_request.from_attempt = hop->attempt;
    }
  host->local_requests[id] = local_request;
  if (run->baseline)
    {
      enqueue (run, index, id);
      return;
    }
  event.u.arrive.id = id;
  event.u.arrive.importance = -1;
  event.u.arrive.forwarded = hop != NULL;
  event.u.arrive.deadline = run->callers[caller].arrived + DEADLINE_US;
  kq_name_set (&event.u.arrive.service, "price");
  step_router (run, index, &event);
}

/* Returns the entry host that the load balancer in front chooses. */
static int
choose_host (struct run *run)
{
  if (run->fault == FAULT_SKEW && gsl_rng_uniform_int (run->rng, 2) == 0)
    return (int)gsl_rng_uniform_int (run->rng, 2);
  return (int)gsl_rng_uniform_int (run->rng, HOSTS);
}

static void
schedule_arrival (struct run *run)
{
  double rate = run->load * WORKERS * SLOTS * 1000 / MEAN_SERVICE_MS;
  struct event event = { .kind = EVENT_ARRIVE };

  event.at = run->now + (kq_usec)gsl_ran_exponential (run->rng, 1e6 / rate);
  event.host = choose_host (run);
  if (event.at < RUN_END_US && run->caller_count + 1 < MAX_REQUESTS)
    push_event (run, &event);
}

static void
handle_event (struct run *run, const struct event *event)
{
  struct kq_request_event tick = { .kind = KQ_REQ_EV_TICK };
  struct event next_tick = { .kind = EVENT_TICK };
  uint64_t caller;

  switch (event->kind)
    {
    case EVENT_ARRIVE:
      caller = run->caller_count++;
      run->callers[caller].arrived = run->now;
      handle_arrival (run, event->host, caller, NULL);
      schedule_arrival (run);
      break;
    case EVENT_RUN:
      run_attempt (run, *event);
      break;
    case EVENT_DONE:
      handle_attempt_end (run, event);
      break;
    case EVENT_HOP:
      handle_arrival (run, event->host,
                      run->hosts[event->from].local_requests[event->id].caller,
                      event);
      break;
    case EVENT_TICK:
      for (int i = 0; i < HOSTS; i++)
        step_router (run, i, &tick);
      next_tick.at = run->now + KQ_REQUEST_TICK_US;
      if (next_tick.at < RUN_END_US + KQ_USEC_PER_SEC)
        push_event (run, &next_tick);
      break;
    }
}

static void
publish_view (struct run *run, int index)
{
  struct kq_view *view = kq_test_create_view (WORKERS, 1000, false, 0, "");
  struct kq_request_event event = { .kind = KQ_REQ_EV_VIEW, .u.view = view };

  for (int i = 0; i < WORKERS; i++)
    {
      struct kq_view_worker *worker = &view->workers[i];
      int owner = owner_of (i);

      snprintf (worker->owner.text, sizeof worker->owner.text, "e%d", owner);
      snprintf (worker->owner_hop, sizeof worker->owner_hop, "10.0.0.%d:1",
                owner);
      kq_name_set (&worker->zone, zones[zone_of (i, true)].zone);
      kq_name_set (&worker->region, zones[zone_of (i, true)].region);
      worker->owned = owner == index;
      worker->owned_until = INT64_MAX;
    }
  step_router (run, index, &event);
  kq_view_free (view);
}

static void
start_host (struct run *run, int index)
{
  struct host *host = &run->hosts[index];
  struct kq_request_settings settings = { .queue_limit = 0 };

  kq_request_settings_default (&settings);
  snprintf (settings.host.text, sizeof settings.host.text, "e%d", index);
  kq_name_set (&settings.zone, zones[zone_of (index, false)].zone);
  kq_name_set (&settings.region, zones[zone_of (index, false)].region);
  host->router = kq_request_create (&settings);
  host->effects = kq_request_effects_create ();
  host->local_requests
      = calloc ((size_t)2 * MAX_REQUESTS, sizeof *host->local_requests);
  host->queue = calloc (MAX_REQUESTS, sizeof *host->queue);
  publish_view (run, index);
}

static int
compare_latency (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

static struct figures
compute_figures (struct run *run)
{
  static const double quantiles[] = { 0.5, 0.99, 0.999 };
  struct figures figures = { .goodput = 0 };

  qsort (run->latency, run->answered, sizeof *run->latency, compare_latency);
  for (int i = 0; i < 3 && run->answered > 0; i++)
    figures.percentile[i]
        = run->latency[(size_t)((double)(run->answered - 1) * quantiles[i])]
          / 1000.;
  figures.goodput = (double)run->answered * 1e6 / (RUN_END_US - WARM_UP_US);
  figures.refused = (double)run->refused / (double)run->counted;
  figures.failed = (double)run->failed / (double)run->counted;
  return figures;
}

static struct figures
measure (bool baseline, double load, enum fault fault)
{
  struct run *run = calloc (1, sizeof *run);
  struct event tick = { .kind = EVENT_TICK };
  struct figures figures;

  run->baseline = baseline;
  run->load = load;
  run->fault = fault;
  run->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (run->rng, SEED);
  run->callers = calloc (MAX_REQUESTS, sizeof *run->callers);
  run->latency = calloc (MAX_REQUESTS, sizeof *run->latency);
  for (int i = 0; i < HOSTS; i++)
    start_host (run, i);
  push_event (run, &tick);
  schedule_arrival (run);
  while (run->heap_count > 0)
    {
      struct event event = pop_event (run);

      run->now = event.at;
      handle_event (run, &event);
    }
  figures = compute_figures (run);
  for (int i = 0; i < HOSTS; i++)
    {
      kq_request_effects_destroy (run->hosts[i].effects);
      kq_request_destroy (run->hosts[i].router);
      free (run->hosts[i].local_requests);
      free (run->hosts[i].queue);
    }
  free (run->callers);
  free (run->latency);
  gsl_rng_free (run->rng);
  free (run);
  return figures;
}

static void
print_figure (const char *name, const char *figure, const char *unit,
              double value, double baseline)
{
  printf ("request_%s_%s %.3f %s %.3f ", name, figure, value, unit, baseline);
  if (baseline > 0)
    printf ("%.3f\n", value / baseline);
  else
    printf ("-\n");
}

int
main (void)
{
  static const struct
  {
    const char *name;
    double load;
    enum fault fault;
  } cases[] = {
    { "load_70", 0.70, FAULT_NONE }, { "load_85", 0.85, FAULT_NONE },
    { "load_95", 0.95, FAULT_NONE }, { "load_130", 1.30, FAULT_NONE },
    { "skew_70", 0.70, FAULT_SKEW }, { "failing_70", 0.70, FAULT_FAILING }
  };
  double peak[2] = { 0, 0 };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct figures router_figures
          = measure (false, cases[i].load, cases[i].fault);
      struct figures baseline_figures
          = measure (true, cases[i].load, cases[i].fault);
      const char *name = cases[i].name;

      print_figure (name, "p50", "ms", router_figures.percentile[0],
                    baseline_figures.percentile[0]);
      print_figure (name, "p99", "ms", router_figures.percentile[1],
                    baseline_figures.percentile[1]);
      print_figure (name, "p999", "ms", router_figures.percentile[2],
                    baseline_figures.percentile[2]);
      print_figure (name, "goodput", "1/s", router_figures.goodput,
                    baseline_figures.goodput);
      print_figure (name, "refused", "of-requests", router_figures.refused,
                    baseline_figures.refused);
      print_figure (name, "failed", "of-requests", router_figures.failed,
                    baseline_figures.failed);
      peak[0] = router_figures.goodput > peak[0] ? router_figures.goodput
                                                 : peak[0];
      peak[1] = baseline_figures.goodput > peak[1] ? baseline_figures.goodput
                                                   : peak[1];
      if (cases[i].load > 1)
        print_figure (name, "goodput_of_peak", "ratio",
                      router_figures.goodput / peak[0],
                      baseline_figures.goodput / peak[1]);
    }
  return 0;
}
