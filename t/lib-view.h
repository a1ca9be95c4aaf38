/** @file
 * Views made by hand for tests.
 */
#ifndef KQ_T_LIB_VIEW_H
#define KQ_T_LIB_VIEW_H

#include "core/core.h"

/** Services of each view: "price" (idempotent, importance 5) and "book"
 *  (not idempotent, importance 7), both with a deadline of 2 s.  */

/** Makes a view with WORKERS workers "w0", "w1" and so on of 127.0.0.1,
 *  ports from PORT on, in the zone "dakar-sandaga", 8 slots and 64
 *  connections each, owned by "e1" until UNTIL.  SELF: e1 is this host.
 *  Otherwise e1's hop is at HOP.  Free it with kq_view_free().  */
struct kq_view *kq_test_view (int workers, int port, bool self, kq_usec until,
                              const char *hop);

#endif
