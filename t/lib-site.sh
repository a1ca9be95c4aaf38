# Shell functions of the session, the demo and the soak test that run against
# the platform's stand-in: start it and the entry hosts, submit jobs, inject
# faults.
# shellcheck shell=sh disable=SC2034,SC2154

# With SITE_LARGE_WORKERS, orders go through relays (relay/plan.c).
SITE_WORKERS=6
SITE_LARGE_WORKERS=140
SITE_HOSTS=3
SITE_RECORD_BYTES=262144
SITE_CHECKPOINT_BYTES=0
SITE_PAGE_RECORDS=500

# Ports from $base on: the store, its workers, then five for each host, then
# with SITE_LINKS one for the link of each host to the store.
site_store () { echo "http://127.0.0.1:$base"; }
site_port () { echo $((base + SITE_WORKERS + 4 + $1 * 5)); } # HOST: 1 to 3

# Port at which HOST reaches the store.
site_store_port () { # HOST
  if [ -z "${SITE_LINKS:-}" ]; then echo "$base"; else
    echo $((base + SITE_WORKERS + 24 + $1))
  fi
}

site_settings () { # HOST
  port=$(site_port "$1")
  cat >"$work/host$1.json" <<END
{"node_name":"host$1","zone":"z$1","region":"r","ip":"127.0.0.1",
"port_range":[$((port + 2)),$((port + 3))],"heartbeat_ms":500,
"listen":{"front":"127.0.0.1:$port","ready":"127.0.0.1:$((port + 1))"},
"platform":{"addr":"127.0.0.1:$(site_store_port "$1")","record_bytes":$SITE_RECORD_BYTES},
"limits":{"cpu_share":1.0,"cores":1},
"bounds":{"hold_max_ms":10000,"grace_s":6,"evac_ms":5000,"warmup_excess":1.5}}
END
}

# Port where HOST serves its metrics, if SITE_METRICS is set.
site_metrics_port () { echo $(($(site_port "$1") + 4)); } # HOST

site_start_host () { # HOST
  metrics_port=0
  [ -z "${SITE_METRICS:-}" ] || metrics_port=$(site_metrics_port "$1")
  # With SITE_SKEWS, HOST has a time of day that is as many ms ahead as its
  # word there says.
  skew_ms=$(echo "${SITE_SKEWS:-}" | awk -v host="$1" '{ print $host + 0 }')
  KUMQUATRACK_NODE_FILE="$work/host$1.json" \
    KUMQUATRACK_METRICS_PORT=$metrics_port KUMQUATRACK_TEST_SKEW_MS=$skew_ms \
    "$BUILD/${SITE_SKEWS:+standin/}kumquatrackd" >>"$work/host$1.log" 2>&1 &
  echo $! >"$work/host$1.pid"
  pids="$pids $!"
}

site_start () { # SEED
  "$BUILD/standin/site" --port "$base" --workers $SITE_WORKERS \
    --record-bytes $SITE_RECORD_BYTES \
    --checkpoint-bytes $SITE_CHECKPOINT_BYTES \
    --page-records $SITE_PAGE_RECORDS --seed "$1" >"$work/site.log" 2>&1 &
  pids="$pids $!"
  for host in 1 2 3; do
    site_settings $host
    [ -z "${SITE_LINKS:-}" ] || site_start_link $host
    site_start_host $host
  done
}

site_start_link () { # HOST
  "$BUILD/standin/link" --port "$(site_store_port "$1")" --to "$base" \
    >>"$work/link$1.log" 2>&1 &
  echo $! >"$work/link$1.pid"
  pids="$pids $!"
}

site_signal () { # PROCESS SIGNAL: "host1", "link1" and so on
  kill "-$2" "$(cat "$work/$1.pid")" 2>/dev/null
}

site_ready () { # HOST
  curl -sf -m 1 "http://127.0.0.1:$(($(site_port "$1") + 1))/-/readyz"
}

# Sends a request about job ID to host HOST; prints the body and the status.
site_call () { # METHOD HOST ID [BODY]
  curl -s -m 3 -X "$1" -H 'Host: site.example' -H 'Deadline-Ms: 2500' \
    ${4:+--data "$4"} -w ' %{http_code}' \
    "http://127.0.0.1:$(site_port "$2")/jobs/$3"
}

site_id () { printf '%016x' "$1"; }

short_body='{"spec":"400","steps":[{"count":3,"cpu":1000,"mem_mb":100,"est_ms":400},{"count":2,"cpu":1000,"mem_mb":100,"est_ms":400,"after":[0]}]}'

# Prints a job with a step of TASKS tasks.  With more than 127 its state takes
# several records if SITE_RECORD_BYTES is 32768.
wide_body () { # TASKS
  printf '{"spec":"400","steps":[{"count":1,"cpu":10,"mem_mb":1,"est_ms":400},{"count":%d,"cpu":10,"mem_mb":1,"est_ms":400,"after":[0]}]}' "$1"
}

