/** @file
 * Types and functions shared by the modules of sched/.
 */
#ifndef KQ_SCHED_INTERNAL_H
#define KQ_SCHED_INTERNAL_H

#include <uthash.h>
#include <utlist.h>

#include "sched/admit.h"
#include "sched/close.h"
#include "sched/demand.h"
#include "sched/evidence.h"
#include "sched/length.h"
#include "sched/near.h"
#include "sched/preempt.h"
#include "sched/pressure.h"
#include "sched/sched.h"
#include "sched/terms.h"

/* Length of a lease after a renewal, on the worker's clock. It is longer
   than a takeover and a restart of all hosts, and shorter than hold_max of
   any known deployment. Source: docs/design/platform.md. */
#define KQ_SCHED_LEASE_MS 5000

/* Longest lease that a worker grants, hold_max of the known deployments: also
   for an end on the clock of an earlier incarnation. */
#define KQ_SCHED_MAX_LEASE_MS 10000

/* Length of the lease that a start order grants; a worker refuses an order
   that arrives later. */
#define KQ_SCHED_START_LEASE_MS 3000

/* Time after the last confirmation of its term for which an owner that is
   cut off from the store may renew leases and start tasks. With the lease it
   bounds both the outage of the store that running tasks survive, 8 s, and the
   time for which a successor leaves the tasks of a silent worker alone.
   Long-running tasks must go on 9 s after their last run. */
#define KQ_SCHED_UNCONFIRMED_LIMIT_US (3 * KQ_USEC_PER_SEC)

/* Age of the last complete read of the registrations from which nothing is
   started: the 3 s after which a smaller capacity counts, less the longest
   time for which an order may be under way. */
#define KQ_SCHED_MAX_REGISTRATION_AGE_US (2200 * KQ_USEC_PER_MSEC)

/* Minimum time between two polls of a worker that has reported ended runs
   which are not stored, and so not acknowledged, yet. */
#define KQ_SCHED_UNACKED_POLL_INTERVAL_US (250 * KQ_USEC_PER_MSEC)

/* A worker that has not replied for this long gets no new tasks. */
#define KQ_SCHED_UNRESPONSIVE_US (1700 * KQ_USEC_PER_MSEC)

/* Poll interval of a worker without tasks, and the time without a reply
   after which it gets no new tasks: two missed polls. Its lease protects no
   task, and its registration shows when it is gone, so that rare polls
   suffice. */
#define KQ_SCHED_IDLE_POLL_INTERVAL_US (3 * KQ_USEC_PER_SEC)
#define KQ_SCHED_IDLE_UNRESPONSIVE_US (5 * KQ_USEC_PER_SEC)

/* A worker's clock runs at 98 percent of the true rate at least. */
#define SLOWEST_CLOCK_PERCENT 98

/* Time after the end of a lease from which it counts as lapsed. */
#define LAPSE_MARGIN_MS 300

/* Time after which a lease that was granted or renewed has lapsed, also on the
   slowest clock. */
#define LONGEST_LAPSE_US                                                      \
  ((KQ_SCHED_LEASE_MS + LAPSE_MARGIN_MS) * KQ_USEC_PER_MSEC * 100             \
   / SLOWEST_CLOCK_PERCENT)

/* The same for the longest lease. */
#define MAX_LAPSE_US                                                          \
  ((KQ_SCHED_MAX_LEASE_MS + LAPSE_MARGIN_MS) * KQ_USEC_PER_MSEC * 100         \
   / SLOWEST_CLOCK_PERCENT)

/* An order without a reply may be carried out for so long after it was sent,
   as far as a restart of its worker counts with it. */
#define OPEN_ORDER_US (12 * KQ_USEC_PER_SEC)

/* Number of records among which the grants of all workers are split, so that
   a change of one writes few others again. */
#define GRANT_BUCKETS 16

/* Maximum number of ended runs in one status. */
#define KQ_SCHED_MAX_STATUS_ENDS 500

/* Maximum number of rooms that are held for urgent tasks at a time. */
#define MAX_HOLDS 64

enum task_state
{
  TASK_WAITING, /* for earlier steps, or until its occurrence is due */
  TASK_READY,
  TASK_BOUND, /* a run is assigned to a worker and may be running there */
  TASK_DONE
};

enum task_phase
{
  PHASE_STORING,     /* its record is not stored yet; nothing is sent */
  PHASE_START_SENT,  /* the start order is in flight */
  PHASE_RUNNING,     /* the worker has accepted the start */
  PHASE_UNCONFIRMED, /* start order without a reply; a stop order follows */
  PHASE_STOPPING,    /* the worker has accepted the stop */
  PHASE_RESTORED     /* read from the store; not confirmed by the worker yet */
};

/* What the end of a worker's leases is counted from while its clock is not
   read. */
enum lapse_basis
{
  LAPSE_FROM_EARLIER_OWNER, /* when that may have renewed them last */
  LAPSE_FROM_RESTART        /* when its incarnation became known */
};

struct job;
struct unread_job;
struct stage;
struct worker;

