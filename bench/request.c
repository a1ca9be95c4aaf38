/** @file
 * Measures the router's decisions in virtual time at the Groupement's size:
 * 65 workers of 8 slots in 3 availability zones of 2 regions, 8 entry hosts.
 *
 * The baseline in the same run: each entry host sends round robin to its own
 * workers, queues without a bound, and retries twice.  One line a figure:
 * name, value, unit, the baseline's value, and the ratio of the two.
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
#define SERVICE_MS 20.
#define DEADLINE (500 * KQ_USEC_PER_MSEC)
#define WARM_UP (2 * KQ_USEC_PER_SEC)
#define RUN_END (8 * KQ_USEC_PER_SEC)
#define MOST_REQUESTS 400000
#define MOST_STEPS 65536
#define SEED 7
#define TRIES 3

enum step
{
  STEP_ARRIVE,
  STEP_RUN,
  STEP_DONE, /* an attempt's end reaches its host */
  STEP_HOP,
  STEP_TICK
};

struct event
{
  kq_usec at;
  enum step step;
  int host;
  int worker; /* -1: a hop */
  int from;
  uint64_t id;
  uint32_t attempt;
  enum kq_outcome outcome;
  int err;
  int32_t free;
};

/* A request at one host. */
struct local
{
  uint64_t caller;
  int from;
  uint64_t from_id;
  uint32_t from_attempt;
  int tries;
};

struct host
{
  struct kq_request_router *router;
  struct kq_request_effects *effects;
  struct local *locals;
  uint64_t last_id;
  /* baseline */
  uint64_t *fifo;
  size_t first;
  size_t count;
  int next_worker;
};

struct caller
{
  kq_usec arrived;
  bool told;
  bool ran;
};

enum fault
{
  FAULT_NONE,
  FAULT_SKEW,   /* half of the requests come to 2 of the hosts */
  FAULT_FAILING /* one worker of each host fails everything at once */
};

