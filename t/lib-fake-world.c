/* Virtual time, the network and the hosts that run the decision cores. */

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "t/lib-fake.h"

#define TICK 0.05
#define POLL 0.06
#define USEC 1e6

double
fake_uniform (struct fake_world *world, double from, double to)
{
  return from + (to - from) * gsl_rng_uniform (world->rng);
}

bool
fake_chance (struct fake_world *world, double probability)
{
  return probability > 0 && gsl_rng_uniform (world->rng) < probability;
}

int
fake_pick (struct fake_world *world, int count)
{
  return (int)gsl_rng_uniform_int (world->rng, (unsigned long)count);
}

void
fake_trace (struct fake_world *world, const char *format, ...)
{
  char *line = world->trace[world->traced++ % FAKE_TRACE];
  int length = snprintf (line, sizeof world->trace[0], "%9.3f ", world->now);
  va_list args;

  va_start (args, format);
  vsnprintf (line + length, sizeof world->trace[0] - (size_t)length, format,
             args);
  va_end (args);
}

void
fake_violation (struct fake_world *world, const char *format, ...)
{
  va_list args;

  if (world->violations++ > 0)
    return;
  va_start (args, format);
  vsnprintf (world->violation, sizeof world->violation, format, args);
  va_end (args);
}

struct fake_shared *
fake_share (void)
{
  struct fake_shared *shared = calloc (1, sizeof *shared);

  shared->count = 1;
  return shared;
}

void
fake_unshare (struct fake_shared *shared)
{
  if (shared == NULL || --shared->count > 0)
    return;
  kq_record_free (shared->record);
  free (shared->bytes);
  free (shared);
}

static bool
before (const struct fake_item *a, const struct fake_item *b)
{
  return a->at < b->at || (a->at <= b->at && a->serial < b->serial);
}

static void
sift_up (struct fake_world *world, size_t i)
{
  struct fake_item **heap = world->heap;

  while (i > 0 && before (heap[i], heap[(i - 1) / 2]))
    {
      struct fake_item *item = heap[i];

      heap[i] = heap[(i - 1) / 2];
      heap[(i - 1) / 2] = item;
      i = (i - 1) / 2;
    }
}

static void
insert (struct fake_world *world, struct fake_item *item)
{
  if (world->heap_count == world->heap_size)
    {
      world->heap_size = world->heap_size * 2 + 64;
      world->heap = realloc (world->heap, world->heap_size * sizeof (void *));
    }
  item->serial = ++world->serial;
  world->heap[world->heap_count++] = item;
  sift_up (world, world->heap_count - 1);
}

struct fake_item *
fake_schedule (struct fake_world *world, double at, enum fake_item_kind kind,
               int host)
{
  struct fake_item *item = calloc (1, sizeof *item);

  item->at = at;
  item->kind = kind;
  item->host = host;
  if (host >= 0)
    item->incarnation = world->hosts[host].incarnation;
  insert (world, item);
  return item;
}

static struct fake_item *
pop (struct fake_world *world)
{
  struct fake_item **heap = world->heap;
  struct fake_item *first = heap[0];
  size_t i = 0;

  heap[0] = heap[--world->heap_count];
  for (;;)
    {
      size_t least = i;
      struct fake_item *item = heap[i];

      for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < world->heap_count && before (heap[child], heap[least]))
          least = child;
      if (least == i)
        return first;
      heap[i] = heap[least];
      heap[least] = item;
      i = least;
    }
}

void
fake_item_free (struct fake_item *item)
{
  fake_unshare (item->shared);
  free (item);
}

kq_usec
fake_clock (const struct fake_world *world, const struct fake_host *host)
{
  return (kq_usec)((host->base + world->now * host->rate) * USEC);
}

double
fake_delay (struct fake_world *world, int from, int to, double most)
{
  if (world->faults.cut[from][to] || fake_chance (world, world->faults.drop))
    return -1;
  if (fake_chance (world, world->faults.late))
    return fake_uniform (world, 0.001, most);
  return from == to ? 0.001 : 0.008;
}

void
fake_send_event (struct fake_world *world, struct fake_shared *shared,
                 int from, int host)
{
  int copies = fake_chance (world, world->faults.duplicate) ? 2 : 1;

  while (copies-- > 0)
    {
      double delay = fake_delay (world, from, world->hosts[host].zone, 6.0);
      struct fake_item *item;

      if (delay < 0)
        continue;
      item = fake_schedule (world, world->now + delay, FAKE_EVENT, host);
      item->shared = shared;
      shared->count++;
    }
}

