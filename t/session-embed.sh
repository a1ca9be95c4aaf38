#!/bin/sh
# Installs into an empty directory, builds examples/embed.c against the
# installed files and compares its output with t/golden/embed.txt.
set -u
cd "$(dirname "$0")/.."
: "${BUILD:=build}"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
script/install "$BUILD" "$work/usr"
flags=$(PKG_CONFIG_PATH="$work/usr/lib/pkgconfig" \
  pkg-config --cflags --libs kumquatrack)
# The flags must be split into words.
# shellcheck disable=SC2086
gcc -std=gnu11 -o "$work/embed" examples/embed.c $flags
"$work/embed" >"$work/out"
status=$?
if [ "$status" -eq 0 ] && diff t/golden/embed.txt "$work/out"; then
  echo 'session-embed: 1 passed, 0 failed'
else
  echo "status $status"
  echo 'session-embed: 0 passed, 1 failed'
  exit 1
fi
