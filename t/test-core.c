/* The decision core, driven event by event. */

#include "t/lib-core.h"

/* A minority extends no attempt: it would keep alive what the owner, who
   can't reach the worker, takes for lapsed. */
static void
test_minority_extends_nothing (void)
{
  struct bench bench = open_bench ();

  read_config (&bench, 0, config_text);
  tick (&bench, 100);
  grant (&bench, "w0", 1, NULL);
  tick (&bench, 600);
  CU_ASSERT_EQUAL (task_ttl (&bench, "w0"), 0);
  grant (&bench, "w0", 1, NULL);
  grant (&bench, "w1", 1, NULL); /* a majority: extended at once */
  CU_ASSERT_TRUE (task_ttl (&bench, "w0") > 0);
  close_bench (&bench);
}

/* A host that was paused past its leases has lost the shard, although the
   workers grant them again: an epoch may have come and gone meanwhile. */
static void
test_pause_past_the_leases (void)
{
  struct bench bench = open_owner ();
  struct kq_record *epoch;

  bench.now += 3000 * MSEC;
  grant (&bench, "w0", 2, NULL);
  grant (&bench, "w1", 2, NULL);
  tick (&bench, 100);
  epoch = copy_append (&bench);
  CU_ASSERT_TRUE (epoch != NULL && epoch->kind == KQ_REC_EPOCH);
  kq_record_free (epoch);
  close_bench (&bench);
}

/* The answers of a silent worker may be lost and its requests not. */
static void
test_silent_worker_is_not_extended (void)
{
  struct bench bench = open_owner ();

  for (int i = 0; i < 8; i++)
    {
      tick (&bench, 500);
      if (i < 4)
        grant (&bench, "w2", 1, NULL);
      grant (&bench, "w0", 1, NULL);
      grant (&bench, "w1", 1, NULL);
    }
  tick (&bench, 600);
  CU_ASSERT_TRUE (task_ttl (&bench, "w0") > 0);
  tick (&bench, 1);
  for (int i = 0; i < 4; i++)
    {
      tick (&bench, 500);
      grant (&bench, "w0", 1, NULL);
      grant (&bench, "w1", 1, NULL);
    }
  tick (&bench, 600);
  CU_ASSERT_EQUAL (task_ttl (&bench, "w2"), 0);
  close_bench (&bench);
}

/* A leaving worker stays so when the list came before the configuration. */
static void
test_list_before_configuration (void)
{
  struct bench bench = open_bench ();
  struct kq_host_entry entry = { .worker = true, .leaving = true };
  struct kq_event event = { .kind = KQ_EV_HOSTS };
  struct kq_view *view;

  strcpy (entry.name.text, "w1");
  strcpy (entry.endpoint, "127.0.0.1:1");
  event.u.hosts.entries = &entry;
  event.u.hosts.count = 1;
  give (&bench, &event);
  read_config (&bench, 0, config_text);
  view = kq_core_view (bench.core, bench.now);
  for (size_t i = 0; i < view->worker_count; i++)
    CU_ASSERT_EQUAL (view->workers[i].leaving,
                     strcmp (view->workers[i].name.text, "w1") == 0);
  kq_view_free (view);
  close_bench (&bench);
}

/* What a submitter is told, by the log's answer. */
static void
test_submit_while_the_log_is_away (void)
{
  static const struct
  {
    int answer;  /* of the log; 1 = none */
    int outcome; /* told to the operator in the end */
  } cases[] = { { KQ_ELOG_BUSY, KQ_ELOG_BUSY },
                { KQ_ELOG_DOWN, KQ_ELOG_UNKNOWN },
                { 1, KQ_ELOG_UNKNOWN } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct bench bench = open_bench ();
      const struct kq_effect *reply = NULL;

      command (&bench, KQ_CMD_SUBMIT, "j");
      for (int k = 0; k < 120 && reply == NULL; k++)
        {
          const struct kq_effect *append = find (&bench, KQ_FX_APPEND, NULL);
          struct kq_record *record
              = append == NULL ? NULL : kq_record_copy (append->u.append);

          if (record != NULL && cases[i].answer <= 0)
            appended (&bench, record, cases[i].answer);
          kq_record_free (record);
          tick (&bench, 100);
          reply = find (&bench, KQ_FX_REPLY, NULL);
        }
      CU_ASSERT_PTR_NOT_NULL_FATAL (reply);
      CU_ASSERT_EQUAL (reply->u.reply.err, cases[i].outcome);
      close_bench (&bench);
    }
}

