#!/bin/sh
# The log loses a response, refuses half of the appends, is down, and removes
# old records.  Each job must be submitted exactly once and each task must be
# done once.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-log 21150
cluster_start
cluster_configure

submit () { # JOB
  tool submit job "$1" team weavers tasks 2 cpu 1 memory 64mb run 200ms
}
job_records () { # JOB: prints the number of its job records in the log
  fetch "$platform/log/read?from=1" | jq --arg job "$1" '[.records[]
    | select (.record.kind == "job" and (.record | tostring
      | contains ("\"" + $job + "\"")))] | length'
}
check_completes () { # JOB
  check "$1 completes" within 20 answers 1 \
    "any (.[]; .name == \"$1\" and .state == \"done\")" show jobs
}

# Reads are held meanwhile, so that the host can't read the record before it
# notices that the response is lost.
set_knobs "$platform" '{"lose_answer":1,"hold_reads":1}'
submit lost-answer &
submit_pid=$!
sleep 1
set_knobs "$platform" '{"hold_reads":0}'
set_knobs "$second_platform" '{"hold_reads":0}'
wait $submit_pid
check 'the submission succeeds although the response to its append is lost' \
  [ $? -eq 0 ]
check 'the job has one record' [ "$(job_records lost-answer)" = 1 ]
check_completes lost-answer

submit lost-answer
check 'a second submission of the job is refused' [ $? -eq 1 ]

set_knobs "$platform" '{"refuse_permille":500}'
for n in 1 2 3; do
  submit half-$n
  status=$?
  check "accepted or refused while appends fail: $status" \
    [ "$status" -eq 0 -o "$status" -eq 1 ]
  [ "$status" -eq 0 ] && check_completes half-$n
  check 'a refused job has no record, an accepted job has one' \
    [ "$(job_records half-$n)" = $((1 - status)) ]
done
set_knobs "$platform" '{"refuse_permille":0}'

set_knobs "$platform" '{"down":"refuse"}'
submit outage
status=$?
check "not accepted while the log is down: $status" \
  [ "$status" -eq 1 -o "$status" -eq 4 ]
set_knobs "$platform" '{"down":"no"}'
# The host repeats its append after 3 s at the latest.
has_record () { [ "$(job_records outage)" = 1 ]; }
within 5 has_record
if [ "$(job_records outage)" = 0 ]; then
  submit outage
  check 'the second submission succeeds' [ $? -eq 0 ]
fi
check_completes outage
records=$(job_records outage)
check "the job has one record: $records" [ "$records" = 1 ]

tool submit job kept team weavers tasks 4 cpu 1 memory 64mb run 8s
check 'the job is accepted' [ $? -eq 0 ]
check 'its first task runs' within 10 any_holds \
  'any (.[]; .name == "kept/0" and .state == "running")' show tasks
fetch -o /dev/null -X POST "$platform/remove-old?keep=1"
signal sandaga-1 KILL
signal nord-1 KILL
check 'the job completes after its records are removed' within 30 answers 2 \
  'any (.[]; .name == "kept" and .state == "done")' show jobs
check 'no violation' violations 0
session_end
