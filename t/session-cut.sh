#!/bin/sh
# One availability zone is cut off from the platform: it goes on serving and
# running, follows configuration through its peers and survives the loss of
# an owner; the other zone goes on with new work.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-cut 21450
cluster_start
cluster_configure
job () { # NAME ZONE RUN
  tool submit job "$1" team weavers zone "$2" tasks 6 cpu 1 memory 64mb run "$3"
}

job far thies-nord 15s
check 'a job in the zone is accepted' [ $? -eq 0 ]
check 'it runs' within 15 fact_holds '.starts == 6'
set_knobs "$far" '{"down":"hang"}'

old=$(revision 1)
change 1 "$old" 2
check 'the other zone takes a configuration' [ $? -eq 0 ]
new=$(revision 1)
check "the cut zone has revision $new from its peers" within 10 \
  agree "$new" 1 2 3 4
job near dakar-sandaga 500ms
check 'the other zone takes a job' [ $? -eq 0 ]
check 'and finishes it' within 15 answers 1 \
  'any (.[]; .name == "near" and .state == "done")' show jobs

killed=$(owner_of nord-a 3)
heir=$(other_than "$killed")
signal "$killed" KILL
check 'a lost owner in the cut zone is followed' within 15 answers "$heir" \
  "any (.[]; .name == \"nord-a\" and .owner != \"\"
    and .owner != \"$killed\")" show shards
check 'its workers serve requests' serves "$heir" 7 8 9
check 'no task was started again' fact_holds '.starts == 12 and .lapses == null'
check 'no violation during the cut' violations 0

set_knobs "$far" '{"down":"no"}'
check 'its job finishes after the cut' within 30 answers "$heir" \
  'any (.[]; .name == "far" and .state == "done")' show jobs
check 'each task once' fact_holds '.starts == 12 and .tasks_done == 12'
check 'no violation' violations 0
session_end
