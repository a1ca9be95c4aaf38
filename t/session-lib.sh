# Shared by the sessions and the demo: starts stand-ins and daemons on
# 127.0.0.1, asks them, and ends what it started, by process id.
# shellcheck shell=sh disable=SC2034,SC2154
: "${BUILD:=build}"
passed=0
failed=0
pids=

session_start () { # NAME BASE-PORT: uses 300 ports from there
  name=$1
  base=$2
  work=$(mktemp -d)
  platform=http://127.0.0.1:$base
  trap session_cleanup EXIT
  trap 'exit 1' INT TERM
}

session_cleanup () {
  for pid in $pids; do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}

session_end () {
  echo "$name: $passed passed, $failed failed"
  [ "$failed" -eq 0 ]
  exit
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

get () { curl -s -m 5 "$@"; }

set_knobs () { get -o /dev/null -d "$2" "$1/knobs"; } # URL JSON

start () { # NAME PROGRAM...: its process id is in $pid_NAME
  started=$1
  shift
  "$@" >>"$work/$started.log" 2>&1 &
  eval "pid_$started=$!"
  pids="$pids $!"
}

start_platform () { # PORTS
  start platform "$BUILD/standin/platform" --port "$base" --ports "$1"
  within 10 get "$platform/facts"
}

control () { echo "http://127.0.0.1:$((base + 100 + $1 - 1))"; } # WORKER
endpoint () { echo "http://127.0.0.1:$((base + 150 + $1 - 1))/"; } # WORKER

start_workers () { # FLAG...
  start workers "$BUILD/standin/worker" --control-port $((base + 100)) \
    --endpoint-port $((base + 150)) "$@"
  within 10 get "$(control 1)/facts"
}

violations () { # WANTED: their number is that
  holds "$(get "$(control 1)/violations")" ".violations == $1"
}

fact () { get "$(control 1)/facts" | jq -r "$1"; } # FILTER
