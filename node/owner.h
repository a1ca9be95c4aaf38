/** @file
 * One term of this host as the owner: it shuts out earlier owners, reads the
 * jobs, and then runs the scheduler until the term ends.
 */
#ifndef KQ_NODE_OWNER_H
#define KQ_NODE_OWNER_H

#include <ev.h>

#include "node/hop.h"
#include "platform/store.h"
#include "sched/sched.h"

struct kq_owner;

/** An answer to a caller. */
struct kq_owner_answer
{
  uint64_t token;
  int status; /**< 0: this host can't say; another may */
  int err;
  enum kq_sched_state state;
  int pending;
};

struct kq_owner_handler
{
  void *arg;
  void (*on_answer) (void *arg, const struct kq_owner_answer *answer);
  /** The term is over: a later owner is known.  */
  void (*on_deposed) (void *arg);
};

/** Starts term TERM.  STORE and ADVICE are addresses of the platform's
 * services; ADVICE may be empty, and CONFIG NULL.  */
struct kq_owner *kq_owner_create (struct ev_loop *loop, const char *store,
                                  const char *advice, int64_t term,
                                  const struct kq_sched_config *config,
                                  const struct kq_owner_handler *handler);

/** Ends the term: nothing more is ordered, and what waits is not answered. */
void kq_owner_destroy (struct kq_owner *owner);

/** Takes a caller's question; on_answer follows with TOKEN, at once or
 *  later.  BODY is the job of a submission.  */
void kq_owner_ask (struct kq_owner *owner, uint64_t token,
                   enum kq_ask_verb verb, uint64_t job, const char *queue,
                   const void *body, size_t body_size);

/** CONFIG is in force from now on, and outlives the owner's use of it. */
void kq_owner_configure (struct kq_owner *owner,
                         const struct kq_sched_config *config);

/** The store confirmed the term by a call that was sent at SENT_AT. */
void kq_owner_confirm (struct kq_owner *owner, kq_usec sent_at);

/** Whether it has read all jobs and answers. */
bool kq_owner_is_active (const struct kq_owner *owner);

void kq_owner_count (const struct kq_owner *owner,
                     struct kq_sched_counts *counts);

#endif
