/** @file
 * Parses the configuration document that operators publish and checks it
 * against its schema.
 */
#ifndef KQ_CONFIG_DOCUMENT_H
#define KQ_CONFIG_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/name.h"
#include "core/event.h"

/** Largest document in bytes. */
#define KQ_CONFIG_MAX_BYTES 1048576

/** Largest number of workers in a shard. */
#define KQ_CONFIG_MAX_SHARD_WORKERS 256

/** A fixed set of workers in one availability zone.  Each shard has at most
 *  one owner, an entry host.  */
struct kq_config_shard
{
  struct kq_name name;
  struct kq_name zone;
  struct kq_name *workers;
  size_t worker_count;
};

/** A latency-critical service. */
struct kq_config_service
{
  struct kq_name name;
  int32_t importance;  /**< 0 (least) to 9; 5 when absent */
  int32_t deadline_ms; /**< of requests without a deadline; 1000 when
                          absent */
  bool idempotent;     /**< whether all of its requests are idempotent */
  struct kq_name *workers;
  size_t worker_count; /**< 0: all workers serve it */
};

/** A team that submits jobs. */
struct kq_config_team
{
  struct kq_name name;
  int32_t importance;        /**< 0 (least) to 9; 5 when absent */
  struct kq_resources quota; /**< limit for the sum over its tasks; INT32_MAX,
                           unlimited, for an absent field */
};

/** Relative weights of the three scheduling objectives, 0 to 100. */
struct kq_config_policy
{
  int32_t tail_latency_weight;     /**< 34 when absent */
  int32_t batch_throughput_weight; /**< 33 when absent */
  int32_t eviction_weight;         /**< 33 when absent */
};

struct kq_config_document
{
  struct kq_config_shard *shards;
  size_t shard_count;
  struct kq_config_service *services;
  size_t service_count;
  struct kq_config_team *teams;
  size_t team_count;
  struct kq_config_policy policy;
};

/** Path of the field that violates the schema, such as
 *  "services[2].importance".  */
struct kq_config_error
{
  char path[160];
};

/** Parses TEXT and checks it against the schema.
 *  @param error set on failure; may be NULL.
 *  @return 0 with *DOCUMENT set, KQ_ECONFIG_SCHEMA, or KQ_ENOMEM.  Malformed
 *  JSON is KQ_ECONFIG_SCHEMA with the path "line L, column C".  */
int kq_config_document_parse (const char *text,
                              struct kq_config_document **document,
                              struct kq_config_error *error);

void kq_config_document_free (struct kq_config_document *document);

/** Returns whether A and B have the same zone and the same workers, in any
 *  order.  */
bool kq_config_shard_equal (const struct kq_config_shard *a,
                            const struct kq_config_shard *b);

/** Checks that DOCUMENT may replace CURRENT: a shard that is in both has the
 *  same zone and the same workers.
 *  @param error set on failure; may be NULL.
 *  @return 0 or KQ_ECONFIG_SCHEMA.  */
int kq_config_document_check_update (const struct kq_config_document *current,
                                     const struct kq_config_document *document,
                                     struct kq_config_error *error);

#endif