struct figures
{
  double percentile[3]; /* of answers in time, ms */
  double goodput;       /* answers in time a second */
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
  struct event *heap[MOST_STEPS];
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

/* The zone of a worker, or of an entry host. */
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
distance (int a, int b)
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
push (struct run *run, const struct event *event)
{
  struct event *copy = malloc (sizeof *copy);
  size_t at = run->heap_count++;

  if (copy == NULL || at == MOST_STEPS)
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
pop (struct run *run)
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
tell (struct run *run, uint64_t id, enum kq_outcome outcome)
{
  struct caller *caller = &run->callers[id];
  kq_usec took = run->now - caller->arrived;

  if (caller->told)
    return;
  caller->told = true;
  if (outcome == KQ_OUTCOME_NOT_RUN && caller->ran)
    {
      fprintf (stderr, "bench: request %llu ran and was told not run\n",
               (unsigned long long)id);
      exit (1);
    }
  if (caller->arrived < WARM_UP)
    return;
  run->counted++;
  if (outcome == KQ_OUTCOME_NOT_RUN)
    run->refused++;
  else if (outcome != KQ_OUTCOME_ANSWERED || took > DEADLINE)
    run->failed++;
  else
    run->latency[run->answered++] = (uint32_t)took;
}

static void
send_to_worker (struct run *run, int host, int worker, uint64_t id,
                uint32_t attempt)
{
  struct event event = { .at = run->now + 100,
                         .step = STEP_RUN,
                         .host = host,
                         .worker = worker,
                         .id = id,
                         .attempt = attempt };

  push (run, &event);
}

/* The worker takes a request; its end comes back after the service time. */
static void
run_attempt (struct run *run, struct event event)
{
  double ms = gsl_ran_lognormal (run->rng, 0, 0.6);
  kq_usec time = (kq_usec)(ms / 1.197 * SERVICE_MS * 1000);

  event.outcome = KQ_OUTCOME_ANSWERED;
  if (run->fault == FAULT_FAILING && event.worker < HOSTS)
    {
      event.outcome = KQ_OUTCOME_UNKNOWN;
      event.err = KQ_ECLOSED;
      time = KQ_USEC_PER_MSEC;
    }
  run->callers[run->hosts[event.host].locals[event.id].caller].ran = true;
  event.at = run->now + time + 100;
  event.step = STEP_DONE;
  push (run, &event);
}

/* Baseline: gives waiting requests to the next free worker in turn. */
static void
dispatch (struct run *run, int index)
{
  struct host *host = &run->hosts[index];

  for (int tried = 0; tried < WORKERS && host->count > 0; tried++)
    {
      int worker = host->next_worker;

      host->next_worker = (worker + 1) % WORKERS;
      if (owner_of (worker) != index || run->busy[worker] >= SLOTS)
        continue;
      run->busy[worker]++;
      send_to_worker (run, index, worker, host->fifo[host->first], 0);
      host->first = (host->first + 1) % MOST_REQUESTS;
      host->count--;
      tried = -1;
    }
}

static void
enqueue (struct run *run, int index, uint64_t id)
{
  struct host *host = &run->hosts[index];

  host->fifo[(host->first + host->count++) % MOST_REQUESTS] = id;
  dispatch (run, index);
}

static void
end_baseline (struct run *run, const struct event *event)
{
  struct local *local = &run->hosts[event->host].locals[event->id];

  run->busy[event->worker]--;
  if (event->outcome != KQ_OUTCOME_ANSWERED && ++local->tries < TRIES)
    enqueue (run, event->host, event->id);
  else
    tell (run, local->caller, event->outcome);
  dispatch (run, event->host);
}

static void
on_reply (struct run *run, int index, const struct kq_request_effect *effect)
{
  struct local *local = &run->hosts[index].locals[effect->id];
  struct event event = { .step = STEP_DONE, .worker = -1 };

  if (effect->u.reply.answer != NULL)
    kq_response_unref (effect->u.reply.answer);
  if (local->from < 0)
    {
      tell (run, local->caller, effect->u.reply.outcome);
      return;
    }
  event.at = run->now + distance (index, local->from);
  event.host = local->from;
  event.id = local->from_id;
  event.attempt = local->from_attempt;
  event.outcome = effect->u.reply.outcome;
  event.err = effect->u.reply.err;
  event.free = effect->u.reply.free;
  push (run, &event);
}

static void
feed (struct run *run, int index, const struct kq_request_event *event)
{
  struct host *host = &run->hosts[index];
  struct kq_request_effect effect;
  struct event hop = { .step = STEP_HOP, .from = index };

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
        hop.at = run->now + distance (index, hop.host);
        hop.id = effect.id;
        hop.attempt = effect.attempt;
        push (run, &hop);
        break;
      case KQ_REQ_FX_REPLY:
        on_reply (run, index, &effect);
        break;
      default: /* no keys, nothing dropped */
        break;
      }
}

static void
end (struct run *run, const struct event *event)
{
  struct kq_request_event ended = { .kind = KQ_REQ_EV_END };

  if (run->baseline)
    {
      end_baseline (run, event);
      return;
    }
  ended.u.end.id = event->id;
  ended.u.end.attempt = event->attempt;
  ended.u.end.outcome = event->outcome;
  ended.u.end.err = event->err;
  ended.u.end.has_free = event->worker < 0;
  ended.u.end.free = event->free;
  if (event->outcome == KQ_OUTCOME_ANSWERED)
    ended.u.end.answer = kq_response_create (200, 0);
  feed (run, event->host, &ended);
}

static void
arrive_at (struct run *run, int index, uint64_t caller,
           const struct event *hop)
{
  struct host *host = &run->hosts[index];
  struct kq_request_event event = { .kind = KQ_REQ_EV_ARRIVE };
  uint64_t id = ++host->last_id;
  struct local local = { .caller = caller, .from = -1 };

  if (hop != NULL)
    {
      local.from = hop->from;
      local.from_id = hop->id;
      local.from_attempt = hop->attempt;
    }
  host->locals[id] = local;
  if (run->baseline)
    {
      enqueue (run, index, id);
      return;
    }
  event.u.arrive.id = id;
  event.u.arrive.importance = -1;
  event.u.arrive.forwarded = hop != NULL;
  event.u.arrive.deadline = run->callers[caller].arrived + DEADLINE;
  kq_name_set (&event.u.arrive.service, "price");
  feed (run, index, &event);
}

/* The balancer's choice. */
static int
any_host (struct run *run)
{
  if (run->fault == FAULT_SKEW && gsl_rng_uniform_int (run->rng, 2) == 0)
    return (int)gsl_rng_uniform_int (run->rng, 2);
  return (int)gsl_rng_uniform_int (run->rng, HOSTS);
}

static void
next_arrival (struct run *run)
{
  double rate = run->load * WORKERS * SLOTS * 1000 / SERVICE_MS;
  struct event event = { .step = STEP_ARRIVE };

  event.at = run->now + (kq_usec)gsl_ran_exponential (run->rng, 1e6 / rate);
  event.host = any_host (run);
  if (event.at < RUN_END && run->caller_count + 1 < MOST_REQUESTS)
    push (run, &event);
}

static void
do_event (struct run *run, const struct event *event)
{
  struct kq_request_event tick = { .kind = KQ_REQ_EV_TICK };
  struct event again = { .step = STEP_TICK };
  uint64_t caller;

  switch (event->step)
    {
    case STEP_ARRIVE:
      caller = run->caller_count++;
      run->callers[caller].arrived = run->now;
      arrive_at (run, event->host, caller, NULL);
      next_arrival (run);
      break;
    case STEP_RUN:
      run_attempt (run, *event);
      break;
    case STEP_DONE:
      end (run, event);
      break;
    case STEP_HOP:
      arrive_at (run, event->host,
                 run->hosts[event->from].locals[event->id].caller, event);
      break;
    case STEP_TICK:
      for (int i = 0; i < HOSTS; i++)
        feed (run, i, &tick);
      again.at = run->now + KQ_REQUEST_TICK;
      if (again.at < RUN_END + KQ_USEC_PER_SEC)
        push (run, &again);
      break;
    }
}

static void
publish (struct run *run, int index)
{
  struct kq_view *view = kq_test_view (WORKERS, 1000, false, 0, "");
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
  feed (run, index, &event);
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
  host->locals = calloc ((size_t)2 * MOST_REQUESTS, sizeof *host->locals);
  host->fifo = calloc (MOST_REQUESTS, sizeof *host->fifo);
  publish (run, index);
}

static int
by_value (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

static struct figures
figures_of (struct run *run)
{
  static const double parts[] = { 0.5, 0.99, 0.999 };
  struct figures figures = { .goodput = 0 };

  qsort (run->latency, run->answered, sizeof *run->latency, by_value);
  for (int i = 0; i < 3 && run->answered > 0; i++)
    figures.percentile[i]
        = run->latency[(size_t)((double)(run->answered - 1) * parts[i])]
          / 1000.;
  figures.goodput = (double)run->answered * 1e6 / (RUN_END - WARM_UP);
  figures.refused = (double)run->refused / (double)run->counted;
  figures.failed = (double)run->failed / (double)run->counted;
  return figures;
}

static struct figures
measure (bool baseline, double load, enum fault fault)
{
  struct run *run = calloc (1, sizeof *run);
  struct event tick = { .step = STEP_TICK };
  struct figures figures;

  run->baseline = baseline;
  run->load = load;
  run->fault = fault;
  run->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (run->rng, SEED);
  run->callers = calloc (MOST_REQUESTS, sizeof *run->callers);
  run->latency = calloc (MOST_REQUESTS, sizeof *run->latency);
  for (int i = 0; i < HOSTS; i++)
    start_host (run, i);
  push (run, &tick);
  next_arrival (run);
  while (run->heap_count > 0)
    {
      struct event event = pop (run);

      run->now = event.at;
      do_event (run, &event);
    }
  figures = figures_of (run);
  for (int i = 0; i < HOSTS; i++)
    {
      kq_request_effects_destroy (run->hosts[i].effects);
      kq_request_destroy (run->hosts[i].router);
      free (run->hosts[i].locals);
      free (run->hosts[i].fifo);
    }
  free (run->callers);
  free (run->latency);
  gsl_rng_free (run->rng);
  free (run);
  return figures;
}

static void
print (const char *name, const char *figure, const char *unit, double value,
       double baseline)
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
      struct figures ours = measure (false, cases[i].load, cases[i].fault);
      struct figures plain = measure (true, cases[i].load, cases[i].fault);
      const char *name = cases[i].name;

      print (name, "p50", "ms", ours.percentile[0], plain.percentile[0]);
      print (name, "p99", "ms", ours.percentile[1], plain.percentile[1]);
      print (name, "p999", "ms", ours.percentile[2], plain.percentile[2]);
      print (name, "goodput", "1/s", ours.goodput, plain.goodput);
      print (name, "refused", "of-requests", ours.refused, plain.refused);
      print (name, "failed", "of-requests", ours.failed, plain.failed);
      peak[0] = ours.goodput > peak[0] ? ours.goodput : peak[0];
      peak[1] = plain.goodput > peak[1] ? plain.goodput : peak[1];
      if (cases[i].load > 1)
        print (name, "goodput_of_peak", "ratio", ours.goodput / peak[0],
               plain.goodput / peak[1]);
    }
  return 0;
}
