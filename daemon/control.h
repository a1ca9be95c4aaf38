/** @file
 * The control thread: it owns the decision core, the client of the platform,
 * the messages between entry hosts and the operators' HTTP interface.
 */
#ifndef KQ_DAEMON_CONTROL_H
#define KQ_DAEMON_CONTROL_H

#include "daemon/front.h"
#include "daemon/settings.h"

struct kq_control;

/** Starts the thread, which publishes views to FRONT until it has ended.
 *  SETTINGS must outlive the control thread.
 *  @return the control thread, or NULL with *ERR set: KQ_EINVAL, KQ_EIO when a
 *  socket can't be bound, KQ_ENOMEM.  */
struct kq_control *kq_control_start (const struct kq_settings *settings,
                                     struct kq_front *front, void *zmq_context,
                                     int *err);

/** Hands everything that this host owns over to other hosts, within the drain
 *  time of the settings, ends the thread and frees CONTROL.  */
void kq_control_stop (struct kq_control *control);

/** Registers the metrics of this module.  Called once, before any thread is
 *  started.  */
void kq_control_register_metrics (void);

#endif
