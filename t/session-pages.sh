#!/bin/sh
# Runs each line of the blocks marked "sh" in the pages for users against a
# small cluster.  A line ends with status 0, or with the N of "# status N".
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-pages 21500
cluster_start
cluster_configure
ADMIN=$(admin 1)
FRONT=$(front 1)
PATH=$(cd "$BUILD" && pwd):$PATH
export ADMIN FRONT PATH
mkdir "$work/folder"

ends_with () { # STATUS LINE
  (cd "$work/folder" && sh -c "$2" >"$work/said" 2>&1 </dev/null)
  [ $? -eq "$1" ] || { cat "$work/said" >&3; false; }
}

exec 3>&1
check 'the front serves' within 10 \
  get -f -H 'Kumquatrack-Service: prices' "$FRONT/"
for page in README.md docs/OPERATING.md; do
  sed -n '/^```sh$/,/^```$/{/^```/!p;}' "$page" >"$work/lines"
  check "$page has commands" test -s "$work/lines"
  while IFS= read -r line; do
    wanted=$(printf '%s' "$line" | sed -n 's/.*# status \([0-9]*\)$/\1/p')
    check "$page: $line" ends_with "${wanted:-0}" "$line"
  done <"$work/lines"
done
check 'no violation' violations 0
session_end
