/* kumquatrack undrain */

#include "builtin/builtin.h"

int
kq_cmd_undrain (int argc, char **argv)
{
  static const struct kq_tool_usage usage
      = { "undrain", "worker|host NAME",
          "Lets a drained worker or entry host accept work again.\n" };

  return kq_tool_main (argc, argv, &usage);
}
