/* Commands of operators and callers: configurations and jobs. */

#include <stdio.h>
#include <string.h>

#include "t/lib-fake.h"

int
fake_live_host (struct fake_world *world)
{
  int first = fake_pick (world, FAKE_HOSTS);

  for (int i = 0; i < FAKE_HOSTS; i++)
    {
      const struct fake_host *host = &world->hosts[(first + i) % FAKE_HOSTS];

      if (host->core != NULL && host->paused_until <= world->now
          && !host->stopping)
        return (first + i) % FAKE_HOSTS;
    }
  return -1;
}

void
fake_command (struct fake_world *world, int host, struct kq_command *command)
{
  struct kq_event event = { .kind = KQ_EV_COMMAND };

  if (host < 0)
    return;
  command->id = ++world->commands;
  if (command->kind == KQ_CMD_SUBMIT)
    snprintf (command->job.id.text, sizeof command->job.id.text, "j%lu",
              (unsigned long)command->id);
  event.u.command = *command;
  fake_deliver (world, host, &event);
}

void
fake_configure (struct fake_world *world, int host)
{
  static char text[4096];
  struct kq_command configure = { .kind = KQ_CMD_CONFIGURE };
  int length = snprintf (text, sizeof text, "{\"shards\":[");

  for (int s = 0; s < FAKE_SHARDS; s++)
    length += snprintf (
        text + length, sizeof text - (size_t)length,
        "%s{\"name\":\"s%d\",\"zone\":\"z%d\",\"workers\":[\"w%d\",\"w%d\","
        "\"w%d\"]}",
        s == 0 ? "" : ",", s, s % FAKE_ZONES, 3 * s, 3 * s + 1, 3 * s + 2);
  snprintf (text + length, sizeof text - (size_t)length,
            "],\"services\":[{\"name\":\"x%d\"}]}", fake_pick (world, 1000));
  configure.text = text;
  configure.base = kq_config_revision (world->config);
  fake_command (world, host, &configure);
}

void
fake_submit (struct fake_world *world, int host)
{
  struct kq_command submit = { .kind = KQ_CMD_SUBMIT };
  struct kq_job *job = &submit.job;

  strcpy (job->team.text, "team");
  job->tasks = 1 + fake_pick (world, 12);
  job->importance = fake_pick (world, 10);
  if (world->no_preempting_jobs && job->importance > 8)
    job->importance = 8;
  job->run_ms = 300 + fake_pick (world, 15000);
  /* A few long tasks run longer than hosts wait for an unreachable worker. */
  if (fake_chance (world, 0.15))
    {
      job->run_ms = 60000;
      job->tasks = 1;
    }
  job->size.cpu_milli = 500 + fake_pick (world, 3000);
  job->size.memory_mb = 100 + fake_pick (world, 3000);
  if (fake_chance (world, 0.03))
    job->size.cpu_milli = 99000;
  if (fake_chance (world, 0.3))
    snprintf (job->zone.text, sizeof job->zone.text, "z%d",
              fake_pick (world, FAKE_ZONES));
  world->submits++;
  fake_command (world, host, &submit);
}
