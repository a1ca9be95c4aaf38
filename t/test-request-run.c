/* Randomised runs of three routers that forward requests to each other, while
   workers change owners, endpoints fail in every way, and responses arrive
   late or twice.  Guards against outcomes reported to callers that contradict
   what the simulated endpoints have run.  */

#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/err.h"
#include "request/request.h"
#include "t/kqtest.h"
#include "t/lib-view.h"

#define MS KQ_USEC_PER_MSEC
#define HOSTS 3
#define WORKERS 4
#define REQUESTS 3000
#define SLOTS 8
#define RUN_END (30 * KQ_USEC_PER_SEC)

enum step
{
  STEP_ARRIVE,       /* a host receives a caller's request */
  STEP_RUN,          /* an attempt reaches its endpoint */
  STEP_END,          /* an attempt's outcome reaches the host */
  STEP_HOP,          /* a request reaches another host */
  STEP_DISCONNECT,   /* a caller disconnects */
  STEP_CHANGE_OWNER, /* a worker changes its owner */
  STEP_KEY_RESULT,   /* the result of a key reaches its backup */
  STEP_FAIL_HOST,    /* a host fails and loses its state */
  STEP_TICK
};

/* A scheduled step. */
struct pending
{
  kq_usec at;
  enum step step;
  int host;
  int from;   /* host that forwarded the request */
  int worker; /* -1: the attempt was forwarded to another host */
  uint64_t id;
  uint32_t attempt;
  uint64_t caller; /* index of the caller's request */
  bool homed;
  bool claim;
  bool keyed;
  struct kq_request_key_result key_result;
  enum kq_outcome outcome;
  int err;
  int32_t free;
  uint64_t answer; /* id in the body of the response */
  struct pending *prev;
  struct pending *next;
};

/* A caller's request, and what has become of it. */
struct caller
{
  bool book; /* for service "book", else "price" */
  uint64_t key;
  int runs;
  int replies;
  enum kq_outcome outcome;
};

/* The request behind an id of a host. */
struct request
{
  uint64_t caller;
  int from; /* host that forwarded it, or -1 */
  uint64_t from_id;
  uint32_t from_attempt;
  int replies;
};

struct host
{
  struct kq_request_router *router;
  struct kq_request_effects *effects;
  struct request requests[8 * REQUESTS];
  uint64_t last_id;
};

struct sim
{
  gsl_rng *rng;
  kq_usec now;
  struct pending *queue;
  struct host hosts[HOSTS];
  struct caller callers[REQUESTS];
  int key_runs[REQUESTS];
  int owner[WORKERS];
  kq_usec owned_from[WORKERS];
  int in_use[WORKERS][HOSTS]; /* slots in use by each host */
  int violations;
  bool owners_change; /* workers change owners */
  bool failed[HOSTS];
};

static void
check (struct sim *sim, bool holds, const char *violation, uint64_t id)
{
  if (holds)
    return;
  if (sim->violations++ < 5)
    printf ("at %lld ms, request %llu: %s\n", (long long)(sim->now / MS),
            (unsigned long long)id, violation);
}

static kq_usec
random_time (struct sim *sim, kq_usec max)
{
  return (kq_usec)gsl_rng_uniform_int (sim->rng, (unsigned long)max + 1);
}

static bool
random_chance (struct sim *sim, int percent)
{
  return (int)gsl_rng_uniform_int (sim->rng, 100) < percent;
}

static struct pending *
schedule (struct sim *sim, kq_usec after, enum step step, int host)
{
  struct pending *p = calloc (1, sizeof *p);
  struct pending *at;

  p->at = sim->now + after;
  p->step = step;
  p->host = host;
  DL_FOREACH (sim->queue, at)
  if (at->at > p->at)
    break;
  if (at == NULL)
    DL_APPEND (sim->queue, p);
  else
    DL_PREPEND_ELEM (sim->queue, at, p);
  return p;
}

