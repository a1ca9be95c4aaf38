/* Which host relays orders to which worker: see relay/plan.h. */
#include "relay/plan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* Below this number of workers the owner calls them itself: a relay costs a
   hop and a process that can be lost. */
#define MIN_WORKERS 128

/* Number of workers for which a zone has one more relay. A relay of 0.12 of a
   core then spends a third of it at 3 starts a second and worker. */
#define WORKERS_PER_RELAY 160

/* Maximum number of relays of a zone. */
#define MAX_ZONE_RELAYS 16

/* A host with this many times the cores of a relay takes its place. */
#define MUCH_LARGER 1.5

/* After this many calls in a row without an answer another relay is tried for
   a worker. */
#define FAILURES_PER_RELAY 2

struct relay_host
{
  char address[KQ_HOST_TEXT_SIZE + 8];
  char zone[KQ_HOST_TEXT_SIZE];
  double cores;
  uint64_t order; /* among hosts with as many cores */
  kq_usec suspended_until;
  bool known; /* in the latest set of hosts */
  UT_hash_handle hh;
};

struct planned_worker
{
  char id[KQ_HOST_TEXT_SIZE];
  uint64_t hash;
  struct planned_zone *zone;
  int failures; /* calls in a row without an answer */
  UT_hash_handle hh;
};

struct planned_zone
{
  char name[KQ_HOST_TEXT_SIZE];
  int workers;
  struct relay_host *relays[MAX_ZONE_RELAYS]; /* NULL: no host for it */
  int relay_count;
  UT_hash_handle hh;
};

struct kq_relay_plan
{
  char self[KQ_HOST_TEXT_SIZE];
  struct relay_host *hosts; /* by address */
  struct planned_worker *workers;
  struct planned_zone *zones;
  bool stale;          /* the relays of the zones must be chosen again */
  kq_usec next_return; /* when the first suspension ends; 0: none */
};

struct kq_relay_plan *
kq_relay_plan_create (const char *self)
{
  struct kq_relay_plan *plan = calloc (1, sizeof *plan);

  if (plan != NULL)
    snprintf (plan->self, sizeof plan->self, "%s", self);
  return plan;
}

void
kq_relay_plan_destroy (struct kq_relay_plan *plan)
{
  struct relay_host *host;
  struct relay_host *next_host;
  struct planned_worker *worker;
  struct planned_worker *next_worker;
  struct planned_zone *zone;
  struct planned_zone *next_zone;

  if (plan == NULL)
    return;
  host = plan->hosts;
  HASH_CLEAR (hh, plan->hosts);
  for (; host != NULL; host = next_host)
    {
      next_host = host->hh.next;
      free (host);
    }
  worker = plan->workers;
  HASH_CLEAR (hh, plan->workers);
  for (; worker != NULL; worker = next_worker)
    {
      next_worker = worker->hh.next;
      free (worker);
    }
  zone = plan->zones;
  HASH_CLEAR (hh, plan->zones);
  for (; zone != NULL; zone = next_zone)
    {
      next_zone = zone->hh.next;
      free (zone);
    }
  free (plan);
}

static void
add_host (void *arg, const struct kq_host *host)
{
  struct kq_relay_plan *plan = arg;
  struct relay_host *relay;

  if (strcmp (host->name, plan->self) == 0)
    return;
  HASH_FIND_STR (plan->hosts, host->address, relay);
  if (relay == NULL)
    {
      relay = calloc (1, sizeof *relay);
      if (relay == NULL)
        return;
      snprintf (relay->address, sizeof relay->address, "%s", host->address);
      relay->order = XXH64 (relay->address, strlen (relay->address), 0);
      HASH_ADD_STR (plan->hosts, address, relay);
      plan->stale = true;
    }
  if (!relay->known || relay->cores != host->cores
      || strcmp (relay->zone, host->zone) != 0)
    plan->stale = true;
  relay->known = true;
  relay->cores = host->cores;
  snprintf (relay->zone, sizeof relay->zone, "%s", host->zone);
}

void
kq_relay_plan_set_hosts (struct kq_relay_plan *plan,
                         const struct kq_hosts *hosts)
{
  for (struct relay_host *host = plan->hosts; host != NULL;
       host = host->hh.next)
    {
      plan->stale = plan->stale || host->known;
      host->known = false;
    }
  kq_hosts_for_each (hosts, add_host, plan);
}

