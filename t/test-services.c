/* Guards against a service without room that keeps tasks of another service
 * from workers with room: what found no worker in a pass was remembered for
 * the stages of all services.
 */
#include <string.h>

#include "sched/internal.h"
#include "t/kqtest.h"
#include "t/lib-sched.h"

#define FILLS UINT64_C (1)
#define WAITS UINT64_C (2)
#define OTHER UINT64_C (3)

static const struct kq_sched_step step
    = { .count = 1, .demand = { 3000, 100, 0 }, .est_ms = 60000 };

static void
add_worker (struct ts_cell *cell, const char *id, const char *service)
{
  struct kq_sched_registration report = { .address = "10.0.0.1:80",
                                          .capacity = { 4000, 4000, 0 },
                                          .incarnation_ms = 1 };

  strcpy (report.id, id);
  strcpy (report.service, service);
  ts_register (cell, &report);
  ts_reply_poll (cell, id, NULL, 0, NULL, 0);
}

/* Creates a cell whose queue "batch" goes to the service "t". Both services
   have a worker, and that of "s" is full. */
static void
start_two_services (struct ts_cell *cell)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };

  ts_start (cell);
  strcpy (cell->queues[1].service, "t");
  event.u.config = &cell->config;
  kq_sched_event (cell->sched, cell->now, &event);
  add_worker (cell, "a", "s");
  add_worker (cell, "b", "t");
  ts_submit (cell, FILLS, "urgent", &step, 1);
}

static bool
has_started (const struct ts_cell *cell, uint64_t job)
{
  return ts_last_order (cell, KQ_SCHED_FX_START, job, 0, 0) != NULL;
}

static void
test_task_of_a_service_with_room (void)
{
  struct ts_cell cell;

  start_two_services (&cell);
  ts_submit (&cell, WAITS, "urgent", &step, 1);
  ts_submit (&cell, OTHER, "batch", &step, 1);
  ts_advance (&cell, 100);
  CU_ASSERT_FALSE (has_started (&cell, WAITS));
  CU_ASSERT_TRUE (has_started (&cell, OTHER));
  ts_stop (&cell);
}

static void
test_filler_of_a_service_with_room (void)
{
  struct kq_sched_step filler = step;
  struct ts_cell cell;

  filler.filler = true;
  filler.demand.mem = 3950;
  start_two_services (&cell);
  ts_submit (&cell, WAITS, "urgent", &filler, 1);
  ts_submit (&cell, OTHER, "batch", &filler, 1);
  ts_advance (&cell, 100);
  CU_ASSERT_FALSE (has_started (&cell, WAITS));
  CU_ASSERT_TRUE (has_started (&cell, OTHER));
  ts_stop (&cell);
}

/* Services beyond the eighth share an entry of a placement pass. */
static void
test_task_of_a_ninth_service (void)
{
  struct kq_sched_event event = { .kind = KQ_SCHED_EV_CONFIG };
  char name[] = "0";
  struct ts_cell cell;

  ts_start (&cell);
  strcpy (cell.queues[0].service, "s");
  strcpy (cell.queues[1].service, "t");
  event.u.config = &cell.config;
  kq_sched_event (cell.sched, cell.now, &event);
  for (; name[0] < '8'; name[0]++)
    add_worker (&cell, name, name);
  add_worker (&cell, "a", "s");
  add_worker (&cell, "b", "t");
  ts_submit (&cell, FILLS, "urgent", &step, 1);
  ts_submit (&cell, WAITS, "urgent", &step, 1);
  ts_submit (&cell, OTHER, "batch", &step, 1);
  ts_advance (&cell, 100);
  CU_ASSERT_FALSE (has_started (&cell, WAITS));
  CU_ASSERT_TRUE (has_started (&cell, OTHER));
  ts_stop (&cell);
}

static const struct kq_test tests[] = {
  { "a task of a service with room", test_task_of_a_service_with_room },
  { "a filler of a service with room", test_filler_of_a_service_with_room },
  { "a task of a ninth service", test_task_of_a_ninth_service },
};

KQ_TEST_MAIN ("test-services", tests)
