/** @file
 * The hosts of the cell, as they announce themselves in a topic of the store
 * that keeps the newest record of each.  A host that has announced nothing for
 * HOSTS_EXPIRY counts as gone.  This module does no I/O.
 */
#ifndef KQ_TERM_HOSTS_H
#define KQ_TERM_HOSTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Size in bytes of a text, including the terminating zero. */
#define KQ_HOST_TEXT_SIZE 64

/** A host as it announces itself. */
struct kq_host
{
  char name[KQ_HOST_TEXT_SIZE];
  char address[KQ_HOST_TEXT_SIZE + 8]; /**< for messages between hosts */
  char incarnation[KQ_HOST_TEXT_SIZE]; /**< differs in each start of it */
  char zone[KQ_HOST_TEXT_SIZE];
  char region[KQ_HOST_TEXT_SIZE];
  double cores;
  int memory_mb;
  int descriptors; /**< limit of the process */
};

struct kq_hosts;

/** Creates the table, which contains SELF.
 *  @return NULL when out of memory.  */
struct kq_hosts *kq_hosts_create (const struct kq_host *self);
void kq_hosts_destroy (struct kq_hosts *hosts);

const struct kq_host *kq_hosts_self (const struct kq_hosts *hosts);

/** Maximum size in bytes of an announcement. */
#define KQ_HOSTS_MAX_BYTES 512

/** Writes the announcement that is due into BYTES.  Returns no further one
 *  until kq_hosts_announced().
 *  @return its size, or 0 if none is due.  */
size_t kq_hosts_next_announcement (struct kq_hosts *hosts, kq_usec now,
                                   uint8_t bytes[KQ_HOSTS_MAX_BYTES]);

/** Reports whether the last announcement is STORED. */
void kq_hosts_announced (struct kq_hosts *hosts, kq_usec now, bool stored);

/** Applies the record of the host NAME; a SIZE of 0 removes it.  Malformed
 *  records are ignored.  */
void kq_hosts_apply (struct kq_hosts *hosts, kq_usec now, const char *name,
                     const uint8_t *bytes, size_t size);

/** Removes hosts that have not announced themselves for too long. */
void kq_hosts_expire (struct kq_hosts *hosts, kq_usec now);

/** Returns the number of hosts, this one included. */
size_t kq_hosts_count (const struct kq_hosts *hosts);

/** Calls VISIT for each host, this one included. */
void kq_hosts_for_each (const struct kq_hosts *hosts,
                        void (*visit) (void *arg, const struct kq_host *host),
                        void *arg);

/** Returns the number of hosts that come before this one as owner of the cell:
 *  hosts with more cores, and in an order by name those with as many.  */
int kq_hosts_rank (const struct kq_hosts *hosts);

/** Returns the first host of this one's availability zone, in the order of
 *  kq_hosts_rank(), that IS_USABLE accepts; this host is not asked about.  */
const struct kq_host *kq_hosts_first_of_zone (
    const struct kq_hosts *hosts,
    bool (*is_usable) (void *arg, const struct kq_host *host), void *arg);

/** Returns the largest number of cores of a host. */
double kq_hosts_max_cores (const struct kq_hosts *hosts);

/** Returns the address of another host, a different one for each N while there
 *  are enough, or NULL if there is none.  */
const char *kq_hosts_peer (const struct kq_hosts *hosts, size_t n);

#endif
