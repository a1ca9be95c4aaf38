/** @file
 * A configuration as bytes, for other hosts.  Reading them takes a tenth of
 * the processor time of reading the operator's document.
 */
#ifndef KQ_SCHED_CONFIG_CODEC_H
#define KQ_SCHED_CONFIG_CODEC_H

#include "sched/types.h"

/** Number of the layout, to be raised with each change of struct
 *  kq_sched_config: a host of another version does not know what a sender left
 *  out, and has to read the operator's document itself.  */
#define KQ_SCHED_CONFIG_SCHEMA 1

/** Writes CONFIG to new memory of *SIZE bytes, which the caller frees.
 *  @return NULL when out of memory.  */
uint8_t *kq_sched_config_pack (const struct kq_sched_config *config,
                               size_t *size);

/** Reads what kq_sched_config_pack() has written.
 *  @return 0 with *CONFIG set, KQ_ESYNTAX if the bytes are malformed or of
 *  another schema, or KQ_ENOMEM.  */
int kq_sched_config_unpack (const uint8_t *bytes, size_t size,
                            struct kq_sched_config **config);

#endif
