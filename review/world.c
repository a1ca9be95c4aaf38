/* The stand-ins' shared state, time, record, client and host processes. */
#include "review/world.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "review/internal.h"

struct host
{
  char zone[32];
  char path[256];
  char log[256];
  char address[32];
  int front;
  int ready;
  int hop;
  int metrics;
  pid_t pid;
};

struct answer
{
  char *text;
  size_t size;
  size_t used;
};

static struct host hosts[W_MAX_HOSTS];
static int host_count;
static FILE *record;
static char folder[128];
static struct timespec began;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
bool w_trouble = true;

double
w_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)(ts.tv_sec - began.tv_sec)
         + (double)(ts.tv_nsec - began.tv_nsec) / 1e9;
}

void
w_lock (void)
{
  pthread_mutex_lock (&mutex);
}

void
w_unlock (void)
{
  pthread_mutex_unlock (&mutex);
}

void
world_wait (double seconds)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_nsec += (long)(seconds * 1e9);
  until.tv_sec += until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  pthread_cond_timedwait (&changed, &mutex, &until);
}

void
world_changed (void)
{
  pthread_cond_broadcast (&changed);
}

void
w_sleep (double seconds)
{
  struct timespec ts = { .tv_sec = (time_t)seconds };

  ts.tv_nsec = (long)((seconds - (double)ts.tv_sec) * 1e9);
  while (nanosleep (&ts, &ts) != 0 && errno == EINTR)
    ;
}

void
w_note (const char *format, ...)
{
  va_list arguments;

  flockfile (record);
  fprintf (record, "%9.3f  ", w_now ());
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fputc ('\n', record);
  fflush (record);
  funlockfile (record);
}

int
world_free_port (const char *address)
{
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_addr.s_addr = inet_addr (address) };
  socklen_t size = sizeof name;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int port = 0;

  if (fd >= 0 && bind (fd, (struct sockaddr *)&name, size) == 0
      && getsockname (fd, (struct sockaddr *)&name, &size) == 0)
    port = ntohs (name.sin_port);
  if (fd >= 0)
    close (fd);
  if (port == 0)
    w_finish (W_CANNOT_RUN, "no free port");
  return port;
}

void
w_begin (const char *case_folder)
{
  const char *trouble = getenv ("TROUBLE");
  char path[256];

  clock_gettime (CLOCK_MONOTONIC, &began);
  signal (SIGPIPE, SIG_IGN);
  w_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  snprintf (path, sizeof path, "%s/record.txt", case_folder);
  record = fopen (path, "we");
  snprintf (folder, sizeof folder, "%s/kq-review-XXXXXX",
            getenv ("TMPDIR") != NULL ? getenv ("TMPDIR") : "/tmp");
  if (record == NULL || mkdtemp (folder) == NULL
      || curl_global_init (CURL_GLOBAL_ALL) != 0)
    {
      fprintf (stderr, "cannot open the record or a temporary folder\n");
      exit (W_CANNOT_RUN);
    }
  w_note ("begins, trouble %s", w_trouble ? "on" : "off");
  world_start_store ();
  world_start_ticks ();
}

void
w_finish (int code, const char *why)
{
  char command[512];

  for (int i = 0; i < host_count; i++)
    if (hosts[i].pid > 0)
      {
        kill (hosts[i].pid, SIGCONT);
        kill (hosts[i].pid, SIGKILL);
        waitpid (hosts[i].pid, NULL, 0);
      }
  for (int i = 0; i < host_count; i++)
    {
      unlink (hosts[i].path);
      if (getenv ("KEEP") == NULL)
        unlink (hosts[i].log);
      else
        fprintf (stderr, "log: %s\n", hosts[i].log);
    }
  rmdir (folder);
  w_note ("%s: %s",
          code == W_HELD     ? "HELD"
          : code == W_BROKEN ? "BROKEN"
                             : "CANNOT RUN",
          why);
  snprintf (command, sizeof command, "%s: %s",
            code == W_HELD     ? "held"
            : code == W_BROKEN ? "broken"
                               : "cannot run",
            why);
  puts (command);
  fflush (NULL);
  _exit (code);
}

/* The fields that the platform gives a process, with the bounds of the site
   that the claims name. */
