#include "node/gauges.h"

#include <inttypes.h>
#include <stdio.h>

#include "log/log.h"
#include "metrics/metrics.h"

#define MILLICORES_PER_CORE 1000
#define MIB_PER_GIB 1024

enum gauge
{
  GAUGE_OWNER,
  GAUGE_OPEN_JOBS,
  GAUGE_READY,
  GAUGE_BOUND,
  GAUGE_WORKERS,
  GAUGE_CPU,
  GAUGE_CPU_USED,
  GAUGE_MEM,
  GAUGE_MEM_USED,
  GAUGE_STARTS,
  GAUGE_DONE,
  GAUGE_FAILED,
  GAUGE_STOPPED,
  GAUGE_LAPSED,
  GAUGE_GANG_BROKEN,
  GAUGE_GANG_INCOMPLETE,
  GAUGE_PACES,
  GAUGE_FILLERS_STOPPED,
  GAUGE_STALLS,
  GAUGE_PREEMPTIONS,
  GAUGE_OVERDUE_TASKS,
  GAUGE_OVERDUE_BESIDE_ROOM,
  GAUGE_HOLDS,
  GAUGE_URGENT_PREEMPTIONS,
  GAUGE_PREEMPTED_WORK,
  GAUGE_PREEMPTIONS_REFUSED,
  GAUGE_RACK_WAITING,
  GAUGE_RACK_WAITS,
  GAUGE_RACK_WAITS_PAID,
  GAUGE_RACK_WAITS_LOST,
  GAUGE_FAR_RUNS,
  GAUGE_CRASHES,
  GAUGE_LOSSES_SET_ASIDE,
  GAUGE_LOSSES_REFUTED,
  GAUGE_OUTAGES,
  GAUGE_LAPSED_WORKERS,
  GAUGE_OTHER_INCARNATION,
  GAUGE_CHECKPOINT_BYTES,
  GAUGE_CHECKPOINTS_REFUSED,
  GAUGE_TOMBSTONES,
  GAUGE_LATE_SUBMISSIONS,
  GAUGE_UNREAD_ENDS,
  GAUGE_LATE_STARTS,
  GAUGE_SECOND_RUNS,
  GAUGE_EVACUATED_WORKERS,
  GAUGE_EVACUATED_STARTS,
  GAUGE_WITHDRAWALS,
  GAUGE_REFUSALS,
  GAUGE_REFUSED,
  GAUGE_CLOSURES,
  GAUGE_ADMITTED_LATE,
  GAUGE_ADMITTED_TOO_LATE,
  GAUGE_EVACUATION_MOVES,
  GAUGE_CONFIG_VERSION,
  GAUGE_TERM,
  GAUGE_OWNER_CHANGES,
  GAUGE_STORE_AGE,
  GAUGE_LOG_DROPPED,
  GAUGE_COUNT
};

