#!/bin/sh
# Configuration changes with concurrent operators, a paused host, a host that
# starts during an outage of the log, and a host that is killed right after it
# accepted a change.  No host may ever show a lower revision than before.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-config 21200
cluster_start
cluster_configure

# Polls the revision of host I and writes each decrease to $work/decrease.I.
watch_revision () { # I
  last=0
  while :; do
    now=$(revision "$1" 2>/dev/null)
    if [ "${now:-0}" -gt 0 ]; then
      [ "$now" -ge "$last" ] || echo "$last to $now" >>"$work/decrease.$1"
      last=$now
    fi
    sleep 0.2
  done
}
old=$(revision 1)
for i in 1 2 3 4; do
  watch_revision $i &
  pids="$pids $!"
done

set_importance 1 "$old" 1 >"$work/race.1" 2>&1 &
first_pid=$!
set_importance 3 "$old" 2 >"$work/race.3" 2>&1 &
second_pid=$!
wait $first_pid
first_status=$?
wait $second_pid
second_status=$?
check "one is accepted, one refused: $first_status $second_status" \
  [ $((first_status + second_status)) -eq 1 ]
check 'the refused operator gets a conflict' \
  grep -q ECONFIG_CONFLICT "$work/race.1" "$work/race.3"
new=$(revision 1)
check "the revision rose from $old to $new" [ "$new" -gt "$old" ]
check 'all hosts have the new revision' within 10 have_revision "$new" 1 2 3 4

set_importance 1 "$old" 3 >/dev/null 2>&1
check 'an old base revision is refused' [ $? -eq 1 ]
tool configure base "$new" '{"shards": 1}' >"$work/schema" 2>&1
check 'an invalid document is refused' [ $? -eq 1 -o $? -eq 2 ]
check 'the error names the invalid field' grep -q shards "$work/schema"

signal nord-2 STOP
set_importance 1 "$new" 4 >/dev/null
check 'a change is accepted while a host is paused' [ $? -eq 0 ]
latest=$(revision 1)
signal nord-2 CONT
check 'the resumed host gets the latest revision' \
  within 10 have_revision "$latest" 1 2 3 4

set_importance 1 "$latest" 5 >/dev/null
check 'a change is accepted by a host that is then killed' [ $? -eq 0 ]
signal sandaga-1 KILL
check 'the other hosts get that change' \
  within 10 have_revision $((latest + 1)) 2 3 4 || :
latest=$(revision 2)

set_knobs "$platform" '{"down":"hang"}'
set_knobs "$second_platform" '{"down":"hang"}'
start_daemon sandaga-1 1 dakar-sandaga dakar "$platform"
check 'a host that starts during an outage gets the revision from a peer' \
  within 15 have_revision "$latest" 1
set_knobs "$platform" '{"down":"no"}'
set_knobs "$second_platform" '{"down":"no"}'
sleep 1
check 'no host showed a lower revision than before' \
  [ -z "$(cat "$work"/decrease.* 2>/dev/null)" ]
check 'no violation' violations 0
session_end
