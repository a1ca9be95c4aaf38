#!/bin/sh
# Runs the soak of entry hosts with one seed and three faults: an entry host is
# killed while workers crash, and responses are lost while workers are silent.
# Lasting tasks of crashed workers whose addresses others have must run again
# within 9 s, and no task may run twice.
cd "$(dirname "$0")/.." || exit 1
: "${BUILD:=build}"
export BUILD
if FAULTS=3 sh t/soak-site 331; then
  echo 'session-soak-site: 1 passed, 0 failed'
else
  echo 'session-soak-site: 0 passed, 1 failed'
  exit 1
fi