static struct kq_metric gauges[GAUGE_COUNT] = {
  { .name = "kq_owner", .help = "1 while this host is the owner." },
  { .name = "kq_jobs_open", .help = "Jobs that are not over." },
  { .name = "kq_tasks_ready", .help = "Tasks that wait for room." },
  { .name = "kq_tasks_bound", .help = "Tasks that may be at a worker." },
  { .name = "kq_workers_usable", .help = "Registered, not draining." },
  { .name = "kq_room_cpu", .help = "CPU of these, thousandths of a core." },
  { .name = "kq_room_cpu_used", .help = "Counted against it." },
  { .name = "kq_room_memory", .help = "Memory of these, MiB." },
  { .name = "kq_room_memory_used", .help = "Counted against it." },
  { .name = "kq_starts_total", .help = "Starts in this term." },
  { .name = "kq_ends_done_total", .help = "Runs ended done." },
  { .name = "kq_ends_failed_total", .help = "Runs ended failed." },
  { .name = "kq_ends_stopped_total", .help = "Runs ended stopped." },
  { .name = "kq_ends_lapsed_total", .help = "Runs whose lease lapsed." },
  { .name = "kq_ends_broken_total", .help = "Runs broken by their gang." },
  { .name = "kq_ends_alone_total", .help = "Runs whose gang was late." },
  { .name = "kq_paces_total", .help = "Fillers whose pace was changed." },
  { .name = "kq_moves_total", .help = "Fillers stopped for others' sake." },
  { .name = "kq_stalls_total", .help = "Tasks that stood still." },
  { .name = "kq_preemptions_total",
    .help = "Tasks stopped to make room for a long-running one." },
  { .name = "kq_long_running_overdue",
    .help = "Long-running tasks that have not run for 2 s after a loss." },
  { .name = "kq_long_running_beside_room_total",
    .help = "Checks in which a worker had room for such a task twice over." },
  { .name = "kq_holds_total",
    .help = "Large tasks for which room was held at a worker." },
  { .name = "kq_urgent_preemptions_total",
    .help = "Tasks stopped to make room for urgent work." },
  { .name = "kq_urgent_preempted_core_ms_total",
    .help = "Work discarded for urgent work, core-milliseconds." },
  { .name = "kq_urgent_preemptions_refused_total",
    .help = "Preemptions for urgent work that the budget did not allow." },
  { .name = "kq_rack_waiting",
    .help = "Tasks and gangs that wait for room in a rack." },
  { .name = "kq_rack_waits_total", .help = "Such waits begun." },
  { .name = "kq_rack_waits_paid_total",
    .help = "Waits that ended with a start in the rack, within their gain." },
  { .name = "kq_rack_waits_lost_total", .help = "Waits that did not." },
  { .name = "kq_far_runs_total",
    .help = "Runs away from the rack of their data or group." },
  { .name = "kq_crashes_total",
    .help = "Runs that had not settled when their worker was lost." },
  { .name = "kq_losses_set_aside_total",
    .help = "Of these, explained by an outage." },
  { .name = "kq_losses_refuted_total",
    .help = "Of these, by workers that replied later." },
  { .name = "kq_outages_total",
    .help = "Times that many workers were lost together." },
  { .name = "kq_lapsed_workers_total",
    .help = "Workers whose runs ended with their leases." },
  { .name = "kq_other_incarnation_replies_total",
    .help = "Replies of another incarnation than the order was for." },
  { .name = "kq_checkpoint_bytes",
    .help = "Checkpoints that are longer than 63 bytes." },
  { .name = "kq_checkpoints_refused_total",
    .help = "Checkpoints that were too long or without room." },
  { .name = "kq_cancelled_ids",
    .help = "IDs that were cancelled while no job had them." },
  { .name = "kq_late_submissions_total",
    .help = "Submissions refused since their ID was cancelled before." },
  { .name = "kq_unread_ends_total",
    .help = "Ended runs that workers forgot before they were read." },
  { .name = "kq_late_starts_total",
    .help = "Runs over while their start orders could be carried out." },
  { .name = "kq_second_runs_total",
    .help = "Runs listed beside another run of their task." },
  { .name = "kq_evacuated_workers",
    .help = "Registered, in a zone under evacuation." },
  { .name = "kq_evacuated_starts_total",
    .help = "Starts dropped because their zone was to be evacuated." },
  { .name = "kq_withdrawn_jobs_total",
    .help = "New jobs taken back because the store was away." },
  { .name = "kq_store_away_refusals_total",
    .help = "Requests refused by the owner because the store was away." },
  { .name = "kq_admission_refused_total",
    .help = "Jobs refused with 429: too late to be of use." },
  { .name = "kq_admission_closures_total",
    .help = "Times that a queue was closed to jobs of any size." },
  { .name = "kq_admission_late_total",
    .help = "Jobs accepted that are expected to be late, but of use." },
  { .name = "kq_admission_spared_total",
    .help = "Jobs of no use accepted so that no kind is shut out." },
  { .name = "kq_evacuation_moves_total",
    .help = "Tasks stopped to move them out of a zone." },
  { .name = "kq_config_version", .help = "Configuration in force here." },
  { .name = "kq_term", .help = "Term of the owner known here." },
  { .name = "kq_owner_changes_total", .help = "Owners seen by this process." },
  { .name = "kq_store_age_us", .help = "Since the store answered last." },
  { .name = "kq_log_dropped_total", .help = "Log lines a full pipe refused." },
};

