#!/bin/sh
# A worker is lost for good as an order to start reaches it: see claim.txt.
# TROUBLE=0: it is not lost.
folder=$(cd "$(dirname "$0")" && pwd)
record=$folder/record.txt
. "$folder/../standin-3/lib.sh"
routes=$(route jobs /jobs/)
site_begin 8
short='{"spec":"400","steps":[{"count":4,"cpu":600,"mem_mb":100,"est_ms":400}]}'
chain='{"spec":"2200","steps":[{"count":1,"cpu":1800,"mem_mb":100,"est_ms":2200},{"count":1,"cpu":1800,"mem_mb":100,"est_ms":2200,"after":[0]},{"count":1,"cpu":1800,"mem_mb":100,"est_ms":2200,"after":[1]}]}'
for i in $(seq 1 40); do
  submit "$(id_of "$i")" "$short" && id_of "$i" >>"$work/jobs" && echo >>"$work/jobs"
  sleep 0.2
done
submit "$(id_of 100)" "$chain" && id_of 100 >>"$work/jobs" && echo >>"$work/jobs"
end=$("$rv" time)
say "end of the traffic"
sleep 3
# The worker that gets the next order to start crashes, and does not come back.
[ "$TROUBLE" = 0 ] || : >"$work/die"
judge_lost "$end"
[ "$jobs" -ge 30 ] || cannot_run "too few jobs were accepted"
[ "$lost" = 0 ]