static struct planned_zone *
find_or_add_zone (struct kq_relay_plan *plan, const char *name)
{
  struct planned_zone *zone;

  HASH_FIND_STR (plan->zones, name, zone);
  if (zone != NULL)
    return zone;
  zone = calloc (1, sizeof *zone);
  if (zone == NULL)
    return NULL;
  snprintf (zone->name, sizeof zone->name, "%s", name);
  HASH_ADD_STR (plan->zones, name, zone);
  return zone;
}

static int
wanted_relays (const struct planned_zone *zone)
{
  int wanted = (zone->workers + WORKERS_PER_RELAY - 1) / WORKERS_PER_RELAY;

  return wanted < MAX_ZONE_RELAYS ? wanted : MAX_ZONE_RELAYS;
}

static void
count_worker (struct kq_relay_plan *plan, struct planned_zone *zone,
              int change)
{
  int wanted = wanted_relays (zone);

  zone->workers += change;
  if (wanted_relays (zone) != wanted)
    plan->stale = true;
}

void
kq_relay_plan_set_worker (struct kq_relay_plan *plan, const char *id,
                          const char *zone)
{
  struct planned_zone *target = find_or_add_zone (plan, zone);
  struct planned_worker *worker;

  HASH_FIND_STR (plan->workers, id, worker);
  if (target == NULL || (worker != NULL && worker->zone == target))
    return;
  if (worker == NULL)
    {
      worker = calloc (1, sizeof *worker);
      if (worker == NULL)
        return;
      snprintf (worker->id, sizeof worker->id, "%s", id);
      worker->hash = XXH64 (worker->id, strlen (worker->id), 0);
      HASH_ADD_STR (plan->workers, id, worker);
    }
  else
    count_worker (plan, worker->zone, -1);
  worker->zone = target;
  count_worker (plan, target, 1);
}

void
kq_relay_plan_remove_worker (struct kq_relay_plan *plan, const char *id)
{
  struct planned_worker *worker;

  HASH_FIND_STR (plan->workers, id, worker);
  if (worker == NULL)
    return;
  count_worker (plan, worker->zone, -1);
  HASH_DEL (plan->workers, worker);
  free (worker);
}

void
kq_relay_plan_suspend (struct kq_relay_plan *plan, const char *address,
                       kq_usec until)
{
  struct relay_host *host;

  HASH_FIND_STR (plan->hosts, address, host);
  if (host == NULL)
    return;
  host->suspended_until = until;
  plan->stale = true;
}

void
kq_relay_plan_note_reply (struct kq_relay_plan *plan, const char *id,
                          bool answered)
{
  struct planned_worker *worker;

  HASH_FIND_STR (plan->workers, id, worker);
  if (worker != NULL)
    worker->failures = answered ? 0 : worker->failures + 1;
}

static bool
comes_before (const struct relay_host *a, const struct relay_host *b)
{
  if (a->cores != b->cores)
    return a->cores > b->cores;
  if (a->order != b->order)
    return a->order < b->order;
  return strcmp (a->address, b->address) < 0;
}

static bool
is_usable (const struct relay_host *host, kq_usec now)
{
  return host->known && now >= host->suspended_until;
}

static bool
is_relay_of (const struct planned_zone *zone, const struct relay_host *host)
{
  for (int i = 0; i < zone->relay_count; i++)
    if (zone->relays[i] == host)
      return true;
  return false;
}

/* Returns the best host that does not relay for ZONE yet: one of the zone if
   there is one. */
static struct relay_host *
best_unused (const struct kq_relay_plan *plan, const struct planned_zone *zone,
             kq_usec now)
{
  struct relay_host *best = NULL;
  bool best_is_near = false;

  for (struct relay_host *host = plan->hosts; host != NULL;
       host = host->hh.next)
    {
      bool is_near = strcmp (host->zone, zone->name) == 0;

      if (!is_usable (host, now) || is_relay_of (zone, host)
          || (best != NULL && best_is_near && !is_near))
        continue;
      if (best == NULL || (is_near && !best_is_near)
          || comes_before (host, best))
        {
          best = host;
          best_is_near = is_near;
        }
    }
  return best;
}

