/* Randomised runs of three routers that hand requests to each other, with
   workers that change owners, endpoints that fail in every way, and answers
   that come late or twice.  The facts that callers rely on are checked
   against what the fake endpoints really ran.  */

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
  STEP_ARRIVE, /* a caller's request comes to a host */
  STEP_RUN,    /* an attempt reaches its endpoint */
  STEP_END,    /* an attempt's outcome reaches the host */
  STEP_HOP,    /* a request reaches another host */
  STEP_LEAVE,
  STEP_MOVE, /* a worker changes its owner */
  STEP_SETTLE,
  STEP_KILL, /* a host is lost with all that it knew */
  STEP_TICK
};

struct pending
{
  kq_usec at;
  enum step step;
  int host;
  int from;   /* host that forwarded */
  int worker; /* or host, of a hop */
  uint64_t id;
  uint32_t attempt;
  uint64_t caller; /* request of the caller */
  bool homed;
  bool claim;
  bool keyed;
  struct kq_request_settlement settlement;
  enum kq_outcome outcome;
  int err;
  int32_t free;
  uint64_t answer;
  struct pending *prev;
  struct pending *next;
};

/* What is known of one caller's request. */
struct caller
{
  bool book;
  uint64_t key;
  int runs;
  int replies;
  enum kq_outcome outcome;
};

/* What a host's id stands for. */
struct local
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
  struct local locals[8 * REQUESTS];
  uint64_t last_id;
};

struct world
{
  gsl_rng *rng;
  kq_usec now;
  struct pending *queue;
  struct host hosts[HOSTS];
  struct caller callers[REQUESTS];
  int key_runs[REQUESTS];
  int owner[WORKERS];
  kq_usec owned_from[WORKERS];
  int in_use[WORKERS][HOSTS]; /* slots that each host has in use */
  int violations;
  bool moving; /* workers change owners */
  bool dead[HOSTS];
};

static void
check (struct world *w, bool holds, const char *fact, uint64_t id)
{
  if (holds)
    return;
  if (w->violations++ < 5)
    printf ("at %lld ms, request %llu: %s\n", (long long)(w->now / MS),
            (unsigned long long)id, fact);
}

static kq_usec
any_time (struct world *w, kq_usec most)
{
  return (kq_usec)gsl_rng_uniform_int (w->rng, (unsigned long)most + 1);
}

static bool
chance (struct world *w, int percent)
{
  return (int)gsl_rng_uniform_int (w->rng, 100) < percent;
}

static struct pending *
later (struct world *w, kq_usec after, enum step step, int host)
{
  struct pending *p = calloc (1, sizeof *p);
  struct pending *at;

  p->at = w->now + after;
  p->step = step;
  p->host = host;
  DL_FOREACH (w->queue, at)
  if (at->at > p->at)
    break;
  if (at == NULL)
    DL_APPEND (w->queue, p);
  else
    DL_PREPEND_ELEM (w->queue, at, p);
  return p;
}

static uint64_t
answer_id (struct kq_answer *answer)
{
  size_t length;
  const char *body = kq_answer_body (answer, &length);
  uint64_t id = 0;

  if (length == sizeof id)
    memcpy (&id, body, sizeof id);
  return id;
}

static void
told (struct world *w, uint64_t caller, const struct kq_request_effect *effect)
{
  struct caller *c = &w->callers[caller];
  uint64_t answer = 0;

  c->replies++;
  c->outcome = effect->u.reply.outcome;
  check (w, c->replies == 1, "was told twice", caller);
  if (c->outcome != KQ_OUTCOME_ANSWERED)
    return;
  answer = answer_id (effect->u.reply.answer);
  check (w,
         answer == caller || (c->key != 0 && w->callers[answer].key == c->key),
         "got an answer to another request", caller);
}

static void
on_reply (struct world *w, int host, const struct kq_request_effect *effect)
{
  struct local *local = &w->hosts[host].locals[effect->id];
  struct pending *p;

  check (w, ++local->replies == 1, "was answered twice by its host",
         local->caller);
  if (local->from < 0)
    told (w, local->caller, effect);
  else if (!chance (w, 2)) /* otherwise it is lost */
    {
      p = later (w, any_time (w, 2 * MS), STEP_END, local->from);
      p->id = local->from_id;
      p->attempt = local->from_attempt;
      p->outcome = effect->u.reply.outcome;
      p->err = effect->u.reply.err;
      p->free = effect->u.reply.free;
      p->worker = -1;
      if (p->outcome == KQ_OUTCOME_ANSWERED)
        p->answer = answer_id (effect->u.reply.answer);
    }
  if (effect->u.reply.answer != NULL)
    kq_answer_unref (effect->u.reply.answer);
}

