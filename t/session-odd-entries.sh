#!/bin/sh
# Another writer leaves odd entries among those of the workers: bytes that are no
# JSON, nesting without end, numbers and ports out of range, IDs that are no text,
# keys with zero bytes at which pages of the list end.  No entry host may end, stop
# following the list, begin without its workers or take odd entries for workers.
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
. t/lib-site.sh
session_start session-odd-entries 24300
running=
SITE_METRICS=1
SITE_PAGE_RECORDS=3

# Prints an entry of a worker at ADDRESS with the CPU capacity CPU.
entry () { # ADDRESS CPU
  printf '{"service":"work","addr":"%s","zone":"z1","state":"ready","born":1,"labels":["k","r1"],"capacity":{"cpu":%s,"mem_mb":1000},"seq":1}' \
    "$1" "$2"
}

repeat () { # TEXT COUNT
  head -c "$2" /dev/zero | sed "s/\\x00/$1/g"
}

put_odd_entries () {
  site_put_entry odd-1 '\377\376\000\001' || return 1
  site_put_entry odd-2 "$(repeat '[' 100000)" || return 1
  site_put_entry odd-3 "$(repeat '{"a":' 20000)" || return 1
  site_put_entry odd-4 "$(entry 127.0.0.1:9 "$(repeat 9 400)")" || return 1
  site_put_entry odd-5 "$(entry 127.0.0.1:9 1e999)" || return 1
  site_put_entry odd-6 "$(entry 127.0.0.1:99999 8000)" || return 1
  site_put_entry odd-7 "$(entry 127.0.0.1:-1 8000)" || return 1
  site_put_entry odd-8 "$(entry 127.0.0.1:0 8000)" || return 1
  site_put_entry odd-9 "$(entry 'no address' 8000)" || return 1
  site_put_entry odd-10 "$(entry 127.0.0.1:9/x?y= 8000)" || return 1
  site_put_entry 'odd-11\r\nX-Y: z' "$(entry 127.0.0.1:9 8000)" || return 1
  site_put_entry 'odd-12\377\376' "$(entry 127.0.0.1:9 8000)" || return 1
  site_put_entry 'odd-13' '' || return 1
  site_put_entry 'i-1\000x' '' || return 1
  site_put_odd_keys || return 1
  site_put_entry "$(repeat o 200)" "$(entry 127.0.0.1:9 8000)" || return 1
  site_put_entry '' "$(entry 127.0.0.1:9 8000)"
}

# Prints how many workers the owner knows.
count_workers () {
  known=0
  for host in 1 2 3; do
    known=$((known + $(curl -sf -m 3 \
      "http://127.0.0.1:$(site_metrics_port $host)/metrics" \
      | sed -n 's/^kq_workers_usable \([0-9]*\)$/\1/p')))
  done
  echo $known
}

every_worker () { [ "$(count_workers)" -ge $SITE_WORKERS ]; }
only_workers () { [ "$(count_workers)" -eq $SITE_WORKERS ]; }

no_worker_removed () {
  ! grep -qa '"worker deregistered"' "$work"/host[123].log
}

hosts_run () {
  for host in 1 2 3; do kill -0 "$(cat "$work/host$host.pid")" || return 1; done
}

site_start 1
for host in 1 2 3; do
  check "host $host is ready" within 10 site_ready $host
done
check 'job 1 is accepted' site_submit 1
check 'job 1 completes' within 10 site_is_complete 1
check 'odd entries are stored' put_odd_entries
sleep 3
check 'all hosts run' hosts_run
check 'no odd removal takes a worker away' no_worker_removed
for job in 2 3; do check "job $job is accepted" site_submit $job; done
for job in 2 3; do
  check "job $job completes" within 10 site_is_complete $job
done
site_inject_fault 7 1
for job in 4 5; do
  check "job $job is accepted after all hosts were killed" site_submit $job
done
for job in 4 5; do
  check "job $job completes" within 15 site_is_complete $job
done
sleep 3
check 'all hosts run' hosts_run
check 'no key with zero bytes hides a worker from a new owner' within 3 every_worker
check 'no odd entry is taken for a worker' within 3 only_workers
session_end
