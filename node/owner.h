/** @file
 * One term of this host as the owner, the host that manages all jobs of the
 * cell (a set of workers with one owner). It fences earlier owners, reads the
 * jobs from the store, and then runs the scheduler until the term ends.
 */
#ifndef KQ_NODE_OWNER_H
#define KQ_NODE_OWNER_H

#include <ev.h>

#include "node/hop.h"
#include "platform/store.h"
#include "sched/sched.h"
#include "term/hosts.h"
#include "term/term.h"

struct kq_owner;

/** Result of a caller's request. */
struct kq_owner_result
{
  uint64_t token; /**< that of kq_owner_handle_request() */
  int status;     /**< HTTP status; 0: this owner cannot decide, another may */
  int err;
  enum kq_sched_state state;
  int pending;      /**< number of jobs of the queue that have not started */
  int64_t retry_ms; /**< 429 and 503: when the caller should try again; 0:
                       unknown */
};

struct kq_owner_handler
{
  void *arg;
  void (*on_result) (void *arg, const struct kq_owner_result *result);
  /** The term has ended: a later owner is known, or the store has not
   *  confirmed the term for too long.  */
  void (*on_superseded) (void *arg);
};

/** What an owner works with; all of it outlives the owner. */
struct kq_owner_context
{
  struct ev_loop *loop;
  const char *store; /**< address of the platform's store */
  struct kq_store_limits store_limits;
  const char *advice; /**< address of the policy service, or "" */
  const struct kq_term *term;
  const struct kq_hosts *hosts;
  struct kq_hop *hop;
  struct kq_sched_settings settings;
  const struct kq_sched_zones *zones; /**< under evacuation */
  kq_usec zones_read_at;              /**< when they were read; 0: not yet */
  kq_usec first_polls_at;             /**< before this it polls no workers */
};

/** Starts the term that this host has in CONTEXT; CONFIG may be NULL.
 *  @return NULL when out of memory.  */
struct kq_owner *kq_owner_create (const struct kq_owner_context *context,
                                  const struct kq_sched_config *config,
                                  const struct kq_owner_handler *handler);

/** Ends the term: sends no further orders; open requests get no result. */
void kq_owner_destroy (struct kq_owner *owner);

/** Handles a caller's request; on_result follows with TOKEN, at once or later.
 *  BODY is the job of a submission.  */
void kq_owner_handle_request (struct kq_owner *owner, uint64_t token,
                              enum kq_hop_verb verb, uint64_t job,
                              const char *queue, const void *body,
                              size_t body_size);

/** Sets the configuration; CONFIG must outlive its use. */
void kq_owner_configure (struct kq_owner *owner,
                         const struct kq_sched_config *config);

/** Sets the zones under evacuation, all that the operator's topic had at the
 *  time READ_AT.  */
void kq_owner_evacuate (struct kq_owner *owner,
                        const struct kq_sched_zones *zones, kq_usec read_at);

/** Records that the store confirmed the term by a record of the election that
 *  was sent at SENT_AT, and that orders may carry fences up to FENCE.  */
void kq_owner_confirm (struct kq_owner *owner, kq_usec sent_at, int64_t fence);

/** Takes the result of an append of this host to the topic of the term, which
 *  shows whether the store answers while there is nothing to store.  */
void kq_owner_note_term_append (struct kq_owner *owner,
                                const struct kq_store_append_result *result);

/** Takes the hosts of the cell anew. */
void kq_owner_update_hosts (struct kq_owner *owner);

/** Handles results that the relay at ADDRESS has sent. */
void kq_owner_handle_results (struct kq_owner *owner, const char *address,
                              const uint8_t *bytes, size_t size);

/** Returns whether it has read all jobs and handles requests. */
bool kq_owner_is_active (const struct kq_owner *owner);

/** Fills CLOSURES with the queues that are closed, at most MAX, and sets
 * *KNOWN to the IDs of all jobs, which are valid until the next call; returns
 * the number of closures.  */
int kq_owner_closures (struct kq_owner *owner,
                       struct kq_sched_closure *closures, int max,
                       const struct kq_idset **known);

/** Returns the scheduler, for explanations only. */
struct kq_sched *kq_owner_sched (struct kq_owner *owner);

/** Returns whether submissions are refused because the store is away. */
bool kq_owner_store_is_away (const struct kq_owner *owner);

void kq_owner_count (const struct kq_owner *owner,
                     struct kq_sched_counts *counts);

#endif