/* Seconds that a request can be on its way: a connection that its sender has
   closed still delivers what was written to it. */
#define REQUEST_LATE_MAX 30.0

/* A request that a pause of its sender holds back leaves at LEAVES_AT. */
static void
send_request (struct fake_world *world, int host,
              const struct kq_effect *effect, double leaves_at)
{
  struct fake_host *sender = &world->hosts[host];
  const struct kq_name *name = effect->kind == KQ_FX_LEASE
                                   ? &effect->u.lease.worker
                                   : &effect->u.task.worker;
  int copies = fake_chance (world, world->faults.duplicate) ? 2 : 1;
  int worker = atoi (strrchr (name->text, 'w') + 1);

  if (world->faults.asks_cut[host][worker])
    return;
  while (copies-- > 0)
    {
      double delay = fake_delay (
          world, sender->zone, world->workers[worker].zone, REQUEST_LATE_MAX);
      struct fake_item *item;

      if (delay < 0)
        continue;
      item = fake_schedule (world, leaves_at + delay, FAKE_REQUEST, host);
      item->worker = worker;
      item->sent_at = (double)fake_clock (world, sender);
      item->shared = fake_share ();
      item->shared->effect = *effect;
    }
}

static void
send_append (struct fake_world *world, int host,
             const struct kq_effect *effect)
{
  struct fake_item *item;
  double delay = fake_uniform (world, 0.002, 0.02);

  if (fake_chance (world, world->faults.late))
    delay = fake_uniform (world, 0.01, 2.5);
  item = fake_schedule (world, world->now + delay, FAKE_APPEND, host);
  item->sent_at = world->now;
  item->shared = fake_share ();
  item->shared->record = kq_record_copy (effect->u.append);
  if (delay <= FAKE_APPEND_TIMEOUT)
    return;
  /* The sender gives up before the record lands. */
  item = fake_schedule (world, world->now + FAKE_APPEND_TIMEOUT, FAKE_EVENT,
                        host);
  item->shared = fake_share ();
  item->shared->event.kind = KQ_EV_APPENDED;
  item->shared->event.u.appended.id = effect->u.append->id;
  item->shared->event.u.appended.err = KQ_ELOG_DOWN;
}

static void
send_peer (struct fake_world *world, int host, const struct kq_effect *effect)
{
  const struct kq_peer_message *message = &effect->u.peer.message;
  struct fake_shared *shared = fake_share ();
  size_t size = message->shard_count * sizeof *message->shards;

  shared->event.kind = KQ_EV_PEER;
  shared->event.u.peer = *message;
  if (message->record != NULL)
    shared->record = kq_record_copy (message->record);
  shared->event.u.peer.record = shared->record;
  shared->bytes = malloc (size + 1);
  if (size > 0)
    memcpy (shared->bytes, message->shards, size);
  shared->event.u.peer.shards = shared->bytes;
  for (int to = 0; to < FAKE_HOSTS; to++)
    if (to != host && !world->faults.peers_cut[host][to]
        && (kq_name_empty (&effect->u.peer.to)
            || kq_name_eq (&effect->u.peer.to, &world->hosts[to].name)))
      fake_send_event (world, shared, world->hosts[host].zone, to);
  fake_unshare (shared);
}

static void
check_revision (struct fake_world *world, struct fake_host *host)
{
  json_t *config = kq_core_config (host->core);
  int64_t revision = json_integer_value (json_object_get (config, "revision"));

  json_decref (config);
  if (revision < host->revision)
    fake_violation (world, "revision of %s fell from %ld to %ld",
                    host->name.text, (long)host->revision, (long)revision);
  host->revision = revision;
}

/* What a host believes to own until some time, it holds until then. */
static void
check_owned (struct fake_world *world, struct fake_host *host)
{
  struct kq_view *view = kq_core_view (host->core, fake_clock (world, host));

  for (size_t i = 0; i < view->worker_count; i++)
    {
      const struct kq_view_worker *seen = &view->workers[i];
      int index = atoi (seen->name.text + 1);
      struct fake_worker *worker = &world->workers[index];
      double until
          = ((double)seen->owned_until / USEC - host->base) / host->rate;

      if (!seen->owned)
        continue;
      if (!kq_name_eq (&worker->holder, kq_core_holder (host->core))
          || until > worker->lease_ends + 1e-5)
        fake_violation (world, "%s owns %s until %.3f, lease of %s to %.3f",
                        host->name.text, worker->name.text, until,
                        worker->holder.text, worker->lease_ends);
    }
  kq_view_free (view);
}

