/* Guards against errors in reading the platform's records, workers' responses,
   submitted jobs and the settings file: fields that end up in the wrong place,
   and malformed input that is accepted. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "platform/advice.h"
#include "platform/node-settings.h"
#include "platform/site.h"
#include "platform/submission.h"
#include "platform/wire-run.h"
#include "t/kqtest.h"

/* Size limit of a record in the store, with its key. */
#define MAX_RECORD_BYTES 262144

static int
read_job (const char *body, struct kq_sched_spec *spec)
{
  return kq_submission_read (body, strlen (body), spec);
}

static void
test_job (void)
{
  static const char body[]
      = "{\"spec\":\"x\",\"times\":2,\"start_ms\":5,\"interval_ms\":7,"
        "\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"est_ms\":900,"
        "\"data_rack\":\"r1\"},{\"count\":2,\"after\":[0],\"gang\":true,"
        "\"fills\":true,\"checkpointable\":true,\"image\":\"i\","
        "\"long_running\":true,\"latency_target_ms\":50,"
        "\"max_per_server\":3,\"max_unavailable\":1,\"gpu\":1,"
        "\"required_label\":\"a\",\"same_rack\":true}]}";
  struct kq_sched_spec spec;

  CU_ASSERT_EQUAL_FATAL (read_job (body, &spec), 0);
  CU_ASSERT_STRING_EQUAL (spec.text, "x");
  CU_ASSERT_EQUAL (spec.times, 2);
  CU_ASSERT_EQUAL (spec.start_ms, 5);
  CU_ASSERT_EQUAL (spec.interval_ms, 7);
  CU_ASSERT_EQUAL (spec.step_count, 2);
  CU_ASSERT_EQUAL (spec.steps[0].demand.cpu, 500);
  CU_ASSERT_EQUAL (spec.steps[0].demand.mem, 256);
  CU_ASSERT_EQUAL (spec.steps[0].est_ms, 900);
  CU_ASSERT_STRING_EQUAL (spec.steps[0].rack, "r1");
  CU_ASSERT_EQUAL (spec.steps[1].after[0], 0);
  CU_ASSERT (spec.steps[1].gang && spec.steps[1].filler
             && spec.steps[1].checkpointable && spec.steps[1].long_running
             && spec.steps[1].same_rack);
  CU_ASSERT_EQUAL (spec.steps[1].tail_target_ms, 50);
  CU_ASSERT_EQUAL (spec.steps[1].max_per_worker, 3);
  CU_ASSERT_EQUAL (spec.steps[1].max_unavailable, 1);
  CU_ASSERT_EQUAL (spec.steps[1].demand.gpu, 1);
  CU_ASSERT_STRING_EQUAL (spec.steps[1].label, "a");
  kq_sched_spec_clear (&spec);
}

/* An invalid job gives an error and leaves the specification empty. */
static void
test_invalid_jobs (void)
{
  static const struct
  {
    const char *body;
    int err;
  } cases[] = {
    { "", KQ_ESYNTAX },
    { "[]", KQ_ESYNTAX },
    { "{\"spec\":\"x\"}", KQ_EINVAL },
    { "{\"spec\":\"x\",\"steps\":[]}", KQ_EINVAL },
    { "{\"spec\":\"x\",\"steps\":[{\"count\":0}]}", KQ_ESYNTAX },
    { "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":-1}]}", KQ_ESYNTAX },
    { "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"after\":[0]}]}", KQ_EINVAL },
    { "{\"spec\":\"x\",\"steps\":[{\"count\":1},{\"count\":1,"
      "\"after\":[2]}]}",
      KQ_EINVAL },
    { "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"after\":[\"a\"]}]}",
      KQ_EINVAL },
    { "{\"spec\":\"x\",\"steps\":[7]}", KQ_ESYNTAX },
    { "{\"spec\":\"x\",\"times\":-1,\"steps\":[{\"count\":1}]}", KQ_ESYNTAX },
  };
  struct kq_sched_spec spec;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      CU_ASSERT_EQUAL (read_job (cases[i].body, &spec), cases[i].err);
      CU_ASSERT_PTR_NULL (spec.steps);
      CU_ASSERT_PTR_NULL (spec.text);
    }
}

