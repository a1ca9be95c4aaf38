#include "t/lib-view.h"

#include <stdio.h>
#include <stdlib.h>

static void
fill_service (struct kq_view_service *service, const char *name,
              int32_t importance, bool idempotent)
{
  kq_name_set (&service->name, name);
  service->importance = importance;
  service->deadline_ms = 2000;
  service->idempotent = idempotent;
}

static void
fill_worker (struct kq_view_worker *worker, int index, int first_port,
             bool is_own, kq_usec owned_until, const char *owner_hop)
{
  snprintf (worker->name.text, sizeof worker->name.text, "w%d", index);
  snprintf (worker->endpoint, sizeof worker->endpoint, "127.0.0.1:%d",
            first_port + index);
  kq_name_set (&worker->zone, "dakar-sandaga");
  kq_name_set (&worker->region, "dakar");
  kq_name_set (&worker->owner, "e1");
  worker->owned = is_own;
  worker->owned_until = owned_until;
  worker->slots = 8;
  worker->connections = 64;
  if (!is_own)
    snprintf (worker->owner_hop, sizeof worker->owner_hop, "%s", owner_hop);
}

struct kq_view *
kq_test_create_view (int workers, int first_port, bool is_own,
                     kq_usec owned_until, const char *owner_hop)
{
  struct kq_view *view = calloc (1, sizeof *view);

  view->revision = 1;
  view->worker_count = (size_t)workers;
  view->service_count = 2;
  view->workers = calloc ((size_t)workers + 1, sizeof *view->workers);
  view->services = calloc (2, sizeof *view->services);
  for (int i = 0; i < workers; i++)
    fill_worker (&view->workers[i], i, first_port, is_own, owned_until,
                 owner_hop);
  fill_service (&view->services[0], "price", 5, true);
  fill_service (&view->services[1], "book", 7, false);
  return view;
}
