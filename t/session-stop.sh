#!/bin/sh
# A leaving endpoint must get no new requests after a few seconds, also when
# the list of hosts is delayed; a planned stop of an entry host must truncate
# no response.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-stop 21250
cluster_start
cluster_configure

send_load () { # FILE SECONDS FLAG...
  file=$1
  seconds=$2
  shift 2
  "$BUILD/kumquatrack" load --service prices --rate 60 --seconds "$seconds" \
    --json --deadline-ms 3000 "$@" >"$work/$file" &
  load_pid=$!
  pids="$pids $load_pid"
}

set_knobs "$platform" '{"host_lag_ms":1000}'
send_load leave.json 8 --url "$(front 1)/" --url "$(front 2)/"
sleep 1
check 'the endpoint serves requests' facts_match '.workers[0].served > 0'
publish_hosts 'if .name == "w1" then .state = "leaving" else . end'
sleep 4
check 'no new requests 4 s after it began to leave, 1 s of delay included' \
  facts_match '.workers[0].idle_ms >= 500'
before=$(get_fact '.workers[0].served')
wait "$load_pid"
check 'no request is served later' facts_match ".workers[0].served == $before"
check 'no response was truncated, missing or of unknown outcome' \
  json_matches "$(cat "$work/leave.json")" \
  '.cut == 0 and .unknown == 0 and .silent == 0 and .answered > 0'

tool submit job rows team weavers tasks 12 cpu 1 memory 64mb run 8s
check 'the job is accepted' [ $? -eq 0 ]
check 'all tasks run' within 15 facts_match '.starts == 12'
send_load stop.json 6 --url "$(front 1)/" --url "$(front 2)/" \
  --header 'X-Service-Ms: 300'
sleep 2
signal sandaga-1 TERM
check 'the entry host exits after SIGTERM' within 15 has_exited sandaga-1
wait "$(cat "$work/sandaga-1.pid")"
check "the entry host exits with status 0: $?" [ $? -eq 0 ]
wait "$load_pid"
check "no response in flight was truncated: $(cat "$work/stop.json")" \
  json_matches "$(cat "$work/stop.json")" \
  '.cut == 0 and .unknown == 0 and .silent == 0 and .answered > 0'
check 'its shards have another owner' within 10 answers 2 \
  'all (.[]; .owner != "sandaga-1" and .owner != "")' show shards
check 'no task was started again' facts_match '.starts == 12'
check 'all tasks complete' within 20 facts_match '.tasks_done == 12'
check 'no violation' violations 0
session_end
