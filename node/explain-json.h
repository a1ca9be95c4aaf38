/** @file
 * Explanations and their errors as JSON.
 */
#ifndef KQ_NODE_EXPLAIN_JSON_H
#define KQ_NODE_EXPLAIN_JSON_H

#include "sched/sched.h"

/** What the owner's host adds to an explanation. */
struct kq_explain_source
{
  const char *host; /**< name of the owner */
  uint64_t job;     /**< of a known job */
  bool store_away;  /**< submissions are refused */
};

/** Returns EXPLANATION as a new string, or NULL when out of memory. */
char *kq_explain_json (const struct kq_sched_explanation *explanation,
                       const struct kq_explain_source *source);

/** Returns an error as a new string: FIELD of the input, or what is missing,
 *  and why. LAST_HEARD_MS: since an owner last replied; negative: omitted.  */
char *kq_explain_json_error (int err, const char *field, const char *why,
                             int64_t last_heard_ms);

#endif
