/** @file
 * The configuration in force, its revision and its bounded history.
 *
 * The revision is the log offset of the record that was accepted.  A record
 * is accepted if and only if it was made from the revision in force just
 * before it in log order; every host reads the same order and so accepts the
 * same records.  The revision in force never decreases.
 */
#ifndef KQ_CONFIG_CONFIG_H
#define KQ_CONFIG_CONFIG_H

#include "config/document.h"

/** Entries that the history keeps. */
#define KQ_CONFIG_HISTORY 64

struct kq_config;

/** One record that was read: accepted, or void with the reason. */
struct kq_config_change
{
  int64_t offset;
  int64_t base;        /**< revision that it was made from */
  struct kq_name host; /**< the entry host that appended it */
  int err;             /**< 0 accepted, KQ_ECONFIG_CONFLICT or _SCHEMA */
};

/** Creates an empty configuration of revision 0; NULL when out of memory. */
struct kq_config *kq_config_create (void);

void kq_config_destroy (struct kq_config *config);

/** Takes the record at OFFSET of the log, made by HOST from revision BASE.
 *  @param error path of the offending field for KQ_ECONFIG_SCHEMA; may be
 *  NULL.
 *  @return 0 accepted and in force; KQ_ECONFIG_CONFLICT or KQ_ECONFIG_SCHEMA
 *  void, on every host alike; KQ_EEXIST at or before the revision in force:
 *  nothing changed; KQ_ENOMEM.  */
int kq_config_apply (struct kq_config *config, int64_t offset, int64_t base,
                     const struct kq_name *host, const char *text,
                     struct kq_config_error *error);

/** Takes a record that another host says was accepted at OFFSET, as a host
 *  does that starts while the log is down or after retention has removed
 *  what the record was made from.  Its base isn't compared.
 *  @return as kq_config_apply(), but never KQ_ECONFIG_CONFLICT.  */
int kq_config_restore (struct kq_config *config, int64_t offset, int64_t base,
                       const struct kq_name *host, const char *text);

/** Returns the revision in force, 0 when there is none. */
int64_t kq_config_revision (const struct kq_config *config);

/** Returns the revision that the one in force was made from. */
int64_t kq_config_base (const struct kq_config *config);

/** Returns the entry host that appended the revision in force. */
const struct kq_name *kq_config_host (const struct kq_config *config);

/** Returns the document in force, NULL when there is none.  It is valid until
 *  the next change.  */
const struct kq_config_document *
kq_config_document (const struct kq_config *config);

/** Returns the text of the document in force, NULL when there is none. */
const char *kq_config_text (const struct kq_config *config);

/** Returns the number of changes kept. */
size_t kq_config_history_count (const struct kq_config *config);

/** Returns the change number INDEX, 0 being the newest. */
const struct kq_config_change *
kq_config_history (const struct kq_config *config, size_t index);

#endif
