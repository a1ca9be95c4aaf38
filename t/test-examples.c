/* Guards against example configurations in docs/examples/ that are out of
   date: the schema accepts them, their numbers of workers and zones are those
   of the two users, and their weights are those used by bench/place.c.  */

#include <stdio.h>
#include <string.h>

#include "config/document.h"
#include "t/kqtest.h"

struct example
{
  const char *file;
  int workers;
  int zones;
  struct kq_config_policy policy;
};

static const struct example examples[] = {
  { "docs/examples/groupement.json", 65, 3, { 60, 20, 20 } },
  { "docs/examples/instituto.json", 50, 3, { 20, 40, 40 } },
};

static struct kq_config_document *
read_example (const char *name)
{
  static char text[KQ_CONFIG_MAX_BYTES];
  struct kq_config_document *document = NULL;
  struct kq_config_error error;
  FILE *file = fopen (name, "re");
  size_t length = file ? fread (text, 1, sizeof (text) - 1, file) : 0;

  if (file != NULL)
    fclose (file);
  text[length] = '\0';
  if (kq_config_document_parse (text, &document, &error) != 0)
    printf ("\n%s: %s\n", name, error.path);
  return document;
}

static void
test_examples (void)
{
  for (size_t i = 0; i < sizeof (examples) / sizeof (examples[0]); i++)
    {
      const struct example *example = &examples[i];
      struct kq_config_document *document = read_example (example->file);
      int workers = 0;
      int zones = 0;

      CU_ASSERT_PTR_NOT_NULL (document);
      if (document == NULL)
        continue;
      for (size_t s = 0; s < document->shard_count; s++)
        {
          const struct kq_config_shard *shard = &document->shards[s];

          workers += (int)shard->worker_count;
          zones += s == 0 || !kq_name_eq (&shard->zone, &shard[-1].zone);
        }
      CU_ASSERT_EQUAL (workers, example->workers);
      CU_ASSERT_EQUAL (zones, example->zones);
      CU_ASSERT (document->service_count > 0 && document->team_count > 0);
      CU_ASSERT_EQUAL (document->policy.tail_latency_weight,
                       example->policy.tail_latency_weight);
      CU_ASSERT_EQUAL (document->policy.batch_throughput_weight,
                       example->policy.batch_throughput_weight);
      CU_ASSERT_EQUAL (document->policy.eviction_weight,
                       example->policy.eviction_weight);
      kq_config_document_free (document);
    }
}

static const struct kq_test tests[] = { { "examples", test_examples } };

KQ_TEST_MAIN ("examples", tests)