/* After an append without answer a second one is refused at once. */
static void
test_submit_when_the_log_is_known_away (void)
{
  struct bench bench = open_bench ();
  struct kq_record *record;

  command (&bench, KQ_CMD_SUBMIT, "j");
  record = kq_record_copy (find (&bench, KQ_FX_APPEND, NULL)->u.append);
  appended (&bench, record, KQ_ELOG_DOWN);
  kq_record_free (record);
  command (&bench, KQ_CMD_SUBMIT, "k");
  CU_ASSERT_EQUAL (reply_err (&bench), KQ_ELOG_DOWN);
  close_bench (&bench);
}

/* A lost append is looked for before it is sent again, under its id. */
static void
test_lost_append_is_looked_for (void)
{
  struct bench bench = open_bench ();
  struct kq_record *record;

  command (&bench, KQ_CMD_SUBMIT, "j");
  record = kq_record_copy (find (&bench, KQ_FX_APPEND, NULL)->u.append);
  appended (&bench, record, KQ_ELOG_DOWN);
  tick (&bench, 1000);
  log_end (&bench); /* too early: it may still be on its way */
  tick (&bench, 100);
  CU_ASSERT_PTR_NULL (find (&bench, KQ_FX_APPEND, NULL));
  tick (&bench, 2000);
  CU_ASSERT_PTR_NULL (find (&bench, KQ_FX_APPEND, NULL));
  log_end (&bench);
  tick (&bench, 100);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find (&bench, KQ_FX_APPEND, NULL));
  CU_ASSERT_STRING_EQUAL (find (&bench, KQ_FX_APPEND, NULL)->u.append->id.text,
                          record->id.text);
  appended (&bench, record, KQ_ELOG_DOWN);
  read_record (&bench, record); /* it was appended after all */
  CU_ASSERT_EQUAL (reply_err (&bench), 0);
  CU_ASSERT_EQUAL (find (&bench, KQ_FX_REPLY, NULL)->u.reply.revision,
                   bench.offset);
  kq_record_free (record);
  close_bench (&bench);
}

static int64_t
revision (const struct bench *bench)
{
  json_t *config = kq_core_config (bench->core);
  int64_t number = json_integer_value (json_object_get (config, "revision"));

  json_decref (config);
  return number;
}

static void
push_config (struct bench *bench, int64_t offset)
{
  struct kq_record record = { .kind = KQ_REC_CONFIG };
  struct kq_event event = { .kind = KQ_EV_PEER };

  record.u.config.text = config_text;
  strcpy (record.host.text, "b");
  strcpy (event.u.peer.from.text, "b");
  event.u.peer.kind = KQ_PEER_RECORD;
  event.u.peer.incarnation = 1;
  event.u.peer.offset = offset;
  event.u.peer.record = &record;
  give (bench, &event);
}

/* A peer brings the configuration while the log is away; an older one never
   takes its place; a peer that is behind gets it. */
static void
test_configuration_between_hosts (void)
{
  struct bench bench = open_bench ();
  struct kq_event event = { .kind = KQ_EV_PEER };
  const struct kq_effect *push;

  CU_ASSERT_EQUAL (revision (&bench), 0);
  push_config (&bench, 40);
  CU_ASSERT_EQUAL (revision (&bench), 40);
  push_config (&bench, 30);
  CU_ASSERT_EQUAL (revision (&bench), 40);
  strcpy (event.u.peer.from.text, "c");
  event.u.peer.kind = KQ_PEER_HEARTBEAT;
  event.u.peer.incarnation = 1;
  event.u.peer.revision = 30;
  bench.now += 1000 * MSEC;
  give (&bench, &event);
  push = find (&bench, KQ_FX_PEER, NULL);
  for (size_t i = 0; i < bench.count; i++)
    if (bench.seen[i].kind == KQ_FX_PEER
        && bench.seen[i].u.peer.message.kind == KQ_PEER_RECORD)
      push = &bench.seen[i];
  CU_ASSERT_PTR_NOT_NULL_FATAL (push);
  CU_ASSERT_EQUAL (push->u.peer.message.kind, KQ_PEER_RECORD);
  CU_ASSERT_EQUAL (push->u.peer.message.offset, 40);
  close_bench (&bench);
}

