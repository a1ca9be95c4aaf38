#!/bin/sh
# Runs the soak of machines with two seeds: hosts are stopped, killed and cut off
# from the store while workers restart under their IDs and fall silent.  No
# task may run twice.
cd "$(dirname "$0")/.." || exit 1
: "${BUILD:=build}"
export BUILD
passed=0
failed=0
for seed in 503 504; do
  if sh t/soak-machines $seed; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
  fi
done
echo "session-soak-machines: $passed passed, $failed failed"
[ $failed -eq 0 ]
