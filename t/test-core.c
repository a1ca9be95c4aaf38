/* Tests of the decision core, which is driven event by event. */

#include "t/lib-core.h"

/* A host that holds the leases of a minority only must not extend attempts:
   the owner, which can't reach the worker, treats them as lapsed while they
   would go on running. */
static void
test_minority_extends_nothing (void)
{
  struct core_fixture fixture = create_fixture ();

  read_config (&fixture, 0, config_text);
  tick (&fixture, 100);
  grant_lease (&fixture, "w0", 1, NULL);
  tick (&fixture, 600);
  CU_ASSERT_EQUAL (requested_task_ttl (&fixture, "w0"), 0);
  grant_lease (&fixture, "w0", 1, NULL);
  grant_lease (&fixture, "w1", 1, NULL); /* a majority: extended at once */
  CU_ASSERT_TRUE (requested_task_ttl (&fixture, "w0") > 0);
  destroy_fixture (&fixture);
}

/* A host that was paused until its leases lapsed has lost the shard, even if
   the workers grant the leases again: another host may have owned the shard
   for an epoch in between. */
static void
test_pause_longer_than_the_lease (void)
{
  struct core_fixture fixture = create_owner ();
  struct kq_record *epoch;

  fixture.now += 3000 * USEC_PER_MSEC;
  grant_lease (&fixture, "w0", 2, NULL);
  grant_lease (&fixture, "w1", 2, NULL);
  tick (&fixture, 100);
  epoch = copy_append (&fixture);
  CU_ASSERT_TRUE (epoch != NULL && epoch->kind == KQ_REC_EPOCH);
  kq_record_free (epoch);
  destroy_fixture (&fixture);
}

/* The attempts of a silent worker must not be extended: it may receive the
   requests while its replies are lost. */
static void
test_silent_worker_is_not_extended (void)
{
  struct core_fixture fixture = create_owner ();

  for (int i = 0; i < 8; i++)
    {
      tick (&fixture, 500);
      if (i < 4)
        grant_lease (&fixture, "w2", 1, NULL);
      grant_lease (&fixture, "w0", 1, NULL);
      grant_lease (&fixture, "w1", 1, NULL);
    }
  tick (&fixture, 600);
  CU_ASSERT_TRUE (requested_task_ttl (&fixture, "w0") > 0);
  tick (&fixture, 1);
  for (int i = 0; i < 4; i++)
    {
      tick (&fixture, 500);
      grant_lease (&fixture, "w0", 1, NULL);
      grant_lease (&fixture, "w1", 1, NULL);
    }
  tick (&fixture, 600);
  CU_ASSERT_EQUAL (requested_task_ttl (&fixture, "w2"), 0);
  destroy_fixture (&fixture);
}

/* A worker that is leaving according to a host list must stay so when the list
   arrives before the configuration that names the worker. */
static void
test_host_list_before_configuration (void)
{
  struct core_fixture fixture = create_fixture ();
  struct kq_host_entry entry = { .worker = true, .leaving = true };
  struct kq_event event = { .kind = KQ_EV_HOSTS };
  struct kq_view *view;

  strcpy (entry.name.text, "w1");
  strcpy (entry.endpoint, "127.0.0.1:1");
  event.u.hosts.entries = &entry;
  event.u.hosts.count = 1;
  step (&fixture, &event);
  read_config (&fixture, 0, config_text);
  view = kq_core_view (fixture.core, fixture.now);
  for (size_t i = 0; i < view->worker_count; i++)
    CU_ASSERT_EQUAL (view->workers[i].leaving,
                     strcmp (view->workers[i].name.text, "w1") == 0);
  kq_view_free (view);
  destroy_fixture (&fixture);
}

/* The reply to a submit while the log fails must state whether the job can
   still be accepted: KQ_ELOG_BUSY only if the log refused the record. */