/* After a gap the first CONFIG record that is read may be a void one. */
static void
test_configuration_after_a_gap (void)
{
  struct bench bench = open_bench ();
  struct kq_event gap = { .kind = KQ_EV_LOG_GAP };

  gap.u.log.offset = 50;
  give (&bench, &gap);
  bench.offset = 49;
  read_config (&bench, 30, config_text); /* 50: void, 40 was in force */
  read_config (&bench, 40, config_text); /* 51: accepted */
  read_config (&bench, 40, config_text); /* 52: void */
  CU_ASSERT_EQUAL (revision (&bench), 0);
  log_end (&bench);
  CU_ASSERT_EQUAL (revision (&bench), 51);
  close_bench (&bench);
}

/* Shards are released, then all are told, then the process may end. */
/* Host "b" beats with or without shard "s"; returns whether a view follows
   soon, and copies the owner of "w0" in it.  */
static bool
beat_changes_view (struct bench *bench, bool owns, struct kq_name *owner)
{
  static const struct kq_shard_state shard = { .name = { "s" } };
  struct kq_event event = { .kind = KQ_EV_PEER };
  bool changed = false;
  struct kq_view *view;

  event.u.peer = (struct kq_peer_message){ .kind = KQ_PEER_HEARTBEAT,
                                           .from = { "b" },
                                           .zone = { "z" },
                                           .incarnation = 1,
                                           .shards = &shard,
                                           .shard_count = owns };
  give (bench, &event);
  for (int i = 0; i < 8; i++)
    {
      changed = changed || find (bench, KQ_FX_VIEW, NULL) != NULL;
      tick (bench, 25);
    }
  view = kq_core_view (bench->core, bench->now);
  *owner = view->workers[0].owner;
  kq_view_free (view);
  return changed;
}

/* A host that starts learns the owners from heartbeats: callers wait for it.
 */
static void
test_claims_change_the_view (void)
{
  struct bench bench = open_bench ();
  struct kq_name owner;

  read_config (&bench, 0, config_text);
  CU_ASSERT_TRUE (beat_changes_view (&bench, true, &owner));
  CU_ASSERT_STRING_EQUAL (owner.text, "b");
  CU_ASSERT_FALSE (beat_changes_view (&bench, true, &owner));
  CU_ASSERT_TRUE (beat_changes_view (&bench, false, &owner));
  CU_ASSERT_STRING_EQUAL (owner.text, "");
  close_bench (&bench);
}

static void
test_planned_stop (void)
{
  struct bench bench = open_owner ();
  struct kq_event stop = { .kind = KQ_EV_STOP };
  bool goodbye = false;

  give (&bench, &stop);
  tick (&bench, 50);
  CU_ASSERT_EQUAL (lease_ttl (&bench, "w0"), 0);
  CU_ASSERT_EQUAL (lease_ttl (&bench, "w1"), 0);
  for (size_t i = 0; i < bench.count; i++)
    goodbye |= bench.seen[i].kind == KQ_FX_PEER
               && bench.seen[i].u.peer.message.kind == KQ_PEER_GOODBYE;
  CU_ASSERT_TRUE (goodbye);
  CU_ASSERT_PTR_NULL (find (&bench, KQ_FX_STOPPED, NULL));
  tick (&bench, 500);
  CU_ASSERT_PTR_NOT_NULL (find (&bench, KQ_FX_STOPPED, NULL));
  close_bench (&bench);
}

static void
read_drain (struct bench *bench, const char *name, bool on, int64_t base)
{
  struct kq_record record = { .kind = KQ_REC_DRAIN };

  strcpy (record.u.drain.name.text, name);
  record.u.drain.on = on;
  record.u.drain.base = base;
  read_record (bench, &record);
}

