#!/bin/sh
# The log loses an answer, refuses half of the appends, is down, and forgets
# old records: each job is submitted exactly once and each task done once.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-log 21150
cluster_start
cluster_configure

submit () { # JOB
  tool submit job "$1" team weavers tasks 2 cpu 1 memory 64mb run 200ms
}
records () { # JOB: its job records in the log
  get "$platform/log/read?from=1" | jq --arg job "$1" '[.records[]
    | select (.record.kind == "job" and (.record | tostring
      | contains ("\"" + $job + "\"")))] | length'
}
done_once () { # JOB
  check "$1 finishes" within 20 answers 1 \
    "any (.[]; .name == \"$1\" and .state == \"done\")" show jobs
}

# Reads are held meanwhile, so that the record can't be seen by luck.
set_knobs "$platform" '{"lose_answer":1,"hold_reads":1}'
submit lost-answer &
submit=$!
sleep 1
set_knobs "$platform" '{"hold_reads":0}'
set_knobs "$far" '{"hold_reads":0}'
wait $submit
check 'a lost answer is found again' [ $? -eq 0 ]
check 'one record of it' [ "$(records lost-answer)" = 1 ]
done_once lost-answer

submit lost-answer
check 'the same job again is refused' [ $? -eq 1 ]

set_knobs "$platform" '{"refuse_permille":500}'
for n in 1 2 3; do
  submit half-$n
  status=$?
  check "accepted or refused while appends fail: $status" \
    [ "$status" -eq 0 -o "$status" -eq 1 ]
  [ "$status" -eq 0 ] && done_once half-$n
  check 'a refused one has no record, an accepted one has one' \
    [ "$(records half-$n)" = $((1 - status)) ]
done
set_knobs "$platform" '{"refuse_permille":0}'

set_knobs "$platform" '{"down":"refuse"}'
submit outage
status=$?
check "not accepted while the log is down: $status" \
  [ "$status" -eq 1 -o "$status" -eq 4 ]
set_knobs "$platform" '{"down":"no"}'
sleep 2
if [ "$(records outage)" = 0 ]; then
  submit outage
  check 'the submit is repeated' [ $? -eq 0 ]
fi
done_once outage
check 'at most one record of it' [ "$(records outage)" = 1 ]

tool submit job kept team weavers tasks 4 cpu 1 memory 64mb run 8s
check 'the job is accepted' [ $? -eq 0 ]
check 'it runs' within 10 any_holds \
  'any (.[]; .name == "kept/0" and .state == "running")' show tasks
get -o /dev/null -X POST "$platform/remove-old?keep=1"
signal sandaga-1 KILL
signal nord-1 KILL
check 'it finishes after its records are removed' within 30 answers 2 \
  'any (.[]; .name == "kept" and .state == "done")' show jobs
check 'no violation' violations 0
session_end