# Submits job NUMBER to one host after the other until it is accepted.  Tells the
# stand-in if each of them refused it.
site_submit () { # NUMBER [BODY]
  outcome=refused
  for try in 1 2 3 4 5 6 7 8 9 10 11 12; do
    case $(site_call POST $((($1 + try) % SITE_HOSTS + 1)) \
      "$(site_id "$1")" "${2:-$short_body}") in
      *' 200') return 0 ;;
      *' 429' | *' 503') ;;
      *) outcome=unknown ;;
    esac
    sleep 0.2
  done
  [ $outcome = unknown ] || site_admin "{\"refused\":\"$(site_id "$1")\"}"
  return 1
}

# Submits job NUMBER, whose four tasks run until it is cancelled.
site_submit_lasting () { # NUMBER
  body='{"spec":"lasting","steps":[{"count":4,"cpu":1000,"mem_mb":100,"est_ms":1000,"long_running":true}]}'
  for try in 1 2 3 4 5 6 7 8 9 10 11 12; do
    case $(site_call POST $((($1 + try) % SITE_HOSTS + 1)) \
      "$(site_id "$1")" "$body") in *' 200') return 0 ;; esac
    sleep 0.2
  done
  return 1
}

site_cancel () { # NUMBER
  site_admin "{\"cancelled\":\"$(site_id "$1")\"}"
  for host in 1 2 3; do
    case $(site_call DELETE $host "$(site_id "$1")") in
      *' 200' | *' 410') return 0 ;;
    esac
  done
  return 1
}

site_is_complete () { # NUMBER
  for host in 1 2 3; do
    case $(site_call GET $host "$(site_id "$1")") in
      *complete*) return 0 ;;
    esac
  done
  return 1
}

site_admin () { # JSON
  curl -s -m 2 --data "$1" "$(site_store)/admin" >/dev/null
}

site_facts () { curl -s -m 2 "$(site_store)/facts"; }

site_kill () { # HOST
  kill -KILL "$(cat "$work/host$1.pid")" 2>/dev/null
  wait "$(cat "$work/host$1.pid")" 2>/dev/null
}

# Injects the worker fault KIND at WORKER for MS; it lasts on when the function
# returns.  0 and 1: up to three workers crash and others take their addresses,
# 2: a worker crashes and starts again under its ID, 3: a worker gets no orders,
# 4: its replies are lost, 5: none.
site_inject_worker_fault () { # KIND WORKER MS
  case $1 in
    0 | 1) site_admin "{\"crash\":$2,\"count\":$(($3 % 3 + 1)),\"ms\":$3}" ;;
    2) site_admin "{\"crash\":$2,\"ms\":$3,\"same_id\":true}" ;;
    3) site_admin "{\"silence\":$2,\"ms\":$(($3 * 3)),\"unregistered\":true}" ;;
    4) site_admin "{\"silence\":$2,\"ms\":$(($3 * 3)),\"replies\":true}" ;;
  esac
}

# Injects the fault with number KIND: 0 kill a host, 1 pause it, 2 the store
# refuses, 3 the store hangs, 4 responses are lost, 5 restart a worker, 6 stop
# a host, 7 kill all hosts.  The fault is over when the function returns; hosts
# may still be starting.
site_inject_fault () { # KIND HOST
  case $1 in
    0) site_kill "$2"; site_start_host "$2" ;;
    1) kill -STOP "$(cat "$work/host$2.pid")"; sleep 1.2
       kill -CONT "$(cat "$work/host$2.pid")" ;;
    2) site_admin '{"store":"refuse"}'; sleep 1; site_admin '{"store":"up"}' ;;
    3) site_admin '{"store":"hang"}'; sleep 0.8; site_admin '{"store":"up"}' ;;
    4) site_admin '{"lose_permille":150}'; sleep 1
       site_admin '{"lose_permille":0}' ;;
    5) site_admin "{\"restart\":$2}" ;;
    6) kill -TERM "$(cat "$work/host$2.pid")"
       wait "$(cat "$work/host$2.pid")" 2>/dev/null; site_start_host "$2" ;;
    7) for host in 1 2 3; do site_kill $host; done
       for host in 1 2 3; do site_start_host $host; done ;;
  esac
  site_admin '{}'
}

