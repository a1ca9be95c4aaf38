/* kumquatrack trace */

#include "builtin/builtin.h"

int
kq_cmd_trace (int argc, char **argv)
{
  static const struct kq_tool_usage usage
      = { "trace", "ID", "Shows one span per hop of a request or task.\n" };

  return kq_tool_main (argc, argv, &usage);
}
