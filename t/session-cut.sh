#!/bin/sh
# One availability zone loses its connection to the platform.  It must keep
# serving and running, get configuration from its peers and survive the loss of
# an owner; the other zone must still accept new work.
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
check 'all tasks of the job run' within 15 facts_match '.starts == 6'
set_knobs "$second_platform" '{"down":"hang"}'

old=$(revision 1)
set_importance 1 "$old" 2
check 'the other zone accepts a configuration' [ $? -eq 0 ]
new=$(revision 1)
check "the disconnected zone gets revision $new from its peers" within 10 \
  have_revision "$new" 1 2 3 4
job near dakar-sandaga 500ms
check 'the other zone accepts a job' [ $? -eq 0 ]
check 'the other zone completes that job' within 15 answers 1 \
  'any (.[]; .name == "near" and .state == "done")' show jobs

killed=$(owner_of nord-a 3)
successor=$(other_host_of_zone "$killed")
signal "$killed" KILL
check 'a killed owner in the disconnected zone is replaced' \
  within 15 answers "$successor" \
  "any (.[]; .name == \"nord-a\" and .owner != \"\"
    and .owner != \"$killed\")" show shards
check 'its workers serve requests' workers_serve "$successor" 7 8 9
check 'no task was started again' \
  facts_match '.starts == 12 and .lapses == null'
check 'no violation while disconnected' violations 0

set_knobs "$second_platform" '{"down":"no"}'
check 'its job completes after the zone is connected again' \
  within 30 answers "$successor" \
  'any (.[]; .name == "far" and .state == "done")' show jobs
check 'each task ran once' facts_match '.starts == 12 and .tasks_done == 12'
check 'no violation' violations 0
session_end