static void
test_submit_while_the_log_fails (void)
{
  static const struct
  {
    int log_result;         /* result from the log; 1 = none */
    int reply_err_expected; /* error of the reply to the operator */
  } cases[] = { { KQ_ELOG_BUSY, KQ_ELOG_BUSY },
                { KQ_ELOG_DOWN, KQ_ELOG_UNKNOWN },
                { 1, KQ_ELOG_UNKNOWN } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct core_fixture fixture = create_fixture ();
      const struct kq_effect *reply = NULL;

      submit_command (&fixture, KQ_CMD_SUBMIT, "j");
      for (int k = 0; k < 120 && reply == NULL; k++)
        {
          const struct kq_effect *append
              = find_effect (&fixture, KQ_FX_APPEND, NULL);
          struct kq_record *record
              = append == NULL ? NULL : kq_record_copy (append->u.append);

          if (record != NULL && cases[i].log_result <= 0)
            send_append_result (&fixture, record, cases[i].log_result);
          kq_record_free (record);
          tick (&fixture, 100);
          reply = find_effect (&fixture, KQ_FX_REPLY, NULL);
        }
      CU_ASSERT_PTR_NOT_NULL_FATAL (reply);
      CU_ASSERT_EQUAL (reply->u.reply.err, cases[i].reply_err_expected);
      destroy_fixture (&fixture);
    }
}

/* After an append failed with KQ_ELOG_DOWN, the next command must be refused
   at once instead of waiting for its deadline. */
static void
test_submit_refused_while_the_log_is_down (void)
{
  struct core_fixture fixture = create_fixture ();
  struct kq_record *record;

  submit_command (&fixture, KQ_CMD_SUBMIT, "j");
  record
      = kq_record_copy (find_effect (&fixture, KQ_FX_APPEND, NULL)->u.append);
  send_append_result (&fixture, record, KQ_ELOG_DOWN);
  kq_record_free (record);
  submit_command (&fixture, KQ_CMD_SUBMIT, "k");
  CU_ASSERT_EQUAL (reply_err (&fixture), KQ_ELOG_DOWN);
  destroy_fixture (&fixture);
}

/* An append whose result was lost may still reach the log: it must be sent
   again only after a later read of the log did not find it, with the same
   id. */
static void
test_lost_append_is_retried_after_a_read (void)
{
  struct core_fixture fixture = create_fixture ();
  struct kq_record *record;

  submit_command (&fixture, KQ_CMD_SUBMIT, "j");
  record
      = kq_record_copy (find_effect (&fixture, KQ_FX_APPEND, NULL)->u.append);
  send_append_result (&fixture, record, KQ_ELOG_DOWN);
  tick (&fixture, 1000);
  reach_log_end (&fixture); /* too early: it may still be in flight */
  tick (&fixture, 100);
  CU_ASSERT_PTR_NULL (find_effect (&fixture, KQ_FX_APPEND, NULL));
  tick (&fixture, 2000);
  CU_ASSERT_PTR_NULL (find_effect (&fixture, KQ_FX_APPEND, NULL));
  reach_log_end (&fixture);
  tick (&fixture, 100);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find_effect (&fixture, KQ_FX_APPEND, NULL));
  CU_ASSERT_STRING_EQUAL (
      find_effect (&fixture, KQ_FX_APPEND, NULL)->u.append->id.text,
      record->id.text);
  send_append_result (&fixture, record, KQ_ELOG_DOWN);
  read_record (&fixture, record); /* it was appended after all */
  CU_ASSERT_EQUAL (reply_err (&fixture), 0);
  CU_ASSERT_EQUAL (find_effect (&fixture, KQ_FX_REPLY, NULL)->u.reply.revision,
                   fixture.offset);
  kq_record_free (record);
  destroy_fixture (&fixture);
}

static int64_t
config_revision (const struct core_fixture *fixture)
{
  json_t *config = kq_core_config (fixture->core);
  int64_t number = json_integer_value (json_object_get (config, "revision"));

  json_decref (config);
  return number;
}

static void
send_peer_config (struct core_fixture *fixture, int64_t offset)
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
  step (fixture, &event);
}

/* While the log is down, a configuration must still arrive from a peer, must
   not be replaced by an older one, and must be sent to a peer that has an
   older one. */
static void
test_configuration_between_hosts (void)
{
  struct core_fixture fixture = create_fixture ();
  struct kq_event event = { .kind = KQ_EV_PEER };
  const struct kq_effect *push;

  CU_ASSERT_EQUAL (config_revision (&fixture), 0);
  send_peer_config (&fixture, 40);
  CU_ASSERT_EQUAL (config_revision (&fixture), 40);
  send_peer_config (&fixture, 30);
  CU_ASSERT_EQUAL (config_revision (&fixture), 40);
  strcpy (event.u.peer.from.text, "c");
  event.u.peer.kind = KQ_PEER_HEARTBEAT;
  event.u.peer.incarnation = 1;
  event.u.peer.revision = 30;
  fixture.now += 1000 * USEC_PER_MSEC;
  step (&fixture, &event);
  push = find_effect (&fixture, KQ_FX_PEER, NULL);
  for (size_t i = 0; i < fixture.count; i++)
    if (fixture.emitted[i].kind == KQ_FX_PEER
        && fixture.emitted[i].u.peer.message.kind == KQ_PEER_RECORD)
      push = &fixture.emitted[i];
  CU_ASSERT_PTR_NOT_NULL_FATAL (push);
  CU_ASSERT_EQUAL (push->u.peer.message.kind, KQ_PEER_RECORD);
  CU_ASSERT_EQUAL (push->u.peer.message.offset, 40);
  destroy_fixture (&fixture);
}