static uint64_t
response_id (struct kq_response *answer)
{
  size_t length;
  const char *body = kq_response_body (answer, &length);
  uint64_t id = 0;

  if (length == sizeof id)
    memcpy (&id, body, sizeof id);
  return id;
}

static void
record_reply (struct sim *sim, uint64_t caller,
              const struct kq_request_effect *effect)
{
  struct caller *c = &sim->callers[caller];
  uint64_t answer = 0;

  c->replies++;
  c->outcome = effect->u.reply.outcome;
  check (sim, c->replies == 1, "received two replies", caller);
  if (c->outcome != KQ_OUTCOME_ANSWERED)
    return;
  answer = response_id (effect->u.reply.answer);
  check (sim,
         answer == caller
             || (c->key != 0 && sim->callers[answer].key == c->key),
         "received the response to another request", caller);
}

static void
on_reply (struct sim *sim, int host, const struct kq_request_effect *effect)
{
  struct request *request = &sim->hosts[host].requests[effect->id];
  struct pending *p;

  check (sim, ++request->replies == 1, "was replied to twice by its host",
         request->caller);
  if (request->from < 0)
    record_reply (sim, request->caller, effect);
  else if (!random_chance (sim, 2)) /* otherwise it is lost */
    {
      p = schedule (sim, random_time (sim, 2 * MS), STEP_END, request->from);
      p->id = request->from_id;
      p->attempt = request->from_attempt;
      p->outcome = effect->u.reply.outcome;
      p->err = effect->u.reply.err;
      p->free = effect->u.reply.free;
      p->worker = -1;
      if (p->outcome == KQ_OUTCOME_ANSWERED)
        p->answer = response_id (effect->u.reply.answer);
    }
  if (effect->u.reply.answer != NULL)
    kq_response_unref (effect->u.reply.answer);
}

static void
on_send (struct sim *sim, int host, const struct kq_request_effect *effect)
{
  int worker = effect->u.send.name.text[1] - '0';
  int sum = 0;
  struct pending *p = schedule (sim, random_time (sim, MS), STEP_RUN, host);

  p->id = effect->id;
  p->attempt = effect->attempt;
  p->worker = worker;
  p->caller = sim->hosts[host].requests[effect->id].caller;
  sim->in_use[worker][host]++;
  for (int i = 0; i < HOSTS; i++)
    sum += sim->in_use[worker][i];
  check (sim, sum <= SLOTS, "was sent beyond the slots of the worker",
         p->caller);
  check (sim,
         sim->owner[worker] == host && sim->now >= sim->owned_from[worker],
         "was sent without ownership of the worker", p->caller);
}

/* A cancelled attempt ends at once; a forwarded one continues at the other
   host, and its reply is ignored.  */
static void
on_cancel (struct sim *sim, int host, const struct kq_request_effect *effect)
{
  struct pending *p;
  struct pending *next;
  int worker = -1;

  DL_FOREACH_SAFE (sim->queue, p, next)
  if ((p->step == STEP_RUN || p->step == STEP_END) && p->host == host
      && p->id == effect->id && p->attempt == effect->attempt)
    {
      worker = p->worker;
      DL_DELETE (sim->queue, p);
      free (p);
    }
  p = schedule (sim, 0, STEP_END, host);
  p->id = effect->id;
  p->attempt = effect->attempt;
  p->outcome = KQ_OUTCOME_UNKNOWN;
  p->err = KQ_ETIMEDOUT;
  p->worker = worker;
}

