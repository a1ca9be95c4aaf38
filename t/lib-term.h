/** @file
 * Hosts that elect an owner through one topic of the store, in virtual time.
 */
#ifndef KQ_T_LIB_TERM_H
#define KQ_T_LIB_TERM_H

#include "term/term.h"

#define HOSTS 3
#define MAX_RECORDS 512
#define STEP_US (20 * KQ_USEC_PER_MSEC)

struct record
{
  uint8_t bytes[KQ_TERM_RECORD_SIZE];
  size_t size;
};

struct sim
{
  struct kq_term *hosts[HOSTS];
  bool stopped[HOSTS];
  bool store_unreachable[HOSTS];
  struct record records[MAX_RECORDS];
  int64_t end;
  int64_t epoch;    /* highest one of a producer */
  int64_t sequence; /* expected next in that epoch */
  bool replies_lost;
  int starts;
  kq_usec now;
};

/** Starts a new incarnation of host I. */
void start_host (struct sim *sim, int i);

/** Ends the process of host I without a release. */
void stop_host (struct sim *sim, int i);

/** Returns the one simulation, with all hosts started. */
struct sim *create_sim (void);
void destroy_sim (struct sim *sim);

/** Appends to the topic as the store does. */
struct kq_term_append_result
append_record (struct sim *sim, const struct kq_term_append *append);

/** Lets host I make the append that it wants to make, if any. */
void append_next (struct sim *sim, int i);

/** Lets host I read the topic to its end. */
void read_all (struct sim *sim, int i);

/** Returns the number of hosts that have a term, and one of them in
 *  LAST_OWNER.  */
int count_owners (const struct sim *sim, int *last_owner);

void run_for (struct sim *sim, kq_usec duration);

#endif
