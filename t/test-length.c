/* Lengths of steps are guessed better than their callers say. */
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdlib.h>

#include "sched/length.h"
#include "t/kqtest.h"

#define STEPS 2000
#define LEARNED_FROM 500

/* Mean errors of the logarithm: of what callers say, and of the guess. */
struct errors
{
  double said;
  double guessed;
};

/* Steps of 640 ms in the middle; callers are off by up to OFF. */
static struct errors
play (double off)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus);
  struct kq_length length = { .weight = 0 };
  struct errors errors = { 0, 0 };

  gsl_rng_set (rng, 7);
  for (int i = 0; i < STEPS; i++)
    {
      double took = gsl_ran_lognormal (rng, log (640), 0.5);
      double said = took * (1 + off * (2 * gsl_rng_uniform (rng) - 1));
      int64_t guess = kq_length_guess (&length, (int64_t)said + 1);

      if (i >= LEARNED_FROM)
        {
          errors.said += fabs (log (said / took));
          errors.guessed += fabs (log ((double)guess / took));
        }
      kq_length_learn (&length, (int64_t)said + 1, (int64_t)took + 1);
    }
  gsl_rng_free (rng);
  return errors;
}

/* The platform's callers are off by up to nine tenths. */
static void
test_bad_callers (void)
{
  struct errors errors = play (0.9);

  CU_ASSERT (errors.guessed < errors.said * 0.8);
}

static void
test_good_callers (void)
{
  struct errors errors = play (0.2);

  CU_ASSERT (errors.guessed < errors.said * 1.05);
}

static void
test_nothing_known (void)
{
  struct kq_length length = { .weight = 0 };

  CU_ASSERT_EQUAL (kq_length_guess (&length, 300), 300);
  kq_length_learn (&length, 0, 100);
  kq_length_learn (&length, 100, 0);
  CU_ASSERT_EQUAL (kq_length_guess (&length, 0), 0);
  for (int i = 0; i < 100; i++)
    kq_length_learn (&length, 100, 500);
  CU_ASSERT (llabs (kq_length_guess (&length, 100) - 500) <= 1);
}

static const struct kq_test tests[] = {
  { "callers that are far off", test_bad_callers },
  { "callers that are nearly right", test_good_callers },
  { "nothing known", test_nothing_known },
};

KQ_TEST_MAIN ("test-length", tests)
