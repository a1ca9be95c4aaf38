# Shell functions of the session tests and the demo: start stand-ins and
# daemons on 127.0.0.1, query them, and kill the started processes by ID.
# shellcheck shell=sh disable=SC2034,SC2154
: "${BUILD:=build}"
: "${time_limit:=150}" # seconds for a whole session
passed=0
failed=0
pids=
running=

session_start () { # NAME BASE-PORT: uses 50 ports from BASE-PORT on
  name=$1
  base=$(($2 + ${PORT_SHIFT:-0}))
  # Runs that use the same ports take turns.
  if [ -z "${session_limited:-}" ]; then
    exec 9>"${TMPDIR:-/tmp}/kumquatrack-ports-$base.lock"
    if ! flock -w 200 9; then
      echo "FAILED: another run still uses the ports from $base after 200 s"
      echo "$name: 0 passed, 1 failed"
      exit 1
    fi
    session_limited=1 exec timeout --foreground "$time_limit" \
      sh "t/$(basename "$0")"
  fi
  work=$(mktemp -d)
  platform=http://127.0.0.1:$base
  trap session_cleanup EXIT
  trap 'echo "FAILED: stopped by a signal or the time limit"; exit 1' INT TERM
}

session_cleanup () {
  for pid in $pids; do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then echo "kept: $work"; else rm -rf "$work"; fi
}

session_end () {
  for process in $running; do
    if [ ! -f "$work/$process.signalled" ] && has_exited "$process"; then
      wait "$(cat "$work/$process.pid")"
      check "$process runs until the end: it exited with status $?" false
      tail -n 20 "$work/$process.log"
    fi
  done
  echo "$name: $passed passed, $failed failed"
  [ "$failed" -eq 0 ]
  exit
}

session_abort () { # NAME: ends the session because that program did not start
  check "$1 starts: $(cat "$work/$1.log")" false
  running=
  session_end
}

check () { # TEXT COMMAND...: passes if COMMAND succeeds, else prints TEXT
  text=$1
  shift
  if "$@" >/dev/null 2>&1; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $text"
  fi
}

# Repeats COMMAND until it succeeds, for up to SECONDS.
within () { # SECONDS COMMAND...
  attempts=$(($1 * 10))
  shift
  while [ "$attempts" -gt 0 ]; do
    "$@" >/dev/null 2>&1 && return 0
    attempts=$((attempts - 1))
    sleep 0.1
  done
  return 1
}

json_matches () { printf '%s' "$1" | jq -e "$2"; } # JSON FILTER

fetch () { curl -s -m 3 "$@"; }

set_knobs () { fetch -o /dev/null -d "$2" "$1/knobs"; } # URL JSON

start_process () { # NAME PROGRAM...
  process=$1
  shift
  rm -f "$work/$process.signalled"
  "$@" >>"$work/$process.log" 2>&1 9>&- &
  echo $! >"$work/$process.pid"
  pids="$pids $!"
  running="$running $process"
}

start_platform () { # PORTS: how many
  start_process platform "$BUILD/standin/platform" --port "$base" --ports "$1"
  within 10 fetch "$platform/facts" || session_abort platform
  has_exited platform && session_abort platform
}

# Base URLs of a worker, numbered from 1.
control () { echo "http://127.0.0.1:$((base + 19 + $1))"; } # WORKER
endpoint () { echo "http://127.0.0.1:$((base + 34 + $1))/"; } # WORKER

start_workers () { # FLAG...
  start_process workers "$BUILD/standin/worker" --control-port $((base + 20)) \
    --endpoint-port $((base + 35)) "$@"
  within 10 fetch "$(control 1)/facts" || session_abort workers
  has_exited workers && session_abort workers
}

violations () { # COUNT: the stand-ins found that many violations
  json_matches "$(fetch "$(control 1)/violations")" ".violations == $1"
}

get_fact () { fetch "$(control 1)/facts" | jq -r "$1"; } # FILTER
facts_match () { json_matches "$(fetch "$(control 1)/facts")" "$1"; } # FILTER

# Entry host number I, from 1, listens for callers at port base + 2 + I, for
# operators at base + 6 + I, for peers at base + 10 + I and for forwarded
# requests at base + 14 + I.  These are the base URLs of the first two.
front () { echo "http://127.0.0.1:$((base + 2 + $1))"; } # I
admin () { echo "http://127.0.0.1:$((base + 6 + $1))"; } # I

start_daemon () { # NAME I ZONE REGION PLATFORM-URL FLAG...
  host=$1
  i=$2
  zone=$3
  region=$4
  platform_url=$5
  shift 5
  start_process "$host" "$BUILD/kumquatrackd" --host "$host" --zone "$zone" \
    --region "$region" --listen "127.0.0.1:$((base + 2 + i))" \
    --admin-listen "127.0.0.1:$((base + 6 + i))" \
    --peer-listen "127.0.0.1:$((base + 10 + i))" \
    --hop-listen "127.0.0.1:$((base + 14 + i))" \
    --platform "$platform_url" --peers "$peers" "$@"
}