static void
step_host (struct sim *sim, int host, const struct kq_request_event *event)
{
  struct kq_request_effect effect;
  struct pending *p;

  kq_request_step (sim->hosts[host].router, sim->now, event,
                   sim->hosts[host].effects);
  while (kq_request_effects_pop (sim->hosts[host].effects, &effect))
    switch (effect.kind)
      {
      case KQ_REQ_FX_SEND:
        on_send (sim, host, &effect);
        break;
      case KQ_REQ_FX_HOP:
        if (random_chance (sim, 2)) /* lost on the way */
          break;
        p = schedule (sim, random_time (sim, 2 * MS), STEP_HOP,
                      effect.u.send.name.text[1] - '1');
        p->from = host;
        p->homed = effect.u.send.homed;
        p->claim = effect.u.send.claim;
        p->keyed = effect.u.send.keyed;
        p->id = effect.id;
        p->attempt = effect.attempt;
        break;
      case KQ_REQ_FX_CANCEL:
        on_cancel (sim, host, &effect);
        break;
      case KQ_REQ_FX_REPLY:
        on_reply (sim, host, &effect);
        break;
      case KQ_REQ_FX_KEY_RESULT:
        p = schedule (sim, random_time (sim, 2 * MS), STEP_KEY_RESULT,
                      effect.u.settle.address[10] - '1');
        p->key_result = effect.u.settle.key_result;
        break;
      case KQ_REQ_FX_CONNECT:
        break;
      }
}

/* An endpoint handles an attempt: it may refuse it, run it, fail before or
   after, or not respond in time.  */
static void
run_attempt (struct sim *sim, const struct pending *p)
{
  struct caller *c = &sim->callers[p->caller];
  int draw = (int)gsl_rng_uniform_int (sim->rng, 100);
  kq_usec duration = MS + random_time (sim, 40 * MS);
  struct pending *end;

  if (draw >= 10) /* below 10: refused, or failed before it was read */
    {
      c->runs++;
      if (c->key != 0)
        sim->key_runs[c->key]++;
    }
  if (draw >= 98)
    duration = 5 * KQ_USEC_PER_SEC; /* a late response */
  end = schedule (sim, duration, STEP_END, p->host);
  end->id = p->id;
  end->attempt = p->attempt;
  end->worker = p->worker;
  end->answer = p->caller;
  end->err = KQ_ECLOSED;
  end->outcome = draw < 5    ? KQ_OUTCOME_NOT_RUN
                 : draw < 15 ? KQ_OUTCOME_UNKNOWN
                             : KQ_OUTCOME_ANSWERED;
  if (draw == 0)
    end->err = KQ_EREQ_OVERLOAD;
}

static void
end_attempt (struct sim *sim, const struct pending *p)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_END };

  event.u.end.id = p->id;
  event.u.end.attempt = p->attempt;
  event.u.end.outcome = p->outcome;
  event.u.end.err = p->err;
  event.u.end.has_free = p->worker < 0;
  event.u.end.free = p->free;
  if (p->outcome == KQ_OUTCOME_ANSWERED)
    {
      event.u.end.answer = kq_response_create (200, 64);
      event.u.end.err = 0;
      kq_response_add_body (event.u.end.answer, &p->answer, sizeof p->answer);
    }
  if (p->worker >= 0)
    sim->in_use[p->worker][p->host]--;
  step_host (sim, p->host, &event);
}

static void
arrive (struct sim *sim, const struct pending *p, bool forwarded)
{
  struct host *host = &sim->hosts[p->host];
  struct kq_request_event event = { .kind = KQ_REQ_EV_ARRIVE };
  uint64_t caller = p->caller;
  uint64_t id = ++host->last_id;
  struct request *request = &host->requests[id];

  request->from = -1;
  if (forwarded)
    {
      caller = sim->hosts[p->from].requests[p->id].caller;
      request->from = p->from;
      request->from_id = p->id;
      request->from_attempt = p->attempt;
    }
  request->caller = caller;
  event.u.arrive.id = id;
  event.u.arrive.importance = -1;
  event.u.arrive.forwarded = forwarded;
  event.u.arrive.homed = p->homed;
  event.u.arrive.claim = p->claim;
  event.u.arrive.keyed
      = sim->callers[caller].key != 0 && (!forwarded || p->keyed);
  event.u.arrive.key.hash[0] = sim->callers[caller].key;
  kq_name_set (&event.u.arrive.service,
               sim->callers[caller].book ? "book" : "price");
  step_host (sim, p->host, &event);
}