static void
run_effects (struct fake_world *world, int host, double leaves_at)
{
  struct fake_host *self = &world->hosts[host];
  struct kq_effect effect;

  while (kq_effects_take (self->effects, &effect))
    switch (effect.kind)
      {
      case KQ_FX_LEASE:
      case KQ_FX_TASK:
        send_request (world, host, &effect, leaves_at);
        break;
      case KQ_FX_APPEND:
        send_append (world, host, &effect);
        break;
      case KQ_FX_PEER:
        send_peer (world, host, &effect);
        break;
      case KQ_FX_REPLY:
        if (world->reply != NULL)
          world->reply (world, host, &effect);
        break;
      case KQ_FX_VIEW:
        check_owned (world, self);
        check_revision (world, self);
        break;
      case KQ_FX_STOPPED:
        self->stopped = true;
        break;
      }
  kq_effects_clear (self->effects);
}

static void
note_leaving (struct fake_world *world, struct fake_host *host,
              const struct kq_event *event)
{
  for (int i = 0; i < FAKE_WORKERS; i++)
    if (!event->u.hosts.entries[i].leaving)
      host->heard_leaving[i] = 0;
    else if (host->heard_leaving[i] <= 0)
      host->heard_leaving[i] = world->now;
}

void
fake_give (struct fake_world *world, int host, const struct kq_event *event)
{
  struct fake_host *self = &world->hosts[host];
  double leaves_at = world->now;

  if (self->core == NULL)
    return;
  if (event->kind == KQ_EV_HOSTS)
    note_leaving (world, self, event);
  kq_core_step (self->core, fake_clock (world, self), event, self->effects);
  /* A host may be paused between its decision and the sending. */
  if (self->paused_until < 0)
    {
      self->paused_until = world->now - self->paused_until;
      leaves_at = self->paused_until;
    }
  run_effects (world, host, leaves_at);
  if (self->stopped)
    fake_kill_host (world, host);
}

void
fake_start_host (struct fake_world *world, int host)
{
  struct fake_host *self = &world->hosts[host];
  struct kq_core_settings settings = { .host = self->name };

  if (self->core != NULL)
    return;
  kq_core_settings_default (&settings);
  settings.refresh_every = (kq_usec)(world->log_keeps * USEC / 4);
  snprintf (settings.zone.text, sizeof settings.zone.text, "z%d", self->zone);
  settings.incarnation = ++self->incarnation;
  self->core = kq_core_create (&settings);
  self->next_offset = 1;
  self->revision = 0;
  self->paused_until = 0;
  self->stopping = false;
  self->stopped = false;
  memset (self->heard_leaving, 0, sizeof self->heard_leaving);
  memset (self->heard_drain, 0, sizeof self->heard_drain);
  fake_trace (world, "%s starts, incarnation %ld", self->name.text,
              (long)self->incarnation);
  fake_schedule (world, world->now, FAKE_TICK, host);
  fake_schedule (world, world->now, FAKE_POLL, host);
}

void
fake_kill_host (struct fake_world *world, int host)
{
  struct fake_host *self = &world->hosts[host];

  if (self->core == NULL)
    return;
  fake_trace (world, "%s ends", self->name.text);
  kq_core_destroy (self->core);
  self->core = NULL;
  world->kills++;
}

/* Every host hears the list, as it was when it was sent. */
static void
send_list (struct fake_world *world)
{
  struct fake_shared *shared = fake_share ();
  struct kq_host_entry *entries
      = calloc (FAKE_WORKERS + FAKE_HOSTS, sizeof *entries);

  for (int i = 0; i < FAKE_WORKERS + FAKE_HOSTS; i++)
    {
      bool is_worker = i < FAKE_WORKERS;
      const struct fake_worker *worker = &world->workers[i % FAKE_WORKERS];

      entries[i].worker = is_worker;
      entries[i].name
          = is_worker ? worker->name : world->hosts[i - FAKE_WORKERS].name;
      entries[i].leaving = is_worker && worker->leaving;
    }
  shared->bytes = entries;
  shared->event.kind = KQ_EV_HOSTS;
  shared->event.u.hosts.entries = entries;
  shared->event.u.hosts.count = FAKE_WORKERS + FAKE_HOSTS;
  for (int host = 0; host < FAKE_HOSTS; host++)
    fake_send_event (world, shared, FAKE_LOG_PLACE, host);
  fake_unshare (shared);
  fake_schedule (world, world->now + 1.0, FAKE_LIST, -1);
}