struct task
{
  struct stage *stage;
  int index;
  enum task_state state;
  enum task_phase phase;
  int run;           /* number of its latest run; 0: none yet */
  bool has_run;      /* a run that has ended may have begun */
  int preempted_run; /* last run that was stopped for others; 0: none */
  uint64_t
      failed_runs; /* bit N is set if run FAILED_BASE + N + 1 has failed */
  int failed_base;
  int failed_before; /* number of failed runs up to FAILED_BASE */
  /* Workers lost under its runs since one of these settled: workers that have
     crashed after they accepted the start, those that have crashed and may
     have accepted it, those whose crash an outage explains, those that may
     only have been silent, and those that were silent with many others. */
  int crashes;
  int unproven_crashes;
  int losses_set_aside;
  int silent_losses;
  int cut_losses;
  struct crash_history *crash_history; /* these losses (crash.c), or NULL */
  struct checkpoint *checkpoint; /* the same for all members of a gang; NULL:
                                    none */
  struct checkpoint *stored_checkpoint; /* in a record of its own, or NULL */
  uint64_t listed_checkpoint; /* hash of the one that a member listed last */
  int checkpoint_refused_run; /* the last run of which one was not kept */
  struct worker *worker;      /* while bound */
  struct worker *avoided_worker;  /* worker where it last failed or stalled */
  kq_usec avoided_until;          /* it does not return there before */
  struct worker *reserved_worker; /* kept free for it while it is ready */
  kq_usec reserved_at;            /* since when */
  struct task *reserved_next;     /* list of the reservations there */
  struct worker *large_worker;    /* its room there is left to it while it is
                                     ready (large.c) */
  kq_usec phase_since;
  kq_usec stop_sent_at;
  kq_usec start_sent_at;      /* when the order for its run was; 0: not sent */
  bool start_settled;         /* that order has no effect any more */
  struct worker *late_worker; /* may begin an earlier run of it (late.c) */
  kq_usec late_sent_at;       /* when its start order was sent; 0: unknown */
  kq_usec late_until;         /* until then; 0: none may */
  bool late_is_unanswered;    /* its start order had no reply */
  int64_t late_incarnation_ms; /* of that worker when it was started there */
  struct term_time late_sent;  /* when that order was sent */
  int64_t late_listed_ms;      /* its later one that lists that run; 0: none */
  bool late_is_counted;        /* the loss of a worker counts for that run */
  struct late_order *late_earlier; /* open orders before that one, the oldest
                                      first (late.c) */
  kq_usec accepted_at;    /* first sign that it was accepted; 0: none yet */
  int64_t incarnation_ms; /* of its worker then; 0: not sent */
  kq_usec placed_at;      /* when its latest run was bound, at the latest */
  struct term_time placed;
  bool placed_lately; /* so shortly before it was restored */
  bool settled;       /* its run does not crash the worker */
  bool wait_over;     /* a wait for a rack did not pay off */
  bool stop_wanted;
  bool may_use_quarantined; /* its job has nothing running, and it found no
                               other worker */
  bool may_disturb; /* slows down serving tasks, but is throttled, not moved */
  int pace_percent; /* CPU limit set for a filler, percent */
  int next_pace_percent; /* limit that it needs now; set after a delay if it is
                            higher */
  kq_usec pace_changed_at;
  int percent;             /* reported progress; -1: none reported yet */
  kq_usec other_run_until; /* a worker lists another run of it, which is being
                              stopped: it is not started before */
  int wait_expected_ms;    /* what a wait for a rack expected as it began */
  kq_usec wait_began;      /* 0: it does not wait for room in a rack */
  kq_usec progress_at;     /* last change of progress, phase or pace */
  int preempted_tenth;     /* when that was, in tenths of a second */
  kq_usec ready_at; /* since when it waits; refused starts change nothing */
  int64_t sample;   /* tail latency in ms if it serves, else CPU used */
  kq_usec over_target_since; /* its tail exceeds its target; 0: no */
  struct task *prev;         /* list of its worker, while bound */
  struct task *next;

  bool at_work; /* as disruption.c counts it */
  bool moved;   /* stopped to move it out of a zone in this term */
};

/* One occurrence of a step of a job. */
struct stage
{
  struct job *job;
  const struct kq_sched_step *step;
  int occurrence;
  int number;  /* index of the step in the job */
  int image;   /* index in the interference model */
  double load; /* utilization without fillers, 0 to 1; 0: unknown */
  struct task *tasks;
  int ready_count;
  int done_count;
  int large_count;         /* tasks with a worker where room is held */
  int reserved_count;      /* ready tasks with a reserved worker */
  int run_count;           /* runs of its tasks that were placed */
  kq_usec opened_at;       /* its prerequisites were done */
  kq_usec first_placed_at; /* 0: no task was placed yet */
  kq_usec last_placed_at;
  int measured_count; /* tasks done whose run time is known */
  int64_t longest_ms; /* longest run time among these */
  int checkpoint_run; /* of a gang: the run whose member had its checkpoint */
  int checkpoint_percent;    /* and the progress of that member then */
  bool open;                 /* its prerequisites are done */
  bool queued;               /* in the queue of stages with ready tasks */
  bool advice_wanted;        /* no worker with a valid ticket has capacity */
  bool group_spread;         /* its tasks have run in more than one rack */
  struct advice_row *advice; /* replies of the policy service */
  int advice_count;
  int64_t due_ms;           /* wall clock by which the job should end */
  int64_t critical_path_ms; /* longest chain of steps from here, ms */
  int64_t length_ms;        /* expected run time of a task */
  int hold_count;           /* rooms that are held for its ready tasks */
  kq_usec preempt_searched_at;
  int lateness; /* 0: in time, 1: late, 2: past three times its objective */
  struct worker *group_worker; /* one in the rack chosen for its group */
  kq_usec group_look_at;       /* no rack is looked for before this time */
  struct stage *prev;          /* queue of stages with ready tasks */
  struct stage *next;

  int at_work_count;       /* of its tasks, those at work */
  bool moved;              /* a task of it was moved out of a zone */
  kq_usec no_move_room_at; /* last search for room that a move did not find */
};

/* Learned run times of the steps of one queue, and what admission knows of
   its jobs. */
struct queue_run_times
{
  char queue[KQ_SCHED_NAME_SIZE];
  struct kq_length length;
  struct kq_admit_queue admit;
  struct kq_close close;
  int refused_unlogged; /* refusals since the last log line */
  kq_usec refusals_logged_at;
  struct queue_run_times *next;
};

