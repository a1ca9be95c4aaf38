#!/bin/sh
# Tests the command-line tool without a daemon: help texts, invalid commands,
# exit statuses, and responses of a simulated entry host.
set -u
cd "$(dirname "$0")/.." || exit 1
tool=${BUILD:-build}/kumquatrack
closed_url=http://127.0.0.1:25999 # no program listens there
unset KUMQUATRACK_ADMIN
passed=0
failed=0

# expect STATUS TEXT WORD...: runs the tool with WORD...; it must exit with
# STATUS and its output must contain TEXT.
expect () {
  status=$1
  text=$2
  shift 2
  out=$("$tool" "$@" 2>&1 </dev/null)
  got=$?
  if [ "$got" -eq "$status" ] && printf '%s' "$out" | grep -qF -- "$text"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "kumquatrack $*: status $got, expected $status with '$text':"
    echo "$out"
  fi
}

expect 0 'kumquatrack 0.' --version
expect 0 'Exit status:' --help
for command in show why trace submit cancel drain undrain configure shell \
  explain; do
  expect 0 'the outcome is unknown' "$command" --help
  expect 0 "  $command " --help
done
expect 2 'a command is missing'
expect 2 "'shw' is no command" shw hosts
expect 2 'KQ_EQUERY_WORD' --admin $closed_url show hots
expect 2 '     ^~~~' show hots
expect 2 'expected hosts, workers' show hots
expect 2 'such as 256mb' submit job j team t tasks 1 cpu 1 memory 256
expect 2 'give --admin URL' show hosts
expect 2 'allowed are 0.1 to 600' --timeout 0 --admin $closed_url show hosts
expect 2 'allowed are 0.1 to 3600' --watch 9999 --admin $closed_url show hosts
expect 2 'invalid option' show --colour red hosts
expect 2 '--watch repeats queries only' --watch 1 --admin $closed_url cancel job j
expect 2 "can't be read" --admin $closed_url configure base 0 /nonexistent
expect 2 'KQ_ESYNTAX' --admin $closed_url configure base 0 '{"teams":'
expect 3 'nobody answered' --admin $closed_url show hosts
expect 3 'nobody answered' --admin $closed_url --admin $closed_url cancel job j
expect 3 'nobody answered' --admin $closed_url configure base 0 '{"teams": []}'
for example in docs/examples/*.json; do
  expect 3 'nobody answered' --admin $closed_url configure base 0 "$example"
done
expect 3 'nobody answered' --admin $closed_url show jobs where team = 'a b'
expect 2 'takes its commands from standard input' shell now

# Every command and flag in the help is in the manual pages, and every flag in
# the daemon's manual page is in its help.
for word in $("${BUILD:-build}/kumquatrackd" --help | grep -o -- '^  --[a-z-]*' \
  | sed 's/^  -//') $(sed -n 's/^\.It Fl \(-[a-z-]*\).*/\1/p' \
  docs/man/kumquatrackd.8); do
  if grep -qE "Fl $word( |\$)" docs/man/kumquatrackd.8 \
    && "${BUILD:-build}/kumquatrackd" --help | grep -qE -- "^  -$word(=|\$)"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "docs/man/kumquatrackd.8 and the help differ about -$word"
  fi
done
page=$(sed 's/\\-/-/g' docs/man/kumquatrack.1)
for word in $("$tool" --help | sed -n 's/^  \([a-z]*\) .*/\1/p') \
  $("$tool" show --help | grep -o -- '--[a-z]*' | sed 's/^-//' | sort -u); do
  if printf '%s' "$page" | grep -qE "(Ic|Fl) $word"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "docs/man/kumquatrack.1 lacks $word"
  fi
done

out=$(printf '# comment\n\nshow hots\nshow hosts\n' \
  | "$tool" shell --admin $closed_url 2>&1)
if [ $? -eq 2 ] && printf '%s' "$out" | grep -q 'nobody answered'; then
  passed=$((passed + 1))
else
  failed=$((failed + 1))
  echo "shell: $out"
fi
# start_host BODY: starts an entry host at $admin that responds with
# BODY to every request or, if BODY is empty, reads the request and never
# responds.  It exits when file descriptor 9 is closed.
port=25900
start_host () {
  port=$((port + 1))
  admin=http://127.0.0.1:$port
  fifo=$(mktemp -u)
  ready=$(mktemp)
  mkfifo "$fifo"
  "${BUILD:-build}/standin/canned" $port "$1" <"$fifo" >"$ready" &
  exec 9>"$fifo"
  tries=0
  while [ ! -s "$ready" ] && [ $tries -lt 100 ]; do
    sleep 0.05
    tries=$((tries + 1))
  done
  rm -f "$fifo" "$ready"
}
stop_host () {
  exec 9>&-
  wait
}

start_host '{"revision":7,"age_ms":3,"coverage":{"host":"h1","owned_shards":["s1"],
"shards":2},"rows":[{"reason":"KQ_EJOB_QUOTA","name":"j/0","state":"waiting",
"cpu_milli":500},{"name":"j/10","state":"running\u001b","cpu_milli":16000}]}'
expect 0 'NAME  STATE     CPU_MILLI  REASON' --admin $admin show tasks
expect 0 'j/0   waiting         500  KQ_EJOB_QUOTA' --admin $admin show tasks
expect 0 'j/10  running?      16000  -' --admin $closed_url --admin $admin \
  show tasks
expect 0 'revision 7, age 3 ms, answered by h1, which owns 1 of 2 shards' \
  --admin $admin show tasks
expect 0 '  cpu_milli        500' --admin $admin why job j
expect 0 '"age_ms":3' --json show tasks --admin $admin
stop_host
start_host '{"result":"accepted","command":"cancel","name":"j","revision":9}'
expect 0 'accepted: cancel j (revision 9)' --admin $admin cancel job j
stop_host
start_host '{"result":"refused","error":"KQ_ECONFIG_CONFLICT","number":-400,
"reason":"a newer revision is in force","revision":8}'
expect 1 'a newer revision is in force (KQ_ECONFIG_CONFLICT, revision 8)' \
  --admin $admin configure base 7 '{}'
stop_host
start_host '{"result":"refused","error":"KQ_EQUERY_FIELD","number":-805,
"reason":"the table has no such field","word":"hue","column":18}'
expect 1 '                 ^' --admin $admin show hosts where hue = 1
stop_host
start_host '{"result":"unknown","error":"KQ_ELOG_DOWN","number":-500}'
expect 4 'KQ_ELOG_DOWN' --admin $admin cancel job j
stop_host
start_host '{"result":"refused","error":"KQ_ESTOPPING","number":-10}'
expect 1 'KQ_ESTOPPING' --admin $admin cancel job j
stop_host
start_host 'no JSON'
expect 4 'the answer is no JSON' --admin $admin cancel job j
expect 3 'nobody answered' --admin $admin show hosts
stop_host
# An entry host that never responds: a change is not sent to the next host, a
# query is.
start_host ''
expect 4 'the outcome is unknown' --timeout 0.3 --admin $admin \
  --admin $closed_url cancel job j
expect 3 '25999' --timeout 0.3 --admin $admin --admin $closed_url show hosts
stop_host

echo "session-tool: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
