/* kumquatrack show */

#include "builtin/builtin.h"

int
kq_cmd_show (int argc, char **argv)
{
  static const struct kq_tool_usage usage = {
    "show", "TABLE [where FIELD OP VALUE [and ...]] | configuration | history",
    "Shows the rows of TABLE: hosts, workers, services, jobs, tasks or\n"
    "shards.  OP is =, !=, <, <=, > or >=; VALUE may have a unit, such as\n"
    "500m (cores), 4gb or 30s.  The last line shows the current revision,\n"
    "the age of the data, and how many shards the answering host owns.\n"
  };

  return kq_tool_main (argc, argv, &usage);
}
