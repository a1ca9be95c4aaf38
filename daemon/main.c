/** @file
 * kumquatrackd: one entry host.
 *
 * On the users' platform, which names a settings file in an environment
 * variable, it runs node/.  Otherwise the main thread reads the settings,
 * starts the front and the control thread, and waits for SIGTERM or SIGINT,
 * which start a planned stop.
 */
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#include "base/err.h"
#include "daemon/control.h"
#include "daemon/front.h"
#include "daemon/settings.h"
#include "log/log.h"
#include "node/node.h"
#include "trace/trace.h"

/* Exit status if the settings are invalid. */
#define EXIT_INVALID_SETTINGS 2

static struct kq_front *
start_front (const struct kq_settings *settings, void *zmq_context, int *err)
{
  struct kq_front_settings front_settings
      = { .host = settings->host,
          .zone = settings->zone,
          .region = settings->region,
          .listen = settings->listen,
          .hop_listen = settings->hop_listen,
          .drain = settings->drain_ms * KQ_USEC_PER_MSEC };

  return kq_front_start (&front_settings, zmq_context, err);
}

/* Blocks the signals in all threads, so that only the main thread receives
   them, by sigwait().  */
static void
block_signals (sigset_t *stop_signals)
{
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (stop_signals);
  sigaddset (stop_signals, SIGTERM);
  sigaddset (stop_signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, stop_signals, NULL);
}

static int
report_start_failure (const char *part, int err)
{
  kq_log (KQ_LOG_ERROR, "daemon", "start_failed", err, "part", part, NULL);
  return EXIT_FAILURE;
}

static int
serve (const struct kq_settings *settings, void *zmq_context)
{
  struct kq_front *front;
  struct kq_control *control;
  sigset_t stop_signals;
  int signal_number;
  int err;

  block_signals (&stop_signals);
  front = start_front (settings, zmq_context, &err);
  if (front == NULL)
    return report_start_failure ("front", err);
  control = kq_control_start (settings, front, zmq_context, &err);
  if (control == NULL)
    {
      kq_front_stop (front);
      return report_start_failure ("control", err);
    }
  kq_log (KQ_LOG_INFO, "daemon", "started", 0, "listen", settings->listen,
          "admin", settings->admin_listen, NULL);
  sigwait (&stop_signals, &signal_number);
  kq_control_stop (control);
  kq_front_stop (front);
  kq_log (KQ_LOG_INFO, "daemon", "stopped", 0, NULL);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  static struct kq_settings settings;
  struct kq_settings_error error;
  const char *node_file = getenv (KQ_NODE_FILE_VARIABLE);
  void *zmq_context;
  int result;
  int status;

  curl_global_init (CURL_GLOBAL_ALL);
  if (node_file != NULL)
    {
      status = kq_node_main (node_file, argc, argv);
      curl_global_cleanup ();
      return status;
    }
  result = kq_settings_read (argc, argv, stdout, &settings, &error);
  if (result == KQ_SETTINGS_EXIT)
    return EXIT_SUCCESS;
  if (result != KQ_SETTINGS_RUN)
    {
      kq_settings_print_error (stderr, &error);
      return EXIT_INVALID_SETTINGS;
    }
  kq_log_setup (settings.log_level, settings.host.text);
  kq_trace_setup (settings.host.text);
  kq_control_register_metrics ();
  zmq_context = zmq_ctx_new ();
  if (zmq_context == NULL)
    return report_start_failure ("messages", KQ_ENOMEM);
  status = serve (&settings, zmq_context);
  zmq_ctx_term (zmq_context);
  curl_global_cleanup ();
  return status;
}