# Injects the fault that number INDEX of SEED's series has of those to the parts
# of docs/design/load-and-locality.md.  The first three are a cold return,
# an evacuation that outlasts evac_ms and a storm, in this order; then also
# short evacuations, and none.  Except for the storm, it lasts on when the function
# returns.
site_inject_part_fault () { # SEED INDEX
  # shellcheck disable=SC2046
  set -- $(awk -v seed="$1" -v i="$2" -v workers="$SITE_WORKERS" \
    'BEGIN { srand (seed * 100 + i); kind = int (rand () * 5)
       print i <= 3 ? i : kind, int (rand () * 3) + 1, \
         int (rand () * workers), int (rand () * 3000) }')
  case $1 in
    0) site_admin "{\"evacuate\":\"z$2\",\"ms\":$((500 + $4))}" ;;
    1) site_admin "{\"crash\":$3,\"count\":$2,\"ms\":500,\"same_id\":true,\"warmup_ms\":$((1000 + $4))}" ;;
    2) site_admin "{\"evacuate\":\"z$2\",\"ms\":$((6500 + $4))}" ;;
    3) site_begin_storm ;;
  esac
}

# Makes the store refuse requests while ten jobs are submitted, each once, and
# the newest accepted job is repeated.
site_begin_storm () {
  site_admin '{"store":"refuse"}'
  storm_pids=
  for i in 1 2 3 4 5 6 7 8 9 10; do
    storm_jobs=$((${storm_jobs:-2000} + 1))
    site_submit_once $storm_jobs "0.$((i - 1))" &
    storm_pids="$storm_pids $!"
  done
  for job in ${accepted##* }; do
    site_submit_once "$job" 0.5 &
    storm_pids="$storm_pids $!"
  done
}

# Submits job NUMBER to one host after DELAY; writes the status to a file.
site_submit_once () { # NUMBER DELAY
  sleep "$2"
  site_call POST $(($1 % SITE_HOSTS + 1)) "$(site_id "$1")" "$short_body" \
    >"$work/storm-$1"
}

# Ends the storm: adds accepted jobs to $accepted, tells the stand-in of refused
# ones, and adds accepted ones that were refused later to $refused_later.
site_end_storm () {
  [ -n "${storm_pids:-}" ] || return 0
  sleep 1 # the submissions are spread over 0.9 s
  site_admin '{"store":"up"}'
  # shellcheck disable=SC2086
  wait $storm_pids
  storm_pids=
  for file in "$work"/storm-*; do
    job=${file##*-}
    status=$(sed 's/.* //' "$file")
    storm_statuses="${storm_statuses:-} $status"
    rm "$file"
    case "$status $accepted " in
      4[0-9][0-9]*" $job "*) refused_later="$refused_later $job" ;;
      *" $job "*) ;;
      200*) accepted="$accepted $job" ;;
      429* | 503*) site_admin "{\"refused\":\"$(site_id "$job")\"}" ;;
    esac
  done
}

# Succeeds unless accepted job NUMBER is refused when it is submitted again.
site_is_kept () { # NUMBER
  case $(site_call POST $(($1 % SITE_HOSTS + 1)) "$(site_id "$1")" \
    "$short_body") in *' 200') return 0 ;; esac
  return 1
}

# Crashes a third of the workers; others take their addresses after 1 s.  Job
# NUMBER, which lasts, is cancelled 3.5 s after the crash: stops for the crashed
# workers then reach others.
site_crash_third () { # NUMBER
  site_admin "{\"crash\":0,\"count\":$((SITE_WORKERS / 3)),\"ms\":1000}"
  sleep 3.5
  site_cancel "$1"
}

# Appends VALUE under KEY to the list of workers; both are escaped for printf.
site_put_entry () { # KEY VALUE
  {
    # shellcheck disable=SC2059
    printf "$1" >"$work/key"
    # shellcheck disable=SC2059
    printf "$2" >"$work/value"
    key=$(wc -c <"$work/key")
    size=$((1 + key + $(wc -c <"$work/value")))
    # shellcheck disable=SC2059
    printf "$(printf '\\%03o\\%03o\\%03o\\%03o\\%03o' $((size >> 24)) \
      $((size >> 16 & 255)) $((size >> 8 & 255)) $((size & 255)) "$key")"
    cat "$work/key" "$work/value"
  } >"$work/record"
  curl -sf -m 3 --data-binary "@$work/record" -o "$work/appended" \
    "$(site_store)/-/log-append?topic=keyed.servers&part=0"
}

# Leaves entries among those of the workers whose keys no JSON string holds as
# they are: zero bytes, and bytes that are no UTF-8, several in a row.
site_put_odd_keys () {
  site_put_entry 'probe-01\000\000\000\000' '{"kind":"probe"}' || return 1
  site_put_entry 'i-2\000' '{"kind":"probe"}' || return 1
  for byte in 200 300 340 360 377; do
    site_put_entry "i-3\\$byte" '{"kind":"probe"}' || return 1
    site_put_entry "i-3\\$byte\\$byte" '{"kind":"probe"}' || return 1
  done
}