static void
on_send (struct world *w, int host, const struct kq_request_effect *effect)
{
  int worker = effect->u.send.name.text[1] - '0';
  int sum = 0;
  struct pending *p = later (w, any_time (w, MS), STEP_RUN, host);

  p->id = effect->id;
  p->attempt = effect->attempt;
  p->worker = worker;
  p->caller = w->hosts[host].locals[effect->id].caller;
  w->in_use[worker][host]++;
  for (int i = 0; i < HOSTS; i++)
    sum += w->in_use[worker][i];
  check (w, sum <= SLOTS, "was sent beyond the slots", p->caller);
  check (w, w->owner[worker] == host && w->now >= w->owned_from[worker],
         "was sent without ownership", p->caller);
}

/* The front drops an attempt at once; a hop's is just forgotten. */
static void
on_drop (struct world *w, int host, const struct kq_request_effect *effect)
{
  struct pending *p;
  struct pending *next;
  int worker = -1;

  DL_FOREACH_SAFE (w->queue, p, next)
  if ((p->step == STEP_RUN || p->step == STEP_END) && p->host == host
      && p->id == effect->id && p->attempt == effect->attempt)
    {
      worker = p->worker;
      DL_DELETE (w->queue, p);
      free (p);
    }
  p = later (w, 0, STEP_END, host);
  p->id = effect->id;
  p->attempt = effect->attempt;
  p->outcome = KQ_OUTCOME_UNKNOWN;
  p->err = KQ_ETIMEDOUT;
  p->worker = worker;
}

static void
feed (struct world *w, int host, const struct kq_request_event *event)
{
  struct kq_request_effect effect;
  struct pending *p;

  kq_request_step (w->hosts[host].router, w->now, event,
                   w->hosts[host].effects);
  while (kq_request_effects_take (w->hosts[host].effects, &effect))
    switch (effect.kind)
      {
      case KQ_REQ_FX_SEND:
        on_send (w, host, &effect);
        break;
      case KQ_REQ_FX_HOP:
        if (chance (w, 2)) /* lost on the way */
          break;
        p = later (w, any_time (w, 2 * MS), STEP_HOP,
                   effect.u.send.name.text[1] - '1');
        p->from = host;
        p->homed = effect.u.send.homed;
        p->claim = effect.u.send.claim;
        p->keyed = effect.u.send.keyed;
        p->id = effect.id;
        p->attempt = effect.attempt;
        break;
      case KQ_REQ_FX_DROP:
        on_drop (w, host, &effect);
        break;
      case KQ_REQ_FX_REPLY:
        on_reply (w, host, &effect);
        break;
      case KQ_REQ_FX_SETTLE:
        p = later (w, any_time (w, 2 * MS), STEP_SETTLE,
                   effect.u.settle.address[10] - '1');
        p->settlement = effect.u.settle.settlement;
        break;
      case KQ_REQ_FX_PEER:
        break;
      }
}

/* An endpoint takes an attempt: it may refuse it, run it, fail before or
   after, or fall silent.  */
static void
run (struct world *w, const struct pending *p)
{
  struct caller *c = &w->callers[p->caller];
  int fate = (int)gsl_rng_uniform_int (w->rng, 100);
  kq_usec time = MS + any_time (w, 40 * MS);
  struct pending *end;

  if (fate >= 10) /* 10: refused or died before it was read */
    {
      c->runs++;
      if (c->key != 0)
        w->key_runs[c->key]++;
    }
  if (fate >= 98)
    time = 5 * KQ_USEC_PER_SEC; /* silent, and late */
  end = later (w, time, STEP_END, p->host);
  end->id = p->id;
  end->attempt = p->attempt;
  end->worker = p->worker;
  end->answer = p->caller;
  end->err = KQ_ECLOSED;
  end->outcome = fate < 5    ? KQ_OUTCOME_NOT_RUN
                 : fate < 15 ? KQ_OUTCOME_UNKNOWN
                             : KQ_OUTCOME_ANSWERED;
  if (fate == 0)
    end->err = KQ_EREQ_OVERLOAD;
}

