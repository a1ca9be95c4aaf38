/** @file
 * State of the simulator.
 */
#ifndef KQ_T_LIB_SIM_INTERNAL_H
#define KQ_T_LIB_SIM_INTERNAL_H

#include <stdbool.h>

#include "t/lib-sim.h"

/* Terms that hosts remember, with the current one. */
#define SIM_TERMS (KQ_SCHED_MAX_PAST_TERMS + 1)

/* In ms: length of a cut, and the time from a crash until the registration
   lapses. */
#define UNREACHABLE_MS 8000
#define REGISTRATION_MS 1500

/* A run at a worker. */
struct sim_run_state
{
  bool used;
  struct kq_sched_run run;
  const struct kq_sched_step *step;
  double work_ms;   /* completed work */
  int pace;         /* percent */
  int64_t stops_at; /* 0: not stopped */
  int64_t over_target_since;
  bool fails;
  double tail_ms;
};

struct sim_worker
{
  char id[24];
  bool up;
  int64_t restart_at;
  int64_t crash_at; /* by a deadly task; 0: never */
  bool replaced;    /* another worker starts at its address */
  int replacement;  /* how many workers had the address before */
  char gone_id[24]; /* registration of a crashed worker */
  int64_t gone_at;  /* when that is removed; 0: none */
  bool absent;      /* down for longer than its registration lasts */
  bool cut_when_back;
  int64_t unreachable_until;
  int64_t mute_until;  /* its replies are lost */
  int64_t crash_late;  /* crash behind a cut; 0: none */
  int64_t register_at; /* of a restarted worker; 0: it is registered */
  int64_t lapsed_at;   /* when its lease was over last */
  int64_t incarnation_ms;
  int64_t started_at;
  int64_t fence;
  int64_t lease_end_ms;
  struct sim_run_state runs[SIM_RUNS];
  struct kq_sched_ended ends[SIM_ENDS];
  char checkpoints[SIM_ENDS][KQ_SCHED_NAME_SIZE]; /* of these */
  int64_t ended_at[SIM_ENDS];
  int end_count;
  int64_t acked;
  struct kq_sched_run refused_runs[SIM_ENDS]; /* stopped or ended runs */
  int refused_count;
};

struct sim_task
{
  int done;       /* a run of it has ended with KQ_SCHED_DONE */
  int done_acked; /* and the scheduler has acknowledged that */
  int running;    /* number of runs at workers that are up */
  bool started;
  int64_t last_start_at;
  int64_t down_since; /* of a long-running task; 0: it runs */
};

struct sim_job
{
  uint64_t id;
  const char *queue;
  struct kq_sched_step step;
  int steps;
  int64_t submitted_at;
  int64_t ended_at;
  bool accepted;
  bool cancelled;
  int64_t refused_ms; /* Retry-After of its refusal; 0: not refused */
  bool deadly;        /* its first task crashes each worker that starts it */
  int deadly_starts;
  int state;
  struct sim_task tasks[SIM_STEPS][64];
};

/* A call in flight to a worker. */
struct sim_call
{
  bool used;
  enum kq_sched_effect_kind kind; /* RESULT stands for a poll */
  int64_t at;                     /* time of arrival */
  bool reply_arrives;             /* whether the reply reaches the owner */
  bool delayed;                   /* the worker has it already */
  int64_t term;                   /* of its sender */
  int64_t fence;
  int worker; /* index; -1 - index: only the timeout of a lost call */
  char id[KQ_SCHED_NAME_SIZE]; /* the worker that it is for */
  struct kq_sched_run run;
  int percent;
  int64_t lease_end_ms;
  int64_t acked;
  int64_t sent_at;
  char checkpoint[KQ_SCHED_NAME_SIZE];
};

/* An owner's term. */
struct sim_term
{
  int64_t number;
  int64_t began_at;
  int64_t confirmed_at; /* last confirmation by the store */
};

struct sim_record
{
  char key[KQ_SCHED_KEY_SIZE];
  uint8_t *value;
  size_t size;
  struct sim_record *next;
};

struct sim
{
  gsl_rng *rng;
  struct sim_faults faults;
  bool slow_clocks;
  sim_factors factors;
  double load_phase; /* of the periodic load of serving jobs, in radians */
  bool ignores_pace;
  struct kq_sched *sched;
  struct kq_sched_queue queues[2];
  struct kq_sched_config config;
  int64_t now;
  int64_t wall_offset_ms;           /* of the current owner's clock */
  int64_t fence;                    /* highest one of any owner */
  struct sim_term terms[SIM_TERMS]; /* the current one first */
  int64_t term;                     /* of the current owner */
  int64_t store_down_until;
  struct sim_worker workers[SIM_WORKERS];
  struct sim_job jobs[SIM_JOBS];
  int job_count;
  struct sim_call calls[SIM_CALLS];
  struct sim_record *records;
  struct kq_sched_effect deferred[SIM_CALLS]; /* until records are stored */
  int deferred_count;
  uint64_t stored;
  int64_t storing_until; /* 0: no write in progress */
  uint64_t storing;      /* journal position that is being stored */
  int workers_per_rack;  /* 0: the workers name no rack */
  double remote_factor;  /* how much longer runs take off their rack */
  bool factor_is_known;  /* to the scheduler */
  int far_starts;        /* away from the rack of the data */
  uint64_t start_hash;   /* of all starts: time, worker and task */
  double slowed_ms;      /* time that runs took longer off their rack */
  double discarded_ms;   /* work of runs that did not end done */
  int64_t over_target_ms;
  int64_t longest_over_target_ms;
  int64_t longest_down_ms;
  char violation[160]; /* the first one; "": none */
};

void sim_send_event (struct sim *sim, const struct kq_sched_event *event);
void sim_register_worker (struct sim *sim, const struct sim_worker *worker);
void sim_begin_term (struct sim *sim);
void sim_confirm_term (struct sim *sim);
void sim_crash (struct sim *sim, struct sim_worker *worker);

/* The registration of WORKER, which does not renew it, is removed 1.5 s from
   now. */
void sim_let_registration_lapse (struct sim *sim, struct sim_worker *worker);

/* Crashes WORKER, which stays away for up to 12 s. */
void sim_begin_absence (struct sim *sim, struct sim_worker *worker);

/* WORKER has started again. */
void sim_end_absence (struct sim *sim, struct sim_worker *worker);

/* Gives the addresses of crashed workers to others and removes the
   registrations of the crashed ones. */
void sim_advance_replacements (struct sim *sim);

/* Writes the rack of WORKER to RACK. */
void sim_name_rack (const struct sim *sim, const struct sim_worker *worker,
                    char rack[KQ_SCHED_NAME_SIZE]);
void sim_apply_settings (struct sim *sim);
/* Returns by which factor the run of STATE takes longer at WORKER. */
double sim_slowdown (const struct sim *sim, const struct sim_worker *worker,
                     const struct sim_run_state *state);

void sim_note_start (struct sim *sim, const struct sim_worker *worker,
                     const struct sim_run_state *state);

#endif
