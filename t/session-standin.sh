#!/bin/sh
# Checks the stand-ins and the load tool, on which the other sessions rely: the
# knobs must take effect and violations must be found.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-standin 21000

start_platform 2
start_workers --group z1:r1:2 --group z2:r1:1 --service-ms 20
second=http://127.0.0.1:$((base + 1))
worker=$(control 1)
endpoint=$(endpoint 1)

# expect_output EXPECTED CURL-ARGUMENT...: output and status of curl contain
# EXPECTED.
expect_output () {
  want=$1
  shift
  got=$(curl -s -m 2 "$@"; echo " rc $?")
  check "curl $*: expected $want, got $got" [ "${got#*"$want"}" != "$got" ]
}
task () { # EXPECTED ACTION ATTEMPT [MORE [WORKER]]
  expect_output "$1" -w ' %{http_code}' -d "{\"holder\":\"h\",\"term\":1,\"serial\":1,\"job\":\"j\",
    \"index\":0,\"cpu_milli\":1000,\"memory_mb\":1,\"run_ms\":300,
    \"attempt\":$3,\"action\":\"$2\"${4:-}}" "$(control "${5:-1}")/task"
}
lease='{"holder":"h","term":0,"serial":0,"ttl_ms":60000,"task_ttl_ms":60000}'

expect_output '"records":[]' "$platform/log/read"
expect_output '"offset":1' -d '{"id":"a","record":{"x":1}}' "$platform/log/append"
set_knobs "$platform" '{"lose_answer":1}'
expect_output 'rc 52' -d '{"id":"b","record":{"x":2}}' "$platform/log/append"
expect_output '"id":"b"' "$second/log/read?from=2"
set_knobs "$second" '{"down":"hang"}'
expect_output 'rc 28' "$second/log/read"
expect_output '"id":"a"' "$platform/log/read"
set_knobs "$second" '{"down":"refuse"}'
expect_output '"down"' "$second/hosts"
set_knobs "$platform" '{"refuse_permille":1000}'
expect_output 'busy' -d '{"id":"c","record":{}}' "$platform/log/append"
expect_output '"first":2' -X POST "$platform/remove-old?keep=1"
expect_output '410' -w '%{http_code}' "$platform/log/read?from=1"

expect_output '"term":1' -d "$lease" "$worker/lease"
expect_output '409' -w '%{http_code}' -d "$lease" "$worker/lease"
renewal='{"holder":"h","term":1,"serial":0,"ttl_ms":60000,"task_ttl_ms":60000}'
expect_output '409' -w '%{http_code}' -d "$renewal" "$worker/lease"
task 409 stop 1 ',"serial":-1'
task 507 start 1 ',"cpu_milli":17000'
task 200 start 1
task 200 start 1
task 409 stop 1 ',"term":0'
task 200 checkpoint 1
task 200 stop 1
task 409 start 1 ',"holder":"other"'
expect_output '"state":"evicted"' "$worker/lease"
task 200 ack 1
task 404 ack 1
check 'no violation so far' violations 0
task 200 start 1
expect_output '"term":1' -d "$lease" "$(control 2)/lease"
task 200 start 2 '' 2
expect_output 'ok' -H 'Idempotency-Key: k' "$endpoint"
expect_output 'ok' -H 'Idempotency-Key: k' "$endpoint"
check 'an attempt and a key run twice and a task on two workers are found' \
  violations 3

set_knobs "$worker" '{"endpoint":"close_while"}'
expect_output 'rc 52' "$endpoint"
set_knobs "$worker" '{"endpoint":"cut"}'
expect_output '12 rc 18' -d 1234 "$endpoint"
set_knobs "$worker" '{"endpoint":"ok","refuse":1}'
expect_output 'Kumquatrack-Outcome: not-run' -i "$endpoint"
set_knobs "$worker" '{"refuse":0,"freeze":1}'
expect_output 'rc 28' "$endpoint"
set_knobs "$worker" '{"freeze":0}'

out=$("$BUILD/kumquatrack" load --url "$endpoint" --url "http://127.0.0.1:1/" \
  --rate 200 --seconds 1 --keyed 0.5 --body 100 --json)
check "half of the requests are answered, half refused: $out" \
  json_matches "$out" '.sent == 200 and .answered == 100 and .refused == 100'
out=$("$BUILD/kumquatrack" load --url "$endpoint" --connections 24 \
  --seconds 1 --json)
check "requests beyond the slots are refused as not run: $out" \
  json_matches "$out" '.answered > 0 and .not_run > 0 and .sent == .answered + .not_run'
check 'a value out of range is refused' \
  [ "$("$BUILD/kumquatrack" load --url x \
  --seconds 99 2>&1)" = 'kumquatrack load: --seconds 99: want 1 to 60' ]
check '--help succeeds' "$BUILD/kumquatrack" load --help
session_end