/* After a gap the first CONFIG record that is read may be one that is
   rejected: it must not be applied before the log was read to its end. */
static void
test_configuration_after_a_gap (void)
{
  struct core_fixture fixture = create_fixture ();
  struct kq_event gap = { .kind = KQ_EV_LOG_GAP };

  gap.u.log.offset = 50;
  step (&fixture, &gap);
  fixture.offset = 49;
  read_config (&fixture, 30, config_text); /* 50: rejected, 40 is current */
  read_config (&fixture, 40, config_text); /* 51: accepted */
  read_config (&fixture, 40, config_text); /* 52: rejected */
  CU_ASSERT_EQUAL (config_revision (&fixture), 0);
  reach_log_end (&fixture);
  CU_ASSERT_EQUAL (config_revision (&fixture), 51);
  destroy_fixture (&fixture);
}

/* Sends a heartbeat of host "b" with or without shard "s".  Returns whether
   KQ_FX_VIEW follows within 200 ms, and copies the owner of "w0" in the view.
 */
static bool
heartbeat_changes_view (struct core_fixture *fixture, bool owns,
                        struct kq_name *owner)
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
  step (fixture, &event);
  for (int i = 0; i < 8; i++)
    {
      changed = changed || find_effect (fixture, KQ_FX_VIEW, NULL) != NULL;
      tick (fixture, 25);
    }
  view = kq_core_view (fixture->core, fixture->now);
  *owner = view->workers[0].owner;
  kq_view_free (view);
  return changed;
}

/* A host that starts learns the owners of workers from heartbeats.  Without a
   new view after a claim, requests of callers would wait. */
static void
test_claims_change_the_view (void)
{
  struct core_fixture fixture = create_fixture ();
  struct kq_name owner;

  read_config (&fixture, 0, config_text);
  CU_ASSERT_TRUE (heartbeat_changes_view (&fixture, true, &owner));
  CU_ASSERT_STRING_EQUAL (owner.text, "b");
  CU_ASSERT_FALSE (heartbeat_changes_view (&fixture, true, &owner));
  CU_ASSERT_TRUE (heartbeat_changes_view (&fixture, false, &owner));
  CU_ASSERT_STRING_EQUAL (owner.text, "");
  destroy_fixture (&fixture);
}

/* A planned stop must release the leases, send a leave message and only then
   report KQ_FX_STOPPED; otherwise the shards stay without an owner until the
   leases lapse. */
static void
test_planned_stop (void)
{
  struct core_fixture fixture = create_owner ();
  struct kq_event stop = { .kind = KQ_EV_STOP };
  bool sent_leave_message = false;

  step (&fixture, &stop);
  tick (&fixture, 50);
  CU_ASSERT_EQUAL (requested_lease_ttl (&fixture, "w0"), 0);
  CU_ASSERT_EQUAL (requested_lease_ttl (&fixture, "w1"), 0);
  for (size_t i = 0; i < fixture.count; i++)
    sent_leave_message
        |= fixture.emitted[i].kind == KQ_FX_PEER
           && fixture.emitted[i].u.peer.message.kind == KQ_PEER_LEAVE;
  CU_ASSERT_TRUE (sent_leave_message);
  CU_ASSERT_PTR_NULL (find_effect (&fixture, KQ_FX_STOPPED, NULL));
  tick (&fixture, 500);
  CU_ASSERT_PTR_NOT_NULL (find_effect (&fixture, KQ_FX_STOPPED, NULL));
  destroy_fixture (&fixture);
}

static void
read_drain (struct core_fixture *fixture, const char *name, bool on,
            int64_t base)
{
  struct kq_record record = { .kind = KQ_REC_DRAIN };

  strcpy (record.u.drain.name.text, name);
  record.u.drain.on = on;
  record.u.drain.base = base;
  read_record (fixture, &record);
}

