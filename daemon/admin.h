/** @file
 * The operators' HTTP interface: POST /command, GET /metrics, GET /trace/ID,
 * GET /health (200 while the process responds) and GET /ready (503 without a
 * configuration and while the host stops).  The body of both /health and
 * /ready states the reason.  It runs in the control thread's event loop.
 */
#ifndef KQ_DAEMON_ADMIN_H
#define KQ_DAEMON_ADMIN_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>

#include "core/core.h"

struct kq_admin;

/** Callbacks that supply the data and execute commands. */
struct kq_admin_handler
{
  void *arg;
  const char *host; /**< name of this entry host */
  json_t *(*rows) (void *arg, enum kq_table table);
  json_t *(*config) (void *arg);
  /** Describes this host; sets *SERVING to whether it serves.  */
  json_t *(*health) (void *arg, bool *serving);
  /** Age in ms of the last read that reached the end of the log; -1 if there
   *  was none.  */
  int64_t (*log_age_ms) (void *arg);
  /** Passes COMMAND to the core.  kq_admin_reply() is called with its id when
   *  the result is known.  */
  void (*command) (void *arg, const struct kq_command *command);
};

/** Binds ADDRESS ("ADDR:PORT").
 *  @return the interface, or NULL with *ERR set: KQ_EINVAL for a malformed
 *  address, KQ_EIO when it can't be bound, KQ_ENOMEM.  */
struct kq_admin *kq_admin_start (struct ev_loop *loop, const char *address,
                                 const struct kq_admin_handler *handler,
                                 int *err);

/** Fails waiting commands with KQ_ESTOPPING, closes the socket and frees
 *  ADMIN.  */
void kq_admin_stop (struct kq_admin *admin);

/** Responds to the command ID with its result.  An id that no request waits
 *  for is ignored: its operator has received "unknown" after the timeout.  */
void kq_admin_reply (struct kq_admin *admin, uint64_t id, int err,
                     int64_t revision);

/** Registers the metrics of this module.  Called once, before any thread is
 *  started.  */
void kq_admin_register_metrics (void);

#endif
