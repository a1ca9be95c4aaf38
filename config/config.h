/** @file
 * The current configuration, its revision and its bounded history.
 *
 * The revision is the log offset of the accepted record.  A record is
 * accepted if and only if it is based on the revision that is current
 * immediately before it in log order.  Every host reads the records in the
 * same order and so accepts the same ones.  The current revision never
 * decreases.
 */
#ifndef KQ_CONFIG_CONFIG_H
#define KQ_CONFIG_CONFIG_H

#include "config/document.h"

/** Number of entries in the history. */
#define KQ_CONFIG_HISTORY_SIZE 64

struct kq_config;

/** Result of applying one configuration record. */
struct kq_config_change
{
  int64_t offset;
  int64_t base;        /**< revision on which the record is based */
  struct kq_name host; /**< the entry host that appended it */
  int err;             /**< 0 accepted; rejected with
                          KQ_ECONFIG_CONFLICT or KQ_ECONFIG_SCHEMA */
};

/** Creates an empty configuration with revision 0.
 *  @return NULL when out of memory.  */
struct kq_config *kq_config_create (void);

void kq_config_destroy (struct kq_config *config);

/** Applies the record at OFFSET of the log, which HOST appended and which is
 *  based on revision BASE.
 *  @param error set to the path of the invalid field for KQ_ECONFIG_SCHEMA;
 *  may be NULL.
 *  @return 0 when the record was accepted and is now current;
 *  KQ_ECONFIG_CONFLICT or KQ_ECONFIG_SCHEMA when it was rejected, as on every
 *  other host; KQ_EEXIST when OFFSET isn't after the current revision and
 *  nothing changed; KQ_ENOMEM.  */
int kq_config_apply (struct kq_config *config, int64_t offset, int64_t base,
                     const struct kq_name *host, const char *text,
                     struct kq_config_error *error);

/** Applies a record that another host reports as accepted at OFFSET.  Used by
 *  a host that starts while the log is unreachable or after retention has
 *  removed the record's base.  The base isn't compared with the current
 *  revision.
 *  @return as kq_config_apply(), but never KQ_ECONFIG_CONFLICT.  */
int kq_config_restore (struct kq_config *config, int64_t offset, int64_t base,
                       const struct kq_name *host, const char *text);

/** Returns the current revision, 0 when there is none. */
int64_t kq_config_revision (const struct kq_config *config);

/** Returns the revision on which the current one is based. */
int64_t kq_config_base (const struct kq_config *config);

/** Returns the entry host that appended the current revision. */
const struct kq_name *kq_config_host (const struct kq_config *config);

/** Returns the current document, NULL when there is none.  It is valid until
 *  the next change.  */
const struct kq_config_document *
kq_config_document (const struct kq_config *config);

/** Returns the text of the current document, NULL when there is none. */
const char *kq_config_text (const struct kq_config *config);

/** Returns the number of changes in the history. */
size_t kq_config_history_count (const struct kq_config *config);

/** Returns the change at INDEX of the history; 0 is the newest. */
const struct kq_config_change *
kq_config_history (const struct kq_config *config, size_t index);

#endif
