# Shared by the sessions and the demo: starts stand-ins and daemons on
# 127.0.0.1, asks them, and ends what it started, by process id.
# shellcheck shell=sh disable=SC2034,SC2154
: "${BUILD:=build}"
: "${time_limit:=150}" # seconds, of a whole session
passed=0
failed=0
pids=
running=

session_start () { # NAME BASE-PORT: uses 50 ports from there
  name=$1
  base=$(($2 + ${PORT_SHIFT:-0}))
  # A second run on this machine waits for its turn at the ports.
  if [ -z "${session_limited:-}" ]; then
    exec 9>"${TMPDIR:-/tmp}/kumquatrack-ports-$base.lock"
    if ! flock -w 200 9; then
      echo "FAILED: the ports from $base are still in use by another run"
      echo "$name: 0 passed, 1 failed"
      exit 1
    fi
    session_limited=1 exec timeout --foreground "$time_limit" \
      sh "t/$(basename "$0")"
  fi
  work=$(mktemp -d)
  platform=http://127.0.0.1:$base
  trap session_cleanup EXIT
  trap 'echo "FAILED: ended by a signal or the time limit"; exit 1' INT TERM
}

session_cleanup () {
  for pid in $pids; do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then echo "kept: $work"; else rm -rf "$work"; fi
}

session_end () {
  for started in $running; do
    if [ ! -f "$work/$started.signalled" ] && gone "$started"; then
      wait "$(cat "$work/$started.pid")"
      check "$started still runs; its status is $?" false
      tail -n 20 "$work/$started.log"
    fi
  done
  echo "$name: $passed passed, $failed failed"
  [ "$failed" -eq 0 ]
  exit
}

session_abort () { # NAME: that program did not start
  check "$1 starts: $(cat "$work/$1.log")" false
  running=
  session_end
}

check () { # TEXT COMMAND...
  text=$1
  shift
  if "$@" >/dev/null 2>&1; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $text"
  fi
}

# Tries COMMAND until it succeeds, for up to SECONDS.
within () { # SECONDS COMMAND...
  tries=$(($1 * 10))
  shift
  while [ "$tries" -gt 0 ]; do
    "$@" >/dev/null 2>&1 && return 0
    tries=$((tries - 1))
    sleep 0.1
  done
  return 1
}

holds () { printf '%s' "$1" | jq -e "$2"; } # JSON FILTER

get () { curl -s -m 3 "$@"; }

set_knobs () { get -o /dev/null -d "$2" "$1/knobs"; } # URL JSON

start () { # NAME PROGRAM...
  started=$1
  shift
  rm -f "$work/$started.signalled"
  "$@" >>"$work/$started.log" 2>&1 9>&- &
  echo $! >"$work/$started.pid"
  pids="$pids $!"
  running="$running $started"
}

start_platform () { # PORTS
  start platform "$BUILD/standin/platform" --port "$base" --ports "$1"
  within 10 get "$platform/facts" || session_abort platform
  gone platform && session_abort platform
}

control () { echo "http://127.0.0.1:$((base + 19 + $1))"; } # WORKER
endpoint () { echo "http://127.0.0.1:$((base + 34 + $1))/"; } # WORKER

start_workers () { # FLAG...
  start workers "$BUILD/standin/worker" --control-port $((base + 20)) \
    --endpoint-port $((base + 35)) "$@"
  within 10 get "$(control 1)/facts" || session_abort workers
  gone workers && session_abort workers
}

violations () { # WANTED: their number is that
  holds "$(get "$(control 1)/violations")" ".violations == $1"
}

fact () { get "$(control 1)/facts" | jq -r "$1"; } # FILTER
fact_holds () { holds "$(get "$(control 1)/facts")" "$1"; } # FILTER

# Entry host number I of the session listens at base + 2 + I for callers,
# + 6 operators, + 10 peers, + 14 hops.
front () { echo "http://127.0.0.1:$((base + 2 + $1))"; } # I
admin () { echo "http://127.0.0.1:$((base + 6 + $1))"; } # I

start_daemon () { # NAME I ZONE REGION PLATFORM-URL FLAG...
  host=$1
  i=$2
  zone=$3
  region=$4
  from=$5
  shift 5
  start "$host" "$BUILD/kumquatrackd" --host "$host" --zone "$zone" \
    --region "$region" --listen "127.0.0.1:$((base + 2 + i))" \
    --admin-listen "127.0.0.1:$((base + 6 + i))" \
    --peer-listen "127.0.0.1:$((base + 10 + i))" \
    --hop-listen "127.0.0.1:$((base + 14 + i))" \
    --platform "$from" --peers "$peers" "$@"
}

# Sets $peers and $entries for entry hosts "NAME:ZONE:REGION ...", numbered
# from 1.
name_hosts () {
  peers=
  entries=
  i=0
  for spec in "$@"; do
    i=$((i + 1))
    peers="$peers${peers:+,}127.0.0.1:$((base + 10 + i))"
    entries="$entries$(printf '%s\n' "$spec" | jq -cR --arg peer \
      "127.0.0.1:$((base + 10 + i))" --arg hop "127.0.0.1:$((base + 14 + i))" \
      'split (":") | {name: .[0], kind: "entry", zone: .[1], region: .[2],
        rack: "", state: "live", address: $peer, endpoint: $hop}')
"
  done
}

