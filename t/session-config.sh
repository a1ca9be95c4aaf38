#!/bin/sh
# Configuration: operators race, a host is stale, a host starts while the log
# is down, the accepting host dies at once.  No host ever shows a revision
# lower than one that it showed before.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-config 21200
cluster_start
cluster_configure

# Watches host I: a revision that falls is written to its file.
watch () {
  last=0
  while :; do
    now=$(revision "$1" 2>/dev/null)
    if [ "${now:-0}" -gt 0 ]; then
      [ "$now" -ge "$last" ] || echo "$last to $now" >>"$work/fell.$1"
      last=$now
    fi
    sleep 0.2
  done
}
old=$(revision 1)
for i in 1 2 3 4; do
  watch $i &
  pids="$pids $!"
done

change 1 "$old" 1 >"$work/race.1" 2>&1 &
first=$!
change 3 "$old" 2 >"$work/race.3" 2>&1 &
second=$!
wait $first
one=$?
wait $second
two=$?
check "one is accepted, one refused: $one $two" [ $((one + two)) -eq 1 ]
check 'the loser sees a conflict' \
  grep -q ECONFIG_CONFLICT "$work/race.1" "$work/race.3"
new=$(revision 1)
check "the revision rose from $old to $new" [ "$new" -gt "$old" ]
check 'all hosts have it' within 10 agree "$new" 1 2 3 4

change 1 "$old" 3 >/dev/null 2>&1
check 'an old base is refused' [ $? -eq 1 ]
tool configure base "$new" '{"shards": 1}' >"$work/schema" 2>&1
check 'a wrong document is refused' [ $? -eq 1 -o $? -eq 2 ]
check 'with the path of its field' grep -q shards "$work/schema"

signal nord-2 STOP
change 1 "$new" 4 >/dev/null
check 'accepted while a host is paused' [ $? -eq 0 ]
latest=$(revision 1)
signal nord-2 CONT
check 'the woken host follows' within 10 agree "$latest" 1 2 3 4

change 1 "$latest" 5 >/dev/null
check 'accepted by a host that is killed at once' [ $? -eq 0 ]
signal sandaga-1 KILL
check 'the others follow' within 10 agree $((latest + 1)) 2 3 4 || :
latest=$(revision 2)

set_knobs "$platform" '{"down":"hang"}'
set_knobs "$far" '{"down":"hang"}'
start_daemon sandaga-1 1 dakar-sandaga dakar "$platform"
check 'a host that starts during an outage has it from a peer' \
  within 15 agree "$latest" 1
set_knobs "$platform" '{"down":"no"}'
set_knobs "$far" '{"down":"no"}'
sleep 1
check 'no host went back' [ -z "$(cat "$work"/fell.* 2>/dev/null)" ]
check 'no violation' violations 0
session_end
