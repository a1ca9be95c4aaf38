/** @file
 * Test double for the platform: its store, and workers that run tasks.  It
 * checks that a task never has two runs at a time, and that no run starts
 * after a host has acknowledged that the task is done, later than evac_ms
 * after the request to evacuate its worker's zone, or for a job that was
 * refused.
 *
 * A task runs for the number of milliseconds in its job's spec, or until it is
 * stopped if that is "lasting"; such a task must run again within 9 s of its
 * end if the last 7 s were without a disturbance.
 *
 * Tests control it on the store's port.  POST /admin takes
 * {"store":"up|refuse|hang", "lose_permille":N, "restart":WORKER}, or
 * {"read_bytes_s":N}, the rate that all reads of the store share (0: none),
 * {"routes":N}, for which the operator writes the next version of the
 * configuration, with N routes more than the first, or
 * {"crash":WORKER, "count":N, "ms":N, "same_id":BOOL, "warmup_ms":N}, after
 * which that worker starts anew or, without same_id, another one at its
 * address, cold for warmup_ms, or {"evacuate":ZONE, "ms":N}, for which the
 * operator requests the evacuation of that zone, or
 * address, cold for warmup_ms; with "on_start", it crashes as the next order
 * to start comes, and starts anew; with "carries", calls wait meanwhile and
 * reach its next life, which with "quiet_ms" is silent for so long,
 * "quiet_after_ms" after its start, with "quiet_replies" although it carries
 * orders out; or
 * {"silence":WORKER, "ms":N, "replies":BOOL, "unregistered":BOOL}, for which
 * it answers nothing, with "replies" although it carries orders out, or
 * {"lossy":WORKER, "permille":N, "ms":N}, for which calls and replies are
 * lost, or {"bar":WORKER, "ms":N}, for which it hears no owner later than the
 * present one, or
 * {"end_silence":BOOL}; each is a disturbance, also {}.  {"cancelled":ID}
 * tells of a job that is cancelled next, {"refused":ID} of one that a caller
 * was refused (429 or 503) and never accepted with, {"unwanted":ID} of one
 * whose cancellation a host has just acknowledged; these are none.  GET
 * /facts returns the counters and the first violation found ("broken"), GET
 * /twice all pairs of runs of which the second one must not have started.
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "t/standin/si-crash.h"
#include "t/standin/si-store.h"
#include "t/standin/si-twice.h"
#include "t/standin/si-unasked.h"
#include "t/standin/si-zones.h"

#define MAX_WORKERS 512
#define REGISTER_INTERVAL_SEC 0.5

static struct ev_loop *loop;
static struct worker workers[MAX_WORKERS];
static int worker_count;
static char store_state[16] = "up";

static void
apply_crash (const json_t *body)
{
  int64_t first = si_number (body, "crash", 0);
  int64_t count = si_number (body, "count", 1);
  bool same_id = json_is_true (json_object_get (body, "same_id"));

  for (int64_t i = 0; i < count; i++)
    {
      struct worker *worker = &workers[(first + i) % worker_count];

      if (json_is_true (json_object_get (body, "on_start")))
        worker->crash_on_start_ms = si_number (body, "ms", 1000);
      else
        si_crash (worker, si_number (body, "ms", 1000), same_id);
      worker->warmup_ms = si_number (body, "warmup_ms", 0);
      worker->carries = json_is_true (json_object_get (body, "carries"));
      if (si_number (body, "quiet_ms", 0) > 0)
        si_silence_after_start (
            worker,
            json_is_true (json_object_get (body, "quiet_replies"))
                ? SILENCE_REPLIES
                : SILENCE_LOST,
            si_number (body, "quiet_after_ms", 0),
            si_number (body, "quiet_ms", 0));
    }
}

static void
apply_silence (const json_t *body)
{
  bool replies = json_is_true (json_object_get (body, "replies"));
  bool unregistered = json_is_true (json_object_get (body, "unregistered"));

  si_silence (&workers[si_number (body, "silence", 0) % worker_count],
              si_number (body, "ms", 1000),
              replies ? SILENCE_REPLIES : SILENCE_LOST, unregistered);
}

/* Applies what a test does to workers. */
static void
apply_worker_fault (const json_t *body)
{
  int64_t worker = si_number (body, "restart", -1);

  if (worker >= 0 && worker < worker_count
      && workers[worker].silence != SILENCE_DOWN)
    si_restart_worker (&workers[worker]);
  if (si_number (body, "crash", -1) >= 0)
    apply_crash (body);
  if (si_number (body, "silence", -1) >= 0)
    apply_silence (body);
  if (si_number (body, "lossy", -1) >= 0)
    si_make_lossy (&workers[si_number (body, "lossy", 0) % worker_count],
                   si_number (body, "permille", 0),
                   si_number (body, "ms", 1000));
  if (si_number (body, "bar", -1) >= 0)
    si_bar_later_owners (&workers[si_number (body, "bar", 0) % worker_count],
                         si_number (body, "ms", 1000));
  for (int i = 0; i < worker_count; i++)
    if (json_is_true (json_object_get (body, "end_silence")))
      si_end_silence (&workers[i]);
}

