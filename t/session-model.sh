#!/bin/sh
# Checks the models in t/model/ with spin: the complete protocol has no run with
# an error, and without any one of its guards spin must find such a run.
set -u
cd "$(dirname "$0")/.."
models=$(pwd)/t/model
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Writes the number of errors to $work/MODEL-NAME.errors.
run_spin () { # MODEL NAME FLAG...
  model=$1
  run=$1-$2
  shift 2
  mkdir "$work/$run"
  (cd "$work/$run" && spin "$@" -a "$models/$model.pml" >/dev/null \
    && gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2000 -o pan pan.c \
    && ./pan -m100000 >pan.out 2>&1)
  if grep -q 'max search depth\|out of memory' "$work/$run/pan.out"; then
    echo 'search not finished' >"$work/$run.errors"
  else
    sed -n 's/.*errors: \([0-9]*\)$/\1/p' "$work/$run/pan.out" \
      >"$work/$run.errors"
  fi
}

passed=0
failed=0
check_errors () { # MODEL NAME EXPECTED-ERRORS
  got=$(cat "$work/$1-$2.errors")
  if [ "$got" = "$3" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $1, $2: expected $3 errors, got $got"
  fi
}

check_model () { # MODEL GUARD...
  checked=$1
  shift
  run_spin "$checked" complete &
  complete_pid=$!
  for guard in "$@"; do run_spin "$checked" "$guard" "-D$guard"; done
  wait "$complete_pid"
  check_errors "$checked" complete 0
  for guard in "$@"; do check_errors "$checked" "$guard" 1; done
}

check_model ownership RENEW_WITHOUT_MAJORITY SHORT_WAIT NO_SERIAL \
  TRUST_ANY_TABLE ACQUIRE_EXTENDS WAIT_FROM_MAJORITY_ONLY
check_model relay SHORT_WAIT ACT_UNCONFIRMED NO_FENCE NO_LEASE_END \
  NO_RUN_NUMBER RELATIVE_LEASE
echo "session-model: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
