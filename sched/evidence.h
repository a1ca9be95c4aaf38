/** @file
 * Tells whether the loss of a worker is explained by an outage: whether many
 * other workers of its service, zone or rack were lost at about the same time.
 *
 * It knows nothing of tasks but which may have caused a loss, and does
 * no input or output.  Source of the rule: docs/design/crash-evidence.md.
 */
#ifndef KQ_SCHED_EVIDENCE_H
#define KQ_SCHED_EVIDENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Losses no further apart than this may have one cause, in microseconds.
 *  Behind links that lose packets a crash is noticed up to 2 s late.  */
#define KQ_EVIDENCE_WINDOW_US (2 * KQ_USEC_PER_SEC)

/** What has been lost as a whole. */
enum kq_evidence_scope
{
  KQ_EVIDENCE_NONE, /**< no outage */
  KQ_EVIDENCE_RACK,
  KQ_EVIDENCE_ZONE,
  KQ_EVIDENCE_SERVICE
};

/** Where a worker stands; an empty or NULL name means that it is unknown. */
struct kq_evidence_place
{
  int service; /**< index of its service */
  const char *zone;
  const char *rack;
};

/** Loss of one worker. */
struct kq_evidence_loss
{
  struct kq_evidence_place place;
  const void *worker; /**< identifies the worker; never read */
  const void *cause;  /**< identifies the only task that may have crashed it,
                           never read; NULL: none, or several may have */
  kq_usec at;
};

/** What a loss that is reported shows. */
struct kq_evidence_finding
{
  uint64_t number; /**< of the loss; a loss reported again keeps it */
  enum kq_evidence_scope scope; /**< outage that is going on now */
  bool begins;                  /**< that outage was not known before */
  bool spreads; /**< it takes a large share of SPREAD_SCOPE, which was not
                     reported for a while */
  enum kq_evidence_scope spread_scope;
};

/** What a task is charged with, and what cannot speak for it. */
struct kq_evidence_query
{
  struct kq_evidence_place place;
  const void *cause;   /**< the task; losses that only it may have caused do
                            not count */
  const uint64_t *own; /**< numbers of the losses under the task itself */
  int own_count;
  kq_usec at; /**< time of the loss that is judged */
};

struct kq_evidence;

/** Returns NULL when out of memory. */
struct kq_evidence *kq_evidence_create (void);
void kq_evidence_destroy (struct kq_evidence *evidence);

/** Whether the sizes of services, zones and racks are to be counted again
 *  before a loss at NOW is reported; if so, they are forgotten.  */
bool kq_evidence_begin_count (struct kq_evidence *evidence, kq_usec now);
/** Counts a registered worker. */
void kq_evidence_count_worker (struct kq_evidence *evidence,
                               const struct kq_evidence_place *place);

/** Reports the loss of a worker.  A worker lost again within the window is
 *  taken for lost once.  */
struct kq_evidence_finding
kq_evidence_note_loss (struct kq_evidence *evidence,
                       const struct kq_evidence_loss *loss);

/** Returns the outage that explains the loss of QUERY, as far as known now. */
enum kq_evidence_scope
kq_evidence_explain (const struct kq_evidence *evidence,
                     const struct kq_evidence_query *query);

/** Whether any loss that speaks for the task of QUERY is known in its service,
 *  so that an outage may show yet.  */
bool kq_evidence_is_doubtful (const struct kq_evidence *evidence,
                              const struct kq_evidence_query *query);

/** Returns the time of the last loss in SERVICE; 0 if there was none. */
kq_usec kq_evidence_last_loss (const struct kq_evidence *evidence,
                               int service);

/** Returns the name of SCOPE for logs. */
const char *kq_evidence_scope_name (enum kq_evidence_scope scope);

#endif
