/** @file
 * Callers' requests about jobs: routes them to the owner and answers.
 */
#ifndef KQ_NODE_DESK_H
#define KQ_NODE_DESK_H

#include <ev.h>
#include <stdbool.h>

#include "node/hop.h"
#include "node/http.h"
#include "sched/sched.h"

struct kq_desk;

/** An answer of an owner, here or on another host. */
struct kq_desk_tell
{
  uint64_t number;
  unsigned status; /**< 0: not the owner, and nothing was done */
  enum kq_sched_state state;
  unsigned pending;
  int err;
};

struct kq_desk_handler
{
  void *arg;
  /** Sends ASK to the owner, wherever it is; kq_desk_told() may follow.
   *  @return false when no owner is known or it can't be reached.  */
  bool (*on_ask) (void *arg, const KqNode__Ask *ask);
};

struct kq_desk *kq_desk_create (struct ev_loop *loop, const char *address,
                                const struct kq_desk_handler *handler,
                                int *err);
void kq_desk_destroy (struct kq_desk *desk);

/** CONFIG outlives its use by the desk. */
void kq_desk_configure (struct kq_desk *desk,
                        const struct kq_sched_config *config);

void kq_desk_told (struct kq_desk *desk, const struct kq_desk_tell *tell);

/** Asks again for all that waits: the owner has changed. */
void kq_desk_ask_again (struct kq_desk *desk);

/** Answers ask callers to close their connections. */
void kq_desk_close_softly (struct kq_desk *desk);

/** Registers the counters of this module; once. */
void kq_desk_register_metrics (void);

/** Whether nothing waits and no answer is being written. */
bool kq_desk_is_idle (const struct kq_desk *desk);

#endif
