/* kumquatrack drain */

#include "builtin/builtin.h"

int
kq_cmd_drain (int argc, char **argv)
{
  static const struct kq_tool_usage usage
      = { "drain", "worker|host NAME",
          "Drains a worker or an entry host: it accepts no new work, and its\n"
          "running work is moved or finishes.\n" };

  return kq_tool_main (argc, argv, &usage);
}