static bool
is_leaving (const struct bench *bench, const char *name)
{
  struct kq_view *view = kq_core_view (bench->core, bench->now);
  bool leaving = false;

  for (size_t i = 0; i < view->worker_count; i++)
    if (strcmp (view->workers[i].name.text, name) == 0)
      leaving = view->workers[i].leaving;
  kq_view_free (view);
  return leaving;
}

/* A copy made before retention does not undo an operator's command. */
static void
test_copies_of_drains (void)
{
  struct bench bench = open_bench ();

  read_config (&bench, 0, config_text);
  read_drain (&bench, "w1", true, 0);
  read_drain (&bench, "w1", true, 2); /* copy of what is in force */
  CU_ASSERT_TRUE (is_leaving (&bench, "w1"));
  read_drain (&bench, "w1", false, 0);
  read_drain (&bench, "w1", true, 3); /* copy that came too late */
  CU_ASSERT_FALSE (is_leaving (&bench, "w1"));
  read_drain (&bench, "w2", true, 1); /* the original was removed */
  CU_ASSERT_TRUE (is_leaving (&bench, "w2"));
  close_bench (&bench);
}

/* Returns whether the row of WORKER is stopped within two seconds. */
static bool
is_stopped (struct bench *bench, const struct kq_attempt_row *row)
{
  for (int i = 0; i < 4; i++)
    {
      tick (bench, 500);
      for (size_t k = 0; k < bench->count; k++)
        if (bench->seen[k].kind == KQ_FX_TASK)
          return true;
      grant (bench, "w0", 1, row);
      grant (bench, "w1", 1, NULL);
    }
  return false;
}

/* A row is left alone while the log may still say what it is for. */
static void
test_rows_that_are_not_known (void)
{
  static const struct
  {
    int64_t gap;     /* first offset after a gap, or 0 */
    int64_t binding; /* of the row */
    bool stopped;
  } cases[] = { { 0, 1, true }, { 0, 99, false }, { 60, 1, false } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct bench bench = open_owner ();
      struct kq_attempt_row row = { .attempt = 5, .task.job = { "x" } };
      struct kq_event gap = { .kind = KQ_EV_LOG_GAP };

      if (cases[i].gap != 0)
        {
          struct kq_record *epoch;

          gap.u.log.offset = cases[i].gap;
          give (&bench, &gap);
          bench.offset = cases[i].gap - 1;
          log_end (&bench);
          tick (&bench, 100);
          epoch = copy_append (&bench);
          read_record (&bench, epoch);
          kq_record_free (epoch);
        }
      row.binding = cases[i].binding;
      grant (&bench, "w0", 1, &row);
      CU_ASSERT_EQUAL (is_stopped (&bench, &row), cases[i].stopped);
      close_bench (&bench);
    }
}

/* A host that starts again is another holder. */
static void
test_holder (void)
{
  struct kq_core_settings settings = { .host = { "a" }, .zone = { "z" } };
  struct kq_name names[2];

  kq_core_settings_default (&settings);
  for (int i = 0; i < 2; i++)
    {
      struct kq_core *core;

      settings.incarnation = (uint64_t)i + 1;
      core = kq_core_create (&settings);
      names[i] = *kq_core_holder (core);
      kq_core_destroy (core);
    }
  CU_ASSERT_STRING_NOT_EQUAL (names[0].text, names[1].text);
}

/* 5,000 jobs are cancelled, half of which have finished: one record for each
   of the others, few at a time, and a reply to every command. */
