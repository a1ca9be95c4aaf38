#!/bin/sh
# Runs each line of the code blocks marked "sh" in the user documentation
# against a small cluster.  A line must exit with status 0, or with the N of
# its comment "# status N".
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

exits_with () { # STATUS LINE
  (cd "$work/folder" && sh -c "$2" >"$work/output" 2>&1 </dev/null)
  [ $? -eq "$1" ] || { cat "$work/output" >&3; false; }
}

exec 3>&1
check 'entry host 1 serves requests' within 10 \
  fetch -f -H 'Kumquatrack-Service: prices' "$FRONT/"
for page in README.md docs/OPERATING.md; do
  sed -n '/^```sh$/,/^```$/{/^```/!p;}' "$page" >"$work/lines"
  check "$page has commands" test -s "$work/lines"
  while IFS= read -r line; do
    wanted=$(printf '%s' "$line" | sed -n 's/.*# status \([0-9]*\)$/\1/p')
    check "$page: $line" exits_with "${wanted:-0}" "$line"
  done <"$work/lines"
done
check 'no violation' violations 0
session_end
