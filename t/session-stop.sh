#!/bin/sh
# An endpoint that leaves gets no new work after a few seconds, also where
# the list of hosts lags; a planned stop of an entry host cuts nothing.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-stop 21250
cluster_start
cluster_configure

load () { # FILE SECONDS FLAG...
  file=$1
  seconds=$2
  shift 2
  "$BUILD/kumquatrack" load --service prices --rate 60 --seconds "$seconds" \
    --json --deadline-ms 3000 "$@" >"$work/$file" &
  load=$!
  pids="$pids $load"
}

set_knobs "$platform" '{"host_lag_ms":1000}'
load leave.json 8 --url "$(front 1)/" --url "$(front 2)/"
sleep 1
check 'the endpoint has work' fact_holds '.workers[0].served > 0'
post_hosts 'if .name == "w1" then .state = "leaving" else . end'
sleep 4
check 'no new work 4 s after it began to leave, 1 s of lag included' \
  fact_holds '.workers[0].idle_ms >= 500'
before=$(fact '.workers[0].served')
wait "$load"
check 'none later' fact_holds ".workers[0].served == $before"
check 'nothing was cut or unknown' holds "$(cat "$work/leave.json")" \
  '.cut == 0 and .unknown == 0 and .silent == 0 and .answered > 0'

tool submit job rows team weavers tasks 12 cpu 1 memory 64mb run 8s
check 'the job is accepted' [ $? -eq 0 ]
check 'all tasks run' within 15 fact_holds '.starts == 12'
load stop.json 6 --url "$(front 1)/" --url "$(front 2)/" \
  --header 'X-Service-Ms: 300'
sleep 2
signal sandaga-1 TERM
check 'the entry host ends' within 15 gone sandaga-1
wait "$(cat "$work/sandaga-1.pid")"
check "with status 0: $?" [ $? -eq 0 ]
wait "$load"
check "nothing in flight was cut: $(cat "$work/stop.json")" \
  holds "$(cat "$work/stop.json")" \
  '.cut == 0 and .unknown == 0 and .silent == 0 and .answered > 0'
check 'its shards are handed over' within 10 answers 2 \
  'all (.[]; .owner != "sandaga-1" and .owner != "")' show shards
check 'no task was started again' fact_holds '.starts == 12'
check 'the job finishes' within 20 fact_holds '.tasks_done == 12'
check 'no violation' violations 0
session_end