struct job
{
  uint64_t id;
  char queue_name[KQ_SCHED_NAME_SIZE];
  struct kq_sched_queue queue; /* its last configured settings */
  bool queue_changed;          /* these are others than in its JobRecord */
  int service;                 /* index of the queue's service */
  struct kq_sched_spec spec;
  uint8_t *body; /* NULL once its JobRecord is encoded */
  size_t body_size;
  int64_t accepted_ms;
  int64_t ended_ms;
  int64_t ended_age_ms; /* age of its cell then (retention.c); 0: unknown */
  enum kq_sched_state state;
  bool started;         /* a task of it has started */
  kq_usec late_until;   /* an earlier run of a task that is done may begin
                           until then */
  bool given_up;        /* a task of it crashes its workers */
  bool names_rack;      /* a step of it names the rack of its data */
  struct stage *stages; /* occurrences * steps */
  int stage_count;
  int stages_done;
  int occurrences_opened; /* number of occurrences that are due */
  bool dirty;             /* its state has changed and is not encoded */
  bool record_due;        /* its JobRecord is not encoded yet */
  bool has_new_end; /* a task of it has ended since its state was encoded */
  bool expired;     /* its records are to be deleted */
  bool has_long_checkpoint;   /* a task of it has or had one */
  uint64_t *part_hashes;      /* of the stored parts of its state (state.c) */
  int part_count;             /* of these, with part 0, or 0 */
  uint64_t changed_position;  /* journal position of its last change */
  uint64_t accepted_position; /* position that stores its JobRecord */
  struct job *dirty_prev;
  struct job *dirty_next;
  UT_hash_handle hh;
};

/* Interference from all fillers at a worker on its serving tasks of one
   image. */
struct share_slot
{
  int image;
  double interference;     /* predicted from the CPU demand of the fillers */
  double max_interference; /* lowest limit of these serving tasks */
};

/* Room at a worker for one task of a stage; in the list of its worker. */
struct hold
{
  struct stage *stage; /* NULL: unused */
  struct worker *worker;
  kq_usec until;
  struct hold *next;
};

/* Maximum number of serving images per worker that have their own slot;
   further images share the last one. */
#define MAX_SHARE_SLOTS 6

/* An end that is not acknowledged before UNTIL. */
struct late_hold
{
  int64_t number;
  kq_usec until;
};

/* Maximum number of ends per worker that are held apart; the last of these
   holds the further ones too. */
#define MAX_LATE_HOLDS 16

struct worker
{
  /* These and the capacity are read for each pair of a task and a worker: they
     share a cache line. */
  struct kq_sched_demand used; /* by its tasks; CPU without fillers */
  int64_t filler_cpu;          /* demand of its fillers */
  int64_t idle_cpu;            /* reserved by serving tasks, but not used */
  struct kq_sched_registration report;
  int service; /* index among the known services */
  bool registered;
  bool report_outdated; /* it describes an earlier incarnation */
  struct share_slot slots[MAX_SHARE_SLOTS];
  int slot_count;
  bool near_target;  /* fillers may push a serving task over its target */
  bool slots_valid;  /* until a task is added or removed or a load changes */
  int serving_count; /* number of serving tasks */
  int task_count;
  int64_t long_running_cpu; /* of that in use, by long-running tasks */
  struct task *tasks;
  struct task *reservations;       /* tasks that wait for room here */
  struct kq_sched_demand reserved; /* for these */
  int reserved_count;              /* of these; no other task is placed here */
  struct kq_sched_demand held;     /* sum of HOLDS */
  struct hold *holds;
  struct kq_sched_demand large_held; /* for large tasks that wait (large.c) */
  int large_count;                   /* of these */
  int large_priority;                /* of these */
  /* poll state */
  int polls_in_flight; /* one may wait for an end, another is immediate */
  bool idle;           /* has no tasks and is polled rarely */
  bool poll_at_once;   /* poll without delay, even while another poll waits */
  kq_usec last_reply_at; /* last reply of any kind; 0: none yet */
  kq_usec next_poll_at;
  int64_t worker_clock_ms; /* worker's clock at clock_read_at */
  kq_usec clock_read_at;
  int64_t lease_end_ms; /* latest end sent by this owner, worker's clock */
  kq_usec renewed_at;   /* last renewal of its lease that was sent; 0: none */
  kq_usec leases_counted_from; /* while its clock is not read: nothing has
                                  extended them later */
  enum lapse_basis lapse_basis;
  int64_t fence; /* of its orders; 0: that of the owner's term */
  /* That fence was for an earlier incarnation: a higher one is due. */
  bool fence_spent;
  int64_t grant_term;        /* last owner that may have renewed its lease */
  uint64_t grant_position;   /* position that stores this; 0: another term */
  bool has_restored_tasks;   /* an earlier owner has started tasks here */
  kq_usec incarnation_since; /* when its incarnation became known */
  bool lost;                 /* another process has its address */
  bool unheard;              /* no reply since an outage around it */
  bool loss_noted;           /* no reply since it was lost */
  bool ended_as_announced;   /* its earlier incarnation was draining */
  int suspect_count;         /* of its tasks, those on trial (crash.c) */
  int64_t last_end; /* highest number of an ended run that was applied */
  int64_t acked_end;
  uint64_t last_end_position;
  kq_usec refused_at;     /* when the last poll was sent that found no process
                             listening at its address, if it has not replied since;
                             else 0 */
  kq_usec silent_poll_at; /* when the last poll was sent that had no reply, if
                             none that was sent later had one; else 0 */
  kq_usec listed_at;      /* when the last poll was sent that this incarnation
                             replied to under its fence; 0: none */
  int64_t forgotten_end; /* up to it the worker has no ends, as it said: a poll
                            need not name them, and does no harm if it is late
                            and reaches the next incarnation */
  kq_usec open_renewal_at; /* when the last renewal was sent that was neither
                              refused nor answered by the known incarnation; 0:
                              none */
  kq_usec unanswered_at;   /* when the last poll or start was sent that had no
                              reply; 0: none */
  bool has_long_lease;     /* the lease may end by the clock of an earlier
                              incarnation (grant.c) */
  int64_t granted_incarnation_ms; /* the one that earlier owners knew; 0: none
                                     did */
  kq_usec long_lease_until;       /* that has lapsed then; 0: not known yet */
  struct late_hold late_holds[MAX_LATE_HOLDS]; /* in the order of numbers */
  int late_hold_count;
  bool has_late_orders;  /* a start order there had no reply */
  kq_usec late_until;    /* until then the latest of these may be carried out;
                            0: none was sent */
  kq_usec late_asked_at; /* last poll for runs of late orders; 0: none */
  bool ends_known;       /* this owner has seen its incarnation begin */
  /* health */
  int failed_jobs; /* distinct jobs with consecutive failures here */
  uint64_t last_failed_job;
  kq_usec quarantined_until;
  kq_usec no_starts_until;
  kq_usec order_unanswered_since; /* when the first order without a reply was
                                     sent, if none had one since; else 0 */
  kq_usec order_silence_backoff;  /* last one; 0: an order had a reply since */
  bool order_silence_logged;
  kq_usec pace_changed_at;
  struct kq_near_running short_running; /* its short tasks */
  struct rack *rack; /* NULL: none, or no difference between racks */
  struct worker *rack_prev;
  struct worker *rack_next;

