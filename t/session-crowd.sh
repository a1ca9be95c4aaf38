#!/bin/sh
# Guards against clients that end a process: bodies of legal size, complete or
# just short of their end, whole, piece by piece or in chunks, bodies far over
# the limit, and headers without an end.  A crowd of each kind comes to each
# server of a host; all hosts must live, their memory and open descriptors must
# stay within the limits of their settings, and an ordinary job must be accepted
# and completed afterwards.
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
. t/lib-site.sh
session_start session-crowd 26000
SITE_METRICS=1
CROWD=400
BODY_BYTES=262000
MEMORY_MB=64
MAX_FDS=600

front () { site_port "$1"; } # HOST
readiness () { echo $(($(site_port "$1") + 1)); } # HOST

pid_of () { cat "$work/host$1.pid"; } # HOST
is_alive () { kill -0 "$(pid_of "$1")"; } # HOST
peak_memory_mb () { # HOST
  awk '/^VmHWM:/ { print int ($2 / 1024) }' "/proc/$(pid_of "$1")/status"
}
descriptors () { ls "/proc/$(pid_of "$1")/fd" | wc -l; } # HOST

start_hosts () {
  "$BUILD/standin/site" --port "$base" --workers $SITE_WORKERS --seed 1 \
    >"$work/site.log" 2>&1 &
  pids="$pids $!"
  for host in 1 2 3; do
    site_settings $host
    sed -i "s/\"limits\":{/&\"memory_mb\":$MEMORY_MB,\"max_fds\":$MAX_FDS,/" \
      "$work/host$host.json"
    site_start_host $host
  done
}

# Sets the peak of the process's memory to what it has now.
reset_peak_memory () { echo 5 >"/proc/$(pid_of "$1")/clear_refs"; } # HOST

check_host () { # HOST WHAT
  check "host $1 lives ($2)" is_alive "$1"
  peak=$(peak_memory_mb "$1")
  check "host $1 needed $peak MB at most, of $MEMORY_MB ($2)" \
    [ "${peak:-$MEMORY_MB}" -lt $MEMORY_MB ]
}

# Lets a crowd of KIND come to PORT of HOST and go again.
crowd () { # KIND HOST PORT
  for host in 1 2 3; do reset_peak_memory $host; done
  mkfifo "$work/hold"
  "$BUILD/standin/crowd" --port "$3" --kind "$1" --count $CROWD \
    --bytes $BODY_BYTES <"$work/hold" >"$work/crowd.log" 2>&1 &
  crowd_pid=$!
  pids="$pids $crowd_pid"
  exec 8>"$work/hold"
  within 40 grep -q holding "$work/crowd.log"
  open=$(descriptors "$2")
  check "host $2 has $open descriptors open, at most $MAX_FDS ($1, port $3)" \
    [ "$open" -le $MAX_FDS ]
  exec 8>&-
  wait $crowd_pid
  rm "$work/hold"
  for host in 1 2 3; do check_host $host "$1, port $3"; done
}

start_hosts
for host in 1 2 3; do
  check "host $host is ready" within 10 site_ready $host
done
job=0
for kind in whole complete pieces chunked tiny announced endless headers; do
  crowd $kind 1 "$(front 1)"
  job=$((job + 1))
  check "a job is accepted after the crowd ($kind)" site_submit $job
  check "it completes ($kind)" within 20 site_is_complete $job
done
# Jobs that the owner stores: a record of the store takes no larger ones.
BODY_BYTES=200000
crowd complete 1 "$(front 1)"
check 'a job is accepted after the crowd (stored jobs)' site_submit 40
check 'it completes (stored jobs)' within 20 site_is_complete 40
BODY_BYTES=262000
for kind in whole endless headers; do
  crowd $kind 2 "$(readiness 2)"
  crowd $kind 3 "$(site_metrics_port 3)"
done
for host in 1 2 3; do
  check "host $host is ready afterwards" within 10 site_ready $host
done
check 'a job is accepted afterwards' site_submit 50
check 'it completes' within 20 site_is_complete 50
session_end
