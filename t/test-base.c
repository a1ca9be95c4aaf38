#include <string.h>

#include "base/err.h"
#include "base/name.h"
#include "base/rto.h"
#include "metrics/metrics.h"
#include "t/kqtest.h"

static void
test_error_names (void)
{
  CU_ASSERT_STRING_EQUAL (kq_err_name (KQ_ELEASE_TERM), "KQ_ELEASE_TERM");
  CU_ASSERT_STRING_EQUAL (kq_err_name (-9999), "KQ_UNKNOWN");
  CU_ASSERT_STRING_EQUAL (kq_err_text (KQ_OK), "success");
}

static void
test_names_are_checked (void)
{
  struct kq_name name = { "" };
  char longest[KQ_NAME_SIZE + 1];

  memset (longest, 'a', KQ_NAME_SIZE);
  longest[KQ_NAME_SIZE] = '\0';
  CU_ASSERT_EQUAL (kq_name_set (&name, ""), KQ_ESYNTAX);
  CU_ASSERT_EQUAL (kq_name_set (&name, "a b"), KQ_ESYNTAX);
  CU_ASSERT_EQUAL (kq_name_set (&name, longest), KQ_ETOOBIG);
  CU_ASSERT_TRUE (kq_name_empty (&name));
  CU_ASSERT_EQUAL (kq_name_set (&name, "dakar-pikine/0"), 0);
  CU_ASSERT_STRING_EQUAL (name.text, "dakar-pikine/0");
}

static void
test_metrics_page (void)
{
  static struct kq_metric metric = { .name = "kq_test_total", .help = "x" };
  char page[64];
  char small[8];

  kq_metric_register (&metric);
  kq_metric_add (&metric, 3);
  CU_ASSERT_TRUE (kq_metric_print (page, sizeof page) > 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (page, "\nkq_test_total 3\n"));
  CU_ASSERT_EQUAL (kq_metric_print (small, sizeof small), KQ_ETOOBIG);
}

static void
test_limit_follows_response_times (void)
{
  struct kq_rto rto;

  kq_rto_init (&rto, 250, 700);
  CU_ASSERT_EQUAL (kq_rto_get (&rto), 700);
  for (int i = 0; i < 50; i++)
    kq_rto_add_sample (&rto, 20);
  CU_ASSERT_EQUAL (kq_rto_get (&rto), 250);
  /* One response in twenty is lost: the limit stays at its minimum. */
  for (int i = 0; i < 200; i++)
    if (i % 20 == 0)
      kq_rto_add_timeout (&rto);
    else
      kq_rto_add_sample (&rto, 20);
  CU_ASSERT_EQUAL (kq_rto_get (&rto), 250);
  /* All responses become slower than the limit: the limit rises. */
  for (int i = 0; i < 50; i++)
    kq_rto_add_timeout (&rto);
  CU_ASSERT_EQUAL (kq_rto_get (&rto), 700);
  for (int i = 0; i < 50; i++)
    kq_rto_add_sample (&rto, 400);
  CU_ASSERT (kq_rto_get (&rto) > 400);
}

static const struct kq_test tests[] = {
  { "the time limit follows response times",
    test_limit_follows_response_times },
  { "error names", test_error_names },
  { "names are checked", test_names_are_checked },
  { "metrics page", test_metrics_page },
};

KQ_TEST_MAIN ("base", tests)