  bool evacuated;          /* its zone is under evacuation */
  kq_usec cold_until;      /* its tasks take longer; 0: warm */
  kq_usec next_cold_start; /* no task is placed there before, while cold */
  kq_usec report_read_at;  /* when its registration was read */
  struct kq_sched_demand planned;   /* of moves, while these are planned */
  struct kq_sched_demand most_room; /* that stops and ends could make, as of
                                       room_bounded_pass */

  struct worker *prev;
  struct worker *next;
  UT_hash_handle hh;
};

struct rack_key
{
  int service;
  char name[KQ_SCHED_NAME_SIZE];
};

/* What stands between a task and a start in a rack. */
struct rack_room
{
  int places; /* number of workers that may run it, busy or not */
  struct kq_sched_demand missing; /* at the worker that misses least CPU */
};

/* The workers of a service in one rack. */
struct rack
{
  struct rack_key key;
  struct kq_near_ends ends;
  struct worker *workers;
  int worker_count;             /* of these, registered and not draining */
  struct kq_sched_demand ahead; /* of tasks that wait for it, in this pass */
  uint64_t pass;
  bool full; /* no worker had room for FULL_FOR since the last change */
  struct kq_sched_demand full_for;
  struct rack_room room; /* at the last search */
  UT_hash_handle hh;
};

struct effect_node
{
  struct kq_sched_effect effect;
  struct effect_node *next;
  struct effect_node *prev;
};

/* A service, and the CPU of its short tasks: those that are neither fillers
   nor long-running. */
struct service
{
  char name[KQ_SCHED_NAME_SIZE];
  int64_t short_cpu; /* bound, or ready and in time */
  double short_peak; /* a decaying maximum of it */
  double mean_cpu;   /* of the short tasks that were started lately */
  double mean_square;
  struct kq_preempt preempt;
  /* Of the large ones, in the current span of time and in the one before: the
     largest size, and the most that one stage needs at a time. */
  int64_t large_size[2];
  int64_t large_need[2];
  int large_ticks; /* since the current span began */
  struct kq_admit_service admit;
  double admission_room[KQ_ADMIT_SIZE_CLASSES]; /* as summed up by a tick */
  double start_ms; /* mean time from placement to start of a task */
};

struct kq_sched
{
  int64_t term; /* of this owner; 0: unknown */
  kq_usec term_began_at;
  struct kq_sched_past_term past_terms[KQ_SCHED_MAX_PAST_TERMS];
  int past_term_count;
  uint32_t dirty_grants;          /* bit set of the buckets to be stored */
  struct job *jobs;               /* by id */
  struct unread_job *unread_jobs; /* by id (unread.c) */
  struct tombstone *tombstones;   /* by id (tombstone.c) */
  struct tombstone *tombstone_list;
  struct tombstone *changed_tombstones; /* not encoded yet */
  size_t checkpoint_bytes;              /* of long checkpoints */
  struct worker *workers;               /* by id */
  struct worker *worker_list;
  struct worker **worker_array; /* the same workers */
  size_t worker_count;
  size_t worker_array_size;
  size_t next_candidate; /* index where the next search for a worker begins */
  struct service *services;
  int service_count;
  struct stage *queue; /* stages with ready tasks, in order of urgency */
  struct job *dirty;
  uint64_t position; /* position that the next batch of records closes */
  uint64_t stored;
  uint64_t maybe_stored; /* the store may hold records up to here */
  struct effect_node *effects;
  const struct kq_sched_config *config;
  struct kq_sched_settings settings;
  struct kq_interference *interference_model;
  struct queue_run_times *lengths;
  struct rack *racks;         /* by service and name */
  bool racks_overflow;        /* there are more racks than are learned */
  uint64_t placement_pass;    /* number of the current or last one */
  uint64_t room_bounded_pass; /* when most_room of the workers was computed */
  bool advice_in_flight;   /* a request to the policy service is in flight */
  kq_usec advice_retry_at; /* no request is sent before this time */
  kq_usec overdue_checked_at; /* last check for overdue tasks; 0: none yet */
  kq_usec interference_stored_at; /* when the model's record last fell due */
  bool interference_due;
  int64_t first_age_ms;     /* age of the cell when this owner began */
  kq_usec age_counted_from; /* when that was */
  kq_usec age_stored_at;    /* when its record last fell due */
  int64_t due_age_ms;       /* to be stored; 0: none */
  bool superseded;
  bool job_given_up;            /* a job is to be ended for its crashes */
  struct kq_evidence *evidence; /* losses of workers */
  kq_usec silence_noted_at;     /* last look for silent workers; 0: none yet */
  struct crash_history *crash_histories;
  struct worker *next_polled; /* where the search for due polls continues */
  kq_usec next_search_at;     /* a new search starts no earlier than this */
  int64_t fence;              /* highest one of this owner; 0: unknown */
  kq_usec confirmed_at;       /* last confirmation of the term by the store */
  kq_usec registrations_at;   /* all until then were read; 0: not reported */
  kq_usec poll_interval; /* time between a worker's reply and the next poll */
  bool placement_due; /* capacity or tasks changed since the last placement */
  bool reserve_due;   /* the next placement may reserve workers */
  kq_usec preempt_searched_at; /* last search for tasks to be stopped */
  size_t preempt_next;         /* index where the next one begins */
  struct hold holds[MAX_HOLDS];
  int hold_count;
  int64_t spare_large_room; /* how much the task being placed may take */
  bool large_room_denied;   /* for that a worker was passed over */
  struct kq_admit_refused refused;
  kq_usec admission_began_at;   /* first tick of this owner; 0: none yet */
  kq_usec admission_updated_at; /* last tick */
  int64_t admission_elapsed_ms; /* between the last two ticks */
  struct kq_sched_counts counts;

