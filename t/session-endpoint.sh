#!/bin/sh
# An endpoint that fails before, while and after it reads a request: what the
# caller is told, and that a keyed request never runs twice.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-endpoint 21300
cluster_start
configuration=$(printf '%s' "$configuration" \
  | jq -c '.services += [{name: "one", importance: 5, deadline_ms: 1500}]')
cluster_configure

# ask NAME EXPECTED CURL-ARGUMENT...: the outcome that the caller is told.
n=0
ask () {
  what=$1
  want=$2
  shift 2
  n=$((n + 1))
  got=$(get -o "$work/body" -w '%{http_code} %header{kumquatrack-outcome}' \
    -H 'Kumquatrack-Service: one' -H "Idempotency-Key: key-$n" -d '{"n":1}' \
    "$@" "$(front 1)/book")
  check "$what: want $want, got $got" [ "$got" = "$want" ]
}
mode () { # JSON: knobs of all workers
  for w in 1 2 3 4 5 6 7 8 9 10 11 12; do set_knobs "$(control $w)" "$1"; done
}
served () { fact '[.workers[].served] | add'; }

first_works () {
  [ "$(get -o /dev/null -w '%{http_code}' -d x \
    -H 'Kumquatrack-Service: one' "$(front 1)/")" = 200 ]
}
within 10 first_works
ask 'an endpoint that works' '200 '
check 'the whole answer is passed on' [ "$(cat "$work/body")" = '{"n":1}' ]

mode '{"refuse":1}'
before=$(served)
ask 'refused by the endpoint' '503 not-run'
check 'not run means not run' [ "$(served)" = "$before" ]
mode '{"refuse":0,"endpoint":"close_before"}'
ask 'closed before it ran' '502 unknown'
mode '{"endpoint":"close_while"}'
ask 'closed while it ran' '502 unknown'
mode '{"endpoint":"cut"}'
ask 'an answer cut short' '502 unknown'
check 'a typed reason' holds "$(cat "$work/body")" '.outcome == "unknown"'
mode '{"endpoint":"ok","freeze":1}'
ask 'no answer in time' '504 unknown'
mode '{"freeze":0}'
# Endpoints that failed are left alone for a while, and each key has its home:
# requests with eight keys in a row must be answered.
probe=0
all_homes_work () {
  for _ in 1 2 3 4 5 6 7 8; do
    probe=$((probe + 1))
    [ "$(get -o /dev/null -w '%{http_code}' -d x \
      -H 'Kumquatrack-Service: one' -H "Idempotency-Key: probe-$probe" \
      "$(front 1)/")" = 200 ] || return 1
  done
}
within 10 all_homes_work
check 'keyed requests are served again within 10 s' all_homes_work

ask 'a key once' '200 '
n=$((n - 1))
ask 'the same key again' '200 '
check 'the same answer' [ "$(cat "$work/body")" = '{"n":1}' ]
n=$((n - 1))
ask 'the key with another body' '422 invalid' -d other

got=$(get -o "$work/body" -w '%header{kumquatrack-outcome}' \
  -H 'Kumquatrack-Service: none' "$(front 1)/")
check "an unknown service: $got" [ "$got" = invalid -o "$got" = not-run ]

signal workers KILL
ask 'no endpoint process' '503 not-run'
session_end
