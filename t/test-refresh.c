/* Copies that keep what lasts from falling to the log's retention. */

#include "t/lib-core.h"

/* A copy of the configuration in force is no change: an operator who saw the
   revision before it can still configure from that base. */
static void
test_copy_keeps_the_revision (void)
{
  struct bench bench = open_bench ();
  struct kq_event event = { .kind = KQ_EV_COMMAND };

  read_config (&bench, 0, config_text);
  log_end (&bench);
  for (int i = 0; i < 100; i++)
    {
      const struct kq_effect *append;

      tick (&bench, 100);
      append = find (&bench, KQ_FX_APPEND, NULL);
      if (append != NULL && append->u.append->kind == KQ_REC_CONFIG)
        {
          struct kq_record *copy = kq_record_copy (append->u.append);

          read_record (&bench, copy);
          kq_record_free (copy);
        }
    }
  event.u.command.kind = KQ_CMD_CONFIGURE;
  event.u.command.id = 7;
  event.u.command.base = 1;
  event.u.command.text = config_text;
  give (&bench, &event);
  CU_ASSERT_NOT_EQUAL (reply_err (&bench), KQ_ECONFIG_CONFLICT);
  close_bench (&bench);
}

static const struct kq_test tests[]
    = { { "copy keeps the revision", test_copy_keeps_the_revision } };

KQ_TEST_MAIN ("refresh", tests)