static void
run_tick (struct fake_world *world, struct fake_item *item)
{
  struct kq_event event = { .kind = KQ_EV_TICK };

  fake_give (world, item->host, &event);
  fake_schedule (world, world->now + TICK, FAKE_TICK, item->host);
}

/* Whether ITEM is for an incarnation that is gone, or waits for its host. */
static bool
is_kept_from (struct fake_world *world, struct fake_item *item, bool *again)
{
  const struct fake_host *host = &world->hosts[item->host];

  *again = false;
  if (item->kind == FAKE_REQUEST || item->kind == FAKE_APPEND)
    return false; /* on its way already */
  if (host->core == NULL || host->incarnation != item->incarnation)
    return true;
  *again = host->paused_until > world->now;
  return *again;
}

struct fake_item *
fake_next (struct fake_world *world)
{
  struct fake_item *item = pop (world);
  bool again = false;

  world->now = item->at;
  world->step++;
  if (item->host >= 0 && is_kept_from (world, item, &again))
    {
      if (again)
        {
          struct fake_item *later
              = fake_schedule (world, world->hosts[item->host].paused_until,
                               item->kind, item->host);

          later->shared = item->shared;
          item->shared = NULL;
        }
      return item;
    }
  switch (item->kind)
    {
    case FAKE_TICK:
      run_tick (world, item);
      break;
    case FAKE_EVENT:
      fake_give (world, item->host, &item->shared->event);
      break;
    case FAKE_REQUEST:
      fake_worker_request (world, item);
      break;
    case FAKE_APPEND:
      fake_log_append (world, item);
      break;
    case FAKE_POLL:
      fake_log_poll (world, item);
      fake_schedule (world, world->now + POLL, FAKE_POLL, item->host);
      break;
    case FAKE_LIST:
      send_list (world);
      break;
    case FAKE_FAULT:
    case FAKE_LOAD:
    case FAKE_UNDO:
      break;
    }
  return item;
}

static void
init_workers (struct fake_world *world)
{
  for (int i = 0; i < FAKE_WORKERS; i++)
    {
      struct fake_worker *worker = &world->workers[i];

      snprintf (worker->name.text, sizeof worker->name.text, "w%d", i);
      worker->zone = i / FAKE_PER_SHARD % FAKE_ZONES;
      worker->rate = fake_uniform (world, 1.0, 1.01);
      worker->capacity.cpu_milli = 4000 + 2000 * fake_pick (world, 3);
      worker->capacity.memory_mb = 8000;
      worker->term = 1;
    }
}

void
fake_init (struct fake_world *world, uint64_t seed)
{
  memset (world, 0, sizeof *world);
  world->seed = seed;
  world->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (world->rng, (unsigned long)seed);
  world->jobs = kq_jobs_create ();
  kq_jobs_complete (world->jobs);
  world->config = kq_config_create ();
  world->log_first = 1;
  world->log_keeps = 120;
  world->now = 1;
  init_workers (world);
  for (int i = 0; i < FAKE_HOSTS; i++)
    {
      struct fake_host *host = &world->hosts[i];

      snprintf (host->name.text, sizeof host->name.text, "h%d", i);
      host->zone = i % FAKE_ZONES;
      host->rate = fake_uniform (world, 1.0, 1.01);
      host->base = fake_uniform (world, 0, 1000);
      host->effects = kq_effects_create ();
      fake_start_host (world, i);
    }
  fake_schedule (world, world->now, FAKE_LIST, -1);
}

void
fake_free (struct fake_world *world)
{
  struct fake_task *task;
  struct fake_task *next;

  while (world->heap_count > 0)
    fake_item_free (world->heap[--world->heap_count]);
  free (world->heap);
  for (int i = 0; i < FAKE_HOSTS; i++)
    {
      kq_core_destroy (world->hosts[i].core);
      kq_effects_destroy (world->hosts[i].effects);
    }
  for (int64_t i = 0; i < world->log_count; i++)
    kq_record_free (world->log[i].record);
  free (world->log);
  task = world->tasks;
  HASH_CLEAR (hh, world->tasks);
  for (; task != NULL; task = next)
    {
      next = task->hh.next;
      free (task);
    }
  kq_jobs_destroy (world->jobs);
  kq_config_destroy (world->config);
  gsl_rng_free (world->rng);
}