static bool
is_leaving (const struct core_fixture *fixture, const char *name)
{
  struct kq_view *view = kq_core_view (fixture->core, fixture->now);
  bool leaving = false;

  for (size_t i = 0; i < view->worker_count; i++)
    if (strcmp (view->workers[i].name.text, name) == 0)
      leaving = view->workers[i].leaving;
  kq_view_free (view);
  return leaving;
}

/* A copy of a DRAIN record that is read after an operator's undrain must not
   drain the worker again. */
static void
test_copies_of_drains (void)
{
  struct core_fixture fixture = create_fixture ();

  read_config (&fixture, 0, config_text);
  read_drain (&fixture, "w1", true, 0);
  read_drain (&fixture, "w1", true, 2); /* copy of the current record */
  CU_ASSERT_TRUE (is_leaving (&fixture, "w1"));
  read_drain (&fixture, "w1", false, 0);
  read_drain (&fixture, "w1", true, 3); /* outdated copy */
  CU_ASSERT_FALSE (is_leaving (&fixture, "w1"));
  read_drain (&fixture, "w2", true, 1); /* the original was removed */
  CU_ASSERT_TRUE (is_leaving (&fixture, "w2"));
  destroy_fixture (&fixture);
}

/* Returns whether a task action is sent within two seconds, while "w0" reports
   ROW. */
static bool
has_task_action (struct core_fixture *fixture,
                 const struct kq_attempt_row *row)
{
  for (int i = 0; i < 4; i++)
    {
      tick (fixture, 500);
      for (size_t k = 0; k < fixture->count; k++)
        if (fixture->emitted[k].kind == KQ_FX_TASK)
          return true;
      grant_lease (fixture, "w0", 1, row);
      grant_lease (fixture, "w1", 1, NULL);
    }
  return false;
}

/* An attempt must not be stopped as unknown while a record that has not been
   read yet may still name its task. */
static void
test_rows_that_are_not_known (void)
{
  static const struct
  {
    int64_t gap;     /* first offset after a gap, or 0 */
    int64_t binding; /* binding in the row */
    bool stopped;
  } cases[] = { { 0, 1, true }, { 0, 99, false }, { 60, 1, false } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct core_fixture fixture = create_owner ();
      struct kq_attempt_row row = { .attempt = 5, .task.job = { "x" } };
      struct kq_event gap = { .kind = KQ_EV_LOG_GAP };

      if (cases[i].gap != 0)
        {
          struct kq_record *epoch;

          gap.u.log.offset = cases[i].gap;
          step (&fixture, &gap);
          fixture.offset = cases[i].gap - 1;
          reach_log_end (&fixture);
          tick (&fixture, 100);
          epoch = copy_append (&fixture);
          read_record (&fixture, epoch);
          kq_record_free (epoch);
        }
      row.binding = cases[i].binding;
      grant_lease (&fixture, "w0", 1, &row);
      CU_ASSERT_EQUAL (has_task_action (&fixture, &row), cases[i].stopped);
      destroy_fixture (&fixture);
    }
}

/* A host that restarts must use another holder name: otherwise a delayed
   request of its earlier incarnation counts as its own. */
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

/* A burst of 5,000 cancellations, half of them of finished jobs, must append
   one record for each of the other jobs, few at a time, and reply to every
   command. */
static void
test_burst_of_cancellations (void)
{
  enum
  {
    JOBS = 5000
  };
  struct core_fixture fixture = create_fixture ();
  int replies = 0;
  int appends = 0;

  reach_log_end (&fixture);
  for (int i = 0; i < JOBS; i++)
    {
      struct kq_record job = { .kind = KQ_REC_JOB, .u.job.tasks = 1 };
      struct kq_record end = { .kind = KQ_REC_CANCEL };

      snprintf (job.u.job.id.text, sizeof job.u.job.id.text, "j%d", i);
      end.u.cancel = job.u.job.id;
      read_record (&fixture, &job);
      if (i % 2 == 0)
        read_record (&fixture, &end);
    }
  for (int i = 0; i < JOBS; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "j%d", i);
      submit_command (&fixture, KQ_CMD_CANCEL, name);
      replies += find_effect (&fixture, KQ_FX_REPLY, NULL) != NULL;
    }
  CU_ASSERT_EQUAL (replies, JOBS / 2);
  for (int i = 0; i < 200 && replies < JOBS; i++)
    {
      struct kq_record *records[EMITTED_MAX];
      int count = 0;

      tick (&fixture, 20);
      for (size_t k = 0; k < fixture.count; k++)
        if (fixture.emitted[k].kind == KQ_FX_APPEND)
          records[count++] = kq_record_copy (fixture.emitted[k].u.append);
      CU_ASSERT_TRUE (count <= 64);
      appends += count;
      for (int k = 0; k < count; k++)
        {
          send_append_result (&fixture, records[k], 0);
          read_record (&fixture, records[k]);
          replies += find_effect (&fixture, KQ_FX_REPLY, NULL) != NULL;
          kq_record_free (records[k]);
        }
    }
  CU_ASSERT_EQUAL (replies, JOBS);
  CU_ASSERT_EQUAL (appends, JOBS / 2);
  destroy_fixture (&fixture);
}

