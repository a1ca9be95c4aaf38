#!/bin/sh
# An entry host that starts while the platform is away: it has configuration
# and addresses from its peers, serves, and never goes back.
. t/session-lib.sh
session_start session-outage "${SESSION_PORT:-24700}"

revision () { get "$(admin "$1")/ready" | jq -r .revision; } # HOST
ready () { get -f "$(admin "$1")/ready"; } # HOST
served () { # HOST
  get -f -H 'Kumquatrack-Service: prices' "$(front "$1")/"
}
refused () { # HOST: it says that the request was not run
  holds "$(get -H 'Kumquatrack-Service: prices' "$(front "$1")/")" \
    '.outcome == "not-run"'
}
# Reads the revision of HOST until it is WANTED; fails if it ever falls.
rises_to () { # HOST WANTED
  last=0
  for _ in $(seq 100); do
    seen=$(revision "$1")
    [ "${seen:-0}" -ge "$last" ] || return 1
    last=${seen:-0}
    [ "$last" -eq "$2" ] && return 0
    sleep 0.1
  done
  return 1
}

# Whether HOST has read the log to its end.
log_read () { holds "$(get "$(admin "$1")/ready")" '.log_age_ms >= 0'; }

cluster_start
cluster_configure
check 'all hosts serve' within 10 served 1
killed=$(owner_of sandaga-a)
number=$(number_of "$killed")
other=$(other_than "$killed")
changed=$(printf '%s' "$configuration" \
  | jq -c '.services[0].deadline_ms = 900')
tool --admin "$(admin 1)" configure base 1 "$changed" >/dev/null
wanted=$(revision 1)
check 'a change is in force everywhere' rises_to 4 "$wanted"

for way in hang refuse; do
  set_knobs "$platform" "{\"down\": \"$way\"}"
  set_knobs "$far" "{\"down\": \"$way\"}"
  signal "$killed" KILL
  check "$way: the other host of the zone takes over" within 15 \
    answers "$other" "all (.[]; .owner != \"$killed\" and .owner != \"\")" \
    show shards
  check "$way: and serves" within 10 served "$other"
  start_daemon "$killed" "$number" dakar-sandaga dakar "$platform"
  check "$way: a host that starts takes the revision in force" \
    rises_to "$number" "$wanted"
  check "$way: and serves" within 15 served "$number"
  check "$way: a command is not accepted without the log" \
    holds "$(query "$number" submit job "lost-$way" team weavers tasks 1 \
    cpu 1 memory 1mb run 1s 2>/dev/null)" '.result != "accepted"'
  set_knobs "$platform" '{"down": "no"}'
  set_knobs "$far" '{"down": "no"}'
  check "$way: the log is read again" within 15 log_read "$number"
  check "$way: the revision stays" rises_to "$number" "$wanted"
done

signal sandaga-1 KILL
signal sandaga-2 KILL
signal nord-1 KILL
signal nord-2 KILL
set_knobs "$platform" '{"down": "hang"}'
start_daemon sandaga-1 1 dakar-sandaga dakar "$platform"
check 'a host alone has no configuration' within 10 get "$(admin 1)/health"
check 'and says that it does not serve' refused 1
check 'and is not ready' sh -c "! curl -s -f -m 5 $(admin 1)/ready"
set_knobs "$platform" '{"down": "no"}'
check 'it is ready when the log is back' within 15 ready 1
check 'with the revision in force' rises_to 1 "$wanted"
check 'no violation at the stand-ins' violations 0
session_end
