#include <stdlib.h>

#include "core/core.h"

void
kq_view_free (struct kq_view *view)
{
  if (view == NULL)
    return;
  free (view->workers);
  free (view->services);
  free (view);
}
