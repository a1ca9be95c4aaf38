/* Tests the accuracy of estimated step lengths. */
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdlib.h>

#include "sched/length.h"
#include "t/kqtest.h"

/* Number of simulated steps, and of the first ones that only train the
   estimate. */
#define STEPS 2000
#define LEARNED_FROM 500

/* Mean absolute errors of the logarithm: of the callers' estimates and of
   the scheduler's. */
struct errors
{
  double callers;
  double estimated;
};

/* Simulates steps with a median of 640 ms and callers whose estimates are
   wrong by a factor of up to 1 +- MAX_ERROR. */
static struct errors
simulate (double max_error)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus);
  struct kq_length length = { .weight = 0 };
  struct errors errors = { 0, 0 };

  gsl_rng_set (rng, 7);
  for (int i = 0; i < STEPS; i++)
    {
      double took = gsl_ran_lognormal (rng, log (640), 0.5);
      double callers
          = took * (1 + max_error * (2 * gsl_rng_uniform (rng) - 1));
      int64_t guess = kq_length_estimate (&length, (int64_t)callers + 1);

      if (i >= LEARNED_FROM)
        {
          errors.callers += fabs (log (callers / took));
          errors.estimated += fabs (log ((double)guess / took));
        }
      kq_length_learn (&length, (int64_t)callers + 1, (int64_t)took + 1);
    }
  gsl_rng_free (rng);
  return errors;
}

/* The platform's callers are wrong by up to nine tenths. */
static void
test_inaccurate_estimates (void)
{
  struct errors errors = simulate (0.9);

  CU_ASSERT (errors.estimated < errors.callers * 0.8);
}

static void
test_accurate_estimates (void)
{
  struct errors errors = simulate (0.2);

  CU_ASSERT (errors.estimated < errors.callers * 1.05);
}

static void
test_no_steps_known (void)
{
  struct kq_length length = { .weight = 0 };

  CU_ASSERT_EQUAL (kq_length_estimate (&length, 300), 300);
  kq_length_learn (&length, 0, 100);
  kq_length_learn (&length, 100, 0);
  CU_ASSERT_EQUAL (kq_length_estimate (&length, 0), 0);
  for (int i = 0; i < 100; i++)
    kq_length_learn (&length, 100, 500);
  CU_ASSERT (llabs (kq_length_estimate (&length, 100) - 500) <= 1);
}

static const struct kq_test tests[] = {
  { "inaccurate estimates", test_inaccurate_estimates },
  { "accurate estimates", test_accurate_estimates },
  { "no steps known", test_no_steps_known },
};

KQ_TEST_MAIN ("test-length", tests)