/* A host that has just started must append snapshots of the jobs with the
   oldest records first, not of the first jobs in its table: otherwise
   retention removes the oldest records when hosts are replaced repeatedly. */
static void
test_oldest_jobs_are_appended_first (void)
{
  enum
  {
    JOBS = 48,
    REFRESHED = 16
  };
  struct core_fixture fixture = create_fixture ();
  int snapshots = 0;

  for (int i = 0; i < JOBS + REFRESHED; i++)
    {
      struct kq_record record = { .kind = KQ_REC_JOB, .u.job.tasks = 1 };

      snprintf (record.u.job.id.text, sizeof record.u.job.id.text, "j%d",
                i % JOBS);
      if (i >= JOBS)
        {
          struct kq_job job = record.u.job;

          record.kind = KQ_REC_SNAPSHOT;
          record.u.snapshot.job = job;
          record.u.snapshot.ranges = NULL;
          record.u.snapshot.count = 0;
        }
      read_record (&fixture, &record);
    }
  reach_log_end (&fixture);
  for (int i = 0; i < 50 && snapshots == 0; i++)
    {
      tick (&fixture, 100);
      for (size_t k = 0; k < fixture.count; k++)
        if (fixture.emitted[k].kind == KQ_FX_APPEND
            && fixture.emitted[k].u.append->kind == KQ_REC_SNAPSHOT)
          {
            const char *id
                = fixture.emitted[k].u.append->u.snapshot.job.id.text;

            CU_ASSERT_EQUAL (atoi (id + 1), REFRESHED + snapshots);
            snapshots++;
          }
    }
  CU_ASSERT_EQUAL (snapshots, 16);
  destroy_fixture (&fixture);
}

/* Returns the first effect with task action ACTION, NULL if there is none. */
static const struct kq_effect *
find_action (const struct core_fixture *fixture, enum kq_task_action action)
{
  for (size_t i = 0; i < fixture->count; i++)
    if (fixture->emitted[i].kind == KQ_FX_TASK
        && fixture->emitted[i].u.task.action == action)
      return &fixture->emitted[i];
  return NULL;
}

/* Reads back the record that is appended within a second. */
static enum kq_record_kind
read_back_append (struct core_fixture *fixture)
{
  enum kq_record_kind kind;
  struct kq_record *record;

  for (int i = 0; i < 10 && find_effect (fixture, KQ_FX_APPEND, NULL) == NULL;
       i++)
    tick (fixture, 100);
  record = copy_append (fixture);
  kind = record->kind;
  read_record (fixture, record);
  kq_record_free (record);
  return kind;
}

/* Follows a task from its job to the acknowledged end.  The row of a finished
   attempt must stay at its worker until the END record was read and no
   duplicate of the start can arrive, which would run the task again. */
