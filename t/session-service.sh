#!/bin/sh
# A service with a list of workers must be served by these workers only.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-service 21400
cluster_start
configuration=$(printf '%s' "$configuration" \
  | jq -c '.services += [{name: "one", importance: 5, workers: ["w1"]}]')
cluster_configure
before=$(get_fact '[.workers[1:][].served] | add')
for i in 1 2 3 4 1 2 3 4; do
  check "entry host $i serves requests of the service" [ "$(fetch \
    -H 'Kumquatrack-Service: one' "$(front $i)/")" = ok ]
done
check 'no other worker served it' \
  facts_match "[.workers[1:][].served] | add == $before"
check 'no violation' violations 0
session_end