static void
test_spec_text_limit (void)
{
  char body[4200];
  struct kq_sched_spec spec;

  snprintf (body, sizeof body,
            "{\"spec\":\"%04000d\",\"steps\":[{\"count\":1}]}", 0);
  CU_ASSERT_EQUAL (read_job (body, &spec), 0);
  kq_sched_spec_clear (&spec);
  snprintf (body, sizeof body,
            "{\"spec\":\"%04001d\",\"steps\":[{\"count\":1}]}", 0);
  CU_ASSERT_EQUAL (read_job (body, &spec), KQ_EINVAL);
}

/* Each number is within its limit, but the tasks of all occurrences need
   terabytes: the owner that built the job would end for lack of memory, and
   the next one at the caller's next attempt. */
static void
test_job_with_too_many_tasks (void)
{
  struct kq_sched_spec spec;

  CU_ASSERT_EQUAL (read_job ("{\"spec\":\"x\",\"times\":10000,"
                             "\"steps\":[{\"count\":10000}]}",
                             &spec),
                   KQ_EINVAL);
  CU_ASSERT_PTR_NULL (spec.steps);
  CU_ASSERT_EQUAL (read_job ("{\"spec\":\"x\",\"times\":1000,"
                             "\"steps\":[{\"count\":60},{\"count\":41}]}",
                             &spec),
                   KQ_EINVAL);
  CU_ASSERT_EQUAL (read_job ("{\"spec\":\"x\",\"times\":1000,"
                             "\"steps\":[{\"count\":60},{\"count\":40}]}",
                             &spec),
                   0);
  kq_sched_spec_clear (&spec);
}

/* The store refuses a record above its limit however often it is appended: a
   body that fills the record of its job would stop the owner's journal, and
   that of the next owner at the caller's next attempt. */
static void
test_body_that_fills_a_record (void)
{
  static const char job[] = "{\"spec\":\"x\",\"steps\":[{\"count\":1}]}";
  static char body[MAX_RECORD_BYTES];
  struct kq_sched_spec spec;

  memset (body, ' ', MAX_RECORD_BYTES);
  memcpy (body, job, sizeof job - 1);
  CU_ASSERT_EQUAL (kq_submission_read (body, MAX_RECORD_BYTES, &spec),
                   KQ_EINVAL);
  CU_ASSERT_PTR_NULL (spec.steps);
  CU_ASSERT_EQUAL (kq_submission_read (body, MAX_RECORD_BYTES / 2, &spec), 0);
  kq_sched_spec_clear (&spec);
}

static void
test_job_ids (void)
{
  uint64_t id;

  CU_ASSERT (kq_submission_id_read ("5c0e7a21d94b36f8", &id));
  CU_ASSERT_EQUAL (id, UINT64_C (0x5c0e7a21d94b36f8));
  CU_ASSERT_FALSE (kq_submission_id_read ("5c0e7a21d94b36f", &id));
  CU_ASSERT_FALSE (kq_submission_id_read ("5c0e7a21d94b36f8a", &id));
  CU_ASSERT_FALSE (kq_submission_id_read ("5c0e7a21d94b36g8", &id));
  CU_ASSERT_FALSE (kq_submission_id_read ("5C0E7A21D94B36F8", &id));
  CU_ASSERT_FALSE (kq_submission_id_read ("", &id));
}

