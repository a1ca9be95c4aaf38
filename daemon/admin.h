/** @file
 * The operators' HTTP of the daemon: POST /command, GET /metrics,
 * GET /trace/ID, GET /health (200 while the process answers) and GET /ready
 * (503 without a configuration and while the host stops; the body of both
 * says which).  It runs in the control thread's loop.
 */
#ifndef KQ_DAEMON_ADMIN_H
#define KQ_DAEMON_ADMIN_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>

#include "core/core.h"

struct kq_admin;

/** How the admin's owner answers. */
struct kq_admin_handler
{
  void *arg;
  const char *host; /**< name of this entry host */
  json_t *(*rows) (void *arg, enum kq_table table);
  json_t *(*config) (void *arg);
  /** Describes this host; sets *SERVING.  */
  json_t *(*health) (void *arg, bool *serving);
  /** Time since the log's end was last seen, in milliseconds.  */
  int64_t (*age_ms) (void *arg);
  /** Passes COMMAND to the core; kq_admin_reply() follows with its id.  */
  void (*command) (void *arg, const struct kq_command *command);
};

/** Binds ADDRESS ("ADDR:PORT").
 *  @return the admin, or NULL with *ERR set: KQ_EINVAL for a malformed
 *  address, KQ_EIO when it can't be bound, KQ_ENOMEM.  */
struct kq_admin *kq_admin_start (struct ev_loop *loop, const char *address,
                                 const struct kq_admin_handler *handler,
                                 int *err);

/** Answers what waits with KQ_ESTOPPING, closes the socket, frees ADMIN. */
void kq_admin_stop (struct kq_admin *admin);

/** Answers the command ID with its outcome.  An id that is not waited for is
 *  ignored: its operator was told that the outcome is unknown.  */
void kq_admin_reply (struct kq_admin *admin, uint64_t id, int err,
                     int64_t revision);

/** Registers the counters of this module; once, before threads run. */
void kq_admin_register_metrics (void);

#endif
