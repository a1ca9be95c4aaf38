/** @file
 * Measures the latency that the daemon's front end adds to a request.  The
 * baseline, in the same run, is the same caller calling the endpoint directly.
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
/** Service time of the endpoint while half of the slots are busy. */
#define SERVICE_TIME_US (5 * KQ_USEC_PER_MSEC)
/** Number of rounds on each path; rounds of the paths alternate. */
#define ROUNDS 5
#define ROUND_TIME_US (800 * KQ_USEC_PER_MSEC)
#define RATE_TIME_US (3 * KQ_USEC_PER_SEC)
#define RATE_CONNECTIONS 32

/* Path of a request from the caller to the endpoint. */
enum path
{
  PATH_DIRECT,    /* without an entry host */
  PATH_OWNER,     /* through the entry host that owns the workers */
  PATH_NON_OWNER, /* through an entry host that owns no workers */
  PATH_COUNT
};

struct bench
{
  void *zmq;
  struct kq_fast_endpoint *endpoint;
  struct kq_front *owner;
  struct kq_front *other;
  int ports[PATH_COUNT];
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

/* Creates a view in which all workers have the same endpoint, which itself has
   no limit of slots.  */
static struct kq_view *
make_view (struct bench *bench, bool is_owner, int slots)
{
  struct kq_view *view = kq_test_create_view (WORKERS, 0, is_owner, INT64_MAX,
                                              "127.0.0.1:22900");

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
start_bench (struct bench *bench)
{
  bench->zmq = zmq_ctx_new ();
  bench->endpoint = kq_fast_endpoint_start (SERVICE_TIME_US);
  bench->owner = start_front (bench, 0, "e1");
  bench->other = start_front (bench, 1, "e2");
  kq_front_publish (bench->owner, make_view (bench, true, 8));
  kq_front_publish (bench->other, make_view (bench, false, 8));
  bench->ports[PATH_DIRECT] = kq_fast_endpoint_port (bench->endpoint);
  bench->ports[PATH_OWNER] = FRONT_PORT;
  bench->ports[PATH_NON_OWNER] = FRONT_PORT + 1;
  usleep (300000);
}

static void
print_figure (const char *name, double value, const char *unit,
              double baseline)
{
  printf ("%s %.3f %s %.3f %.3f\n", name, value, unit, baseline,
          baseline > 0 ? value / baseline : 0.);
}

/* Prints the added latency; the baseline of the figure is the latency without
   an entry host.  */
static void
bench_latency (struct bench *bench)
{
  static const char *const names[PATH_COUNT][2]
      = { { "", "" },
          { "hop_added_median", "hop_added_p99" },
          { "owner_hop_added_median", "owner_hop_added_p99" } };
  struct kq_fast_result results[PATH_COUNT] = { { .count = 0 } };
  double direct[2];

  for (int path = 0; path < PATH_COUNT; path++) /* warms up */
    {
      struct kq_fast_result unused = { .count = 0 };

      kq_fast_run_callers (bench->ports[path], SLOTS / 2, ROUND_TIME_US / 4,
                           &unused);
      free (unused.latency);
    }
  for (int round = 0; round < ROUNDS; round++)
    for (int path = 0; path < PATH_COUNT; path++)
      kq_fast_run_callers (bench->ports[path], SLOTS / 2, ROUND_TIME_US,
                           &results[path]);
  direct[0] = kq_fast_latency_ms (&results[0], 500);
  direct[1] = kq_fast_latency_ms (&results[0], 990);
  for (int path = PATH_OWNER; path < PATH_COUNT; path++)
    {
      print_figure (names[path][0],
                    kq_fast_latency_ms (&results[path], 500) - direct[0], "ms",
                    direct[0]);
      print_figure (names[path][1],
                    kq_fast_latency_ms (&results[path], 990) - direct[1], "ms",
                    direct[1]);
    }
  for (int path = 0; path < PATH_COUNT; path++)
    {
      if (results[path].failed > 0)
        printf ("# path %d: %zu requests failed\n", path,
                results[path].failed);
      free (results[path].latency);
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

  kq_fast_run_callers (load->port, RATE_CONNECTIONS / 2, RATE_TIME_US,
                       &load->result);
  return NULL;
}

/* Returns the requests per second of two concurrent callers. */
static double
measure_rate (int port)
{
  struct load loads[2] = { { .port = port }, { .port = port } };
  double sum = 0;

  for (int i = 0; i < 2; i++)
    pthread_create (&loads[i].thread, NULL, run_load, &loads[i]);
  for (int i = 0; i < 2; i++)
    {
      pthread_join (loads[i].thread, NULL);
      sum += (double)loads[i].result.count * 1e6
             / (double)loads[i].result.elapsed;
      if (loads[i].result.failed > 0)
        printf ("# %zu requests failed\n", loads[i].result.failed);
      free (loads[i].result.latency);
    }
  return sum;
}

/* Measures the rate through the owner, and the processor time of its thread.
   The rate of the direct path is limited by the endpoint's single thread.  */
static void
bench_rate (struct bench *bench)
{
  struct timespec cpu_time;
  double direct;
  double through_owner;
  double cpu_before_s;
  clockid_t clock;

  kq_fast_endpoint_set_service_time (bench->endpoint, 0);
  direct = measure_rate (bench->ports[PATH_DIRECT]);
  pthread_getcpuclockid (kq_front_thread (bench->owner), &clock);
  clock_gettime (clock, &cpu_time);
  cpu_before_s = (double)cpu_time.tv_sec + (double)cpu_time.tv_nsec / 1e9;
  through_owner = measure_rate (bench->ports[PATH_OWNER]);
  clock_gettime (clock, &cpu_time);
  print_figure ("requests_per_second", through_owner, "1/s", direct);
  print_figure (
      "core_share_of_the_front",
      ((double)cpu_time.tv_sec + (double)cpu_time.tv_nsec / 1e9 - cpu_before_s)
          * 1e6 / (double)RATE_TIME_US,
      "cores", 1);
}

int
main (void)
{
  struct bench bench;

  start_bench (&bench);
  bench_latency (&bench);
  bench_rate (&bench);
  kq_front_stop (bench.other);
  kq_front_stop (bench.owner);
  kq_fast_endpoint_stop (bench.endpoint);
  zmq_ctx_term (bench.zmq);
  return 0;
}
