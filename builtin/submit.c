/* kumquatrack submit */

#include "builtin/builtin.h"

int
kq_cmd_submit (int argc, char **argv)
{
  static const struct kq_tool_usage usage = {
    "submit",
    "job ID team TEAM tasks COUNT cpu SIZE memory SIZE [accelerators COUNT] "
    "[run DURATION] [zone ZONE] [importance 0-9] [service]",
    "Submits a job.  The id must be new, so repeating a submit after an\n"
    "unknown outcome creates no second job.  SIZE of cpu is in cores (2) or\n"
    "thousandths of a core (500m), SIZE of memory is such as 256mb, 4gb or\n"
    "1tb.  DURATION is the declared run time of one task, such as 500ms, "
    "30s,\n"
    "10m or 2h.  Importance 9 is scheduled first.  A service has no run time\n"
    "and is kept running.\n"
  };

  return kq_tool_main (argc, argv, &usage);
}
