/** @file
 * Bounds what callers make a process hold, over all its HTTP servers: the
 * bytes of request bodies, and connections.  Beyond a bound, the connection
 * that has been without progress for longest is closed; one whose request is
 * being handled is not.
 *
 * This module does no I/O but to shut a connection down.
 */
#ifndef KQ_NODE_GUARD_H
#define KQ_NODE_GUARD_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"

/** Connections of a server, and bytes of bodies and headers, for a process
 *  whose settings give no limits.  */
#define KQ_GUARD_DEFAULT_CONNECTIONS 2000
#define KQ_GUARD_DEFAULT_BODY_BYTES ((size_t)32 * 1024 * 1024)

/** Time within which a request must be complete, counted from the end of the
 *  one before it or from the connection's start.  */
#define KQ_GUARD_REQUEST_US (60 * KQ_USEC_PER_SEC)

struct kq_guard;

/** A server's share of the connections. */
struct kq_guard_server
{
  struct kq_guard *guard;
  int max_connections;
  int count;
};

/** A connection; embedded in what its server keeps for it. */
struct kq_guard_client
{
  struct kq_guard_server *server;
  int fd;
  bool busy;         /**< its request is being handled */
  bool evicted;      /**< it was shut down; its server is about to notice */
  kq_usec since;     /**< start of the connection, end of its last request */
  kq_usec active_at; /**< last progress */
  size_t body_bytes; /**< reserved for the body of its request */
  struct kq_guard_client *prev;
  struct kq_guard_client *next;
};

/** Limits of a process; a limit of 0 is not given. */
struct kq_guard_limits
{
  int memory_mb;
  int descriptors;
};

/** Creates a guard for a process with LIMITS.
 *  @return NULL when out of memory.  */
struct kq_guard *kq_guard_create (const struct kq_guard_limits *limits);

/** Frees a guard without connections. */
void kq_guard_destroy (struct kq_guard *guard);

/** Returns how many connections the server of callers may have: half of the
 *  descriptors, a quarter of the memory and 2,000 at most.  */
int kq_guard_max_callers (const struct kq_guard *guard);

/** Returns the same for each other server, to which few programs connect. */
int kq_guard_max_operators (const struct kq_guard *guard);

/** Returns how many bytes of bodies all servers may hold: an eighth of the
 *  memory.  */
size_t kq_guard_max_body_bytes (const struct kq_guard *guard);

/** Adds a connection of SERVER.  Near the server's limit another one of it is
 *  closed, so that new ones still get in.  */
void kq_guard_add (struct kq_guard_server *server,
                   struct kq_guard_client *client, int fd);
void kq_guard_remove (struct kq_guard_client *client);

/** Notes that CLIENT has made progress. */
void kq_guard_note_progress (struct kq_guard_client *client);

/** Notes that the request of CLIENT is complete and being handled. */
void kq_guard_begin_request (struct kq_guard_client *client);

/** Notes that the request of CLIENT is over and its body freed. */
void kq_guard_end_request (struct kq_guard_client *client);

/** Reserves BYTES more for the body of CLIENT; other bodies that stand still
 *  make room.
 *  @return false if there is none; nothing is reserved then.  */
bool kq_guard_reserve (struct kq_guard_client *client, size_t bytes);

/** Gives back all that is reserved for the body of CLIENT. */
void kq_guard_release (struct kq_guard_client *client);

/** Returns whether SERVER is so near its limit that idle connections are
 * closed for new ones.  */
bool kq_guard_is_crowded (const struct kq_guard_server *server);

/** Closes connections of SERVER whose caller has left or whose request is not
 *  complete in time, and idle ones while it is crowded; called once a second,
 *  more often while it is crowded.  */
void kq_guard_sweep (struct kq_guard_server *server);

/** Returns whether the caller of CLIENT has closed the connection, or its end
 *  of it.  */
bool kq_guard_has_left (const struct kq_guard_client *client);

/** Counts a request that was refused since its body was too large, or since
 *  there was no room for it.  */
void kq_guard_count_refusal (bool too_large);

/** Registers the metrics of this module; must be called once. */
void kq_guard_register_metrics (void);

#endif