void
kq_gauges_register (void)
{
  for (int i = 0; i < GAUGE_COUNT; i++)
    kq_metric_register (&gauges[i]);
}

void
kq_gauges_count_refusal (void)
{
  kq_metric_add (&gauges[GAUGE_REFUSALS], 1);
}

void
kq_gauges_set (const struct kq_sched_counts *counts)
{
  static const struct kq_sched_counts none;

  kq_metric_set (&gauges[GAUGE_OWNER], counts != NULL);
  if (counts == NULL)
    counts = &none;
  kq_metric_set (&gauges[GAUGE_OPEN_JOBS], counts->open_jobs);
  kq_metric_set (&gauges[GAUGE_READY], counts->ready_tasks);
  kq_metric_set (&gauges[GAUGE_BOUND], counts->bound_tasks);
  kq_metric_set (&gauges[GAUGE_WORKERS], counts->usable_workers);
  kq_metric_set (&gauges[GAUGE_CPU], counts->cpu_capacity);
  kq_metric_set (&gauges[GAUGE_CPU_USED], counts->cpu_used);
  kq_metric_set (&gauges[GAUGE_MEM], counts->mem_capacity);
  kq_metric_set (&gauges[GAUGE_MEM_USED], counts->mem_used);
  kq_metric_set (&gauges[GAUGE_STARTS], counts->starts);
  for (int how = KQ_SCHED_DONE; how <= KQ_SCHED_GANG_INCOMPLETE; how++)
    kq_metric_set (&gauges[GAUGE_DONE + how], counts->ends[how]);
  kq_metric_set (&gauges[GAUGE_PACES], counts->paces);
  kq_metric_set (&gauges[GAUGE_FILLERS_STOPPED], counts->moves);
  kq_metric_set (&gauges[GAUGE_STALLS], counts->stalls);
  kq_metric_set (&gauges[GAUGE_PREEMPTIONS], counts->preemptions);
  kq_metric_set (&gauges[GAUGE_OVERDUE_TASKS], counts->overdue_tasks);
  kq_metric_set (&gauges[GAUGE_OVERDUE_BESIDE_ROOM],
                 counts->overdue_beside_room);
  kq_metric_set (&gauges[GAUGE_HOLDS], counts->holds);
  kq_metric_set (&gauges[GAUGE_URGENT_PREEMPTIONS],
                 counts->urgent_preemptions);
  kq_metric_set (&gauges[GAUGE_PREEMPTED_WORK],
                 counts->preempted_work / MILLICORES_PER_CORE);
  kq_metric_set (&gauges[GAUGE_PREEMPTIONS_REFUSED],
                 counts->preemptions_refused);
  kq_metric_set (&gauges[GAUGE_RACK_WAITING], counts->rack_waiting);
  kq_metric_set (&gauges[GAUGE_RACK_WAITS], counts->rack_waits);
  kq_metric_set (&gauges[GAUGE_RACK_WAITS_PAID], counts->rack_waits_paid);
  kq_metric_set (&gauges[GAUGE_RACK_WAITS_LOST], counts->rack_waits_lost);
  kq_metric_set (&gauges[GAUGE_FAR_RUNS], counts->far_runs);
  kq_metric_set (&gauges[GAUGE_CRASHES], counts->crashes);
  kq_metric_set (&gauges[GAUGE_LOSSES_SET_ASIDE], counts->losses_set_aside);
  kq_metric_set (&gauges[GAUGE_LOSSES_REFUTED], counts->losses_refuted);
  kq_metric_set (&gauges[GAUGE_OUTAGES], counts->outages);
  kq_metric_set (&gauges[GAUGE_LAPSED_WORKERS], counts->lapsed_workers);
  kq_metric_set (&gauges[GAUGE_OTHER_INCARNATION],
                 counts->other_incarnation_replies);
  kq_metric_set (&gauges[GAUGE_CHECKPOINT_BYTES], counts->checkpoint_bytes);
  kq_metric_set (&gauges[GAUGE_CHECKPOINTS_REFUSED],
                 counts->checkpoints_refused);
  kq_metric_set (&gauges[GAUGE_TOMBSTONES], counts->tombstones);
  kq_metric_set (&gauges[GAUGE_LATE_SUBMISSIONS], counts->late_submissions);
  kq_metric_set (&gauges[GAUGE_UNREAD_ENDS], counts->unread_ends);
  kq_metric_set (&gauges[GAUGE_LATE_STARTS], counts->late_starts);
  kq_metric_set (&gauges[GAUGE_SECOND_RUNS], counts->second_runs);
  kq_metric_set (&gauges[GAUGE_EVACUATED_WORKERS], counts->evacuated_workers);
  kq_metric_set (&gauges[GAUGE_EVACUATED_STARTS], counts->evacuated_starts);
  kq_metric_set (&gauges[GAUGE_WITHDRAWALS], counts->withdrawals);
  kq_metric_set (&gauges[GAUGE_REFUSED], counts->refused);
  kq_metric_set (&gauges[GAUGE_CLOSURES], counts->closures);
  kq_metric_set (&gauges[GAUGE_ADMITTED_LATE], counts->admitted_late);
  kq_metric_set (&gauges[GAUGE_ADMITTED_TOO_LATE], counts->admitted_too_late);
  kq_metric_set (&gauges[GAUGE_EVACUATION_MOVES], counts->evacuation_moves);
  kq_metric_set (&gauges[GAUGE_LOG_DROPPED], (int64_t)kq_log_dropped ());
}

