#!/bin/sh
# Guards against configurations that never arrive: hosts share a rate of reads at
# which not all of them can read a large configuration before a read times out,
# and what such a read has received is thrown away.  Five configurations of 1,400
# more routes each follow each other; every host must have the last one within
# 4 s, the bound of deployments with as many hosts, although not all of them
# could read it in that time.  Guards also against a store that is read by each
# host, and against hosts that wait for a source which has stopped.
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
. t/lib-site.sh
session_start session-large-config 25900
HOSTS=12
READ_BYTES_S=4000000
IN_FORCE_SEC=4
SITE_METRICS=1
# The owner and the first host of each of the three zones read each version.
MAX_READERS=4

start_hosts () {
  "$BUILD/standin/site" --port "$base" --workers $SITE_WORKERS --seed 1 \
    >"$work/site.log" 2>&1 &
  pids="$pids $!"
  host=0
  while [ $host -lt $HOSTS ]; do
    host=$((host + 1))
    site_settings $host
    # Three availability zones.
    sed -i "s/\"zone\":\"z$host\"/\"zone\":\"z$((host % 3))\"/" \
      "$work/host$host.json"
    site_start_host $host
  done
}

version () { # HOST
  curl -s -m 1 "http://127.0.0.1:$(site_metrics_port "$1")/metrics" \
    | sed -n 's/^kq_config_version //p'
}

has_version () { # HOST VERSION
  [ "$(version "$1")" = "$2" ]
}

all_have_version () { # VERSION
  host=0
  while [ $host -lt $HOSTS ]; do
    host=$((host + 1))
    has_version $host "$1" || return 1
  done
}

read_bytes () { site_facts | jq .read_bytes; }

# Writes the next configuration, with ROUTES more routes, while HOST is paused.
check_beside_paused () { # HOST VERSION ROUTES
  kill -STOP "$(cat "$work/host$1.pid")"
  site_admin "{\"routes\":$3}"
  sleep $IN_FORCE_SEC
  host=0
  while [ $host -lt $HOSTS ]; do
    host=$((host + 1))
    [ $host -ne "$1" ] || continue
    check "host $host has version $2 although host $1 is paused" \
      has_version $host "$2"
  done
  kill -CONT "$(cat "$work/host$1.pid")"
  check "host $1 has version $2 once it goes on" within 10 has_version "$1" "$2"
}

start_hosts
check 'all hosts have the first configuration' within 10 all_have_version 1
# The hosts know each other.
sleep 2
before=$(read_bytes)
site_admin "{\"read_bytes_s\":$READ_BYTES_S}"
for routes in 1400 2800 4200 5600; do
  site_admin "{\"routes\":$routes}"
  sleep 2
done
site_admin '{"routes":7000}'
sleep $IN_FORCE_SEC
host=0
while [ $host -lt $HOSTS ]; do
  host=$((host + 1))
  check "host $host has version 6, not $(version $host), within $IN_FORCE_SEC s" \
    has_version $host 6
done
# A route of the stand-in has 150 bytes and more; there are 21,000 in all.
sent=$(($(read_bytes) - before))
check "the store was read by $MAX_READERS hosts at most, not $sent bytes" \
  [ "$sent" -le $((MAX_READERS * 21000 * 180)) ]
site_admin '{"read_bytes_s":0}'
owner=$(sed -n 's/.*"event":"owner known","owner":"host\([0-9]*\)".*/\1/p' \
  "$work/host1.log" | tail -n 1)
check_beside_paused "${owner:-1}" 7 100
sleep 2
for paused in 3 6; do
  check_beside_paused $paused $((paused / 3 + 7)) $((100 + paused))
done
check 'a job is accepted' site_submit 1
check 'it completes' within 20 site_is_complete 1
session_end
