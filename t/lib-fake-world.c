/* Schedule in virtual time, network, and the hosts that run the decision
   cores.  */

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "t/lib-fake.h"

#define TICK_INTERVAL_SEC 0.05
#define LOG_READ_INTERVAL_SEC 0.06
#define USEC_PER_SEC 1e6

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
  char *line = world->trace[world->trace_count++ % FAKE_TRACE_LINES];
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

struct fake_payload *
fake_payload_create (void)
{
  struct fake_payload *payload = calloc (1, sizeof *payload);

  payload->reference_count = 1;
  return payload;
}

void
fake_payload_unref (struct fake_payload *payload)
{
  if (payload == NULL || --payload->reference_count > 0)
    return;
  kq_record_free (payload->record);
  free (payload->bytes);
  free (payload);
}

static bool
is_earlier (const struct fake_item *a, const struct fake_item *b)
{
  return a->at < b->at || (a->at <= b->at && a->serial < b->serial);
}

static void
sift_up (struct fake_world *world, size_t i)
{
  struct fake_item **heap = world->heap;

  while (i > 0 && is_earlier (heap[i], heap[(i - 1) / 2]))
    {
      struct fake_item *item = heap[i];

      heap[i] = heap[(i - 1) / 2];
      heap[(i - 1) / 2] = item;
      i = (i - 1) / 2;
    }
}

static void
push_item (struct fake_world *world, struct fake_item *item)
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
  push_item (world, item);
  return item;
}

static struct fake_item *
pop_item (struct fake_world *world)
{
  struct fake_item **heap = world->heap;
  struct fake_item *first = heap[0];
  size_t i = 0;

  heap[0] = heap[--world->heap_count];
  for (;;)
    {
      size_t earliest = i;
      struct fake_item *item = heap[i];

      for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < world->heap_count
            && is_earlier (heap[child], heap[earliest]))
          earliest = child;
      if (earliest == i)
        return first;
      heap[i] = heap[earliest];
      heap[earliest] = item;
      i = earliest;
    }
}

void
fake_item_free (struct fake_item *item)
{
  fake_payload_unref (item->payload);
  free (item);
}

kq_usec
fake_clock (const struct fake_world *world, const struct fake_host *host)
{
  return (kq_usec)((host->clock_offset + world->now * host->clock_rate)
                   * USEC_PER_SEC);
}

double
fake_delay (struct fake_world *world, int from, int to, double max_delay)
{
  if (world->faults.cut[from][to] || fake_chance (world, world->faults.drop))
    return -1;
  if (fake_chance (world, world->faults.late))
    return fake_uniform (world, 0.001, max_delay);
  return from == to ? 0.001 : 0.008;
}

void
fake_send_event (struct fake_world *world, struct fake_payload *payload,
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
      item->payload = payload;
      payload->reference_count++;
    }
}

/* Longest delay of a request in seconds: a connection that its sender has
   closed still delivers the data written to it.  */
#define MAX_REQUEST_DELAY_SEC 30.0

/* Sends a request at SEND_AT, which is later than now when the sender is
   paused.  */
