#!/bin/sh
# Sends invalid input to every socket of an entry host: it must respond with a
# typed error, keep its state and keep running.
. t/session-lib.sh
session_start session-admin "${SESSION_PORT:-24500}"

responds () { # STATUS FILTER CURL-ARGUMENT...: the response matches them
  wanted=$1
  filter=$2
  shift 2
  got=$(curl -s -m 10 -o "$work/response" -w '%{http_code}' "$@")
  [ "$got" = "$wanted" ] && jq -e "$filter" <"$work/response"
}
error_filter () { echo ".error == \"$1\" and .number < 0"; } # NAME

# Sends 3000 bytes that are not a valid message to PORT and waits until the
# host closes the connection, for at most a second.
send_garbage () { # PORT
  head -c 3000 /bin/sh | curl -s -m 1 "telnet://127.0.0.1:$1" >/dev/null
  true
}

# Starts a daemon that must exit by itself; kills it after 10 s.
daemon () {
  timeout 10 "$BUILD/kumquatrackd" "$@" >"$work/start.log" 2>&1
}
exits () { # STATUS TEXT FLAG...: it exits with STATUS and prints TEXT
  wanted=$1
  text=$2
  shift 2
  daemon "$@"
  [ $? -eq "$wanted" ] && grep -qF -e "$text" "$work/start.log"
}

start_platform 1
start_workers --group z:r:3
define_entry_hosts e1:z:r
publish_hosts .
start_daemon e1 1 z r "$platform"
admin_url=$(admin 1)
check 'the host reports health' within 10 fetch -f "$admin_url/health"
check 'a host without a configuration is not ready' \
  responds 503 '.state == "no configuration"' "$admin_url/ready"
check 'a host without a configuration refuses requests as not run' \
  responds 503 '.outcome == "not-run"' -H 'Kumquatrack-Service: a' "$(front 1)/"

check 'an unknown path is refused' \
  responds 404 "$(error_filter KQ_ENOENT)" "$admin_url/nothing"
check 'a wrong method is refused' \
  responds 405 "$(error_filter KQ_EINVAL)" -X PUT "$admin_url/command"
check 'an empty command is refused' \
  responds 400 "$(error_filter KQ_ESYNTAX)" -X POST "$admin_url/command"
check 'an unknown word is reported with its column' \
  responds 400 '.column == 6 and .word == "wurkers"' \
  -d 'show wurkers' "$admin_url/command"
check 'an invalid trace ID is refused' \
  responds 400 "$(error_filter KQ_ESYNTAX)" "$admin_url/trace/xyz"
printf 'show\000workers' >"$work/zero"
check 'a command with a zero byte is refused' \
  responds 400 "$(error_filter KQ_ESYNTAX)" \
  --data-binary "@$work/zero" "$admin_url/command"
head -c 1100000 /dev/zero | tr '\0' x >"$work/long"
check 'a command that is too long is refused' \
  responds 413 "$(error_filter KQ_ETOOBIG)" \
  --data-binary "@$work/long" "$admin_url/command"
check 'a document with an unknown field is refused' \
  responds 409 "$(error_filter KQ_ECONFIG_SCHEMA) and .word == \"wagons\"" \
  -d 'configure base 0 {"wagons": []}' "$admin_url/command"
check 'a truncated document is refused' \
  responds 400 "$(error_filter KQ_ESYNTAX) and .column == 32" \
  -d 'configure base 0 {"services": [' "$admin_url/command"
check 'a document with an unknown base revision is refused' \
  responds 409 "$(error_filter KQ_ECONFIG_CONFLICT)" \
  -d 'configure base 7 {"services": []}' "$admin_url/command"

curl -s -m 8 --limit-rate 1k --data-binary "@$work/long" "$admin_url/command" \
  >/dev/null &
pids="$pids $!"
for port in 11 31 51 71; do send_garbage $((base + port)); done
check 'the host reports health after garbage and during a slow request' \
  fetch -f "$admin_url/health"
check 'a valid configuration is accepted' \
  responds 200 '.result == "accepted"' \
  -d 'configure base 0 {"shards": [{"name": "s", "zone": "z", "workers":
      ["w1", "w2", "w3"]}], "services": [{"name": "a"}]}' "$admin_url/command"
check 'the host is ready' within 10 fetch -f "$admin_url/ready"
check 'requests are answered' within 10 \
  fetch -f -H 'Kumquatrack-Service: a' "$(front 1)/"
check 'invalid input is counted' [ "$(fetch "$admin_url/metrics" \
  | sed -n 's/^kq_admin_refused_total //p')" -ge 7 ]

required='--host e2 --zone z --region r --platform 127.0.0.1:1'
# Word splitting of the flags is intended.
# shellcheck disable=SC2086
{
  check 'a setting out of range is refused' \
    exits 2 '500 to 60000 ms' $required \
    --lease-ttl-ms 7
  check 'a missing setting is reported' exits 2 '--host' --zone z
  check 'a port in use is reported' exits 1 KQ_EIO $required \
    --admin-listen "${admin_url#http://}" \
    --listen "127.0.0.1:$((base + 4))" \
    --peer-listen "127.0.0.1:$((base + 12))" \
    --hop-listen "127.0.0.1:$((base + 16))"
}
signal e1 TERM
check 'the daemon exits after SIGTERM' within 10 has_exited e1
check 'the daemon exits with status 0' wait "$(cat "$work/e1.pid")"
check 'no violation' violations 0
session_end
