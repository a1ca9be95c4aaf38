/** @file
 * Views with fixed content for tests.
 */
#ifndef KQ_T_LIB_VIEW_H
#define KQ_T_LIB_VIEW_H

#include "core/core.h"

/** Creates a view with WORKERS workers "w0", "w1" and so on at 127.0.0.1,
 *  ports from FIRST_PORT on, in the zone "dakar-sandaga", with 8 slots and 64
 *  connections each, owned by host "e1" until OWNED_UNTIL.  If IS_OWN is set,
 *  e1 is this host; otherwise OWNER_HOP is the address of e1's request hop.
 *  The view has the services "price" (idempotent, importance 5) and "book"
 *  (not idempotent, importance 7), both with a deadline of 2 s.  Free it with
 *  kq_view_free().  */
struct kq_view *kq_test_create_view (int workers, int first_port, bool is_own,
                                     kq_usec owned_until,
                                     const char *owner_hop);

#endif
