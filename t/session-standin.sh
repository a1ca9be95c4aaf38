#!/bin/sh
# The stand-ins themselves and the load tool: what the other sessions lean on.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-standin 21000

start_platform 2
start_workers --group z1:r1:2 --group z2:r1:1 --service-ms 20
second=http://127.0.0.1:$((base + 1))
worker=$(control 1)
endpoint=$(endpoint 1)

# ask EXPECTED CURL-ARGUMENT...: what curl prints holds EXPECTED.
ask () {
  want=$1
  shift
  got=$(curl -s -m 2 "$@"; echo " rc $?")
  check "curl $* holds $want: $got" [ "${got#*"$want"}" != "$got" ]
}
task () { # EXPECTED ACTION ATTEMPT [MORE [WORKER]]
  ask "$1" -w ' %{http_code}' -d "{\"holder\":\"h\",\"term\":1,\"serial\":1,\"job\":\"j\",
    \"index\":0,\"cpu_milli\":1000,\"memory_mb\":1,\"run_ms\":300,
    \"attempt\":$3,\"action\":\"$2\"${4:-}}" "$(control "${5:-1}")/task"
}
lease='{"holder":"h","term":0,"serial":0,"ttl_ms":60000,"task_ttl_ms":60000}'

ask '"records":[]' "$platform/log/read"
ask '"offset":1' -d '{"id":"a","record":{"x":1}}' "$platform/log/append"
set_knobs "$platform" '{"lose_answer":1}'
ask 'rc 52' -d '{"id":"b","record":{"x":2}}' "$platform/log/append"
ask '"id":"b"' "$second/log/read?from=2"
set_knobs "$second" '{"down":"hang"}'
ask 'rc 28' "$second/log/read"
ask '"id":"a"' "$platform/log/read"
set_knobs "$second" '{"down":"refuse"}'
ask '"down"' "$second/hosts"
set_knobs "$platform" '{"refuse_permille":1000}'
ask 'busy' -d '{"id":"c","record":{}}' "$platform/log/append"
ask '"first":2' -X POST "$platform/remove-old?keep=1"
ask '410' -w '%{http_code}' "$platform/log/read?from=1"

ask '"term":1' -d "$lease" "$worker/lease"
ask '409' -w '%{http_code}' -d "$lease" "$worker/lease"
renewal='{"holder":"h","term":1,"serial":0,"ttl_ms":60000,"task_ttl_ms":60000}'
ask '409' -w '%{http_code}' -d "$renewal" "$worker/lease"
task 409 stop 1 ',"serial":-1'
task 507 start 1 ',"cpu_milli":17000'
task 200 start 1
task 200 start 1
task 409 stop 1 ',"term":0'
task 200 checkpoint 1
task 200 stop 1
task 409 start 1 ',"holder":"other"'
ask '"state":"evicted"' "$worker/lease"
task 200 ack 1
task 404 ack 1
check 'no violation yet' violations 0
task 200 start 1
ask '"term":1' -d "$lease" "$(control 2)/lease"
task 200 start 2 '' 2
ask 'ok' -H 'Idempotency-Key: k' "$endpoint"
ask 'ok' -H 'Idempotency-Key: k' "$endpoint"
check 'twice, two places, key twice' violations 3

set_knobs "$worker" '{"endpoint":"close_while"}'
ask 'rc 52' "$endpoint"
set_knobs "$worker" '{"endpoint":"cut"}'
ask '12 rc 18' -d 1234 "$endpoint"
set_knobs "$worker" '{"endpoint":"ok","refuse":1}'
ask 'Kumquatrack-Outcome: not-run' -i "$endpoint"
set_knobs "$worker" '{"refuse":0,"freeze":1}'
ask 'rc 28' "$endpoint"
set_knobs "$worker" '{"freeze":0}'

out=$("$BUILD/kumquatrack" load --url "$endpoint" --url "http://127.0.0.1:1/" \
  --rate 200 --seconds 1 --keyed 0.5 --body 100 --json)
check "half answered, half refused: $out" \
  holds "$out" '.sent == 200 and .answered == 100 and .refused == 100'
out=$("$BUILD/kumquatrack" load --url "$endpoint" --connections 24 \
  --seconds 1 --json)
check "some are refused as not run: $out" \
  holds "$out" '.answered > 0 and .not_run > 0 and .sent == .answered + .not_run'
check 'a wrong range is refused' [ "$("$BUILD/kumquatrack" load --url x \
  --seconds 99 2>&1)" = 'kumquatrack load: --seconds 99: want 1 to 60' ]
check 'help answers' "$BUILD/kumquatrack" load --help
session_end
