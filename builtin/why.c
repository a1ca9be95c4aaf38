/* kumquatrack why */

#include "builtin/builtin.h"

int
kq_cmd_why (int argc, char **argv)
{
  static const struct kq_tool_usage usage = {
    "why", "task JOB/INDEX | job JOB | request TRACE-ID",
    "Shows where a task, a job or a request is, or what it is waiting for.\n"
  };

  return kq_tool_main (argc, argv, &usage);
}
