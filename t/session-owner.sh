#!/bin/sh
# One owner is killed and another is paused past the end of its lease and then
# resumed, both while the log is down.  No task may run twice, and the workers
# of both must serve requests again.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-owner 21100
cluster_start
cluster_configure

tool submit job rows team weavers tasks 16 cpu 1 memory 256mb run 25s
check 'the job is accepted' [ $? -eq 0 ]
check 'all tasks run' within 15 facts_match '.starts == 16'

set_outage () { # no | hang
  set_knobs "$platform" "{\"down\":\"$1\"}"
  set_knobs "$second_platform" "{\"down\":\"$1\"}"
}

set_outage hang
killed=$(owner_of sandaga-a)
successor=$(other_host_of_zone "$killed")
signal "$killed" KILL
check 'the shard of the killed owner has another owner' \
  within 15 answers "$successor" \
  "any (.[]; .name == \"sandaga-a\" and .owner != \"\"
    and .owner != \"$killed\")" show shards
check 'its workers serve requests again' workers_serve "$successor" 1 2 3
check 'no task was started again' \
  facts_match '.starts == 16 and .lapses == null'

paused=$(owner_of nord-a 3)
successor=$(other_host_of_zone "$paused")
successor_name=nord-$((successor - 2))
signal "$paused" STOP
check 'the shard of the paused owner has another owner' \
  within 15 answers "$successor" \
  "any (.[]; .name == \"nord-a\" and .owner == \"$successor_name\")" show shards
check 'its workers serve requests again' workers_serve "$successor" 7 8 9
signal "$paused" CONT
check 'the resumed owner reports health' within 10 \
  fetch -f "$(admin "$(number_of "$paused")")/health"
sleep 1
check 'no task was restarted or lapsed' \
  facts_match '.starts == 16 and .lapses == null'
check 'no violation while the log is down' violations 0

set_outage no
check 'tasks still run after the log is available again' \
  facts_match '.tasks_done == null'
check 'all tasks complete' within 40 facts_match '.tasks_done == 16'
check 'the job is shown as done' within 10 answers "$successor" \
  'any (.[]; .name == "rows" and .state == "done")' show jobs
check 'no task was started twice' facts_match '.starts == 16'
check 'no violation' violations 0
check 'no worker refused a start for lack of capacity' \
  facts_match '.refused_full == null'
session_end