  struct kq_sched_zones zones; /* under evacuation */
  kq_usec zones_at;      /* all requests until then were read; 0: none yet */
  kq_usec cold_retry_at; /* a cold worker may take a task then; 0: none does */
};

/* sched.c */
struct kq_sched_effect *sched_add_effect (struct kq_sched *sched,
                                          enum kq_sched_effect_kind kind,
                                          uint64_t after);

/* Adds a job of QUEUE, whose settings count if it is not configured. */
struct job *sched_new_job (struct kq_sched *sched, uint64_t id,
                           const struct kq_sched_queue *queue,
                           int64_t accepted_ms, struct kq_sched_spec *spec);

/* service.c */

/* Returns the index of the service NAME, which is added if it is new; -1 when
   out of memory. */
int service_index (struct kq_sched *sched, const char *name);
/* The same without adding it; -1 if it is unknown. */
int service_find (const struct kq_sched *sched, const char *name);
/* Whether tasks of STEP are short: neither fillers nor long-running. */
bool service_is_short (const struct kq_sched_step *step);
/* Updates how much CPU the short tasks of each service need. */
void service_track_demand (struct kq_sched *sched);
/* Learns from the start of TASK how large short tasks are. */
void service_note_start (struct kq_sched *sched, const struct task *task);
/* Returns the CPU of WORKER that short tasks can use if long-running tasks
   take TAKEN more of it. */
int64_t service_room (const struct kq_sched *sched,
                      const struct worker *worker, int64_t taken);
/* Whether the tasks of STAGE are larger than the short ones there usually are.
 */
bool service_is_large (const struct kq_sched *sched,
                       const struct stage *stage);
/* The same in whole tasks of the size of the largest ones lately. */
int64_t service_large_room (const struct kq_sched *sched,
                            const struct worker *worker, int64_t taken);
/* Returns what a start of TASK at WORKER takes of that. */
int64_t service_taken_large_room (const struct kq_sched *sched,
                                  const struct worker *worker,
                                  const struct task *task);
/* Returns how much of ROOM, the sum of that over a service of CAPACITY, TASK
   may take. */
int64_t service_spare_large_room (const struct kq_sched *sched,
                                  const struct task *task, int64_t room,
                                  int64_t capacity);
/* Whether a start of TASK at WORKER takes more than that, which is set in
   sched->spare_large_room; notes that it was denied. */
bool service_takes_kept_pieces (struct kq_sched *sched,
                                const struct worker *worker,
                                const struct task *task);
/* Returns how much room for short tasks is kept from long-running tasks that
   have not run yet, in a service of CAPACITY. */
int64_t service_kept_cpu (const struct kq_sched *sched, int service,
                          int64_t capacity);

/* answers.c: replies to orders and polls */
void reply_apply_poll (struct kq_sched *sched, struct kq_sched_now now,
                       const struct kq_sched_event *event);
void reply_apply_start (struct kq_sched *sched, struct kq_sched_now now,
                        const struct kq_sched_event *event);
void reply_apply_stop (struct kq_sched *sched, struct kq_sched_now now,
                       const struct kq_sched_event *event);
void reply_apply_pace (struct kq_sched *sched, struct kq_sched_now now,
                       const struct kq_sched_event *event);

/* job.c */
struct job *job_find (struct kq_sched *sched, uint64_t id);
struct task *job_task (struct job *job, const struct kq_sched_run *run);
int job_build (struct kq_sched *sched, struct job *job);
void job_destroy (struct kq_sched *sched, struct job *job);
void job_mark_dirty (struct kq_sched *sched, struct job *job);
void job_open_due_occurrences (struct kq_sched *sched, struct job *job,
                               struct kq_sched_now now);
void job_task_done (struct kq_sched *sched, struct task *task,
                    struct kq_sched_now now);
/* Ends JOB if a task of it has failed as often as its queue allows. */
void job_end_if_failed (struct kq_sched *sched, struct job *job,
                        struct kq_sched_now now);
void job_task_failed (struct kq_sched *sched, struct task *task, int run,
                      struct kq_sched_now now);
void job_end (struct kq_sched *sched, struct job *job,
              enum kq_sched_state state, struct kq_sched_now now);
/* Returns the number of jobs of QUEUE that have not started. */
int job_count_pending (const struct kq_sched *sched, const char *queue);
bool job_has_ended (const struct job *job);
bool job_has_bound_task (const struct job *job);
void job_log (const struct job *job, const char *event, const char *why);
void job_tick_all (struct kq_sched *sched, struct kq_sched_now now);
/* Returns what is known of QUEUE, or NULL when out of memory. */
struct queue_run_times *job_run_times (struct kq_sched *sched,
                                       const char *queue);

/* admission.c */

/* Whether JOB, which is submitted and not stored, is refused. Sets *RETRY_MS
   to when its caller should try again. */
bool admission_refuses (struct kq_sched *sched, const struct job *job,
                        struct kq_sched_now now, int64_t *retry_ms);
/* Whether JOB would be refused if it was submitted now; nothing changes. Sets
 *RETRY_MS before it is spread over the callers. */