/* Whether OTHER should relay for ZONE in place of HOST. */
static bool
is_better (const struct planned_zone *zone, const struct relay_host *host,
           const struct relay_host *other)
{
  bool host_is_near = strcmp (host->zone, zone->name) == 0;
  bool other_is_near = strcmp (other->zone, zone->name) == 0;

  if (host_is_near != other_is_near)
    return other_is_near;
  return other->cores > host->cores * MUCH_LARGER;
}

/* A relay stays in its place while it is usable, so that no worker changes
   its relay for the loss or the return of another. */
static void
choose_relays (struct kq_relay_plan *plan, struct planned_zone *zone,
               kq_usec now)
{
  int wanted = wanted_relays (zone);

  for (int i = 0; i < MAX_ZONE_RELAYS; i++)
    if (i >= wanted || i >= zone->relay_count
        || (zone->relays[i] != NULL && !is_usable (zone->relays[i], now)))
      zone->relays[i] = NULL;
  zone->relay_count = wanted;
  for (int i = 0; i < wanted; i++)
    {
      struct relay_host *unused = best_unused (plan, zone, now);

      if (unused != NULL
          && (zone->relays[i] == NULL
              || is_better (zone, zone->relays[i], unused)))
        zone->relays[i] = unused;
    }
}

static void
refresh (struct kq_relay_plan *plan, kq_usec now)
{
  if (!plan->stale && (plan->next_return == 0 || now < plan->next_return))
    return;
  plan->stale = false;
  plan->next_return = 0;
  for (const struct relay_host *host = plan->hosts; host != NULL;
       host = host->hh.next)
    if (host->suspended_until > now
        && (plan->next_return == 0
            || host->suspended_until < plan->next_return))
      plan->next_return = host->suspended_until;
  for (struct planned_zone *zone = plan->zones; zone != NULL;
       zone = zone->hh.next)
    choose_relays (plan, zone, now);
}

/* Orders the places of the relays of a zone for each worker in another way, so
   that another number of places moves few workers. */
static uint64_t
weight (const struct planned_worker *worker, int place)
{
  uint64_t both[] = { worker->hash, (uint64_t)place };

  return XXH64 (both, sizeof both, 0);
}

/* Returns the N-th choice of WORKER among the relays of its zone, or NULL. */
static const struct relay_host *
nth_relay (const struct planned_worker *worker, int n)
{
  const struct planned_zone *zone = worker->zone;
  uint64_t limit = UINT64_MAX;
  int found = -1;

  for (int round = 0; round <= n; round++)
    {
      found = -1;
      for (int i = 0; i < zone->relay_count; i++)
        if (zone->relays[i] != NULL && weight (worker, i) < limit
            && (found < 0 || weight (worker, i) > weight (worker, found)))
          found = i;
      if (found < 0)
        return NULL;
      limit = weight (worker, found);
    }
  return zone->relays[found];
}

static int
count_relays (const struct planned_zone *zone)
{
  int count = 0;

  for (int i = 0; i < zone->relay_count; i++)
    count += zone->relays[i] != NULL;
  return count;
}

const char *
kq_relay_plan_find (struct kq_relay_plan *plan, kq_usec now, const char *id)
{
  const struct relay_host *host;
  struct planned_worker *worker;
  int attempt;

  if (HASH_COUNT (plan->workers) < MIN_WORKERS)
    return NULL;
  HASH_FIND_STR (plan->workers, id, worker);
  if (worker == NULL)
    return NULL;
  refresh (plan, now);
  attempt = worker->failures / FAILURES_PER_RELAY
            % (count_relays (worker->zone) + 1);
  /* The last way is the owner's own. */
  host = nth_relay (worker, attempt);
  return host != NULL ? host->address : NULL;
}

int
kq_relay_plan_count (struct kq_relay_plan *plan, kq_usec now)
{
  int count = 0;

  refresh (plan, now);
  if (HASH_COUNT (plan->workers) < MIN_WORKERS)
    return 0;
  for (const struct planned_zone *zone = plan->zones; zone != NULL;
       zone = zone->hh.next)
    count += count_relays (zone);
  return count;
}
