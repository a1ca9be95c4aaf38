/* kumquatrack submit */

#include "builtin/builtin.h"

int
kq_cmd_submit (int argc, char **argv)
{
  static const struct kq_tool_usage usage = {
    "submit",
    "job ID team TEAM tasks COUNT cpu SIZE memory SIZE [accelerators COUNT] "
    "[run DURATION] [zone ZONE] [importance 0-9] [service]",
    "Submits a job.  The id must be new, so a submit that is repeated after\n"
    "an unknown outcome makes no second job.  SIZE of cpu is cores (2) or\n"
    "thousandths (500m), of memory 256mb, 4gb or 1tb; DURATION is 500ms,\n"
    "30s, 10m or 2h and is declared for one task.  Importance 9 goes\n"
    "first.  A service has no run time and is kept running.\n"
  };

  return kq_tool_main (argc, argv, &usage);
}