bool admission_would_refuse (const struct kq_sched *sched,
                             const struct job *job, struct kq_sched_now now,
                             int64_t *retry_ms);
/* Collect room and backlog anew: the second is called for each job between the
   others. */
void admission_begin_tick (struct kq_sched *sched, struct kq_sched_now now);
void admission_count_job (struct kq_sched *sched, const struct job *job,
                          struct kq_sched_now now);
/* Learns from TASK, which is done, how long a start takes. */
void admission_note_done (struct kq_sched *sched, const struct task *task,
                          struct kq_sched_now now);
void admission_end_tick (struct kq_sched *sched, struct kq_sched_now now);

/* Returns the length in ms of the longest chain of steps that begins with step
   NUMBER. */
int64_t job_critical_path_ms (const struct kq_sched_spec *spec,
                              const int64_t *lengths, int number);

/* task.c */
void task_make_ready (struct kq_sched *sched, struct task *task,
                      struct kq_sched_now now);
/* Makes TASK ready again, whose run has not begun: it has waited since it was
   ready for that run. */
void task_make_ready_again (struct kq_sched *sched, struct task *task,
                            struct kq_sched_now now);
/* Returns the lateness of STAGE now. */
int task_lateness (const struct kq_sched *sched, const struct stage *stage,
                   struct kq_sched_now now);
/* Returns a negative number if A comes before B in the queue. */
int task_compare_urgency (const struct stage *a, const struct stage *b);
void task_update_lateness (struct kq_sched *sched, struct kq_sched_now now);
void task_clear_ready (struct kq_sched *sched, struct task *task);
void task_bind (struct kq_sched *sched, struct task *task,
                struct worker *worker, struct kq_sched_now now);
void task_release (struct kq_sched *sched, struct task *task);
void task_stop (struct kq_sched *sched, struct task *task,
                struct kq_sched_now now);
void task_end_run (struct kq_sched *sched, struct task *task,
                   struct kq_sched_now now, const char *why);
/* The same for a run that has not begun and will not. */
void task_withdraw_run (struct kq_sched *sched, struct task *task,
                        struct kq_sched_now now, const char *why);
struct kq_sched_run task_run (const struct task *task);
void task_log (const struct task *task, const char *event, const char *why);
void task_log_debug (const struct task *task, const char *event,
                     const char *why);
/* Logs what each task goes through; its step is logged when it is done. */
void task_log_routine (const struct task *task, const char *event);
void run_format (const struct kq_sched_run *run, char text[64]);

/* worker.c */
struct worker *worker_find (struct kq_sched *sched, const char *id);
struct worker *worker_find_or_add (struct kq_sched *sched, const char *id);
void worker_register (struct kq_sched *sched, struct kq_sched_now now,
                      const struct kq_sched_registration *registration);
void worker_deregister (struct kq_sched *sched, struct kq_sched_now now,
                        const char *id);
void worker_tick (struct kq_sched *sched, struct worker *worker,
                  struct kq_sched_now now);
/* Whether no process was left at the address of WORKER at some time since AT,
   so that whatever had begun there by then is over. */
bool worker_is_gone_since (const struct worker *worker, kq_usec at);
/* Whether the registrations were read not too long ago. */
bool worker_reports_are_current (const struct kq_sched *sched,
                                 struct kq_sched_now now);
bool worker_usable (const struct worker *worker, struct kq_sched_now now);
/* The same for tasks that may start at a quarantined worker. */
bool worker_takes_starts (const struct worker *worker,
                          struct kq_sched_now now);
/* Whether WORKER is left out for a while because tasks have failed there. */
bool worker_is_quarantined (const struct worker *worker,
                            struct kq_sched_now now);
int64_t worker_clock (const struct worker *worker, kq_usec mono);
/* Records that the leases at WORKER may have been extended until FROM. */
void worker_count_leases (struct worker *worker, kq_usec from,
                          enum lapse_basis basis);
void worker_start_incarnation (struct kq_sched *sched, struct worker *worker,
                               int64_t incarnation_ms, kq_usec now);
/* Applies a reply of another process to an order for WORKER that was sent at
   SENT_AT: the worker's incarnation has ended, and so have its runs. */
void worker_lose (struct kq_sched *sched, struct worker *worker,
                  kq_usec sent_at, struct kq_sched_now now);
void worker_schedule_poll (const struct kq_sched *sched, struct worker *worker,
                           struct kq_sched_now now);
/* Makes the next poll of WORKER due, after the one in flight. */
void worker_poll_soon (struct worker *worker, struct kq_sched_now now);
/* Makes a poll of WORKER due even while another one is in flight. */
void worker_poll_at_once (struct kq_sched *sched, struct worker *worker);
void worker_note_reply (struct kq_sched *sched, struct worker *worker,
                        kq_usec now, int64_t worker_clock_ms);
void worker_note_lease (struct worker *worker, int64_t lease_end_ms);
/* A poll or a start that was sent at SENT_AT has had no reply: it may be
   carried out yet. */
void worker_note_no_reply (struct worker *worker, kq_usec sent_at);
/* An order other than a poll has had a reply, or none: a poll's reply does not
   tell whether the worker takes orders. */
void worker_note_answered_order (struct worker *worker);
void worker_note_unanswered_order (struct worker *worker, kq_usec sent_at);

/* grant.c */

/* Whether this owner may still renew leases and start tasks: the store has
   confirmed its term not too long ago. */
bool grant_is_current (const struct kq_sched *sched, struct kq_sched_now now);

/* Records that this owner may renew leases at WORKER; it may do so once that
   is stored. */
void grant_begin (struct kq_sched *sched, struct worker *worker);
/* Has the store hold whether the lease of WORKER may be the longest. */
void grant_set_long_lease (struct kq_sched *sched, struct worker *worker,
                           bool has_long_lease);
/* Whether WORKER has restarted since earlier owners stored what they know of
   it. */
bool grant_is_outdated (const struct worker *worker);
bool grant_is_stored (const struct kq_sched *sched,
                      const struct worker *worker);
