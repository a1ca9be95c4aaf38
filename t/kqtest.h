/** @file
 * Runs the tests of one module with CUnit and prints one line with the numbers
 * of passed and failed tests.
 */
#ifndef KQ_T_KQTEST_H
#define KQ_T_KQTEST_H

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdio.h>

struct kq_test
{
  const char *name;
  void (*run) (void);
};

/** Runs COUNT tests as the suite MODULE.
 *  @return the exit status: 0 if all passed, 1 if not, 2 if CUnit failed.  */
static inline int
kq_test_main (const char *module, const struct kq_test *tests, int count)
{
  CU_pSuite suite;
  unsigned failed;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite (module, NULL, NULL);
  for (int i = 0; i < count; i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  failed = CU_get_number_of_tests_failed ();
  printf ("%s: %u passed, %u failed\n", module,
          CU_get_number_of_tests_run () - failed, failed);
  CU_cleanup_registry ();
  return failed != 0;
}

/** Defines main(), which runs the array TESTS as the suite MODULE. */
#define KQ_TEST_MAIN(module, tests)                                           \
  int main (void)                                                             \
  {                                                                           \
    return kq_test_main (module, tests,                                       \
                         (int)(sizeof (tests) / sizeof ((tests)[0])));        \
  }

#endif
