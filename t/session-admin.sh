#!/bin/sh
# Wrong input to every socket of an entry host: a typed error, nothing lost,
# no exit.
. t/session-lib.sh
session_start session-admin "${SESSION_PORT:-24500}"

answer () { # STATUS FILTER CURL-ARGUMENT...: the host answers so
  wanted=$1
  filter=$2
  shift 2
  got=$(curl -s -m 10 -o "$work/answer" -w '%{http_code}' "$@")
  [ "$got" = "$wanted" ] && jq -e "$filter" <"$work/answer"
}
error () { echo ".error == \"$1\" and .number < 0"; } # NAME

# Sends bytes to PORT and waits until the host closes, for at most a second.
junk () { # PORT
  head -c 3000 /bin/sh | curl -s -m 1 "telnet://127.0.0.1:$1" >/dev/null
  true
}

# A start that must fail; one that does not is ended.
daemon () {
  timeout 10 "$BUILD/kumquatrackd" "$@" >"$work/start.log" 2>&1
}
exits () { # STATUS TEXT FLAG...: the start ends so and says TEXT
  wanted=$1
  text=$2
  shift 2
  daemon "$@"
  [ $? -eq "$wanted" ] && grep -qF -e "$text" "$work/start.log"
}

start_platform 1
start_workers --group z:r:3
name_hosts e1:z:r
post_hosts .
start_daemon e1 1 z r "$platform"
at=$(admin 1)
check 'the host answers' within 10 get -f "$at/health"
check 'a host without a configuration is not ready' \
  answer 503 '.state == "no configuration"' "$at/ready"
check 'and refuses requests as not run' \
  answer 503 '.outcome == "not-run"' -H 'Kumquatrack-Service: a' "$(front 1)/"

check 'unknown page' answer 404 "$(error KQ_ENOENT)" "$at/nothing"
check 'wrong method' answer 405 "$(error KQ_EINVAL)" -X PUT "$at/command"
check 'no command' answer 400 "$(error KQ_ESYNTAX)" -X POST "$at/command"
check 'unknown word' answer 400 '.column == 6 and .word == "wurkers"' \
  -d 'show wurkers' "$at/command"
check 'unknown trace id' answer 400 "$(error KQ_ESYNTAX)" "$at/trace/xyz"
printf 'show\000workers' >"$work/zero"
check 'a zero byte' answer 400 "$(error KQ_ESYNTAX)" \
  --data-binary "@$work/zero" "$at/command"
head -c 1100000 /dev/zero | tr '\0' x >"$work/long"
check 'a command that is too long' answer 413 "$(error KQ_ETOOBIG)" \
  --data-binary "@$work/long" "$at/command"
check 'a document with an unknown field' \
  answer 409 "$(error KQ_ECONFIG_SCHEMA) and .word == \"wagons\"" \
  -d 'configure base 0 {"wagons": []}' "$at/command"
check 'a document that is cut short' \
  answer 400 "$(error KQ_ESYNTAX) and .column == 32" \
  -d 'configure base 0 {"services": [' "$at/command"
check 'a document from a revision that is not there' \
  answer 409 "$(error KQ_ECONFIG_CONFLICT)" \
  -d 'configure base 7 {"services": []}' "$at/command"

curl -s -m 8 --limit-rate 1k --data-binary "@$work/long" "$at/command" \
  >/dev/null &
pids="$pids $!"
for port in 11 31 51 71; do junk $((base + port)); done
check 'it answers beside junk and a slow request' get -f "$at/health"
check 'a good configuration is accepted' answer 200 '.result == "accepted"' \
  -d 'configure base 0 {"shards": [{"name": "s", "zone": "z", "workers":
      ["w1", "w2", "w3"]}], "services": [{"name": "a"}]}' "$at/command"
check 'the host is ready' within 10 get -f "$at/ready"
check 'requests are answered' within 10 \
  get -f -H 'Kumquatrack-Service: a' "$(front 1)/"
check 'wrong input is counted' [ "$(get "$at/metrics" \
  | sed -n 's/^kq_admin_refused_total //p')" -ge 7 ]

required='--host e2 --zone z --region r --platform 127.0.0.1:1'
# The flags are split into words on purpose.
# shellcheck disable=SC2086
{
  check 'a wrong setting' exits 2 '500 to 60000 ms' $required \
    --lease-ttl-ms 7
  check 'a missing setting' exits 2 '--host' --zone z
  check 'a port that is taken' exits 1 KQ_EIO $required \
    --admin-listen "${at#http://}" \
    --listen "127.0.0.1:$((base + 4))" \
    --peer-listen "127.0.0.1:$((base + 12))" \
    --hop-listen "127.0.0.1:$((base + 16))"
}
signal e1 TERM
check 'a planned stop ends the process' within 10 gone e1
check 'with status 0' wait "$(cat "$work/e1.pid")"
check 'no violation' violations 0
session_end