/* Encodes the changed grants into at most GRANT_BUCKETS records; returns their
   number. */
int grant_encode (struct kq_sched *sched, struct kq_sched_record *records);
/* Sets for each worker when all leases that earlier owners may have granted
   there have lapsed. */
void grant_set_lapses (const struct kq_sched *sched, kq_usec now);

/* place.c */

/* Whether WORKER may run a task of STAGE and has the capacity, regardless
   of advice. */
bool place_fits (const struct worker *worker, const struct stage *stage,
                 struct kq_sched_now now);

/* The same, or WORKER is quarantined and a task of STAGE accepts that. */
bool place_fits_some_task (const struct worker *worker,
                           const struct stage *stage, struct kq_sched_now now);

/* Whether WORKER may run TASK, which is no filler, now; sets *POINTS to its
   score, which is the lower the better. */
bool place_score (struct kq_sched *sched, struct worker *worker,
                  const struct task *task, struct kq_sched_now now,
                  int64_t *points);

/* Whether WORKER may run tasks of STAGE, regardless of its capacity. */
bool place_meets_constraints (const struct worker *worker,
                              const struct stage *stage);

/* Whether WORKER takes a start of TASK, regardless of its capacity. */
bool place_may_start_at (const struct worker *worker, const struct task *task,
                         struct kq_sched_now now);

/* Records that TASK has failed or stalled at WORKER, or that it cannot read
   the order: the task keeps away from it for a while. */
void place_avoid_worker (struct task *task, struct worker *worker,
                         struct kq_sched_now now);

/* Returns the number of tasks of STAGE that are bound at WORKER. */
int place_count_tasks (const struct worker *worker, const struct stage *stage);

/* Whether what is bound at WORKER does not exceed its capacity, which may have
   shrunk, in anything that a task of STEP takes part in: the CPU of fillers is
   not counted. */
bool place_is_within_capacity (const struct worker *worker,
                               const struct kq_sched_step *step);

/* rack.c: racks and what is learned there */

/* Brings the rack of WORKER in line with its registration. */
void rack_join (struct kq_sched *sched, struct worker *worker);
void rack_tick (struct kq_sched *sched, struct kq_sched_now now);
void rack_destroy_all (struct kq_sched *sched);
/* Adds (SIGN 1) or subtracts (SIGN -1) TASK, if it is short. */
void rack_add_running (struct kq_near_running *running,
                       const struct task *task, int sign);
/* Records that TASK is bound, or that its run is about to be released. */
void rack_note_bind (struct kq_sched *sched, const struct task *task,
                     struct kq_sched_now now);
void rack_note_release (struct kq_sched *sched, const struct task *task,
                        struct kq_sched_now now);
/* Records that TASK is started at its worker. */
void rack_note_start (struct kq_sched *sched, struct task *task,
                      struct kq_sched_now now);
/* Returns the length in ms of the longest chain of steps from STAGE on, whose
   tasks run longer if the rack of their data has no worker. */
int64_t rack_critical_path_ms (const struct kq_sched *sched,
                               const struct stage *stage);
/* Returns by which factor the run of TASK took longer for want of its rack; 0:
   unknown. */
double rack_run_factor (const struct kq_sched *sched, const struct task *task);
struct rack *rack_find (const struct kq_sched *sched, int service,
                        const char *name);

/* delay.c: tasks that wait for room in the rack of their data or group */

/* Ends the wait of TASK, if it waits, because of WHY. NEAR: it starts in the
   rack that it waited for. */
void rack_end_wait (struct kq_sched *sched, struct task *task, bool near,
                    const char *why, struct kq_sched_now now);
/* Returns the rack for which TASK may wait, or NULL. */
struct rack *rack_of_task (const struct kq_sched *sched,
                           const struct task *task);
/* Returns the best worker in RACK that may run TASK now, or NULL. */
struct worker *rack_choose_worker (struct kq_sched *sched, struct rack *rack,
                                   const struct task *task,
                                   struct kq_sched_now now);
/* Whether TASK, which waits for RACK and finds no room there, goes on
   waiting. */
bool rack_keeps_waiting (struct kq_sched *sched, struct rack *rack,
                         struct task *task, struct kq_sched_now now);
/* Whether TASK, which finds no room in RACK, waits for it instead of starting
   at WORKER. */
bool rack_begins_wait (struct kq_sched *sched, struct rack *rack,
                       struct task *task, const struct worker *worker,
                       struct kq_sched_now now);
/* Chooses the rack for the group of STAGE, if it is one, by when all of it
   fits. Returns false if a gang waits for that. */
bool rack_choose_for_group (struct kq_sched *sched, struct stage *stage,
                            struct kq_sched_now now);

/* reserve.c */

struct pool;

/* Reserves workers for the ready tasks of STAGE that have waited too long, if
   they run for long, and makes room there. POOL is that of its service. */
void reserve_for_stage (struct kq_sched *sched, struct pool *pool,
                        struct stage *stage, struct kq_sched_now now);
void reserve_clear (struct task *task);
/* Ends the reservations of tasks of STAGE at workers that may not run them any
   more, or have no room for them in time without further stops. */
void reserve_check (struct stage *stage, struct kq_sched_now now);
/* Whether WORKER is not reserved for a task other than TASK. */
bool reserve_allows (const struct worker *worker, const struct task *task);
/* Adds (SIGN 1) or subtracts (SIGN -1) what the end of a task of STEP frees;
   fillers take only CPU that is left over. */
void reserve_add_freed (struct kq_sched_demand *free,
                        const struct kq_sched_step *step, int sign);
/* Whether the end of a task of STEP brings more room for DEMAND. */
bool reserve_helps (const struct kq_sched_step *step,
                    const struct kq_sched_demand *free,
                    const struct kq_sched_demand *demand);
/* Whether COUNT more rooms can be held. */
bool reserve_can_hold (const struct kq_sched *sched, int count);
/* Holds the room for one task of STAGE at WORKER, which need not be free
   yet. */
