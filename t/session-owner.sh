#!/bin/sh
# An owner that is killed, and one that is paused past its lease and woken,
# both while the log is down: no task twice, workers are served again.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-owner 21100
cluster_start
cluster_configure

tool submit job rows team weavers tasks 16 cpu 1 memory 256mb run 25s
check 'the job is accepted' [ $? -eq 0 ]
check 'all tasks run' within 15 fact_holds '.starts == 16'

log_down () { # no | hang
  set_knobs "$platform" "{\"down\":\"$1\"}"
  set_knobs "$far" "{\"down\":\"$1\"}"
}

log_down hang
killed=$(owner_of sandaga-a)
heir=$(other_than "$killed")
signal "$killed" KILL
check 'the shard has another owner' within 15 answers "$heir" \
  "any (.[]; .name == \"sandaga-a\" and .owner != \"\"
    and .owner != \"$killed\")" show shards
check 'its workers serve requests again' serves "$heir" 1 2 3
check 'no task was started again' fact_holds '.starts == 16 and .lapses == null'

paused=$(owner_of nord-a 3)
heir=$(other_than "$paused")
heir_name=nord-$((heir - 2))
signal "$paused" STOP
check 'the paused owner is followed' within 15 answers "$heir" \
  "any (.[]; .name == \"nord-a\" and .owner == \"$heir_name\")" show shards
check 'its workers serve requests again' serves "$heir" 7 8 9
signal "$paused" CONT
check 'the woken owner answers' within 10 \
  get -f "$(admin "$(number_of "$paused")")/health"
sleep 1
check 'the tasks are still where they were' \
  fact_holds '.starts == 16 and .lapses == null'
check 'no violation while the log is down' violations 0

log_down no
check 'tasks still run when the log is back' fact_holds '.tasks_done == null'
check 'the job finishes' within 40 fact_holds '.tasks_done == 16'
check 'the system says so' within 10 answers "$heir" \
  'any (.[]; .name == "rows" and .state == "done")' show jobs
check 'no task was ever started again' fact_holds '.starts == 16'
check 'no violation' violations 0
check 'no worker refused for want of room' fact_holds '.refused_full == null'
session_end