static const char config_text[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
      "\"prefix\":\"/a/\",\"slo_ms\":300,\"priority\":0,\"service\":\"s\","
      "\"attempts\":3,\"stretch\":1.5},{\"name\":\"r2\","
      "\"host\":\"h.example\",\"prefix\":\"/a/b/\",\"service\":\"s\"},"
      "{\"name\":7}],\"services\":[],\"limits\":{\"max_body_bytes\":1000}}";

static void
test_config (void)
{
  struct kq_sched_config *config = NULL;
  const struct kq_sched_queue *queue;

  CU_ASSERT_EQUAL_FATAL (
      kq_site_config_read (config_text, strlen (config_text), &config), 0);
  CU_ASSERT_EQUAL (config->version, 7);
  CU_ASSERT_EQUAL (config->queue_count, 2);
  CU_ASSERT_EQUAL (config->max_body_bytes, 1000);
  queue = kq_sched_config_route (config, "h.example", "/a/0");
  CU_ASSERT_STRING_EQUAL (queue->name, "r");
  CU_ASSERT_EQUAL (queue->attempts, 3);
  queue = kq_sched_config_route (config, "h.example", "/a/b/0");
  CU_ASSERT_STRING_EQUAL (queue->name, "r2");
  CU_ASSERT_PTR_NULL (kq_sched_config_route (config, "h.example", "/c/"));
  CU_ASSERT_PTR_NULL (kq_sched_config_route (config, "other", "/a/0"));
  kq_sched_config_destroy (config);
}

static int
read_registration (const char *text,
                   struct kq_sched_registration *registration)
{
  return kq_site_registration_read ("i-1", 3, text, strlen (text),
                                    registration);
}

static void
test_worker_registration (void)
{
  struct kq_sched_registration registration;

  CU_ASSERT_EQUAL (
      read_registration (
          "{\"service\":\"s\",\"addr\":\"10.0.0.9:8080\","
          "\"zone\":\"z\",\"state\":\"draining\",\"born\":12,"
          "\"remaining_ms\":900,\"capacity\":{\"cpu\":16000,"
          "\"mem_mb\":32768},\"labels\":[\"a\",\"r1-3\"],\"seq\":4}",
          &registration),
      0);
  CU_ASSERT_STRING_EQUAL (registration.id, "i-1");
  CU_ASSERT_STRING_EQUAL (registration.kind, "a");
  CU_ASSERT_STRING_EQUAL (registration.rack, "r1-3");
  CU_ASSERT_EQUAL (registration.incarnation_ms, 12);
  CU_ASSERT (registration.draining);
  CU_ASSERT_EQUAL (registration.remaining_ms, 900);
  CU_ASSERT_EQUAL (registration.capacity.cpu, 16000);
  CU_ASSERT_EQUAL (registration.capacity.gpu, 0);
  CU_ASSERT_EQUAL (registration.warmup_left_ms, 0);
  CU_ASSERT_EQUAL (
      read_registration ("{\"service\":\"s\",\"addr\":\"10.0.0.9:1\","
                         "\"state\":\"ready\",\"warmup_left_ms\":7500,"
                         "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
                         &registration),
      0);
  CU_ASSERT_EQUAL (registration.warmup_left_ms, 7500);
}

/* Guards against two racks, or two kinds, that are taken for one since their
   names begin alike: what is compared with them must differ in the same way.
 */
static void
test_long_labels (void)
{
  char names[2][101];
  struct kq_sched_registration registrations[2];
  struct kq_sched_spec spec;
  char text[600];

  for (int i = 0; i < 2; i++)
    {
      memset (names[i], 'r', 100);
      names[i][99] = (char)('0' + i);
      names[i][100] = '\0';
      snprintf (text, sizeof text,
                "{\"service\":\"s\",\"addr\":\"10.0.0.9:1\",\"state\":"
                "\"ready\",\"capacity\":{\"cpu\":1,\"mem_mb\":1},"
                "\"labels\":[\"%s\",\"%s\"]}",
                names[i], names[i]);
      CU_ASSERT_EQUAL (read_registration (text, &registrations[i]), 0);
    }
  CU_ASSERT_STRING_NOT_EQUAL (registrations[0].rack, registrations[1].rack);
  CU_ASSERT_STRING_NOT_EQUAL (registrations[0].kind, registrations[1].kind);
  snprintf (text, sizeof text,
            "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"required_label\":"
            "\"%s\",\"data_rack\":\"%s\",\"image\":\"%s\"}]}",
            names[0], names[1], names[0]);
  CU_ASSERT_EQUAL_FATAL (kq_submission_read (text, strlen (text), &spec), 0);
  CU_ASSERT_STRING_EQUAL (spec.steps[0].label, registrations[0].kind);
  CU_ASSERT_STRING_EQUAL (spec.steps[0].rack, registrations[1].rack);
  CU_ASSERT_STRING_EQUAL (spec.steps[0].image, registrations[0].kind);
  kq_sched_spec_clear (&spec);
}

/* Records that do not describe a usable worker are rejected. */
static void
test_malformed_registrations (void)
{
  static const char *const texts[]
      = { "",
          "\xff\xfe",
          "null",
          "{}",
          "{\"service\":\"s\",\"addr\":\"10.0.0.9:1\",\"state\":\"odd\","
          "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
          "{\"service\":\"s\",\"addr\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"capacity\":7}",
          "{\"service\":\"s\",\"addr\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"capacity\":{\"cpu\":\"many\",\"mem_mb\":1}}",
          "{\"service\":\"s\",\"addr\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"warmup_left_ms\":-1,\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
          "{\"service\":\"s\",\"addr\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"warmup_left_ms\":\"5\",\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
          "{\"service\":\"s\",\"addr\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"capacity\":{\"cpu\":99999999999999999999,\"mem_mb\":1}}",
          "{\"service\":\"s\",\"addr\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"capacity\":{\"cpu\":1e999,\"mem_mb\":1}}",
          "{\"service\":5,\"addr\":\"10.0.0.9:1\",\"state\":\"ready\","
          "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}" };
  struct kq_sched_registration registration;

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    CU_ASSERT_NOT_EQUAL (read_registration (texts[i], &registration), 0);
}

static int
read_capacity (const char *capacity,
               struct kq_sched_registration *registration)
{
  char text[256];

  snprintf (text, sizeof text,
            "{\"service\":\"s\",\"addr\":\"10.0.0.9:1\",\"state\":\"ready\","
            "\"capacity\":%s}",
            capacity);
  return read_registration (text, registration);
}

/* Guards against capacities that are taken for others, and against sums over
   workers that overflow. */
static void
test_worker_capacities (void)
{
  static const char *const malformed[]
      = { "null",
          "[]",
          "{}",
          "{\"cpu\":1}",
          "{\"mem_mb\":1}",
          "{\"cpu\":-1,\"mem_mb\":1}",
          "{\"cpu\":1,\"mem_mb\":-1}",
          "{\"cpu\":1,\"mem_mb\":1,\"gpu\":-1}",
          "{\"cpu\":1,\"mem_mb\":1,\"gpu\":null}",
          "{\"cpu\":1.5,\"mem_mb\":1}",
          "{\"cpu\":true,\"mem_mb\":1}",
          "{\"cpu\":1,\"mem_mb\":[1]}",
          "{\"cpu\":99999999999999999999,\"mem_mb\":1}",
          "{\"cpu\":1000000000000000,\"mem_mb\":1}",
          "{\"cpu\":1,\"mem_mb\":2147483648}",
          "{\"cpu\":1,\"mem_mb\":1,\"gpu\":2147483648}" };
  struct kq_sched_registration registration;

  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    CU_ASSERT_EQUAL (read_capacity (malformed[i], &registration), KQ_ESYNTAX);
  CU_ASSERT_EQUAL (read_capacity ("{\"cpu\":2147483647,\"mem_mb\":2147483647,"
                                  "\"gpu\":2147483647}",
                                  &registration),
                   0);
  CU_ASSERT_EQUAL (registration.capacity.cpu, INT32_MAX);
  CU_ASSERT_EQUAL (registration.capacity.gpu, INT32_MAX);
  /* A worker whose room has shrunk to nothing says so. */
  CU_ASSERT_EQUAL (
      read_capacity ("{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}", &registration), 0);
  CU_ASSERT_EQUAL (registration.capacity.cpu, 0);
  CU_ASSERT_EQUAL (registration.capacity.mem, 0);
}

static void
test_worker_status (void)
{
  json_t *response = json_loads (
      "{\"clock_ms\":5,\"born\":9,\"running\":["
      "[\"00000000000000ff.0.1.17\",2,\"cp\",41,300],[\"odd\",1,\"\",0]],"
      "\"ended\":[[58,\"00000000000000ff.0.1.9\",1,\"done\",\"\"],"
      "[59,\"00000000000000ff.0.1.9\",1,\"odd\",\"\"]]}",
      0, NULL);
  struct kq_sched_status status = { 0 };

  CU_ASSERT_EQUAL (kq_wire_status_read (response, &status), 0);
  CU_ASSERT_EQUAL (status.worker_clock_ms, 5);
  CU_ASSERT_EQUAL (status.incarnation_ms, 9);
  CU_ASSERT_EQUAL_FATAL (status.running_count, 1);
  CU_ASSERT_EQUAL (status.running[0].run.job, 255);
  CU_ASSERT_EQUAL (status.running[0].run.index, 17);
  CU_ASSERT_EQUAL (status.running[0].run.run, 2);
  CU_ASSERT_EQUAL (status.running[0].percent, 41);
  CU_ASSERT_EQUAL (status.running[0].sample, 300);
  CU_ASSERT_STRING_EQUAL (status.running[0].checkpoint, "cp");
  CU_ASSERT_EQUAL_FATAL (status.ended_count, 1);
  CU_ASSERT_EQUAL (status.ended[0].number, 58);
  CU_ASSERT_EQUAL (status.ended[0].how, KQ_SCHED_DONE);
  CU_ASSERT_EQUAL (status.has_unread_rows, true);
  kq_wire_status_clear (&status);
  json_decref (response);
}

/* Guards against a checkpoint that is cut. */
static void
test_long_checkpoints (void)
{
  enum
  {
    LENGTH = 5000
  };
  char text[LENGTH + 1];
  json_t *response;
  struct kq_sched_status status = { 0 };

  memset (text, 'x', LENGTH);
  text[LENGTH] = '\0';
  response = json_pack ("{s:i,s:i,s:[[s,i,s,i,i]],s:[[i,s,i,s,s]]}",
                        "clock_ms", 5, "born", 9, "running",
                        "00000000000000ff.0.1.17", 2, text, 41, 300, "ended",
                        58, "00000000000000ff.0.1.9", 1, "stopped", text);
  CU_ASSERT_EQUAL (kq_wire_status_read (response, &status), 0);
  CU_ASSERT_STRING_EQUAL (status.running[0].checkpoint, text);
  CU_ASSERT_STRING_EQUAL (status.ended[0].checkpoint, text);
  kq_wire_status_clear (&status);
  json_decref (response);
}

/* Guards against taking a list that is missing for an empty one: all runs of
   the worker were given up while they went on. */
static void
test_worker_status_without_a_list (void)
{
  static const char *const malformed[]
      = { "{\"clock_ms\":5,\"born\":9}",
          "{\"clock_ms\":5,\"born\":9,\"ended\":[]}",
          "{\"clock_ms\":5,\"born\":9,\"running\":[]}",
          "{\"clock_ms\":5,\"born\":9,\"running\":{},\"ended\":[]}",
          "{\"clock_ms\":5,\"born\":9,\"running\":[],\"ended\":\"\"}" };

  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    {
      struct kq_sched_status status = { 0 };
      json_t *response = json_loads (malformed[i], 0, NULL);

      CU_ASSERT_EQUAL (kq_wire_status_read (response, &status), KQ_ESYNTAX);
      kq_wire_status_clear (&status);
      json_decref (response);
    }
}

static int
read_advice (const char *text, struct kq_sched_advice *advice)
{
  json_t *body = json_loads (text, 0, NULL);
  int err = kq_advice_read (body, advice);

  json_decref (body);
  return err;
}

static void
test_advice (void)
{
  struct kq_sched_advice advice;
  static const char *const malformed[]
      = { "{}",
          "{\"allowed\":[]}",
          "{\"allowed\":{},\"valid_ms\":5}",
          "{\"allowed\":[[\"i\"]],\"valid_ms\":5}",
          "{\"allowed\":[[1,\"t\"]],\"valid_ms\":5}",
          "{\"allowed\":[],\"valid_ms\":-5}" };

  CU_ASSERT_EQUAL (
      read_advice ("{\"allowed\":[[\"i-1\",\"c81e\"]],\"valid_ms\":3000}",
                   &advice),
      0);
  CU_ASSERT_EQUAL_FATAL (advice.allowed_count, 1);
  CU_ASSERT_STRING_EQUAL (advice.allowed[0].worker, "i-1");
  CU_ASSERT_STRING_EQUAL (advice.allowed[0].ticket, "c81e");
  CU_ASSERT_EQUAL (advice.valid_ms, 3000);
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    CU_ASSERT_EQUAL (read_advice (malformed[i], &advice), KQ_ESYNTAX);
}

static void
test_queue_with_advice (void)
{
  static const char text[]
      = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"prefix\":\"/a/\",\"service\":\"s\",\"advice\":{\"decide_ms\":40,"
        "\"per_worker_ms\":1.5,\"valid_ms\":3000}}],\"services\":[],"
        "\"limits\":{}}";
  struct kq_sched_config *config = NULL;

  CU_ASSERT_EQUAL_FATAL (kq_site_config_read (text, strlen (text), &config),
                         0);
  CU_ASSERT_FATAL (config->queue_count == 1);
  CU_ASSERT (config->queues[0].advised);
  CU_ASSERT_EQUAL (config->queues[0].advise_ms, 85);
  kq_sched_config_destroy (config);
}

static enum kq_site_evacuation
read_evacuation (const char *key, const char *value, char *zone)
{
  return kq_site_evacuation_read (key, strlen (key), value, strlen (value),
                                  zone);
}

/* Guards against a zone that is evacuated, or taken back, by a record that
   does not say so. */
static void
test_evacuations (void)
{
  static const struct
  {
    const char *key;
    const char *value;
    enum kq_site_evacuation kind;
  } cases[] = {
    { "config", "{}", KQ_SITE_NO_EVACUATION },
    { "evacuated/z-1", "{}", KQ_SITE_NO_EVACUATION },
    { "evacuate/", "{}", KQ_SITE_MALFORMED_EVACUATION },
    { "evacuate/z 1", "{}", KQ_SITE_MALFORMED_EVACUATION },
    { "evacuate/z-1", "[]", KQ_SITE_MALFORMED_EVACUATION },
    { "evacuate/z-1", "\xff", KQ_SITE_MALFORMED_EVACUATION },
    { "evacuate/z-1", "{\"since_ms\":5}", KQ_SITE_EVACUATE },
    { "evacuate/z-1", "", KQ_SITE_TAKE_BACK },
    { "evacuate/"
      "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde",
      "{}", KQ_SITE_EVACUATE },
    { "evacuate/"
      "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
      "{}", KQ_SITE_MALFORMED_EVACUATION },
  };
  char zone[KQ_SCHED_NAME_SIZE];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_EQUAL (read_evacuation (cases[i].key, cases[i].value, zone),
                     cases[i].kind);
  CU_ASSERT_EQUAL (read_evacuation ("evacuate/z-1", "{}", zone),
                   KQ_SITE_EVACUATE);
  CU_ASSERT_STRING_EQUAL (zone, "z-1");
  CU_ASSERT_EQUAL (
      kq_site_evacuation_read ("evacuate/z\0x", 12, "{}", 2, zone),
      KQ_SITE_MALFORMED_EVACUATION);
}

static void
test_run_names (void)
{
  struct kq_sched_run run
      = { .job = 0xabc, .occurrence = 1, .step = 2, .index = 3, .run = 4 };
  struct kq_sched_run parsed = { 0 };
  char name[KQ_WIRE_RUN_NAME_BYTES];

  kq_wire_run_format (&run, name);
  CU_ASSERT_STRING_EQUAL (name, "0000000000000abc.1.2.3");
  CU_ASSERT (kq_wire_run_parse (name, &parsed));
  CU_ASSERT_EQUAL (parsed.job, run.job);
  CU_ASSERT_EQUAL (parsed.index, run.index);
  CU_ASSERT_FALSE (kq_wire_run_parse ("abc.1.2", &parsed));
  CU_ASSERT_FALSE (kq_wire_run_parse ("abc.1.2.3x", &parsed));
  CU_ASSERT_FALSE (kq_wire_run_parse (NULL, &parsed));
}

static const char settings_text[]
    = "{\"node_name\":\"n\",\"zone\":\"z\",\"region\":\"r\","
      "\"ip\":\"10.0.0.1\",\"new_field\":1,"
      "\"listen\":{\"front\":\"10.0.0.1:1\",\"ready\":\"10.0.0.1:2\"},"
      "\"platform\":{\"addr\":\"10.0.0.2:3\"},\"port_range\":[7720,7735],"
      "\"heartbeat_ms\":1100,\"bounds\":{\"hold_max_ms\":10000,"
      "\"grace_s\":%s},\"limits\":{\"cpu_share\":0.25,\"cores\":2}}";

static int
read_settings (const char *grace_s, struct kq_node_settings *settings,
               struct kq_node_settings_error *error)
{
  char path[] = "/tmp/kq-test-wire-XXXXXX";
  int fd = mkstemp (path);
  FILE *file = fdopen (fd, "w");
  int err;

  fprintf (file, settings_text, grace_s);
  fclose (file);
  err = kq_node_settings_read (path, settings, error);
  unlink (path);
  return err;
}

static void
test_settings (void)
{
  struct kq_node_settings settings;
  struct kq_node_settings_error error;

  CU_ASSERT_EQUAL (read_settings ("6", &settings, &error), 0);
  CU_ASSERT_STRING_EQUAL (settings.host, "n");
  CU_ASSERT_STRING_EQUAL (settings.job_api_address, "10.0.0.1:1");
  CU_ASSERT_EQUAL (settings.first_port, 7720);
  CU_ASSERT_EQUAL (settings.registration_interval, 1100000);
  CU_ASSERT_EQUAL (settings.stop_grace, 6 * KQ_USEC_PER_SEC);
  CU_ASSERT_DOUBLE_EQUAL (settings.cores, 0.5, 0.001);
}

static void
test_invalid_settings (void)
{
  struct kq_node_settings settings;
  struct kq_node_settings_error error;

  CU_ASSERT_EQUAL (read_settings ("\"six\"", &settings, &error), KQ_ESETTING);
  CU_ASSERT_STRING_EQUAL (error.field, "bounds.grace_s");
  CU_ASSERT_EQUAL (read_settings ("0", &settings, &error), KQ_ESETTING);
  CU_ASSERT_EQUAL (read_settings ("", &settings, &error), KQ_ESYNTAX);
  CU_ASSERT_EQUAL (kq_node_settings_read ("/nowhere", &settings, &error),
                   KQ_EIO);
}

/* Only evac_ms holds starts back, and a value that cannot be kept to is
   refused. */
static void
test_evacuation_setting (void)
{
  struct kq_node_settings settings;
  struct kq_node_settings_error error;

  CU_ASSERT_EQUAL (read_settings ("6", &settings, &error), 0);
  CU_ASSERT_EQUAL (settings.sched.evac_ms, 0);
  CU_ASSERT_EQUAL (read_settings ("6,\"evac_ms\":5000", &settings, &error), 0);
  CU_ASSERT_EQUAL (settings.sched.evac_ms, 5000);
  CU_ASSERT_EQUAL (read_settings ("6,\"evac_ms\":1999", &settings, &error),
                   KQ_ESETTING);
  CU_ASSERT_STRING_EQUAL (error.field, "bounds.evac_ms");
  CU_ASSERT_STRING_EQUAL (error.why, "must be a number from 2000 to 600000");
}

/* Reads settings with the FIELDS of the store. */
static int
read_store_limits (const char *fields, struct kq_node_settings *settings,
                   struct kq_node_settings_error *error)
{
  char rest[256];

  snprintf (rest, sizeof rest,
            "6},\"platform\":{\"addr\":\"10.0.0.2:3\"%s},\"x\":{\"y\":1",
            fields);
  return read_settings (rest, settings, error);
}

/* A wrong limit of the store lets it refuse records for ever. */
static void
test_store_limits (void)
{
  struct kq_node_settings settings;
  struct kq_node_settings_error error;

  CU_ASSERT_EQUAL (read_store_limits ("", &settings, &error), 0);
  CU_ASSERT_EQUAL (settings.store_limits.record_bytes, 262144);
  CU_ASSERT_EQUAL (settings.store_limits.call_bytes, 2097152);
  CU_ASSERT_EQUAL (
      read_store_limits (",\"record_bytes\":65536,\"call_bytes\":65536",
                         &settings, &error),
      0);
  CU_ASSERT_EQUAL (settings.store_limits.record_bytes, 65536);
  CU_ASSERT_EQUAL (settings.store_limits.call_bytes, 65536);
  CU_ASSERT_EQUAL (
      read_store_limits (",\"record_bytes\":32767", &settings, &error),
      KQ_ESETTING);
  CU_ASSERT_STRING_EQUAL (error.field, "platform.record_bytes");
  CU_ASSERT_EQUAL (
      read_store_limits (",\"call_bytes\":262143", &settings, &error),
      KQ_ESETTING);
  CU_ASSERT_STRING_EQUAL (error.field, "platform.call_bytes");
}

/* Such a worker is polled without end and counted as one of the cell. */
static void
test_unusable_addresses (void)
{
  static const char *const addresses[]
      = { "10.0.0.9:65536", "10.0.0.9:0",   "10.0.0.9:-1",  "10.0.0.9",
          "10.0.0.9:",      "no address",   "10.0.0.9:1/x", "a@10.0.0.9:1",
          "10.0.0.9:1 x",   "10.0.0.9:0x1", "10.0.0:1",     "" };
  struct kq_sched_registration registration;
  char text[256];

  for (size_t i = 0; i < sizeof addresses / sizeof addresses[0]; i++)
    {
      snprintf (text, sizeof text,
                "{\"service\":\"s\",\"addr\":\"%s\",\"state\":\"ready\","
                "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
                addresses[i]);
      CU_ASSERT_NOT_EQUAL (read_registration (text, &registration), 0);
    }
}

/* The parser must not use up the stack. */
static void
test_deep_registration (void)
{
  enum
  {
    DEPTH = 200000
  };
  struct kq_sched_registration registration;
  char *text = malloc (DEPTH + 1);

  if (text == NULL)
    abort ();
  memset (text, '[', DEPTH);
  text[DEPTH] = '\0';
  CU_ASSERT_NOT_EQUAL (read_registration (text, &registration), 0);
  free (text);
}

/* An ID with a line break would add headers to orders. */
static void
test_worker_ids (void)
{
  static const struct
  {
    const char *key;
    size_t size;
    bool valid;
  } cases[] = {
    { "i-1", 3, true },        { "", 0, false },       { "i 1", 3, false },
    { "i\r\nX: y", 7, false }, { "i-1\0x", 5, false }, { "\x7f", 1, false },
  };
  char longest[KQ_SCHED_NAME_SIZE + 1];
  char id[KQ_SCHED_NAME_SIZE];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_EQUAL (kq_site_worker_id_read (cases[i].key, cases[i].size, id),
                     cases[i].valid);
  memset (longest, 'i', sizeof longest);
  CU_ASSERT_TRUE (
      kq_site_worker_id_read (longest, KQ_SCHED_NAME_SIZE - 1, id));
  CU_ASSERT_FALSE (kq_site_worker_id_read (longest, KQ_SCHED_NAME_SIZE, id));
}

static const struct kq_test tests[] = {
  { "job", test_job },
  { "invalid jobs", test_invalid_jobs },
  { "length limit of the text of a job", test_spec_text_limit },
  { "job with too many tasks", test_job_with_too_many_tasks },
  { "body that fills a record", test_body_that_fills_a_record },
  { "job IDs", test_job_ids },
  { "configuration", test_config },
  { "worker registration", test_worker_registration },
  { "malformed worker registrations", test_malformed_registrations },
  { "unusable addresses of workers", test_unusable_addresses },
  { "deeply nested registration", test_deep_registration },
  { "IDs of workers", test_worker_ids },
  { "capacities of workers", test_worker_capacities },
  { "worker status", test_worker_status },
  { "long labels", test_long_labels },
  { "long checkpoints", test_long_checkpoints },
  { "a worker status without a list", test_worker_status_without_a_list },
  { "evacuations", test_evacuations },
  { "run names", test_run_names },
  { "advice", test_advice },
  { "queue with advice", test_queue_with_advice },
  { "settings", test_settings },
  { "errors in settings name the field", test_invalid_settings },
  { "setting of evacuations", test_evacuation_setting },
  { "limits of the store", test_store_limits },
};

KQ_TEST_MAIN ("test-wire", tests)