static json_t *
route (const char *name, const char *prefix)
{
  return json_pack ("{ss ss ss ss si si sf si}", "name", name, "host",
                    "site.example", "prefix", prefix, "service", "works",
                    "priority", 0, "attempts", 3, "stretch", 2.0, "slo_ms",
                    1000);
}

/* Puts the configuration of the next version, with ROUTES routes more than the
   one that every test uses. */
static void
put_configuration (int64_t routes)
{
  static int version;
  json_t *list = json_array ();
  char name[32];
  char prefix[32];

  json_array_append_new (list, route ("r-jobs", "/jobs/"));
  for (int64_t i = 0; i < routes; i++)
    {
      snprintf (name, sizeof name, "r-more-%d", (int)i);
      snprintf (prefix, sizeof prefix, "/more-%d/", (int)i);
      json_array_append_new (list, route (name, prefix));
    }
  si_store_put ("keyed.op", "config",
                json_pack ("{si so s[{ss sb}] s{si}}", "version", ++version,
                           "routes", list, "services", "name", "works",
                           "enforces_capacity", 1, "limits", "max_body_bytes",
                           262144));
}

static void
handle_admin_request (struct si_request *request)
{
  json_t *body = si_parse_body (request);

  if (body == NULL)
    return;
  if (si_string (body, "cancelled")[0] != '\0')
    si_note_cancel (si_string (body, "cancelled"));
  else if (si_string (body, "unwanted")[0] != '\0')
    si_note_acknowledged_cancel (si_string (body, "unwanted"));
  else if (si_string (body, "refused")[0] != '\0')
    si_note_refused (si_string (body, "refused"));
  else
    si_note_disturbance ();
  if (si_string (body, "store")[0] != '\0')
    snprintf (store_state, sizeof store_state, "%s",
              si_string (body, "store"));
  si_lose_permille = si_number (body, "lose_permille", si_lose_permille);
  if (json_object_get (body, "read_bytes_s") != NULL)
    si_set_shared_rate (si_number (body, "read_bytes_s", 0));
  if (json_object_get (body, "routes") != NULL)
    put_configuration (si_number (body, "routes", 0));
  si_evacuate (si_string (body, "evacuate"), si_number (body, "ms", 1000));
  apply_worker_fault (body);
  json_decref (body);
  si_respond_json (request, MHD_HTTP_OK, json_object ());
}

static void
respond_facts (struct si_request *request)
{
  si_respond_json (
      request, MHD_HTTP_OK,
      json_pack ("{sI sI sI sI sI sI sI sI sI sI si ss sI ss}", "read_bytes",
                 (json_int_t)si_shared_bytes (), "starts",
                 (json_int_t)si_start_count, "done", (json_int_t)si_done_count,
                 "crashes", (json_int_t)si_crash_count, "other_id",
                 (json_int_t)si_other_id_count, "longest_down_ms",
                 (json_int_t)si_longest_down_ms, "evacuations",
                 (json_int_t)si_evacuation_count, "cold_starts",
                 (json_int_t)si_cold_start_count, "refused_jobs",
                 (json_int_t)si_refused_job_count, "latest_zone_start_ms",
                 (json_int_t)si_latest_zone_start_ms, "lasting_running",
                 si_lasting_running (), "broken", si_violation, "unasked",
                 (json_int_t)si_unasked_count, "first_unasked", si_unasked));
}

