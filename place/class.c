/* Classes of tasks and their estimates. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place/internal.h"

/** Number of classes above which idle classes are removed. */
#define CLASSES_MAX 4096

/** Initial estimates for a team without observations: the used / declared
 *  ratio, and the slowdown of services if it used the whole worker.  */
#define SIZE_PRIOR_MEAN 1.0
#define SIZE_PRIOR_VARIANCE 0.25
#define SLOWDOWN_PRIOR_MEAN 0.2
#define SLOWDOWN_PRIOR_VARIANCE 0.05

/** Rate at which the estimates of a team follow those of its jobs, and the
 *  variance between the jobs of a team.  */
#define TEAM_LEARNING_RATE 0.02
#define JOB_VARIANCE 0.04

/** Observations after which a class counts as measured. */
#define MIN_OBSERVATIONS 2

/** Bounds on the used / declared ratio assumed for a class that was not
 *  measured yet.  */
#define UNMEASURED_FACTOR_MIN 0.75
#define UNMEASURED_FACTOR_MAX 1.5

/** Observations of a job after which it updates its team's estimates. */
#define TEAM_MIN_OBSERVATIONS 5

static void
remove_idle_classes (struct kq_place *place)
{
  struct place_class *class;
  struct place_class *next;

  if (HASH_COUNT (place->classes) < CLASSES_MAX)
    return;
  DL_FOREACH_SAFE (place->classes_by_age, class, next)
  {
    if (place->classes == NULL || class->team == NULL || class->tasks > 0)
      continue;
    HASH_DEL (place->classes, class);
    DL_DELETE (place->classes_by_age, class);
    free (class);
  }
}

static struct place_class *
add_class (struct kq_place *place, const char *key)
{
  struct place_class *class = calloc (1, sizeof (*class));

  if (class == NULL)
    return NULL;
  snprintf (class->key, sizeof (class->key), "%s", key);
  class->quota = (struct kq_resources){ INT32_MAX, INT32_MAX, INT32_MAX };
  class->cpu.mean = SIZE_PRIOR_MEAN;
  class->cpu.variance = SIZE_PRIOR_VARIANCE;
  class->memory = class->cpu;
  class->slowdown.mean = SLOWDOWN_PRIOR_MEAN;
  class->slowdown.variance = SLOWDOWN_PRIOR_VARIANCE;
  HASH_ADD_STR (place->classes, key, class);
  DL_APPEND (place->classes_by_age, class);
  return class;
}

struct place_class *
place_get_team (struct kq_place *place, const struct kq_name *team)
{
  struct place_class *class;

  HASH_FIND_STR (place->classes, team->text, class);
  return class ? class : add_class (place, team->text);
}

/** Returns the initial estimate for a job, derived from its team's. */
static struct kq_estimate
initial_job_estimate (const struct kq_estimate *team)
{
  struct kq_estimate job = *team;

  job.observations = 0;
  job.variance += JOB_VARIANCE;
  return job;
}

struct place_class *
place_get_class (struct kq_place *place, const struct kq_place_task *task)
{
  char key[2 * KQ_NAME_SIZE];
  struct place_class *team;
  struct place_class *class;

  snprintf (key, sizeof (key), "%s %s", task->team.text, task->id.job.text);
  HASH_FIND_STR (place->classes, key, class);
  if (class != NULL)
    return class;
  remove_idle_classes (place);
  team = place_get_team (place, &task->team);
  class = team ? add_class (place, key) : NULL;
  if (class == NULL)
    return NULL;
  class->team = team;
  class->cpu = initial_job_estimate (&team->cpu);
  class->memory = initial_job_estimate (&team->memory);
  class->slowdown = initial_job_estimate (&team->slowdown);
  return class;
}

static void
update_team_estimate (struct kq_estimate *team, const struct kq_estimate *job)
{
  double error = job->mean - team->mean;

  if (job->observations < TEAM_MIN_OBSERVATIONS)
    return;
  team->mean += TEAM_LEARNING_RATE * error;
  team->variance += TEAM_LEARNING_RATE * (error * error - team->variance);
}

void
place_class_update_team (struct place_class *class)
{
  update_team_estimate (&class->team->cpu, &class->cpu);
  update_team_estimate (&class->team->memory, &class->memory);
  update_team_estimate (&class->team->slowdown, &class->slowdown);
}

bool
place_class_is_unmeasured (const struct place_class *class)
{
  return class->memory.observations < MIN_OBSERVATIONS;
}

/** Corrects a declared amount; an amount of 0 stays 0.  A class that was not
 *  measured yet may be far off in either direction, so the correction known
 *  from its team is bounded.  */
static int32_t
corrected_amount (const struct place_class *class,
                  const struct kq_estimate *factor, double margin,
                  int32_t declared)
{
  double upper = kq_estimate_upper (factor, margin);
  double size;

  if (place_class_is_unmeasured (class))
    upper = fmin (fmax (upper, UNMEASURED_FACTOR_MIN), UNMEASURED_FACTOR_MAX);
  size = ceil (declared * upper);
  return size < INT32_MAX ? (int32_t)size : INT32_MAX;
}

double
place_expected_cpu_mean (const struct place_class *class, int32_t cpu_milli)
{
  double factor = class->cpu.mean;

  if (place_class_is_unmeasured (class))
    factor
        = fmin (fmax (factor, UNMEASURED_FACTOR_MIN), UNMEASURED_FACTOR_MAX);
  return cpu_milli * factor;
}

struct kq_resources
place_expected_size (const struct kq_place *place,
                     const struct place_class *class,
                     const struct kq_resources *size)
{
  struct kq_resources expected = *size;

  expected.cpu_milli = corrected_amount (class, &class->cpu, place->cpu_margin,
                                         size->cpu_milli);
  expected.memory_mb = corrected_amount (
      class, &class->memory, place->memory_margin, size->memory_mb);
  return expected;
}

struct kq_resources
place_granted_size (const struct kq_place *place,
                    const struct place_class *class,
                    const struct kq_resources *size)
{
  struct kq_resources grant = place_expected_size (place, class, size);

  if (grant.cpu_milli > size->cpu_milli)
    grant.cpu_milli = size->cpu_milli;
  if (grant.memory_mb > size->memory_mb)
    grant.memory_mb = size->memory_mb;
  return grant;
}

struct kq_resources
kq_place_granted_size (struct kq_place *place,
                       const struct kq_place_task *task)
{
  const struct place_class *class = place_get_class (place, task);

  return class ? place_granted_size (place, class, &task->size) : task->size;
}

struct kq_resources
kq_place_expected_size (struct kq_place *place,
                        const struct kq_place_task *task)
{
  const struct place_class *class = place_get_class (place, task);

  return class ? place_expected_size (place, class, &task->size) : task->size;
}