static void
end (struct world *w, const struct pending *p)
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
      event.u.end.answer = kq_answer_create (200, 64);
      event.u.end.err = 0;
      kq_answer_add_body (event.u.end.answer, &p->answer, sizeof p->answer);
    }
  if (p->worker >= 0)
    w->in_use[p->worker][p->host]--;
  feed (w, p->host, &event);
}

static void
arrive (struct world *w, const struct pending *p, bool forwarded)
{
  struct host *host = &w->hosts[p->host];
  struct kq_request_event event = { .kind = KQ_REQ_EV_ARRIVE };
  uint64_t caller = p->caller;
  uint64_t id = ++host->last_id;
  struct local *local = &host->locals[id];

  local->from = -1;
  if (forwarded)
    {
      caller = w->hosts[p->from].locals[p->id].caller;
      local->from = p->from;
      local->from_id = p->id;
      local->from_attempt = p->attempt;
    }
  local->caller = caller;
  event.u.arrive.id = id;
  event.u.arrive.importance = -1;
  event.u.arrive.forwarded = forwarded;
  event.u.arrive.homed = p->homed;
  event.u.arrive.claim = p->claim;
  event.u.arrive.keyed
      = w->callers[caller].key != 0 && (!forwarded || p->keyed);
  event.u.arrive.key.hash[0] = w->callers[caller].key;
  kq_name_set (&event.u.arrive.service,
               w->callers[caller].book ? "book" : "price");
  feed (w, p->host, &event);
}

static void
publish (struct world *w)
{
  static const char *const names[HOSTS] = { "e1", "e2", "e3" };
  static const char *const hops[HOSTS]
      = { "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3" };

  for (int h = 0; h < HOSTS; h++)
    {
      struct kq_view *view;
      struct kq_request_event event = { .kind = KQ_REQ_EV_VIEW };

      if (w->dead[h])
        continue;
      view = kq_test_view (WORKERS, 1000, false, 0, "");
      for (int i = 0; i < WORKERS; i++)
        {
          struct kq_view_worker *worker = &view->workers[i];
          int others = 0;

          kq_name_set (&worker->owner, names[w->owner[i]]);
          strcpy (worker->owner_hop, hops[w->owner[i]]);
          worker->owned = w->owner[i] == h && w->now >= w->owned_from[i];
          worker->owned_until = INT64_MAX;
          for (int k = 0; k < HOSTS; k++)
            others += k != h ? w->in_use[i][k] : 0;
          /* Earlier owners' requests end within deadline and linger. */
          worker->reserved_slots = others;
          worker->reserved_until = w->now + 5 * KQ_USEC_PER_SEC;
        }
      event.u.view = view;
      feed (w, h, &event);
      kq_view_free (view);
    }
}

/* What a host said to itself is lost; what it sent goes on. */
static void
kill_host (struct world *w, int host)
{
  w->dead[host] = true;
  for (int i = 0; i < WORKERS; i++)
    if (w->owner[i] == host)
      {
        w->owner[i] = (host + 1) % HOSTS;
        w->owned_from[i] = w->now;
      }
  publish (w);
}

/* Callers turn to another host; messages to a dead one are lost. */
static bool
is_lost (struct world *w, struct pending *p)
{
  if (!w->dead[p->host])
    return false;
  if (p->step == STEP_ARRIVE)
    {
      p->host = (p->host + 1) % HOSTS;
      return false;
    }
  if (p->step == STEP_END && p->worker >= 0)
    w->in_use[p->worker][p->host]--;
  if (p->step == STEP_SETTLE && p->settlement.answer != NULL)
    kq_answer_unref (p->settlement.answer);
  return p->step != STEP_RUN && p->step != STEP_TICK;
}

