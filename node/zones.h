/** @file
 * The zones under evacuation, as the records of the operator's topic name
 * them. Reads of the newest record of each key and of later records are
 * applied in order.
 */
#ifndef KQ_NODE_ZONES_H
#define KQ_NODE_ZONES_H

#include "platform/store.h"
#include "sched/types.h"

/** The zones and the state of the reads; zero-initialized before use. */
struct kq_zones
{
  struct kq_sched_zones evacuated; /**< as of the last complete read */
  struct kq_sched_zones newest; /**< by the pages of newest records so far */
  bool reading_newest;
  int64_t next_offset; /**< of the first record that was not applied yet */
  int64_t seen_end;    /**< next_offset at the last complete read */
};

void kq_zones_register_metrics (void);

/** Starts a read of the newest record of each key: a zone that none of them
 *  names was taken back.  */
void kq_zones_begin_newest (struct kq_zones *zones);

/** Applies a record. A malformed one is logged and counted the first time that
 *  it is read, and changes nothing that held before.  */
void kq_zones_apply (struct kq_zones *zones, const struct kq_store_row *row);

/** Takes over the zones EVACUATED, which another host has read from all
 * records before OFFSET; a read in progress is given up.  */
void kq_zones_adopt (struct kq_zones *zones,
                     const struct kq_sched_zones *evacuated, int64_t offset);

/** Ends a read, after all records that the topic held when it began. */
void kq_zones_complete (struct kq_zones *zones);

#endif
