#!/bin/sh
# Runs jobs with steps on entry hosts that use the stand-in of the platform.
# All jobs must complete and no task may run twice although the owner and then
# all entry hosts are killed, and although the state of one job outgrows a record
# of the store.  An owner that is told to stop must not act once it has released
# its term.
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
. t/lib-site.sh
session_start session-site 22100
running=
SITE_RECORD_BYTES=32768
site_start 1

for host in 1 2 3; do
  check "host $host is ready" within 10 site_ready $host
done
check 'an unknown job gets status 410' within 5 \
  sh -c "case \"$(site_call GET 1 "$(site_id 999)")\" in *410) ;; *) exit 1 ;; esac"
case $(site_call POST 1 odd '{}') in
  *' 400') check 'an invalid ID is refused' true ;;
  *) check 'an invalid ID is refused' false ;;
esac
case $(site_call POST 1 "$(site_id 998)" '{"spec":"1"}') in
  *' 400') check 'a job without steps is refused' true ;;
  *) check 'a job without steps is refused' false ;;
esac
for job in 1 2 3 4; do check "job $job is accepted" site_submit $job; done
for job in 1 2 3 4; do
  check "job $job completes" within 10 site_is_complete $job
done

check 'a wide job is accepted' site_submit 20 "$(wide_body 2000)"
check 'a job beside it is accepted' site_submit 21
for job in 20 21; do
  check "job $job completes" within 20 site_is_complete $job
done

owner=$(sed -n 's/.*"event":"owner known","owner":"host\([1-3]\)".*/\1/p' \
  "$work/host1.log" | tail -n 1)
for job in 5 6 7 8; do check "job $job is accepted" site_submit $job; done
site_inject_fault 0 "${owner:-1}"
for job in 9 10; do
  check "job $job is accepted after the owner is killed" site_submit $job
done
site_inject_fault 7 1
for job in 1 5 6 7 8 9 10; do
  check "job $job is complete after all hosts were killed" \
    within 15 site_is_complete $job
done

# The successor counts the leases from the release.
acts_no_more_at_release () { # HOST
  awk '/"module":"owner","event":"active"/ { acts = 1 }
       /"module":"owner","event":"stopped"/ { acts = 0 }
       /"module":"term","event":"release"/ { releases++; bad += acts }
       END { exit !(releases > 0 && bad == 0) }' "$work/host$1.log"
}

owner=$(sed -n 's/.*"event":"owner known","owner":"host\([1-3]\)".*/\1/p' \
  "$work/host1.log" | tail -n 1)
site_inject_fault 6 "${owner:-1}"
check 'an owner acts no more when it releases its term' \
  acts_no_more_at_release "${owner:-1}"
check 'no task ran twice' \
  json_matches "$(site_facts)" '.broken == "" and .done >= 50'
session_end