static void
send_request (struct fake_world *world, int host,
              const struct kq_effect *effect, double send_at)
{
  struct fake_host *sender = &world->hosts[host];
  const struct kq_name *name = effect->kind == KQ_FX_LEASE
                                   ? &effect->u.lease.worker
                                   : &effect->u.task.worker;
  int copies = fake_chance (world, world->faults.duplicate) ? 2 : 1;
  int worker = atoi (strrchr (name->text, 'w') + 1);

  if (world->faults.requests_cut[host][worker])
    return;
  while (copies-- > 0)
    {
      double delay
          = fake_delay (world, sender->zone, world->workers[worker].zone,
                        MAX_REQUEST_DELAY_SEC);
      struct fake_item *item;

      if (delay < 0)
        continue;
      item = fake_schedule (world, send_at + delay, FAKE_REQUEST, host);
      item->worker = worker;
      item->sent_at = (double)fake_clock (world, sender);
      item->payload = fake_payload_create ();
      item->payload->effect = *effect;
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
  item->payload = fake_payload_create ();
  item->payload->record = kq_record_copy (effect->u.append);
  if (delay <= FAKE_APPEND_TIMEOUT_SEC)
    return;
  /* The append times out at the sender before the log stores the record. */
  item = fake_schedule (world, world->now + FAKE_APPEND_TIMEOUT_SEC,
                        FAKE_EVENT, host);
  item->payload = fake_payload_create ();
  item->payload->event.kind = KQ_EV_APPEND_RESULT;
  item->payload->event.u.appended.id = effect->u.append->id;
  item->payload->event.u.appended.err = KQ_ELOG_DOWN;
}

static void
send_peer (struct fake_world *world, int host, const struct kq_effect *effect)
{
  const struct kq_peer_message *message = &effect->u.peer.message;
  struct fake_payload *payload = fake_payload_create ();
  size_t size = message->shard_count * sizeof *message->shards;

  payload->event.kind = KQ_EV_PEER;
  payload->event.u.peer = *message;
  if (message->record != NULL)
    payload->record = kq_record_copy (message->record);
  payload->event.u.peer.record = payload->record;
  payload->bytes = malloc (size + 1);
  if (size > 0)
    memcpy (payload->bytes, message->shards, size);
  payload->event.u.peer.shards = payload->bytes;
  for (int to = 0; to < FAKE_HOSTS; to++)
    if (to != host && !world->faults.peer_messages_cut[host][to]
        && (kq_name_empty (&effect->u.peer.to)
            || kq_name_eq (&effect->u.peer.to, &world->hosts[to].name)))
      fake_send_event (world, payload, world->hosts[host].zone, to);
  fake_payload_unref (payload);
}

static void
check_revision (struct fake_world *world, struct fake_host *host)
{
  json_t *config = kq_core_config (host->core);
  int64_t revision = json_integer_value (json_object_get (config, "revision"));

  json_decref (config);
  if (revision < host->revision)
    fake_violation (world, "revision of host %s decreased from %ld to %ld",
                    host->name.text, (long)host->revision, (long)revision);
  host->revision = revision;
}

/* A host must hold the lease of each worker that its view shows as owned, at
   least until the time in the view.  */
static void
check_owned_workers (struct fake_world *world, struct fake_host *host)
{
  struct kq_view *view = kq_core_view (host->core, fake_clock (world, host));

  for (size_t i = 0; i < view->worker_count; i++)
    {
      const struct kq_view_worker *view_worker = &view->workers[i];
      int index = atoi (view_worker->name.text + 1);
      struct fake_worker *worker = &world->workers[index];
      double until = ((double)view_worker->owned_until / USEC_PER_SEC
                      - host->clock_offset)
                     / host->clock_rate;

      if (!view_worker->owned)
        continue;
      if (!kq_name_eq (&worker->holder, kq_core_holder (host->core))
          || until > worker->lease_ends_at + 1e-5)
        fake_violation (
            world,
            "host %s owns worker %s until %.3f s, lease of %s ends at "
            "%.3f s",
            host->name.text, worker->name.text, until, worker->holder.text,
            worker->lease_ends_at);
    }
  kq_view_free (view);
}

static void
run_effects (struct fake_world *world, int host, double send_at)
{
  struct fake_host *self = &world->hosts[host];
  struct kq_effect effect;

  while (kq_effects_pop (self->effects, &effect))
    switch (effect.kind)
      {
      case KQ_FX_LEASE:
      case KQ_FX_TASK:
        send_request (world, host, &effect, send_at);
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
        check_owned_workers (world, self);
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
      host->leaving_known_since[i] = 0;
    else if (host->leaving_known_since[i] <= 0)
      host->leaving_known_since[i] = world->now;
}

void
fake_deliver (struct fake_world *world, int host, const struct kq_event *event)
{
  struct fake_host *self = &world->hosts[host];
  double send_at = world->now;

  if (self->core == NULL)
    return;
  if (event->kind == KQ_EV_HOSTS)
    note_leaving (world, self, event);
  kq_core_step (self->core, fake_clock (world, self), event, self->effects);
  /* A pause can begin between a decision and the sending of its requests. */
  if (self->paused_until < 0)
    {
      self->paused_until = world->now - self->paused_until;
      send_at = self->paused_until;
    }
  run_effects (world, host, send_at);
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
  settings.refresh_interval
      = (kq_usec)(world->log_retention_sec * USEC_PER_SEC / 4);
  snprintf (settings.zone.text, sizeof settings.zone.text, "z%d", self->zone);
  settings.incarnation = ++self->incarnation;
  self->core = kq_core_create (&settings);
  self->next_offset = 1;
  self->revision = 0;
  self->paused_until = 0;
  self->stopping = false;
  self->stopped = false;
  memset (self->leaving_known_since, 0, sizeof self->leaving_known_since);
  memset (self->drain_known_since, 0, sizeof self->drain_known_since);
  fake_trace (world, "host %s starts, incarnation %ld", self->name.text,
              (long)self->incarnation);
  fake_schedule (world, world->now, FAKE_TICK, host);
  fake_schedule (world, world->now, FAKE_READ_LOG, host);
}

void
fake_kill_host (struct fake_world *world, int host)
{
  struct fake_host *self = &world->hosts[host];

  if (self->core == NULL)
    return;
  fake_trace (world, "host %s ends", self->name.text);
  kq_core_destroy (self->core);
  self->core = NULL;
  world->kills++;
}

/* Sends all hosts the host list as of now. */
static void
send_host_list (struct fake_world *world)
{
  struct fake_payload *payload = fake_payload_create ();
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
  payload->bytes = entries;
  payload->event.kind = KQ_EV_HOSTS;
  payload->event.u.hosts.entries = entries;
  payload->event.u.hosts.count = FAKE_WORKERS + FAKE_HOSTS;
  for (int host = 0; host < FAKE_HOSTS; host++)
    fake_send_event (world, payload, FAKE_LOG_ZONE, host);
  fake_payload_unref (payload);
  fake_schedule (world, world->now + 1.0, FAKE_HOST_LIST, -1);
}

static void
run_tick (struct fake_world *world, struct fake_item *item)
{
  struct kq_event event = { .kind = KQ_EV_TICK };

  fake_deliver (world, item->host, &event);
  fake_schedule (world, world->now + TICK_INTERVAL_SEC, FAKE_TICK, item->host);
}

/* Returns whether ITEM must not run now: its host has ended or restarted, or
   is paused.  In the last case *POSTPONED is set.  */
static bool
is_not_runnable (struct fake_world *world, struct fake_item *item,
                 bool *postponed)
{
  const struct fake_host *host = &world->hosts[item->host];

  *postponed = false;
  if (item->kind == FAKE_REQUEST || item->kind == FAKE_APPEND)
    return false; /* already in transit */
  if (host->core == NULL || host->incarnation != item->incarnation)
    return true;
  *postponed = host->paused_until > world->now;
  return *postponed;
}

struct fake_item *
fake_run_next (struct fake_world *world)
{
  struct fake_item *item = pop_item (world);
  bool postponed = false;

  world->now = item->at;
  world->step++;
  if (item->host >= 0 && is_not_runnable (world, item, &postponed))
    {
      if (postponed)
        {
          struct fake_item *later
              = fake_schedule (world, world->hosts[item->host].paused_until,
                               item->kind, item->host);

          later->payload = item->payload;
          item->payload = NULL;
        }
      return item;
    }
  switch (item->kind)
    {
    case FAKE_TICK:
      run_tick (world, item);
      break;
    case FAKE_EVENT:
      fake_deliver (world, item->host, &item->payload->event);
      break;
    case FAKE_REQUEST:
      fake_worker_request (world, item);
      break;
    case FAKE_APPEND:
      fake_log_append (world, item);
      break;
    case FAKE_READ_LOG:
      fake_log_read (world, item);
      fake_schedule (world, world->now + LOG_READ_INTERVAL_SEC, FAKE_READ_LOG,
                     item->host);
      break;
    case FAKE_HOST_LIST:
      send_host_list (world);
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
      worker->zone = i / FAKE_WORKERS_PER_SHARD % FAKE_ZONES;
      worker->clock_rate = fake_uniform (world, 1.0, 1.01);
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
  kq_jobs_set_complete (world->jobs);
  world->config = kq_config_create ();
  world->log_first = 1;
  world->log_retention_sec = 120;
  world->now = 1;
  init_workers (world);
  for (int i = 0; i < FAKE_HOSTS; i++)
    {
      struct fake_host *host = &world->hosts[i];

      snprintf (host->name.text, sizeof host->name.text, "h%d", i);
      host->zone = i % FAKE_ZONES;
      host->clock_rate = fake_uniform (world, 1.0, 1.01);
      host->clock_offset = fake_uniform (world, 0, 1000);
      host->effects = kq_effects_create ();
      fake_start_host (world, i);
    }
  fake_schedule (world, world->now, FAKE_HOST_LIST, -1);
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