void reserve_hold (struct kq_sched *sched, struct stage *stage,
                   struct worker *worker, kq_usec until);
void reserve_expire_holds (struct kq_sched *sched, struct kq_sched_now now);
/* Releases the room for TASK, which is ready and is being bound to WORKER. */
void reserve_note_bind (struct kq_sched *sched, const struct task *task,
                        const struct worker *worker, struct kq_sched_now now);
/* Releases the rooms of STAGE that exceed the number of its ready tasks. */
void reserve_trim_holds (struct kq_sched *sched, const struct stage *stage);
/* Aborts if the sums of the held rooms are wrong. */
void reserve_assert (const struct kq_sched *sched);

/* preempt.c */

/* Finds out whether SERVICE has queues of lower priority that urgent work may
   preempt: when the configuration changes, or SERVICE is new. */
void preempt_configure (const struct kq_sched *sched, struct service *service);
/* Begins a placement pass. */
void preempt_begin_pass (struct kq_sched *sched);
/* Stops tasks of lower priority for the ready tasks of STAGE, of which
   UNPLACED found no room in this pass, if that is what lets them be in
   time. */
void preempt_for_stage (struct kq_sched *sched, struct stage *stage,
                        const struct task *unplaced, struct kq_sched_now now);
/* Records that TASK is stopped to make room for others. */
void preempt_note_stop (struct task *task, struct kq_sched_now now);

/* large.c */

/* Holds room for the large ready tasks of STAGE that have waited. */
void large_hold_room (struct kq_sched *sched, struct stage *stage,
                      struct kq_sched_now now);
/* Gives up what is held for STAGE if it cannot be in time any more or the
   worker is not usable. */
void large_check (struct stage *stage, struct kq_sched_now now);
void large_clear (struct task *task);
/* Whether WORKER keeps the room that is held there if TASK is placed. */
bool large_allows (const struct worker *worker, const struct task *task);

/* advice.c */

/* Returns the valid ticket with which WORKER may run tasks of STAGE, or
   NULL. */
const char *advice_ticket (const struct stage *stage,
                           const struct worker *worker,
                           struct kq_sched_now now);
void advice_invalidate (struct stage *stage, const struct worker *worker);
void advice_set_wanted (struct stage *stage);
void advice_clear (struct stage *stage);
void advice_apply (struct kq_sched *sched, struct kq_sched_now now,
                   const struct kq_sched_advice *advice);

/* Whether TASK waits for the end of a run that this owner did not know. */
bool task_awaits_other_run (const struct task *task, struct kq_sched_now now);

/* crash.c */

/* Whether workers were lost under TASK before its runs settled. */
bool crash_is_suspect (const struct task *task);
/* Whether the current run of such a task has not settled yet. */
bool crash_is_on_trial (const struct task *task);
/* Whether TASK waits for the end of an outage. */
bool crash_is_held (const struct task *task);
/* Returns the number of workers lost under TASK since a run settled. */
int crash_count_losses (const struct task *task);
/* Returns the number of starts after which TASK is given up if each of them
   crashes its worker. */
int crash_count_starts_left (const struct task *task);
/* Returns what is held against TASK, as "N crashes of M losses, K set aside",
   in TEXT of SIZE bytes. */
void crash_format (const struct task *task, char *text, size_t size);
/* Forgets the losses under TASK, which is destroyed. */
void crash_forget (struct kq_sched *sched, struct task *task);
/* Starts or gives up tasks that wait for the end of an outage. */
void crash_tick (struct kq_sched *sched, struct kq_sched_now now);
/* Records that TASK is restored with a run that was bound at its placed_at. */
void crash_note_restored (struct task *task, struct kq_sched_now now);
/* Gives up TASK, which is restored, if its losses are too many. */
void crash_note_restored_losses (struct kq_sched *sched, struct task *task);
/* Holds TASK, which is ready, until this owner knows of an outage, if one more
   loss under an earlier owner would have given it up. */
void crash_hold_restored (struct kq_sched *sched, struct task *task,
                          struct kq_sched_now now);
/* Records that the start order of TASK is sent. */
void crash_note_start (struct task *task);
/* Records that the worker has accepted the start order of TASK. */
void crash_note_accepted (struct task *task, struct kq_sched_now now);
/* Records that a worker listed the run of TASK to a poll sent at SENT_AT. */
void crash_note_listed (struct kq_sched *sched, struct task *task,
                        kq_usec sent_at, struct kq_sched_now now);
/* Records that a worker reported the end of the run of TASK. */
void crash_note_end (struct kq_sched *sched, struct task *task,
                     enum kq_sched_end how);
/* fence.c */

/* Begins an incarnation of WORKER, whose report still names the one before. */
void fence_begin_incarnation (struct kq_sched *sched, struct worker *worker);
/* Returns REPLY of the worker ID to an order with FENCE (0: unknown), or that
   there was none if it refused the order for a fence that this owner has
   raised since: the worker has done nothing then. */
enum kq_sched_reply fence_check_reply (struct kq_sched *sched, const char *id,
                                       int64_t fence,
                                       enum kq_sched_reply reply);

/* listing.c: the status that a worker returns to a poll */
void status_apply (struct kq_sched *sched, struct worker *worker,
                   struct kq_sched_now now, kq_usec sent_at,
                   const struct kq_sched_status *worker_status);

/* share.c: CPU that fillers share with serving tasks */

/* Returns the interference on the serving tasks at WORKER if a filler of
   IMAGE with a demand of CPU is added, relative to their limit; 0 if it
   affects none of them. */
double share_interference (struct kq_sched *sched, struct worker *worker,
                           int image, int64_t cpu);
/* Updates the interference model and the paces of the fillers at WORKER from
   the samples of its latest status. */
void share_update (struct kq_sched *sched, struct worker *worker,
                   struct kq_sched_now now);

/* record.c */
void record_clear_dirty (struct kq_sched *sched, struct job *job);

#endif
