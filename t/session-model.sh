#!/bin/sh
# Checks t/model/ownership.pml with spin: the complete protocol has no run with
# an error, and without any one of its guards spin must find such a run.
set -u
cd "$(dirname "$0")/.."
model=$(pwd)/t/model/ownership.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

run_spin () { # NAME FLAG...: writes the number of errors to $work/NAME.errors
  mkdir "$work/$1"
  (cd "$work/$1" && shift && spin "$@" -a "$model" >/dev/null \
    && gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2000 -o pan pan.c \
    && ./pan -m100000 >pan.out 2>&1)
  if grep -q 'max search depth\|out of memory' "$work/$1/pan.out"; then
    echo 'search not finished' >"$work/$1.errors"
  else
    sed -n 's/.*errors: \([0-9]*\)$/\1/p' "$work/$1/pan.out" \
      >"$work/$1.errors"
  fi
}

guards='RENEW_WITHOUT_MAJORITY SHORT_WAIT NO_SERIAL TRUST_ANY_TABLE
ACQUIRE_EXTENDS WAIT_FROM_MAJORITY_ONLY'
run_spin complete &
complete_pid=$!
for guard in $guards; do run_spin "$guard" "-D$guard"; done
wait "$complete_pid"

passed=0
failed=0
check_errors () { # NAME EXPECTED-ERRORS
  got=$(cat "$work/$1.errors")
  if [ "$got" = "$2" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $1: expected $2 errors, got $got"
  fi
}
check_errors complete 0
for guard in $guards; do check_errors "$guard" 1; done
echo "session-model: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
