#include "node/self.h"

#include <inttypes.h>
#include <stdio.h>
#include <sys/random.h>
#include <unistd.h>

#include "base/clock.h"

/* Generates an identifier that differs at each start of the process. */
static void
generate_incarnation (char *incarnation, size_t size)
{
  uint64_t number = 0;

  if (getrandom (&number, sizeof number, 0) != sizeof number)
    number = (uint64_t)kq_clock_wall () ^ (uint64_t)getpid () << 48;
  snprintf (incarnation, size, "%016" PRIx64, number);
}

void
kq_self_describe (const struct kq_node_settings *settings,
                  struct kq_host *self)
{
  *self = (struct kq_host){ .cores = settings->cores,
                            .memory_mb = settings->memory_mb,
                            .descriptors = settings->descriptors };
  snprintf (self->name, sizeof self->name, "%s", settings->host);
  snprintf (self->address, sizeof self->address, "%s:%d", settings->ip,
            settings->first_port);
  snprintf (self->zone, sizeof self->zone, "%s", settings->zone);
  snprintf (self->region, sizeof self->region, "%s", settings->region);
  generate_incarnation (self->incarnation, sizeof self->incarnation);
}