static void
publish_views (struct sim *sim)
{
  static const char *const names[HOSTS] = { "e1", "e2", "e3" };
  static const char *const hops[HOSTS]
      = { "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3" };

  for (int h = 0; h < HOSTS; h++)
    {
      struct kq_view *view;
      struct kq_request_event event = { .kind = KQ_REQ_EV_VIEW };

      if (sim->failed[h])
        continue;
      view = kq_test_create_view (WORKERS, 1000, false, 0, "");
      for (int i = 0; i < WORKERS; i++)
        {
          struct kq_view_worker *worker = &view->workers[i];
          int others = 0;

          kq_name_set (&worker->owner, names[sim->owner[i]]);
          strcpy (worker->owner_hop, hops[sim->owner[i]]);
          worker->owned = sim->owner[i] == h && sim->now >= sim->owned_from[i];
          worker->owned_until = INT64_MAX;
          for (int k = 0; k < HOSTS; k++)
            others += k != h ? sim->in_use[i][k] : 0;
          /* Requests of earlier owners end within the deadline plus the
             linger time.  */
          worker->reserved_slots = others;
          worker->reserved_until = sim->now + 5 * KQ_USEC_PER_SEC;
        }
      event.u.view = view;
      step_host (sim, h, &event);
      kq_view_free (view);
    }
}

/* Fails HOST: its own events are lost, but what it has sent arrives. */
static void
fail_host (struct sim *sim, int host)
{
  sim->failed[host] = true;
  for (int i = 0; i < WORKERS; i++)
    if (sim->owner[i] == host)
      {
        sim->owner[i] = (host + 1) % HOSTS;
        sim->owned_from[i] = sim->now;
      }
  publish_views (sim);
}

/* Returns whether P is lost because its host has failed.  Callers use another
   host instead.  */
static bool
is_lost (struct sim *sim, struct pending *p)
{
  if (!sim->failed[p->host])
    return false;
  if (p->step == STEP_ARRIVE)
    {
      p->host = (p->host + 1) % HOSTS;
      return false;
    }
  if (p->step == STEP_END && p->worker >= 0)
    sim->in_use[p->worker][p->host]--;
  if (p->step == STEP_KEY_RESULT && p->key_result.answer != NULL)
    kq_response_unref (p->key_result.answer);
  return p->step != STEP_RUN && p->step != STEP_TICK;
}

static void
handle_step (struct sim *sim, struct pending *p)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_TICK };

  if (is_lost (sim, p))
    return;
  switch (p->step)
    {
    case STEP_KEY_RESULT:
      event.kind = KQ_REQ_EV_KEY_RESULT;
      event.u.settle = p->key_result;
      step_host (sim, p->host, &event);
      break;
    case STEP_FAIL_HOST:
      fail_host (sim, p->host);
      break;
    case STEP_ARRIVE:
      arrive (sim, p, false);
      if (random_chance (sim, 3))
        schedule (sim, random_time (sim, 50 * MS), STEP_DISCONNECT, p->host)
            ->id
            = sim->hosts[p->host].last_id;
      break;
    case STEP_HOP:
      arrive (sim, p, true);
      break;
    case STEP_RUN:
      run_attempt (sim, p);
      break;
    case STEP_END:
      end_attempt (sim, p);
      if (random_chance (sim, 1) && p->worker < 0) /* a reply arrives twice */
        end_attempt (sim, p);
      break;
    case STEP_DISCONNECT:
      event.kind = KQ_REQ_EV_DISCONNECT;
      event.u.disconnected_id = p->id;
      step_host (sim, p->host, &event);
      break;
    case STEP_CHANGE_OWNER:
      sim->owner[p->worker] = p->host;
      sim->owned_from[p->worker] = sim->now;
      publish_views (sim);
      if (sim->owners_change)
        schedule (sim, random_time (sim, 500 * MS), STEP_CHANGE_OWNER,
                  (int)gsl_rng_uniform_int (sim->rng, HOSTS))
            ->worker
            = (int)gsl_rng_uniform_int (sim->rng, WORKERS);
      break;
    case STEP_TICK:
      for (int h = 0; h < HOSTS; h++)
        if (!sim->failed[h])
          step_host (sim, h, &event);
      schedule (sim, KQ_REQUEST_TICK_US, STEP_TICK, 0);
      break;
    }
}