static void
test_a_task_from_start_to_end (void)
{
  struct core_fixture fixture = create_owner ();
  struct kq_record job = { .kind = KQ_REC_JOB, .u.job.tasks = 1 };
  struct kq_attempt_row row;
  const struct kq_effect *start;
  kq_usec started_at;
  char worker[KQ_NAME_SIZE];

  strcpy (job.u.job.id.text, "j");
  job.u.job.size.cpu_milli = 100;
  read_record (&fixture, &job);
  CU_ASSERT_EQUAL (read_back_append (&fixture), KQ_REC_BIND);
  for (int i = 0; i < 5 && find_action (&fixture, KQ_TASK_START) == NULL; i++)
    tick (&fixture, 50);
  start = find_action (&fixture, KQ_TASK_START);
  CU_ASSERT_PTR_NOT_NULL_FATAL (start);
  if (start == NULL)
    return;
  started_at = fixture.now;
  row = start->u.task.row;
  CU_ASSERT_EQUAL (row.binding, fixture.offset);
  strcpy (worker, start->u.task.worker.text);
  row.state = KQ_ATTEMPT_DONE;
  grant_lease (&fixture, worker, 1, &row);
  CU_ASSERT_EQUAL (read_back_append (&fixture), KQ_REC_END);
  for (int i = 0; i < 20; i++)
    {
      tick (&fixture, 500);
      if (find_action (&fixture, KQ_TASK_ACK) != NULL)
        break;
      grant_lease (&fixture, "w0", 1,
                   strcmp (worker, "w0") == 0 ? &row : NULL);
      grant_lease (&fixture, "w1", 1,
                   strcmp (worker, "w1") == 0 ? &row : NULL);
    }
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, KQ_TASK_ACK));
  CU_ASSERT_TRUE (fixture.now > started_at + 4000 * USEC_PER_MSEC);
  destroy_fixture (&fixture);
}

/* Invalid events must be rejected with KQ_EINVAL. */
static void
test_invalid_events (void)
{
  struct core_fixture fixture = create_fixture ();
  struct kq_event event = { .kind = KQ_EV_RECORD };

  CU_ASSERT_EQUAL (
      kq_core_step (fixture.core, fixture.now, NULL, fixture.effects),
      KQ_EINVAL);
  CU_ASSERT_EQUAL (
      kq_core_step (fixture.core, fixture.now, &event, fixture.effects),
      KQ_EINVAL);
  event.kind = (enum kq_event_kind)99;
  CU_ASSERT_EQUAL (
      kq_core_step (fixture.core, fixture.now, &event, fixture.effects),
      KQ_EINVAL);
  destroy_fixture (&fixture);
}

/* A host that has just started must not append a configuration before it has
   read the log to its end: it does not know the current revision yet. */
static void
test_configure_before_the_log_is_read (void)
{
  struct core_fixture fixture = create_fixture ();
  struct kq_event event = { .kind = KQ_EV_COMMAND };

  event.u.command.kind = KQ_CMD_CONFIGURE;
  event.u.command.id = 7;
  event.u.command.text = config_text;
  step (&fixture, &event);
  CU_ASSERT_PTR_NULL (find_effect (&fixture, KQ_FX_REPLY, NULL));
  tick (&fixture, 100);
  CU_ASSERT_PTR_NULL (find_effect (&fixture, KQ_FX_APPEND, NULL));
  reach_log_end (&fixture);
  tick (&fixture, 100);
  CU_ASSERT_PTR_NOT_NULL (find_effect (&fixture, KQ_FX_APPEND, NULL));
  destroy_fixture (&fixture);

  /* If nothing was sent until the command's deadline, the reply states that
     the configuration was not accepted. */
  fixture = create_fixture ();
  step (&fixture, &event);
  tick (&fixture, 11000);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find_effect (&fixture, KQ_FX_REPLY, NULL));
  CU_ASSERT_EQUAL (reply_err (&fixture), KQ_ELOG_DOWN);
  destroy_fixture (&fixture);
}

static const struct kq_test tests[] = {
  { "minority extends nothing", test_minority_extends_nothing },
  { "pause longer than the lease", test_pause_longer_than_the_lease },
  { "silent worker is not extended", test_silent_worker_is_not_extended },
  { "host list before configuration", test_host_list_before_configuration },
  { "submit while the log fails", test_submit_while_the_log_fails },
  { "submit is refused while the log is down",
    test_submit_refused_while_the_log_is_down },
  { "lost append is retried after a read",
    test_lost_append_is_retried_after_a_read },
  { "configure before the log is read",
    test_configure_before_the_log_is_read },
  { "configuration between hosts", test_configuration_between_hosts },
  { "configuration after a gap", test_configuration_after_a_gap },
  { "claims change the view", test_claims_change_the_view },
  { "planned stop", test_planned_stop },
  { "copies of drains", test_copies_of_drains },
  { "rows that are not known", test_rows_that_are_not_known },
  { "holder", test_holder },
  { "burst of cancellations", test_burst_of_cancellations },
  { "oldest jobs are appended first", test_oldest_jobs_are_appended_first },
  { "a task from start to end", test_a_task_from_start_to_end },
  { "invalid events", test_invalid_events }
};

KQ_TEST_MAIN ("core", tests)