static void
on_store_request (struct si_request *request, void *context)
{
  if (si_request_matches (request, "POST", "/admin"))
    handle_admin_request (request);
  else if (si_request_matches (request, "GET", "/facts"))
    respond_facts (request);
  else if (si_request_matches (request, "GET", "/twice"))
    si_respond_json (request, MHD_HTTP_OK, si_twice_to_json ());
  else if (strcmp (store_state, "hang") == 0)
    si_suspend (request);
  else if (strcmp (store_state, "refuse") == 0)
    si_respond_json (request, MHD_HTTP_SERVICE_UNAVAILABLE, json_object ());
  else if (si_request_matches (request, "POST", "/-/log-append"))
    si_store_append (request);
  else if (si_request_matches (request, "GET", "/-/log-read"))
    si_store_read (request);
  else if (si_request_matches (request, "GET", "/-/log-newest"))
    si_store_newest (request);
  else
    si_respond_json (request, MHD_HTTP_NOT_FOUND, json_object ());
}

static void
on_advance (struct ev_loop *advance_loop, ev_timer *timer, int events)
{
  for (int i = 0; i < worker_count; i++)
    si_advance_worker (&workers[i]);
  si_advance_evacuations ();
  si_advance_faults (workers, worker_count, strcmp (store_state, "up") == 0);
}

static void
on_register (struct ev_loop *register_loop, ev_timer *timer, int events)
{
  if (strcmp (store_state, "up") != 0)
    return;
  for (int i = 0; i < worker_count; i++)
    if (workers[i].silence == SILENCE_NONE || !workers[i].unregistered)
      si_register_worker (&workers[i]);
}

int
main (int argc, char **argv)
{
  struct arg_int *port
      = arg_int1 (NULL, "port", "PORT",
                  "port of the store; the workers use the next ones");
  struct arg_int *count
      = arg_int1 (NULL, "workers", "N", "number of workers, 1 to 32");
  struct arg_int *seed
      = arg_int0 (NULL, "seed", "N", "random seed of lost responses");
  struct arg_int *record_bytes
      = arg_int0 (NULL, "record-bytes", "N", "limit of a record");
  struct arg_int *checkpoint_bytes
      = arg_int0 (NULL, "checkpoint-bytes", "N",
                  "longest checkpoint that workers return; 0: none");
  struct arg_int *page_records = arg_int0 (
      NULL, "page-records", "N", "records in a page of newest records");
  struct arg_end *end = arg_end (8);
  void *table[] = { port,         count, seed, record_bytes, checkpoint_bytes,
                    page_records, end };
  ev_timer advance_timer;
  ev_timer register_timer;

  seed->ival[0] = 1;
  record_bytes->ival[0] = (int)si_record_bytes;
  checkpoint_bytes->ival[0] = 0;
  page_records->ival[0] = si_page_records;
  if (arg_parse (argc, argv, table) > 0 || count->ival[0] < 1
      || count->ival[0] > MAX_WORKERS)
    {
      arg_print_errors (stderr, end, "site");
      return 2;
    }
  si_seed_losses ((unsigned)seed->ival[0]);
  si_record_bytes = (uint32_t)record_bytes->ival[0];
  si_checkpoint_bytes = checkpoint_bytes->ival[0];
  si_page_records = page_records->ival[0];
  worker_count = count->ival[0];
  loop = ev_default_loop (0);
  put_configuration (0);
  si_server_start (loop, port->ival[0], on_store_request, NULL);
  for (int i = 0; i < worker_count; i++)
    {
      workers[i].port = port->ival[0] + 1 + i;
      workers[i].number = i;
      snprintf (workers[i].id, sizeof workers[i].id, "i-%d", i);
      workers[i].server = si_server_start (loop, workers[i].port,
                                           si_on_run_request, &workers[i]);
      si_start_incarnation (&workers[i]);
    }
  ev_timer_init (&advance_timer, on_advance, SI_RETRY_INTERVAL_SEC,
                 SI_RETRY_INTERVAL_SEC);
  ev_timer_start (loop, &advance_timer);
  ev_timer_init (&register_timer, on_register, REGISTER_INTERVAL_SEC,
                 REGISTER_INTERVAL_SEC);
  ev_timer_start (loop, &register_timer);
  arg_freetable (table, sizeof table / sizeof table[0]);
  si_run_loop (loop);
  return 0;
}