# Sets $peers and $entries for entry hosts "NAME:ZONE:REGION ...", numbered
# from 1.
define_entry_hosts () {
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

# Writes the list of hosts on the platform: the workers and the entry hosts,
# each passed through the jq FILTER.
publish_hosts () { # [FILTER]
  { fetch "$(control 1)/hosts" | jq -c '.hosts[]'; printf '%s' "$entries"; } \
    | jq -s "{hosts: map (${1:-.})}" \
    | fetch -o /dev/null -d @- "$platform/hosts"
}

tool () { "$BUILD/kumquatrack" --timeout 3 "$@"; } # WORD...

# Prints the response of entry host I to a query, as JSON.
query () { # I WORD...
  query_url=$(admin "$1")
  shift
  tool --admin "$query_url" --json "$@"
}

answers () { # I FILTER WORD...: the rows of the response match FILTER
  host_number=$1
  filter=$2
  shift 2
  json_matches "$(query "$host_number" "$@")" ".rows | $filter"
}

# Prints the rows of all entry hosts; each has the newest state of the shards
# that it owns.
all_rows () { # WORD...
  for each in 1 2 3 4; do
    query "$each" "$@" 2>/dev/null
  done | jq -cs '[.[].rows[]]'
}
any_holds () { # FILTER WORD...: the rows of all entry hosts match FILTER
  filter=$1
  shift
  json_matches "$(all_rows "$@")" "$filter"
}

# Sends SIGNAL to process NAME.
signal () { # NAME SIGNAL
  case $2 in KILL | TERM) : >"$work/$1.signalled" ;; esac
  kill "-$2" "$(cat "$work/$1.pid")"
}
has_exited () { ! kill -0 "$(cat "$work/$1.pid")" 2>/dev/null; } # NAME

# Starts the cluster of the demo and most sessions: a platform with one port
# per availability zone, 12 workers and four entry hosts.
cluster_start () {
  start_platform 2
  second_platform=http://127.0.0.1:$((base + 1))
  start_workers --group dakar-sandaga:dakar:6 --group thies-nord:thies:6 \
    --service-ms "${service_ms:-5}"
  define_entry_hosts sandaga-1:dakar-sandaga:dakar \
    sandaga-2:dakar-sandaga:dakar \
    nord-1:thies-nord:thies nord-2:thies-nord:thies
  publish_hosts .
  for i in 1 2; do start_daemon sandaga-$i $i dakar-sandaga dakar "$platform"
  done
  for i in 1 2; do
    start_daemon nord-$i $((i + 2)) thies-nord thies "$second_platform"
  done
  for i in 1 2 3 4; do
    check "entry host $i reports health" within 10 fetch "$(admin $i)/health"
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
    check "entry host $i serves requests" within 10 serves_request $i
  done
}

serves_request () { # I: entry host I returns the response of an endpoint
  [ "$(fetch -H 'Kumquatrack-Service: prices' "$(front "$1")/")" = ok ]
}

owner_of () { # SHARD [I]: its owner as entry host I sees it
  query "${2:-1}" show shards \
    | jq -r --arg shard "$1" '.rows[] | select (.name == $shard).owner'
}

number_of () { # NAME: prints the number of that entry host
  case $1 in sandaga-1) echo 1 ;; sandaga-2) echo 2 ;; nord-1) echo 3 ;;
    *) echo 4 ;; esac
}
other_host_of_zone () { # NAME: number of the other entry host in its zone
  case $1 in sandaga-1) echo 2 ;; sandaga-2) echo 1 ;; nord-1) echo 4 ;;
    *) echo 3 ;; esac
}

revision () { query "$1" show configuration | jq .revision; } # I
have_revision () { # REVISION I...: those hosts have that revision
  want=$1
  shift
  for i in "$@"; do [ "$(revision "$i")" = "$want" ] || return 1; done
}
# Changes the service's importance through entry host I.
set_importance () { # I BASE-REVISION IMPORTANCE
  printf '%s' "$configuration" | jq -c ".services[0].importance = $3" \
    | tool --admin "$(admin "$1")" configure base "$2" -
}

# Those workers serve requests that are sent to entry host I.
workers_serve () { # I WORKER...
  host_number=$1
  shift
  for w in "$@"; do
    before=$(get_fact ".workers[$((w - 1))].served")
    within 10 served_count_rises "$host_number" "$w" "$before" || return 1
  done
}
served_count_rises () { # I WORKER BEFORE
  for n in 1 2 3 4 5 6; do
    fetch -o /dev/null -H 'Kumquatrack-Service: prices' "$(front "$1")/"
  done
  facts_match ".workers[$(($2 - 1))].served > $3"
}