# Publishes the workers and the entry hosts, changed by a jq FILTER, in the
# platform's list.
post_hosts () { # [FILTER]
  { get "$(control 1)/hosts" | jq -c '.hosts[]'; printf '%s' "$entries"; } \
    | jq -s "{hosts: map (${1:-.})}" \
    | get -o /dev/null -d @- "$platform/hosts"
}

tool () { "$BUILD/kumquatrack" --timeout 3 "$@"; } # WORD...

# What entry host I answers to a query, as JSON.
query () { # I WORD...
  asked=$(admin "$1")
  shift
  tool --admin "$asked" --json "$@"
}

answers () { # I FILTER WORD...: the answer's rows hold FILTER
  at=$1
  filter=$2
  shift 2
  holds "$(query "$at" "$@")" ".rows | $filter"
}

# The rows of all entry hosts together; each knows its own shards best.
all_rows () { # WORD...
  for each in 1 2 3 4; do
    query "$each" "$@" 2>/dev/null
  done | jq -cs '[.[].rows[]]'
}
any_holds () { # FILTER WORD...: all of those rows hold FILTER
  filter=$1
  shift
  holds "$(all_rows "$@")" "$filter"
}

# Sends SIGNAL to process NAME; says whether it is gone.
signal () { # NAME SIGNAL
  case $2 in KILL | TERM) : >"$work/$1.signalled" ;; esac
  kill "-$2" "$(cat "$work/$1.pid")"
}
gone () { ! kill -0 "$(cat "$work/$1.pid")" 2>/dev/null; } # NAME

# The frame of the demo and of most sessions: a platform with one port for
# each availability zone, 12 workers, four entry hosts, four shards.
cluster_start () {
  start_platform 2
  far=http://127.0.0.1:$((base + 1))
  start_workers --group dakar-sandaga:dakar:6 --group thies-nord:thies:6 \
    --service-ms "${service_ms:-5}"
  name_hosts sandaga-1:dakar-sandaga:dakar sandaga-2:dakar-sandaga:dakar \
    nord-1:thies-nord:thies nord-2:thies-nord:thies
  post_hosts .
  for i in 1 2; do start_daemon sandaga-$i $i dakar-sandaga dakar "$platform"
  done
  for i in 1 2; do start_daemon nord-$i $((i + 2)) thies-nord thies "$far"
  done
  for i in 1 2 3 4; do
    check "entry host $i answers" within 10 get "$(admin $i)/health"
  done
  KUMQUATRACK_ADMIN=$(admin 1),$(admin 3)
  export KUMQUATRACK_ADMIN
}

configuration='{"shards": [
  {"name": "sandaga-a", "zone": "dakar-sandaga", "workers": ["w1", "w2", "w3"]},
  {"name": "sandaga-b", "zone": "dakar-sandaga", "workers": ["w4", "w5", "w6"]},
  {"name": "nord-a", "zone": "thies-nord", "workers": ["w7", "w8", "w9"]},
  {"name": "nord-b", "zone": "thies-nord", "workers": ["w10", "w11", "w12"]}],
  "services": [{"name": "prices", "importance": 9, "deadline_ms": 1000}],
  "teams": [{"name": "weavers", "importance": 3}]}'

cluster_configure () {
  tool configure base 0 "$configuration"
  check 'the configuration is accepted' [ $? -eq 0 ]
  cluster_wait
}

cluster_wait () {
  for i in 1 2 3 4; do
    check "entry host $i sees four owned shards" within 15 \
      answers $i 'map (select (.owner != "")) | length == 4' show shards
  done
  for i in 1 2 3 4; do
    check "entry host $i passes requests on" within 10 served_by $i
  done
}

served_by () { # I: entry host I gives an endpoint's answer
  [ "$(get -H 'Kumquatrack-Service: prices' "$(front "$1")/")" = ok ]
}

owner_of () { # SHARD [I]: its owner as entry host I sees it
  query "${2:-1}" show shards \
    | jq -r --arg shard "$1" '.rows[] | select (.name == $shard).owner'
}

number_of () { # NAME
  case $1 in sandaga-1) echo 1 ;; sandaga-2) echo 2 ;; nord-1) echo 3 ;;
    *) echo 4 ;; esac
}
other_than () { # NAME: the number of the other entry host of its zone
  case $1 in sandaga-1) echo 2 ;; sandaga-2) echo 1 ;; nord-1) echo 4 ;;
    *) echo 3 ;; esac
}

revision () { query "$1" show configuration | jq .revision; } # I
agree () { # WANTED I...: those hosts have that revision
  want=$1
  shift
  for i in "$@"; do [ "$(revision "$i")" = "$want" ] || return 1; done
}
change () { # I BASE IMPORTANCE
  printf '%s' "$configuration" | jq -c ".services[0].importance = $3" \
    | tool --admin "$(admin "$1")" configure base "$2" -
}

# Those workers answer requests that come to entry host I.
serves () { # I WORKER...
  at=$1
  shift
  for w in "$@"; do
    before=$(fact ".workers[$((w - 1))].served")
    within 10 served_more "$at" "$w" "$before" || return 1
  done
}
served_more () { # I WORKER BEFORE
  for n in 1 2 3 4 5 6; do
    get -o /dev/null -H 'Kumquatrack-Service: prices' "$(front "$1")/"
  done
  fact_holds ".workers[$(($2 - 1))].served > $3"
}