void
kq_gauges_log (const struct kq_sched_counts *counts)
{
  char ready[16];
  char late[16];
  char bound[16];
  char workers[16];
  char cores[64];
  char memory[48];

  snprintf (ready, sizeof ready, "%d", counts->ready_tasks);
  snprintf (late, sizeof late, "%d", counts->ready_late);
  snprintf (bound, sizeof bound, "%d", counts->bound_tasks);
  snprintf (workers, sizeof workers, "%d", counts->usable_workers);
  snprintf (cores, sizeof cores, "%" PRId64 "+%" PRId64 "/%" PRId64,
            counts->cpu_long_running / MILLICORES_PER_CORE,
            (counts->cpu_used - counts->cpu_long_running)
                / MILLICORES_PER_CORE,
            counts->cpu_capacity / MILLICORES_PER_CORE);
  snprintf (memory, sizeof memory, "%" PRId64 "/%" PRId64,
            counts->mem_used / MIB_PER_GIB,
            counts->mem_capacity / MIB_PER_GIB);
  kq_log (KQ_LOG_INFO, "owner", "cell", 0, "ready_tasks", ready, "late", late,
          "bound_tasks", bound, "workers", workers, "cores", cores,
          "memory_gib", memory, NULL);
}

void
kq_gauges_set_host_state (int64_t version, int64_t term, int64_t owner_changes,
                          int64_t store_age_us)
{
  kq_metric_set (&gauges[GAUGE_CONFIG_VERSION], version);
  kq_metric_set (&gauges[GAUGE_TERM], term);
  kq_metric_set (&gauges[GAUGE_OWNER_CHANGES], owner_changes);
  kq_metric_set (&gauges[GAUGE_STORE_AGE], store_age_us);
}
