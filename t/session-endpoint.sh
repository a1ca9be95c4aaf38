#!/bin/sh
# An endpoint fails before, while and after it reads a request.  The caller
# must get the right outcome, and a request with an idempotency key must never
# run twice.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-endpoint 21300
cluster_start
configuration=$(printf '%s' "$configuration" \
  | jq -c '.services += [{name: "one", importance: 5, deadline_ms: 1500}]')
cluster_configure

# expect_outcome TEXT EXPECTED CURL-ARGUMENT...: checks the status and the
# outcome of a request.
n=0
expect_outcome () {
  request_name=$1
  want=$2
  shift 2
  n=$((n + 1))
  got=$(fetch -o "$work/body" -w '%{http_code} %header{kumquatrack-outcome}' \
    -H 'Kumquatrack-Service: one' -H "Idempotency-Key: key-$n" -d '{"n":1}' \
    "$@" "$(front 1)/book")
  check "$request_name: expected $want, got $got" [ "$got" = "$want" ]
}
set_all_knobs () { # JSON: of all workers
  for w in 1 2 3 4 5 6 7 8 9 10 11 12; do set_knobs "$(control $w)" "$1"; done
}
served () { get_fact '[.workers[].served] | add'; }

first_works () {
  [ "$(fetch -o /dev/null -w '%{http_code}' -d x \
    -H 'Kumquatrack-Service: one' "$(front 1)/")" = 200 ]
}
within 10 first_works
expect_outcome 'a working endpoint' '200 '
check 'the whole response is forwarded' [ "$(cat "$work/body")" = '{"n":1}' ]

set_all_knobs '{"refuse":1}'
before=$(served)
expect_outcome 'refused by the endpoint' '503 not-run'
check 'a request with outcome not-run did not run' [ "$(served)" = "$before" ]
set_all_knobs '{"refuse":0,"endpoint":"close_before"}'
expect_outcome 'closed before it ran' '502 unknown'
set_all_knobs '{"endpoint":"close_while"}'
expect_outcome 'closed while it ran' '502 unknown'
set_all_knobs '{"endpoint":"cut"}'
expect_outcome 'a truncated response' '502 unknown'
check 'the response body has the outcome' \
  json_matches "$(cat "$work/body")" '.outcome == "unknown"'
set_all_knobs '{"endpoint":"ok","freeze":1}'
expect_outcome 'no response in time' '504 unknown'
set_all_knobs '{"freeze":0}'
# Endpoints that failed get no requests for a while, and each key is decided by
# its home, an entry host: eight requests in a row with different keys must be
# answered.
probe=0
all_homes_work () {
  for _ in 1 2 3 4 5 6 7 8; do
    probe=$((probe + 1))
    [ "$(fetch -o /dev/null -w '%{http_code}' -d x \
      -H 'Kumquatrack-Service: one' -H "Idempotency-Key: probe-$probe" \
      "$(front 1)/")" = 200 ] || return 1
  done
}
# The leases that could not be renewed during the freeze, which last 2 s, may
# lapse after it is over: requests that are answered right after it tell
# nothing.  They must be answered again within 10 s, and go on being answered.
stay_answered () {
  for _ in 1 2 3 4 5 6; do
    all_homes_work || return 1
    sleep 0.5
  done
}
are_answered_again () {
  last_begin=$(($(date +%s) + 10))
  while [ "$(date +%s)" -le $last_begin ]; do
    stay_answered && return 0
    sleep 0.1
  done
  return 1
}
check 'keyed requests are served again within 10 s' are_answered_again

expect_outcome 'first request with a key' '200 '
n=$((n - 1))
expect_outcome 'second request with the same key' '200 '
check 'the second response equals the first' \
  [ "$(cat "$work/body")" = '{"n":1}' ]
n=$((n - 1))
expect_outcome 'the same key with another body' '422 invalid' -d other

got=$(fetch -o "$work/body" -w '%header{kumquatrack-outcome}' \
  -H 'Kumquatrack-Service: none' "$(front 1)/")
check "an unknown service: $got" [ "$got" = invalid -o "$got" = not-run ]

signal workers KILL
expect_outcome 'the endpoint process is killed' '503 not-run'
session_end