static void
test_wave_of_cancellations (void)
{
  enum
  {
    JOBS = 5000
  };
  struct bench bench = open_bench ();
  int replies = 0;
  int appends = 0;

  log_end (&bench);
  for (int i = 0; i < JOBS; i++)
    {
      struct kq_record job = { .kind = KQ_REC_JOB, .u.job.tasks = 1 };
      struct kq_record end = { .kind = KQ_REC_CANCEL };

      snprintf (job.u.job.id.text, sizeof job.u.job.id.text, "j%d", i);
      end.u.cancel = job.u.job.id;
      read_record (&bench, &job);
      if (i % 2 == 0)
        read_record (&bench, &end);
    }
  for (int i = 0; i < JOBS; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "j%d", i);
      command (&bench, KQ_CMD_CANCEL, name);
      replies += find (&bench, KQ_FX_REPLY, NULL) != NULL;
    }
  CU_ASSERT_EQUAL (replies, JOBS / 2);
  for (int i = 0; i < 200 && replies < JOBS; i++)
    {
      struct kq_record *records[SEEN_MAX];
      int count = 0;

      tick (&bench, 20);
      for (size_t k = 0; k < bench.count; k++)
        if (bench.seen[k].kind == KQ_FX_APPEND)
          records[count++] = kq_record_copy (bench.seen[k].u.append);
      CU_ASSERT_TRUE (count <= 64);
      appends += count;
      for (int k = 0; k < count; k++)
        {
          appended (&bench, records[k], 0);
          read_record (&bench, records[k]);
          replies += find (&bench, KQ_FX_REPLY, NULL) != NULL;
          kq_record_free (records[k]);
        }
    }
  CU_ASSERT_EQUAL (replies, JOBS);
  CU_ASSERT_EQUAL (appends, JOBS / 2);
  close_bench (&bench);
}

/* Wrong events change nothing and are said so. */
static void
test_wrong_events (void)
{
  struct bench bench = open_bench ();
  struct kq_event event = { .kind = KQ_EV_RECORD };

  CU_ASSERT_EQUAL (kq_core_step (bench.core, bench.now, NULL, bench.effects),
                   KQ_EINVAL);
  CU_ASSERT_EQUAL (kq_core_step (bench.core, bench.now, &event, bench.effects),
                   KQ_EINVAL);
  event.kind = (enum kq_event_kind)99;
  CU_ASSERT_EQUAL (kq_core_step (bench.core, bench.now, &event, bench.effects),
                   KQ_EINVAL);
  close_bench (&bench);
}

/* A host that has just started holds a configuration back until it has read
   the log, and then appends it. */
static void
test_configure_before_the_log_is_read (void)
{
  struct bench bench = open_bench ();
  struct kq_event event = { .kind = KQ_EV_COMMAND };

  event.u.command.kind = KQ_CMD_CONFIGURE;
  event.u.command.id = 7;
  event.u.command.text = config_text;
  give (&bench, &event);
  CU_ASSERT_PTR_NULL (find (&bench, KQ_FX_REPLY, NULL));
  tick (&bench, 100);
  CU_ASSERT_PTR_NULL (find (&bench, KQ_FX_APPEND, NULL));
  log_end (&bench);
  tick (&bench, 100);
  CU_ASSERT_PTR_NOT_NULL (find (&bench, KQ_FX_APPEND, NULL));
  close_bench (&bench);

  /* Nothing was sent when its time is up: it is known not to be accepted. */
  bench = open_bench ();
  give (&bench, &event);
  tick (&bench, 11000);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find (&bench, KQ_FX_REPLY, NULL));
  CU_ASSERT_EQUAL (reply_err (&bench), KQ_ELOG_DOWN);
  close_bench (&bench);
}

static const struct kq_test tests[]
    = { { "minority extends nothing", test_minority_extends_nothing },
        { "pause past the leases", test_pause_past_the_leases },
        { "silent worker is not extended",
          test_silent_worker_is_not_extended },
        { "list before configuration", test_list_before_configuration },
        { "submit while the log is away", test_submit_while_the_log_is_away },
        { "submit when the log is known away",
          test_submit_when_the_log_is_known_away },
        { "lost append is looked for", test_lost_append_is_looked_for },
        { "configure before the log is read",
          test_configure_before_the_log_is_read },
        { "configuration between hosts", test_configuration_between_hosts },
        { "configuration after a gap", test_configuration_after_a_gap },
        { "claims change the view", test_claims_change_the_view },
        { "planned stop", test_planned_stop },
        { "copies of drains", test_copies_of_drains },
        { "rows that are not known", test_rows_that_are_not_known },
        { "holder", test_holder },
        { "wave of cancellations", test_wave_of_cancellations },
        { "wrong events", test_wrong_events } };

KQ_TEST_MAIN ("core", tests)