static void
do_pending (struct world *w, struct pending *p)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_TICK };

  if (is_lost (w, p))
    return;
  switch (p->step)
    {
    case STEP_SETTLE:
      event.kind = KQ_REQ_EV_SETTLE;
      event.u.settle = p->settlement;
      feed (w, p->host, &event);
      break;
    case STEP_KILL:
      kill_host (w, p->host);
      break;
    case STEP_ARRIVE:
      arrive (w, p, false);
      if (chance (w, 3))
        later (w, any_time (w, 50 * MS), STEP_LEAVE, p->host)->id
            = w->hosts[p->host].last_id;
      break;
    case STEP_HOP:
      arrive (w, p, true);
      break;
    case STEP_RUN:
      run (w, p);
      break;
    case STEP_END:
      end (w, p);
      if (chance (w, 1) && p->worker < 0) /* an answer comes twice */
        end (w, p);
      break;
    case STEP_LEAVE:
      event.kind = KQ_REQ_EV_LEAVE;
      event.u.leave = p->id;
      feed (w, p->host, &event);
      break;
    case STEP_MOVE:
      w->owner[p->worker] = p->host;
      w->owned_from[p->worker] = w->now;
      publish (w);
      if (w->moving)
        later (w, any_time (w, 500 * MS), STEP_MOVE,
               (int)gsl_rng_uniform_int (w->rng, HOSTS))
            ->worker
            = (int)gsl_rng_uniform_int (w->rng, WORKERS);
      break;
    case STEP_TICK:
      for (int h = 0; h < HOSTS; h++)
        if (!w->dead[h])
          feed (w, h, &event);
      later (w, KQ_REQUEST_TICK, STEP_TICK, 0);
      break;
    }
}

static void
check_callers (struct world *w)
{
  for (uint64_t i = 1; i < REQUESTS; i++)
    {
      struct caller *c = &w->callers[i];

      /* Callers of a dead host hear nothing. */
      check (w, c->replies == 1 || w->dead[HOSTS - 1], "was never told", i);
      check (w, c->outcome != KQ_OUTCOME_NOT_RUN || c->runs == 0,
             "ran, but was told not run", i);
      check (w, !c->book || c->runs <= 1, "ran twice", i);
      check (w, w->key_runs[i] <= 1, "its key ran twice", i);
    }
}

static void
start_world (struct world *w, unsigned long seed)
{
  struct kq_request_settings settings = { .queue_limit = 0 };
  char name[] = "e1";

  w->moving = seed % 2 == 0;
  w->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (w->rng, seed);
  kq_request_settings_default (&settings);
  kq_name_set (&settings.zone, "dakar-sandaga");
  kq_name_set (&settings.region, "dakar");
  for (int h = 0; h < HOSTS; h++)
    {
      name[1] = (char)('1' + h);
      kq_name_set (&settings.host, name);
      w->hosts[h].router = kq_request_create (&settings);
      w->hosts[h].effects = kq_request_effects_create ();
    }
  for (int i = 0; i < WORKERS; i++)
    w->owner[i] = i % HOSTS;
  later (w, 0, STEP_TICK, 0);
  later (w, 0, STEP_MOVE, 0)->worker = 0;
  if (seed % 4 == 1)
    later (w, 2500 * MS + any_time (w, MS), STEP_KILL, HOSTS - 1);
  for (uint64_t i = 1; i < REQUESTS; i++)
    {
      struct pending *p
          = later (w, MS + any_time (w, 5 * KQ_USEC_PER_SEC), STEP_ARRIVE,
                   (int)gsl_rng_uniform_int (w->rng, HOSTS));
      p->caller = i;
      w->callers[i].book = chance (w, 50);
      if (w->callers[i].book && chance (w, 30))
        w->callers[i].key = i;
      /* While no worker moves, a key may come again, to any host. */
      if (!w->moving && i > 50 && chance (w, 20))
        {
          uint64_t earlier = chance (w, 50) ? i - 8 : i - 1;

          w->callers[i].key = w->callers[earlier].key;
          w->callers[i].book |= w->callers[i].key != 0;
        }
    }
}

static int
run_seed (unsigned long seed)
{
  struct world *w = calloc (1, sizeof *w);
  struct pending *p;
  int violations;

  start_world (w, seed);
  while ((p = w->queue) != NULL)
    {
      DL_DELETE (w->queue, p);
      w->now = p->at;
      if (w->now <= RUN_END)
        do_pending (w, p);
      else if (p->step == STEP_SETTLE && p->settlement.answer != NULL)
        kq_answer_unref (p->settlement.answer);
      free (p);
    }
  check_callers (w);
  violations = w->violations;
  for (int h = 0; h < HOSTS; h++)
    {
      kq_request_effects_destroy (w->hosts[h].effects);
      kq_request_destroy (w->hosts[h].router);
    }
  gsl_rng_free (w->rng);
  free (w);
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