static void
check_callers (struct sim *sim)
{
  for (uint64_t i = 1; i < REQUESTS; i++)
    {
      struct caller *c = &sim->callers[i];

      /* Callers of a failed host receive no reply. */
      check (sim, c->replies == 1 || sim->failed[HOSTS - 1],
             "received no reply", i);
      check (sim, c->outcome != KQ_OUTCOME_NOT_RUN || c->runs == 0,
             "ran, but its caller received \"not run\"", i);
      check (sim, !c->book || c->runs <= 1, "ran twice", i);
      check (sim, sim->key_runs[i] <= 1, "ran twice under its key", i);
    }
}

static void
start_sim (struct sim *sim, unsigned long seed)
{
  struct kq_request_settings settings = { .queue_limit = 0 };
  char name[] = "e1";

  sim->owners_change = seed % 2 == 0;
  sim->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (sim->rng, seed);
  kq_request_settings_default (&settings);
  kq_name_set (&settings.zone, "dakar-sandaga");
  kq_name_set (&settings.region, "dakar");
  for (int h = 0; h < HOSTS; h++)
    {
      name[1] = (char)('1' + h);
      kq_name_set (&settings.host, name);
      sim->hosts[h].router = kq_request_create (&settings);
      sim->hosts[h].effects = kq_request_effects_create ();
    }
  for (int i = 0; i < WORKERS; i++)
    sim->owner[i] = i % HOSTS;
  schedule (sim, 0, STEP_TICK, 0);
  schedule (sim, 0, STEP_CHANGE_OWNER, 0)->worker = 0;
  if (seed % 4 == 1)
    schedule (sim, 2500 * MS + random_time (sim, MS), STEP_FAIL_HOST,
              HOSTS - 1);
  for (uint64_t i = 1; i < REQUESTS; i++)
    {
      struct pending *p
          = schedule (sim, MS + random_time (sim, 5 * KQ_USEC_PER_SEC),
                      STEP_ARRIVE, (int)gsl_rng_uniform_int (sim->rng, HOSTS));
      p->caller = i;
      sim->callers[i].book = random_chance (sim, 50);
      if (sim->callers[i].book && random_chance (sim, 30))
        sim->callers[i].key = i;
      /* While no worker changes its owner, a key may be repeated, at any
         host.  */
      if (!sim->owners_change && i > 50 && random_chance (sim, 20))
        {
          uint64_t earlier = random_chance (sim, 50) ? i - 8 : i - 1;

          sim->callers[i].key = sim->callers[earlier].key;
          sim->callers[i].book |= sim->callers[i].key != 0;
        }
    }
}

static int
run_seed (unsigned long seed)
{
  struct sim *sim = calloc (1, sizeof *sim);
  struct pending *p;
  int violations;

  start_sim (sim, seed);
  while ((p = sim->queue) != NULL)
    {
      DL_DELETE (sim->queue, p);
      sim->now = p->at;
      if (sim->now <= RUN_END)
        handle_step (sim, p);
      else if (p->step == STEP_KEY_RESULT && p->key_result.answer != NULL)
        kq_response_unref (p->key_result.answer);
      free (p);
    }
  check_callers (sim);
  violations = sim->violations;
  for (int h = 0; h < HOSTS; h++)
    {
      kq_request_effects_destroy (sim->hosts[h].effects);
      kq_request_destroy (sim->hosts[h].router);
    }
  gsl_rng_free (sim->rng);
  free (sim);
  return violations;
}

static void
test_random_runs (void)
{
  for (unsigned long seed = 1; seed <= 60; seed++)
    {
      int violations = run_seed (seed);

      CU_ASSERT_EQUAL (violations, 0);
      if (violations != 0)
        printf ("seed %lu: %d violations\n", seed, violations);
    }
}

static const struct kq_test tests[] = {
  { "random runs", test_random_runs },
};

KQ_TEST_MAIN ("request-run", tests)
