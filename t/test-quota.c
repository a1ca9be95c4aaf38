/* Guards against binding more tasks than a team's quota allows. */

#include <stdio.h>

#include "t/lib-core.h"

/* A quota that ignored the tasks in this host's BIND records in flight would
   be exceeded by jobs of the same team that are bound at the same time. */
static void
test_quota (void)
{
  static const char text[]
      = "{\"shards\":[{\"name\":\"s\",\"zone\":\"z\",\"workers\":"
        "[\"w0\",\"w1\",\"w2\"]}],\"teams\":[{\"name\":\"t\","
        "\"quota\":{\"cpu_milli\":350}}]}";
  struct core_fixture fixture = create_owner ();
  struct kq_record job = { .kind = KQ_REC_JOB, .host = { "b" } };
  struct kq_record *bind;
  json_t *rows;

  read_config (&fixture, 1, text);
  for (int i = 0; i < 2; i++)
    {
      snprintf (job.id.text, sizeof job.id.text, "r%d", i);
      snprintf (job.u.job.id.text, sizeof job.id.text, "j%d", i);
      strcpy (job.u.job.team.text, "t");
      job.u.job.tasks = 5;
      job.u.job.size = (struct kq_resources){ 100, 10, 0 };
      job.u.job.run_ms = 1000;
      read_record (&fixture, &job);
    }
  tick (&fixture, 100);
  bind = copy_append (&fixture);
  CU_ASSERT_TRUE_FATAL (bind != NULL && bind->kind == KQ_REC_BIND);
  CU_ASSERT_EQUAL (bind->u.tasks.count, 3);
  send_append_result (&fixture, bind, 0);
  read_record (&fixture, bind);
  kq_record_free (bind);
  tick (&fixture, 100);
  CU_ASSERT_PTR_NULL (find_effect (&fixture, KQ_FX_APPEND, NULL));
  rows = kq_core_rows (fixture.core, KQ_TABLE_JOBS, fixture.now);
  for (size_t i = 0; i < 2; i++)
    CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (
                                json_array_get (rows, i), "reason")),
                            "KQ_EJOB_QUOTA");
  json_decref (rows);
  destroy_fixture (&fixture);
}

static const struct kq_test tests[] = { { "quota", test_quota } };

KQ_TEST_MAIN ("quota", tests)
