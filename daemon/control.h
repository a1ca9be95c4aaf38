/** @file
 * The control thread: it owns the decision core, the client of the platform,
 * the messages between entry hosts and the operators' HTTP.
 */
#ifndef KQ_DAEMON_CONTROL_H
#define KQ_DAEMON_CONTROL_H

#include "daemon/front.h"
#include "daemon/settings.h"

struct kq_control;

/** Starts the thread, which publishes views to FRONT until it has ended.
 *  @return the control, or NULL with *ERR set: KQ_EINVAL, KQ_EIO when a
 *  socket can't be bound, KQ_ENOMEM.  SETTINGS must outlive it.  */
struct kq_control *kq_control_start (const struct kq_settings *settings,
                                     struct kq_front *front, void *zmq_context,
                                     int *err);

/** Hands over what this host owns, within the drain time of the settings,
 *  ends the thread and frees CONTROL.  */
void kq_control_stop (struct kq_control *control);

/** Registers the counters of this module; once, before threads run. */
void kq_control_register_metrics (void);

#endif
