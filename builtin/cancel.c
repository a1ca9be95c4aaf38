/* kumquatrack cancel */

#include "builtin/builtin.h"

int
kq_cmd_cancel (int argc, char **argv)
{
  static const struct kq_tool_usage usage = {
    "cancel", "job ID",
    "Cancels a job: its waiting tasks never start, its running tasks are\n"
    "stopped.\n"
  };

  return kq_tool_main (argc, argv, &usage);
}
