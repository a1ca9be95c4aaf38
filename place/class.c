/* Classes of tasks and what is learned of them. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place/internal.h"

/** Classes that are kept before idle ones are forgotten. */
#define CLASSES_MAX 4096

/** What is believed of a team that was never seen. */
#define SIZE_PRIOR_MEAN 1.0
#define SIZE_PRIOR_VARIANCE 0.25
#define SLOW_PRIOR_MEAN 0.2
#define SLOW_PRIOR_VARIANCE 0.05

/** How fast a team follows its jobs, and how much its jobs differ. */
#define TEAM_RATE 0.02
#define JOB_SPREAD_VARIANCE 0.04

/** Observations after which a class counts as seen. */
#define SEEN_LEAST 2

/** Bounds on used / declared that is assumed of a class never seen. */
#define UNSEEN_LEAST 0.75
#define UNSEEN_MOST 1.5

/** Observations after which a job says something of its team. */
#define TEAM_SEEN_LEAST 5

static void
forget_idle_classes (struct kq_place *place)
{
  struct place_class *class;
  struct place_class *next;

  if (HASH_COUNT (place->classes) < CLASSES_MAX)
    return;
  DL_FOREACH_SAFE (place->class_list, class, next)
  {
    if (place->classes == NULL || class->team == NULL || class->tasks > 0)
      continue;
    HASH_DEL (place->classes, class);
    DL_DELETE (place->class_list, class);
    free (class);
  }
}

static struct place_class *
class_add (struct kq_place *place, const char *key)
{
  struct place_class *class = calloc (1, sizeof (*class));

  if (class == NULL)
    return NULL;
  snprintf (class->key, sizeof (class->key), "%s", key);
  class->quota = (struct kq_size){ INT32_MAX, INT32_MAX, INT32_MAX };
  class->cpu.mean = SIZE_PRIOR_MEAN;
  class->cpu.variance = SIZE_PRIOR_VARIANCE;
  class->memory = class->cpu;
  class->slow.mean = SLOW_PRIOR_MEAN;
  class->slow.variance = SLOW_PRIOR_VARIANCE;
  HASH_ADD_STR (place->classes, key, class);
  DL_APPEND (place->class_list, class);
  return class;
}

struct place_class *
place_team_of (struct kq_place *place, const struct kq_name *team)
{
  struct place_class *class;

  HASH_FIND_STR (place->classes, team->text, class);
  return class ? class : class_add (place, team->text);
}

/** Starts a job's estimate from its team's. */
static struct kq_estimate
inherit (const struct kq_estimate *team)
{
  struct kq_estimate own = *team;

  own.seen = 0;
  own.variance += JOB_SPREAD_VARIANCE;
  return own;
}

struct place_class *
place_class_of (struct kq_place *place, const struct kq_place_task *task)
{
  char key[2 * KQ_NAME_SIZE];
  struct place_class *team;
  struct place_class *class;

  snprintf (key, sizeof (key), "%s %s", task->team.text, task->id.job.text);
  HASH_FIND_STR (place->classes, key, class);
  if (class != NULL)
    return class;
  forget_idle_classes (place);
  team = place_team_of (place, &task->team);
  class = team ? class_add (place, key) : NULL;
  if (class == NULL)
    return NULL;
  class->team = team;
  class->cpu = inherit (&team->cpu);
  class->memory = inherit (&team->memory);
  class->slow = inherit (&team->slow);
  return class;
}

static void
inform (struct kq_estimate *team, const struct kq_estimate *job)
{
  double error = job->mean - team->mean;

  if (job->seen < TEAM_SEEN_LEAST)
    return;
  team->mean += TEAM_RATE * error;
  team->variance += TEAM_RATE * (error * error - team->variance);
}

void
place_class_inform_team (struct place_class *class)
{
  inform (&class->team->cpu, &class->cpu);
  inform (&class->team->memory, &class->memory);
  inform (&class->team->slow, &class->slow);
}

bool
place_unseen (const struct place_class *class)
{
  return class->memory.seen < SEEN_LEAST;
}

/** Corrects a declared amount; an unused resource stays unused.  A class
 *  that was never seen may be far off either way: what its team is known for
 *  is taken with restraint.  */
static int32_t
corrected (const struct place_class *class, const struct kq_estimate *factor,
           double margin, int32_t declared)
{
  double upper = kq_estimate_upper (factor, margin);
  double size;

  if (place_unseen (class))
    upper = fmin (fmax (upper, UNSEEN_LEAST), UNSEEN_MOST);
  size = ceil (declared * upper);
  return size < INT32_MAX ? (int32_t)size : INT32_MAX;
}

double
place_cpu_mean (const struct place_class *class, int32_t cpu_milli)
{
  double factor = class->cpu.mean;

  if (place_unseen (class))
    factor = fmin (fmax (factor, UNSEEN_LEAST), UNSEEN_MOST);
  return cpu_milli * factor;
}

struct kq_size
place_size (const struct kq_place *place, const struct place_class *class,
            const struct kq_size *size)
{
  struct kq_size expected = *size;

  expected.cpu_milli
      = corrected (class, &class->cpu, place->cpu_margin, size->cpu_milli);
  expected.memory_mb = corrected (class, &class->memory, place->memory_margin,
                                  size->memory_mb);
  return expected;
}

struct kq_size
place_grant (const struct kq_place *place, const struct place_class *class,
             const struct kq_size *size)
{
  struct kq_size grant = place_size (place, class, size);

  if (grant.cpu_milli > size->cpu_milli)
    grant.cpu_milli = size->cpu_milli;
  if (grant.memory_mb > size->memory_mb)
    grant.memory_mb = size->memory_mb;
  return grant;
}

struct kq_size
kq_place_grant (struct kq_place *place, const struct kq_place_task *task)
{
  const struct place_class *class = place_class_of (place, task);

  return class ? place_grant (place, class, &task->size) : task->size;
}

struct kq_size
kq_place_size (struct kq_place *place, const struct kq_place_task *task)
{
  const struct place_class *class = place_class_of (place, task);

  return class ? place_size (place, class, &task->size) : task->size;
}
