/* Calls to many addresses: what a wave of restarts costs the one who calls. */
#include <ev.h>
#include <microhttpd.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#include "base/clock.h"
#include "platform/call.h"
#include "t/kqtest.h"

#define ADDRESSES 1000 /* of each of the two servers */
#define AT_ONCE 50
#define DESCRIPTORS 6000

/* Processor time of a turn of the loop: half of the time between two beats of
   an owner, 400 ms (term/term.c), on half a core. */
#define LONGEST_TURN (100 * KQ_USEC_PER_MSEC)

/* libcurl sweeps its connections once a second. */
#define SWEEP_SEC 1.1

static struct ev_loop *loop;
static int under_way;
static int answered;

static enum MHD_Result
serve (void *arg, struct MHD_Connection *connection, const char *url,
       const char *method, const char *version, const char *body, size_t *size,
       void **state)
{
  static char text[] = "{}";
  static int seen;
  struct MHD_Response *response;
  enum MHD_Result result;

  /* A response to the first call would end the connection. */
  if (*state == NULL)
    {
      *state = &seen;
      return MHD_YES;
    }
  response = MHD_create_response_from_buffer (strlen (text), text,
                                              MHD_RESPMEM_PERSISTENT);
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static struct MHD_Daemon *
start_server (int *port)
{
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, serve, NULL,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)ADDRESSES * 2, MHD_OPTION_END);

  if (daemon != NULL)
    *port = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  return daemon;
}

static void
on_done (void *arg, void *context, const struct kq_call_outcome *outcome)
{
  under_way--;
  answered += outcome->err == 0;
}

static void
call (struct kq_caller *caller, int number, int port)
{
  char authority[40];
  struct kq_call_request request = { .kind = KQ_CALL_HOLD,
                                     .authority = authority,
                                     .path = "/",
                                     .timeout = 5 * KQ_USEC_PER_SEC,
                                     .done = on_done };

  snprintf (authority, sizeof authority, "127.0.%d.%d:%d", number / 250,
            number % 250 + 1, port);
  if (kq_caller_send (caller, &request) == 0)
    under_way++;
}

static void
on_timeout (struct ev_loop *of, ev_timer *timer, int events)
{
  ev_break (of, EVBREAK_ALL);
}

static void
pass_time (double seconds)
{
  ev_timer timer;

  ev_timer_init (&timer, on_timeout, seconds, 0);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
  ev_timer_stop (loop, &timer);
}

/* Of this thread alone, so that other processes don't count. */
static kq_usec
processor_time (void)
{
  struct timespec time;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
  return (kq_usec)time.tv_sec * KQ_USEC_PER_SEC + time.tv_nsec / 1000;
}

static kq_usec woken_at;
static kq_usec longest_turn;

static void
on_woken (struct ev_loop *of, ev_check *check, int events)
{
  woken_at = processor_time ();
}

static void
on_turn_over (struct ev_loop *of, ev_prepare *prepare, int events)
{
  kq_usec turn = processor_time () - woken_at;

  if (woken_at != 0 && turn > longest_turn)
    longest_turn = turn;
}

/* Turns the loop until LEFT calls are under way. */
static void
finish (int left)
{
  while (under_way > left)
    ev_run (loop, EVRUN_ONCE);
}

static void
allow_descriptors (void)
{
  struct rlimit limit;

  getrlimit (RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < DESCRIPTORS)
    limit.rlim_cur = DESCRIPTORS;
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &limit), 0);
}

/* Half of the workers restart at once: the first calls after that, of which
   some go to them, are made in short turns. */
static void
test_wave_of_restarts (void)
{
  int steady_port = 0;
  int restarting_port = 0;
  struct MHD_Daemon *steady;
  struct MHD_Daemon *restarting;
  struct kq_caller *caller;
  ev_check check;
  ev_prepare prepare;

  allow_descriptors ();
  loop = ev_loop_new (EVFLAG_AUTO);
  ev_check_init (&check, on_woken);
  ev_check_start (loop, &check);
  ev_prepare_init (&prepare, on_turn_over);
  ev_prepare_start (loop, &prepare);
  caller = kq_caller_create (loop, NULL);
  steady = start_server (&steady_port);
  restarting = start_server (&restarting_port);
  CU_ASSERT_PTR_NOT_NULL_FATAL (caller);
  CU_ASSERT_PTR_NOT_NULL_FATAL (steady);
  CU_ASSERT_PTR_NOT_NULL_FATAL (restarting);
  for (int i = 0; i < ADDRESSES; i++)
    {
      call (caller, i, steady_port);
      call (caller, i, restarting_port);
      finish (AT_ONCE);
    }
  finish (0);
  CU_ASSERT_EQUAL (answered, 2 * ADDRESSES);
  MHD_stop_daemon (restarting);
  pass_time (SWEEP_SEC);
  for (int i = 0; i < AT_ONCE; i++)
    call (caller, i, i % 2 == 0 ? steady_port : restarting_port);
  longest_turn = 0;
  finish (0);
  CU_ASSERT (longest_turn < LONGEST_TURN);
  CU_ASSERT_EQUAL (answered, 2 * ADDRESSES + AT_ONCE / 2);
  kq_caller_destroy (caller);
  MHD_stop_daemon (steady);
  ev_loop_destroy (loop);
}

static const struct kq_test tests[] = {
  { "a wave of restarts", test_wave_of_restarts },
};

KQ_TEST_MAIN ("test-call", tests)
