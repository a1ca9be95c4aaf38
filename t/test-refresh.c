/* Guards the copies of records that are appended before the log's retention
   removes the originals. */

#include "t/lib-core.h"

/* If a copy of the current configuration counted as a new revision, a command
   based on the revision before the copy would fail with KQ_ECONFIG_CONFLICT.
 */
static void
test_copy_keeps_the_revision (void)
{
  struct core_fixture fixture = create_fixture ();
  struct kq_event event = { .kind = KQ_EV_COMMAND };

  read_config (&fixture, 0, config_text);
  reach_log_end (&fixture);
  for (int i = 0; i < 100; i++)
    {
      const struct kq_effect *append;

      tick (&fixture, 100);
      append = find_effect (&fixture, KQ_FX_APPEND, NULL);
      if (append != NULL && append->u.append->kind == KQ_REC_CONFIG)
        {
          struct kq_record *copy = kq_record_copy (append->u.append);

          read_record (&fixture, copy);
          kq_record_free (copy);
        }
    }
  event.u.command.kind = KQ_CMD_CONFIGURE;
  event.u.command.id = 7;
  event.u.command.base = 1;
  event.u.command.text = config_text;
  step (&fixture, &event);
  CU_ASSERT_NOT_EQUAL (reply_err (&fixture), KQ_ECONFIG_CONFLICT);
  destroy_fixture (&fixture);
}

static const struct kq_test tests[]
    = { { "copy keeps the revision", test_copy_keeps_the_revision } };

KQ_TEST_MAIN ("refresh", tests)
