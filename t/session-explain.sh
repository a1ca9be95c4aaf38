#!/bin/sh
# Asks entry hosts that use the stand-in of the platform where jobs would be
# placed: at the owner, at another host, and at one that is cut off from the
# owner.  Guards against answers that differ between hosts, and against invalid
# input that is answered as an explanation.
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
. t/lib-site.sh
session_start session-explain 24900
running=
SITE_METRICS=1
site_start 1

job='{"spec":"1","steps":[{"count":3,"cpu":1000,"mem_mb":100,"est_ms":400}]}'

explain () { # HOST WORD...
  metrics=127.0.0.1:$(site_metrics_port "$1")
  shift
  tool explain --metrics "$metrics" "$@"
}

explains () { # HOST FILTER: the explanation of the new job matches FILTER
  json_matches "$(printf '%s' "$job" | explain "$1" --queue r-jobs --json)" "$2"
}

# Runs the tool with WORD... and the input INPUT; it must exit with STATUS and
# its errors must contain TEXT.
fails () { # STATUS TEXT INPUT HOST WORD...
  want=$1
  said=$2
  input=$3
  shift 3
  # At most one explanation is given in 100 ms.
  sleep 0.15
  out=$(printf '%s' "$input" | explain "$@" 2>&1)
  [ $? -eq "$want" ] && printf '%s' "$out" | grep -qF "$said"
}

for host in 1 2 3; do
  check "host $host is ready" within 10 site_ready $host
done
for host in 1 2 3; do
  check "host $host explains a new job" within 10 explains $host \
    '.owner.may_start and .steps[0].starts and .steps[0].suitable == 6
      and (.steps[0].candidates | length) == 5 and .job.refused == false'
done
sleep 0.15
check 'the text names the first candidate' \
  sh -c "printf '%s' '$job' | \"$BUILD/kumquatrack\" explain \
    --metrics 127.0.0.1:$(site_metrics_port 1) --queue r-jobs \
    | grep -q 'the first goes to'"
check 'a running job is accepted' site_submit_lasting 1
check 'a known job is explained' within 10 \
  sh -c "\"$BUILD/kumquatrack\" explain --json \
    --metrics 127.0.0.1:$(site_metrics_port 2) --job $(site_id 1) \
    | jq -e '.job.known and .job.tasks_bound == 4'"

check 'an unknown queue is named' fails 2 'KQ_ENOENT: queue' "$job" \
  1 --queue none
check 'a malformed job is named' fails 2 'KQ_ESYNTAX: body' '{"spec":' \
  1 --queue r-jobs
check 'a job without steps is named' fails 2 ': body:' '{"spec":"1"}' \
  2 --queue r-jobs
check 'an unknown job is named' fails 2 'KQ_EJOB_UNKNOWN: job' '' \
  1 --job "$(site_id 999)"
check 'a malformed ID is named' fails 2 'KQ_ESYNTAX: job' '' 1 --job 12
tool explain --metrics 127.0.0.1 --queue r-jobs </dev/null 2>"$work/address"
check 'a malformed address is refused' [ $? -eq 2 ]
check 'a malformed address is named' grep -q 'EINVAL: --metrics' \
  "$work/address"

# Ten requests at once: most exceed the rate.
sleep 0.2
url="http://127.0.0.1:$(site_metrics_port 1)/explain?queue=r-jobs"
for _ in 1 2 3 4 5 6 7 8 9 10; do
  curl -s -m 3 -o /dev/null -w '%{http_code}\n' --data "$job" "$url" \
    >>"$work/statuses" &
  callers="${callers:-} $!"
done
# shellcheck disable=SC2086
wait $callers
check 'requests above the rate get 503' grep -q 503 "$work/statuses"
check 'one of them is answered' grep -q 200 "$work/statuses"

owner=$(sed -n 's/.*"event":"owner known","owner":"host\([1-3]\)".*/\1/p' \
  "$work/host1.log" | tail -n 1)
other=$((${owner:-1} % 3 + 1))
kill -STOP "$(cat "$work/host${owner:-1}.pid")"
check 'a host that is cut off from the owner says since when' \
  fails 1 'last heard of' "$job" $other --queue r-jobs
kill -CONT "$(cat "$work/host${owner:-1}.pid")"
check 'the host explains again' within 15 explains $other '.owner.may_start'
session_end
