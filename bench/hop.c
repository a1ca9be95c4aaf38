/** @file
 * Measures what the daemon's front adds to a request, against the same
 * caller that goes straight to the endpoint in the same run.
 */
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>
#include <zmq.h>

#include "base/err.h"
#include "daemon/front.h"
#include "t/lib-fast.h"
#include "t/lib-view.h"

#define FRONT_PORT 22800
#define HOP_PORT 22900
#define WORKERS 8
#define SLOTS (8 * WORKERS)
/** Service time while half of the slots are busy. */
#define SERVICE_TIME (5 * KQ_USEC_PER_MSEC)
/** Rounds of each way, taken in turn. */
#define ROUNDS 5
#define ROUND_TIME (800 * KQ_USEC_PER_MSEC)
#define RATE_TIME (3 * KQ_USEC_PER_SEC)
#define RATE_CONNECTIONS 32

enum way
{
  WAY_STRAIGHT,
  WAY_FRONT,
  WAY_OTHER, /* by an entry host that owns nothing */
  WAY_COUNT
};

struct bench
{
  void *zmq;
  struct kq_fast_endpoint *endpoint;
  struct kq_front *owner;
  struct kq_front *other;
  int ports[WAY_COUNT];
};

static struct kq_front *
start_front (struct bench *bench, int index, const char *name)
{
  char listen[32];
  char hop[32];
  struct kq_front_settings settings = { .listen = listen, .hop_listen = hop };
  struct kq_front *front;
  int err;

  snprintf (listen, sizeof listen, "127.0.0.1:%d", FRONT_PORT + index);
  snprintf (hop, sizeof hop, "127.0.0.1:%d", HOP_PORT + index);
  kq_name_set (&settings.host, name);
  kq_name_set (&settings.zone, "dakar-sandaga");
  kq_name_set (&settings.region, "dakar");
  settings.drain = KQ_USEC_PER_SEC;
  front = kq_front_start (&settings, bench->zmq, &err);
  if (front == NULL)
    {
      fprintf (stderr, "bench: %s: %s\n", listen, kq_err_name (err));
      exit (1);
    }
  return front;
}

/* All workers share the endpoint, which has no slots of its own. */
static struct kq_view *
make_view (struct bench *bench, bool self, int slots)
{
  struct kq_view *view
      = kq_test_view (WORKERS, 0, self, INT64_MAX, "127.0.0.1:22900");

  for (int i = 0; i < WORKERS; i++)
    {
      view->workers[i].slots = slots;
      view->workers[i].connections = slots * 8;
      snprintf (view->workers[i].endpoint, sizeof view->workers[i].endpoint,
                "127.0.0.1:%d", kq_fast_endpoint_port (bench->endpoint));
    }
  return view;
}

static void
start (struct bench *bench)
{
  bench->zmq = zmq_ctx_new ();
  bench->endpoint = kq_fast_endpoint_start (SERVICE_TIME);
  bench->owner = start_front (bench, 0, "e1");
  bench->other = start_front (bench, 1, "e2");
  kq_front_publish (bench->owner, make_view (bench, true, 8));
  kq_front_publish (bench->other, make_view (bench, false, 8));
  bench->ports[WAY_STRAIGHT] = kq_fast_endpoint_port (bench->endpoint);
  bench->ports[WAY_FRONT] = FRONT_PORT;
  bench->ports[WAY_OTHER] = FRONT_PORT + 1;
  usleep (300000);
}

static void
print (const char *name, double value, const char *unit, double baseline)
{
  printf ("%s %.3f %s %.3f %.3f\n", name, value, unit, baseline,
          baseline > 0 ? value / baseline : 0.);
}

/* Added latency: the figure's baseline is the latency without the hop. */
static void
bench_latency (struct bench *bench)
{
  static const char *const names[WAY_COUNT][2]
      = { { "", "" },
          { "hop_added_median", "hop_added_p99" },
          { "owner_hop_added_median", "owner_hop_added_p99" } };
  struct kq_fast_result results[WAY_COUNT] = { { .count = 0 } };
  double straight[2];

  for (int way = 0; way < WAY_COUNT; way++) /* warms up */
    {
      struct kq_fast_result unused = { .count = 0 };

      kq_fast_call (bench->ports[way], SLOTS / 2, ROUND_TIME / 4, &unused);
      free (unused.latency);
    }
  for (int round = 0; round < ROUNDS; round++)
    for (int way = 0; way < WAY_COUNT; way++)
      kq_fast_call (bench->ports[way], SLOTS / 2, ROUND_TIME, &results[way]);
  straight[0] = kq_fast_latency (&results[0], 500);
  straight[1] = kq_fast_latency (&results[0], 990);
  for (int way = WAY_FRONT; way < WAY_COUNT; way++)
    {
      print (names[way][0], kq_fast_latency (&results[way], 500) - straight[0],
             "ms", straight[0]);
      print (names[way][1], kq_fast_latency (&results[way], 990) - straight[1],
             "ms", straight[1]);
    }
  for (int way = 0; way < WAY_COUNT; way++)
    {
      if (results[way].failed > 0)
        printf ("# way %d: %zu requests failed\n", way, results[way].failed);
      free (results[way].latency);
    }
}

struct load
{
  pthread_t thread;
  int port;
  struct kq_fast_result result;
};

static void *
run_load (void *argument)
{
  struct load *load = argument;

  kq_fast_call (load->port, RATE_CONNECTIONS / 2, RATE_TIME, &load->result);
  return NULL;
}

/* Requests a second by two callers at once. */
static double
rate (int port)
{
  struct load loads[2] = { { .port = port }, { .port = port } };
  double sum = 0;

  for (int i = 0; i < 2; i++)
    pthread_create (&loads[i].thread, NULL, run_load, &loads[i]);
  for (int i = 0; i < 2; i++)
    {
      pthread_join (loads[i].thread, NULL);
      sum += (double)loads[i].result.count * 1e6
             / (double)loads[i].result.took;
      if (loads[i].result.failed > 0)
        printf ("# %zu requests failed\n", loads[i].result.failed);
      free (loads[i].result.latency);
    }
  return sum;
}

/* The straight way's rate is bounded by the endpoint's one thread. */
static void
bench_rate (struct bench *bench)
{
  struct timespec used;
  double straight;
  double passed;
  double before;
  clockid_t clock;

  kq_fast_endpoint_set (bench->endpoint, 0);
  straight = rate (bench->ports[WAY_STRAIGHT]);
  pthread_getcpuclockid (kq_front_thread (bench->owner), &clock);
  clock_gettime (clock, &used);
  before = (double)used.tv_sec + (double)used.tv_nsec / 1e9;
  passed = rate (bench->ports[WAY_FRONT]);
  clock_gettime (clock, &used);
  print ("requests_per_second", passed, "1/s", straight);
  print ("core_share_of_the_front",
         ((double)used.tv_sec + (double)used.tv_nsec / 1e9 - before) * 1e6
             / (double)RATE_TIME,
         "cores", 1);
}

int
main (void)
{
  struct bench bench;

  start (&bench);
  bench_latency (&bench);
  bench_rate (&bench);
  kq_front_stop (bench.other);
  kq_front_stop (bench.owner);
  kq_fast_endpoint_stop (bench.endpoint);
  zmq_ctx_term (bench.zmq);
  return 0;
}
