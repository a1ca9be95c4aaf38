#!/bin/sh
# Runs jobs in a cell that is large enough for relays.  All jobs must complete
# and no task may run twice although a relay is killed, another is paused and
# the owner is killed.
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
. t/lib-site.sh
session_start session-relay 25600
running=
SITE_WORKERS=$SITE_LARGE_WORKERS
site_start 1

# Prints the numbers of the hosts that relay for the current owner.
relays () {
  for host in 1 2 3; do
    grep -q '"module":"relay","event":"follows owner"' "$work/host$host.log" \
      && echo $host
  done
}
has_relay () { [ -n "$(relays)" ]; }
relay_suspended () { grep -hq '"event":"relay suspended"' "$work"/host*.log; }

for host in 1 2 3; do
  check "host $host is ready" within 10 site_ready $host
done
for job in 1 2 3 4; do check "job $job is accepted" site_submit $job; done
check 'a host relays orders' within 10 has_relay
relay=$(relays | tail -n 1)
owner=$(sed -n 's/.*"event":"owner known","owner":"host\([1-3]\)".*/\1/p' \
  "$work/host1.log" | tail -n 1)
check 'the owner is not its own relay' [ "${relay:-0}" != "${owner:-0}" ]
for job in 1 2 3 4; do
  check "job $job completes" within 10 site_is_complete $job
done

for job in 5 6 7; do check "job $job is accepted" site_submit $job; done
site_kill "${relay:-3}"
for job in 8 9; do
  check "job $job is accepted while a relay is lost" site_submit $job
done
check 'the lost relay is noticed' within 5 relay_suspended
for job in 5 6 7 8 9; do
  check "job $job completes without the relay" within 15 site_is_complete $job
done
site_start_host "${relay:-3}"
check 'the relay is back' within 10 site_ready "${relay:-3}"

for job in 10 11 12; do check "job $job is accepted" site_submit $job; done
site_inject_fault 1 "${relay:-3}"
for job in 10 11 12; do
  check "job $job completes beside a paused relay" \
    within 15 site_is_complete $job
done
for job in 13 14; do check "job $job is accepted" site_submit $job; done
site_inject_fault 0 "${owner:-1}"
for job in 13 14; do
  check "job $job completes after the owner is killed" \
    within 20 site_is_complete $job
done
check 'no task ran twice' \
  json_matches "$(site_facts)" '.broken == "" and .done >= 70'
session_end
