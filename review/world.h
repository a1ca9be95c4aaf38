/** @file
 * Stand-ins for the scripts of the review: the platform's store, workers, a
 * client, and the entry hosts as processes.  All run in this process but the
 * entry hosts.  They speak what PROTOCOL.md says, on loopback addresses.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define W_MAX_WORKERS 64
#define W_MAX_HOSTS 8
#define W_MAX_RUNS 8192
#define W_TASK_SIZE 64

/** Exit codes of a script. */
enum
{
  W_HELD = 0,
  W_BROKEN = 1,
  W_CANNOT_RUN = 2
};

/** A run of a task at a worker, also after it has ended. */
struct w_run
{
  char task[W_TASK_SIZE];
  int number;
  int worker;        /**< index */
  double started_at; /**< in seconds since the world began */
  double ended_at;   /**< 0: it runs */
  char how[12];      /**< how it ended, or "gone" with its worker */
  char saved[32];    /**< last checkpoint */
  char resumed[32];  /**< checkpoint that its start carried */
  bool stopping;
  double stop_at;
  int64_t cpu;
  int64_t mem;
  double work_ms; /**< that it takes; 0: it lasts */
  double done_ms;
  double next_save_ms;
  int percent; /**< pace */
  int gang;    /**< members that must be present; 0: no gang */
  bool gathered;
};

/** A worker, in its current life. */
struct w_worker
{
  char id[32];
  char service[32];
  char zone[32];
  char kind[16];
  char rack[16];
  int64_t cpu;
  int64_t mem;
  bool guards;
  bool up;
  int port;
  int64_t born_ms;
  double clock_at; /**< when its steady clock began */
  double lost_at;  /**< when it crashed; 0: it is up */
  bool listed;     /**< has an entry in the store */
  int64_t fence;
  int64_t until_ms;
  int64_t last_end;
  json_t *ended;   /**< ends that were not passed over */
  json_t *highest; /**< task: highest run that was stopped or ended */
  struct MHD_Daemon *daemon;
  uint64_t life;
};

extern struct w_worker w_workers[W_MAX_WORKERS];
extern int w_worker_count;
extern struct w_run w_runs[W_MAX_RUNS];
extern int w_run_count;
/** Time in ms by which the store answers an append later. */
extern int w_append_ms;
/** Whether the disruption is played: TROUBLE is not 0. */
extern bool w_trouble;

/** Begins: opens record.txt in FOLDER, a temporary folder, the store. */
void w_begin (const char *folder);
/** Ends all processes and exits with CODE; writes WHY. */
void w_finish (int code, const char *why) __attribute__ ((noreturn));
/** Writes a line to record.txt. */
void w_note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
double w_now (void);
void w_sleep (double seconds);
void w_lock (void);
void w_unlock (void);

/** Adds a worker that is up; returns its index. */
int w_add_worker (const char *service, const char *zone, const char *kind,
                  const char *rack, int64_t cpu, int64_t mem, bool guards);
/** Crashes a worker: it and all that it runs are gone. */
void w_crash_worker (int worker);
/** A new worker comes at the address of the crashed WORKER, with its id if
 *  SAME_ID, else with another. */
void w_return_worker (int worker, bool same_id);
/** The next start order gets no answer; w_late_worker() then returns the
 * worker that got it (-1: none yet), and w_carry_out_late() has it carried out
 * there SECONDS later. */
void w_delay_next_start (void);
int w_late_worker (void);
void w_carry_out_late (double seconds);
/** Writes the configuration, a JSON text. */
void w_configure (const char *config);

/** Adds the settings of an entry host; returns its index from 0. */
int w_add_host (const char *zone);
void w_start_host (int host);
void w_signal_host (int host, int number);
/** Returns whether HOST answers 200 to a readiness check. */
bool w_is_ready (int host);
/** Waits until HOST is ready; ends with W_CANNOT_RUN if it is not. */
void w_await_ready (int host);
/** Returns the host that wrote last to the store under a condition, or -1. */
int w_owner (void);
/** Returns the number of appends that the store has refused as too large. */
int w_refused_appends (void);

/** Sends a client's request to the front of HOST; returns the status, 0 if
 *  there was no answer, and the body in ANSWER. */
int w_call (int host, const char *method, const char *path, const char *body,
            char *answer, size_t size);
/** The same, noted in record.txt as a request of a client. */
int w_client (int host, const char *method, const char *path, const char *body,
              char *answer, size_t size);

/** Returns the index of the newest run of TASK, or -1. */
int w_find_run (const char *task);
/** Returns how many runs are open whose task begins with PREFIX. */
int w_count_running (const char *prefix);
/** Returns the CPU and memory that runs use at WORKER. */
void w_used (int worker, int64_t *cpu, int64_t *mem);

#endif