static json_t *
host_settings (const struct host *host, int number)
{
  char front[64];
  char ready[64];
  char name[32];
  json_t *settings;

  snprintf (front, sizeof front, "%s:%d", host->address, host->front);
  snprintf (ready, sizeof ready, "%s:%d", host->address, host->ready);
  snprintf (name, sizeof name, "edge-%s-%d", host->zone, number + 1);
  settings = json_pack (
      "{ss ss ss ss s[s] ss s{ss ss} s[ii] s[] sb ss si ss s{sf si si si si} "
      "s{si si si si si sf si sf sb si}}",
      "node_name", name, "zone", host->zone, "region", "dakar",
      "machine_class", "edge", "serves", "edge", "ip", host->address, "listen",
      "front", front, "ready", ready, "port_range", host->hop, host->hop,
      "seeds", "bootstrap", 1, "entry", "vip", "heartbeat_ms", W_HEARTBEAT_MS,
      "orders", "rpc", "limits", "cpu_share", 1.0, "cores", 1, "memory_mb",
      260, "max_fds", 4100, "disk_mb", 0, "bounds", "stable_window_ms", 3000,
      "config_ms", 2500, "drain_ms", 2500, "grace_s", 6, "hold_max_ms",
      W_HOLD_MAX_MS, "remote_factor", 1.5, "stop_ms", 400, "checkpoint_s",
      (double)W_CHECKPOINT_S, "fencing", 1, "gang_ms", W_GANG_MS);
  if (settings == NULL)
    w_finish (W_CANNOT_RUN, "settings not made");
  json_object_set_new (settings, "platform", world_store_settings ());
  return settings;
}

int
w_add_host (const char *zone)
{
  struct host *host = &hosts[host_count];
  json_t *settings;

  snprintf (host->zone, sizeof host->zone, "%s", zone);
  world_address (host->address, sizeof host->address, 10 + host_count);
  snprintf (host->path, sizeof host->path, "%s/host%d.json", folder,
            host_count + 1);
  snprintf (host->log, sizeof host->log, "%s/host%d.log", folder,
            host_count + 1);
  host->front = world_free_port (host->address);
  host->ready = world_free_port (host->address);
  host->hop = world_free_port (host->address);
  host->metrics = world_free_port (host->address);
  settings = host_settings (host, host_count);
  if (json_dump_file (settings, host->path, JSON_INDENT (1)) != 0)
    w_finish (W_CANNOT_RUN, "settings not written");
  json_decref (settings);
  return host_count++;
}

void
w_start_host (int number)
{
  struct host *host = &hosts[number];
  char metrics[16];

  snprintf (metrics, sizeof metrics, "%d", host->metrics);
  host->pid = fork ();
  if (host->pid == 0)
    {
      int fd = open (host->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      setenv ("KUMQUATRACK_NODE_FILE", host->path, 1);
      setenv ("KUMQUATRACK_METRICS_PORT", metrics, 1);
      execl ("target/kumquatrackd", "target/kumquatrackd", (char *)NULL);
      _exit (127);
    }
  w_note ("host %d starts", number + 1);
}

void
w_signal_host (int number, int signal_number)
{
  struct host *host = &hosts[number];

  w_note ("host %d gets signal %d (%s)", number + 1, signal_number,
          strsignal (signal_number));
  kill (host->pid, signal_number);
  if (signal_number == SIGKILL)
    {
      waitpid (host->pid, NULL, 0);
      host->pid = 0;
    }
}

static size_t
take_answer (char *data, size_t size, size_t count, void *arg)
{
  struct answer *answer = arg;
  size_t more = size * count;

  if (answer->used + more + 1 < answer->size)
    {
      memcpy (answer->text + answer->used, data, more);
      answer->used += more;
      answer->text[answer->used] = '\0';
    }
  return more;
}

static int
call (const char *url, const char *method, const char *body, char *text,
      size_t size)
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = curl_slist_append (NULL, "Host: " W_ROUTE_HOST);
  struct answer answer = { .text = text, .size = size };
  long status = 0;

  text[0] = '\0';
  headers = curl_slist_append (headers, "Deadline-Ms: 3000");
  headers = curl_slist_append (headers, "Content-Type: application/json");
  headers = curl_slist_append (headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, take_answer);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 3000L);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  return (int)status;
}

int
w_call (int host, const char *method, const char *path, const char *body,
        char *answer, size_t size)
{
  char url[256];

  snprintf (url, sizeof url, "http://%s:%d%s", hosts[host].address,
            hosts[host].front, path);
  return call (url, method, body, answer, size);
}

int
w_client (int host, const char *method, const char *path, const char *body,
          char *answer, size_t size)
{
  double sent_at = w_now ();
  int status = w_call (host, method, path, body, answer, size);

  w_note ("client: %s %s at host %d, sent %.3f: %d %s", method, path, host + 1,
          sent_at, status, answer);
  return status;
}

bool
w_is_ready (int host)
{
  char url[128];
  char answer[256];

  snprintf (url, sizeof url, "http://%s:%d/-/readyz", hosts[host].address,
            hosts[host].ready);
  return call (url, "GET", NULL, answer, sizeof answer) == 200;
}

void
w_await_ready (int host)
{
  double until = w_now () + 15;

  while (w_now () < until)
    {
      if (w_is_ready (host))
        {
          w_note ("host %d is ready", host + 1);
          return;
        }
      w_sleep (0.05);
    }
  w_finish (W_CANNOT_RUN, "an entry host does not get ready");
}

int
w_owner (void)
{
  char address[32];

  world_last_writer (address, sizeof address);
  for (int i = 0; i < host_count; i++)
    if (strcmp (hosts[i].address, address) == 0)
      return i;
  return -1;
}
