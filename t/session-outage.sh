#!/bin/sh
# An entry host starts while the platform is unreachable.  It must get the
# configuration and addresses from its peers, serve requests, and never return
# to an older revision.
. t/session-lib.sh
session_start session-outage "${SESSION_PORT:-24700}"

revision () { fetch "$(admin "$1")/ready" | jq -r .revision; } # HOST
ready () { fetch -f "$(admin "$1")/ready"; } # HOST
serves () { # HOST
  fetch -f -H 'Kumquatrack-Service: prices' "$(front "$1")/"
}
refuses () { # HOST: it responds that the request was not run
  json_matches "$(fetch -H 'Kumquatrack-Service: prices' "$(front "$1")/")" \
    '.outcome == "not-run"'
}
# Polls the revision of HOST until it is WANTED; fails if it decreases.
rises_to () { # HOST WANTED
  last=0
  for _ in $(seq 100); do
    current=$(revision "$1")
    [ "${current:-0}" -ge "$last" ] || return 1
    last=${current:-0}
    [ "$last" -eq "$2" ] && return 0
    sleep 0.1
  done
  return 1
}

# HOST has read the log to its end.
log_is_read () { json_matches "$(fetch "$(admin "$1")/ready")" '.log_age_ms >= 0'; }

cluster_start
cluster_configure
check 'entry host 1 serves requests' within 10 serves 1
killed=$(owner_of sandaga-a)
number=$(number_of "$killed")
other=$(other_host_of_zone "$killed")
changed=$(printf '%s' "$configuration" \
  | jq -c '.services[0].deadline_ms = 900')
tool --admin "$(admin 1)" configure base 1 "$changed" >/dev/null
wanted=$(revision 1)
check 'entry host 4 gets the changed revision' rises_to 4 "$wanted"

for outage in hang refuse; do
  set_knobs "$platform" "{\"down\": \"$outage\"}"
  set_knobs "$second_platform" "{\"down\": \"$outage\"}"
  signal "$killed" KILL
  check "$outage: the other host of the zone takes over" within 15 \
    answers "$other" "all (.[]; .owner != \"$killed\" and .owner != \"\")" \
    show shards
  check "$outage: the other host serves requests" within 10 serves "$other"
  start_daemon "$killed" "$number" dakar-sandaga dakar "$platform"
  check "$outage: a host that starts gets the current revision" \
    rises_to "$number" "$wanted"
  check "$outage: the started host serves requests" within 15 serves "$number"
  check "$outage: a command is not accepted without the log" \
    json_matches "$(query "$number" submit job "lost-$outage" team weavers tasks 1 \
    cpu 1 memory 1mb run 1s 2>/dev/null)" '.result != "accepted"'
  set_knobs "$platform" '{"down": "no"}'
  set_knobs "$second_platform" '{"down": "no"}'
  check "$outage: the log is read again" within 15 log_is_read "$number"
  check "$outage: the revision is unchanged" rises_to "$number" "$wanted"
done

signal sandaga-1 KILL
signal sandaga-2 KILL
signal nord-1 KILL
signal nord-2 KILL
set_knobs "$platform" '{"down": "hang"}'
start_daemon sandaga-1 1 dakar-sandaga dakar "$platform"
check 'a host without peers and platform reports health' \
  within 10 fetch "$(admin 1)/health"
check 'it refuses requests as not run' refuses 1
check 'it is not ready' sh -c "! curl -s -f -m 5 $(admin 1)/ready"
set_knobs "$platform" '{"down": "no"}'
check 'it is ready after the log is available again' within 15 ready 1
check 'it has the current revision' rises_to 1 "$wanted"
check 'the stand-ins found no violation' violations 0
session_end
