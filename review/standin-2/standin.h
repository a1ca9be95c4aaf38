/** @file
 * Stand-ins of the second review, in one process: the platform's store, its
 * workers, the operator and a client.  They follow PROTOCOL.md of the users'
 * pages; where that is silent they behave like sound ones.  Entry hosts are
 * processes of their own (target/kumquatrackd).
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_WORKERS 160
#define MAX_HOSTS 8
#define MAX_RUNS 256
#define TEXT 256

/* ---- time and the record ---- */

/** Seconds since the start of the program. */
double now_s (void);
void sleep_s (double seconds);
/** Writes a line to record.txt, with the time. */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/** Opens FOLDER/record.txt. */
void record_open (const char *folder);

/* ---- HTTP ---- */

struct request
{
  char method[16];
  char path[512]; /* with the query */
  char host[128];
  char instance[TEXT]; /* Expect-Instance */
  char *body;
  size_t size;
};

struct reply
{
  int status; /* 0: close the connection without an answer */
  char *body;
  size_t size;
};

struct server
{
  int port;
  int listener;
  void (*handle) (void *arg, const struct request *, struct reply *);
  void *arg;
  int conns[1024];
  pthread_mutex_t lock;
};

int free_port (void);
void server_listen (struct server *server);
/** Closes the port and resets all connections. */
void server_close (struct server *server);
void reply_json (struct reply *reply, int status, json_t *json);

/** Sends a request to PORT; returns the status, or 0 without a whole answer
 *  within TIMEOUT_MS.  The body is stored in TEXT_OUT of SIZE bytes. */
int http_call (int port, const char *method, const char *host,
               const char *path, const char *body, int timeout_ms, char *out,
               size_t size);

/* ---- the store ---- */

extern int store_port;
extern double store_delay_s; /* of each answer; 4 ms as on the pages */
void store_start (void);
void store_put (const char *topic, const char *key, json_t *value);
/** The operator writes a configuration: ROUTES is an array of routes. */
void put_config (json_t *routes, bool enforces_capacity);
json_t *make_route (const char *name, const char *prefix, int priority,
                    int attempts);

/* ---- workers ---- */

struct run
{
  char task[80];
  int number;
  double started;
  double begun;    /* of its work; 0: a member of a gang that waits */
  double done_ms;  /* of its work so far */
  double total_ms; /* < 0: lasts */
  double restore_until;
  int fails; /* it ends as failed */
  char saved[600];
  double saved_ms;
  double next_save_ms;
  double stop_at; /* 0: no stop */
  int gang;       /* members, 0: none */
  int cpu;
  int mem;
};

struct ended
{
  int number;
  char task[80];
  int run;
  char how[16];
  char saved[600];
};

struct worker
{
  int index;
  char id[64];
  char service[32];
  char zone[32];
  char kind[32];
  char rack[32];
  int cpu;
  int mem;
  bool enforces;
  bool up;
  bool draining;
  double remaining_until;
  double born_wall_ms;
  double started;
  double last_up;
  bool registered;
  int64_t fence;
  double until_ms;
  int end_count;
  int seq;
  double next_beat;
  struct run runs[MAX_RUNS];
  int run_count;
  struct ended ends[4096];
  int ends_kept;
  struct
  {
    char task[80];
    int run;
  } highest[4096];
  int highest_count;
  int hold_starts;    /* so many start orders are kept, and not answered */
  json_t *held_start; /* the last one of these */
  struct server server;
};

extern struct worker workers[MAX_WORKERS];
extern int worker_count;
extern pthread_mutex_t world; /* guards workers and facts */
extern pthread_cond_t world_changed;
extern double save_every_ms; /* checkpoint_s */
extern double restore_ms;
extern int checkpoint_pad; /* bytes that each checkpoint has besides */

/** Called with WORLD held when a worker has accepted a start. */
extern void (*on_start) (struct worker *, struct run *, const char *spec,
                         const char *checkpointed);
/** Called with WORLD held when the caller of a hold has taken note of an end.
 */
extern void (*on_noted) (struct worker *, const struct ended *);
/** Called with WORLD held when a run has ended. */
extern void (*on_end) (struct worker *, const struct run *, const char *how);

void worker_add (const char *kind, const char *rack, int cpu, int mem);
void workers_start (void);
/** The worker crashes: its runs are gone, its address refuses connections. */
void worker_crash (struct worker *worker);
/** It starts again, under its ID. */
void worker_restart (struct worker *worker);
/** Carries out the start order that WORKER has kept, whose caller gets no
 *  answer; returns whether it was accepted. */
bool worker_carry_out_held (struct worker *worker);
/** As worker_crash(), with WORLD held by the caller. */
void worker_crash_locked (struct worker *worker);

/* ---- entry hosts ---- */

struct host
{
  char name[32];
  int front, ready, first_port;
  pid_t pid;
  char settings[2 * TEXT];
};

extern struct host hosts[MAX_HOSTS];
extern int host_count;
extern char work_dir[TEXT];

/** Writes the settings of COUNT hosts and starts them. */
void hosts_start (int count, int advice_port);
void host_start (struct host *host);
void host_kill (struct host *host);
void host_signal (struct host *host, int number);
bool hosts_wait_ready (double limit_s);
/** The host that the newest claim in the store names, or NULL. */
struct host *owner_host (void);
/** Ends all hosts and removes the folder. */
void world_end (void);

/* ---- the client ---- */

/** Submits to one host after the other until one accepts; returns whether. */
bool submit (const char *prefix, const char *id, const char *body,
             double limit_s);
/** Asks for the state at any host; OUT is "" without one.  Returns the
 *  status. */
int query_state (const char *prefix, const char *id, char out[32]);
int cancel_job (const char *prefix, const char *id);

/** Whether the variable TROUBLE is not 0. */
bool trouble (void);
/** Starts the store, and reads the arguments: the folder of the case. */
void world_begin (int argc, char **argv);
/** Ends everything; exits with 1 if BROKEN, else 0. */
void finish (bool broken, const char *why) __attribute__ ((noreturn));
/** Ends everything; exits with 2: the case could not run. */
void give_up (const char *why) __attribute__ ((noreturn));

#endif
