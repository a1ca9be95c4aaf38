#!/bin/sh
# The operator's view of the demo, from the first configuration to a job that
# finishes after its owner was killed, compared with t/golden/operator.txt.
# "GOLDEN=write sh t/session-operator.sh" writes that file anew.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-operator 21350
cluster_start
view=$work/view
: >"$view"

# Puts * for what differs between runs: ages, owners, offsets, terms.
normalise () {
  sed -E -e 's/ {2,}/\t/g' -e 's/age [0-9]+ ms/age * ms/' \
    -e 's/answered by [^ ]+, which owns [0-9]/answered by *, which owns */' \
    -e 's/^(accepted: .* \(revision) [0-9]+/\1 */' \
    | awk -F '\t' -v OFS='  ' '
      BEGIN { split ("OWNER EPOCH OFFSET TERM HOLDER ATTEMPT BINDING " \
                "WORKER SHARD CHECKPOINT BOUND SLOTS BUSY_SLOTS HOST", list, " ")
              for (i in list) hide[list[i]] = 1 }
      function flush (i, j, line) { # rows come in any order
        for (i = 2; i <= rows; i++) {
          line = row[i]
          for (j = i - 1; j > 0 && row[j] > line; j--) row[j + 1] = row[j]
          row[j + 1] = line
        }
        for (i = 1; i <= rows; i++) print row[i]
        rows = 0
      }
      /^\$/ { split ("", column) }
      /^(NAME|KIND)/ { for (i = 1; i <= NF; i++) column[i] = $i
                       $1 = $1; print; next }
      column[1] && NF > 1 { for (i = 1; i <= NF; i++)
                              if (hide[column[i]]) $i = "*"
                            row[++rows] = $0; next }
      !column[1] && $1 == "" && hide[toupper ($2)] { $3 = "*" }
      { flush (); $1 = $1; print }'
}
run () { # I WORD...: asks entry host I
  asked=$(admin "$1")
  shift
  { printf '$ kumquatrack %s\n' "$(echo "$*" | tr -d '\n')"
    tool --admin "$asked" "$@" 2>&1
    echo "status $?"; } | normalise >>"$view"
}
state () { # NAME STATE: a job is in that state, as entry host 3 sees it
  within 30 answers 3 "any (.[]; .name == \"$1\" and .state == \"$2\")" \
    show jobs
}

run 1 show configuration
run 1 configure base 0 "$configuration"
cluster_wait
run 3 show hosts
run 1 show services
run 3 show shards where zone = dakar-sandaga
owner=$(owner_of sandaga-a)
run "$(number_of "$owner")" show workers where shard = sandaga-a
run 1 configure base 0 "$configuration"
run 1 configure base 1 '{"shards": [{"name": "x"}]}'
run 1 show history
run 1 show hots
run 1 show jobs where importance '>' ten

run 1 submit job rows team weavers zone dakar-sandaga tasks 4 cpu 1 \
  memory 64mb run 6s
run 2 submit job rows team weavers tasks 4 cpu 1 memory 64mb run 6s
run 3 submit job huge team weavers tasks 1 cpu 500 memory 64mb run 6s
check 'tasks run' within 10 any_holds \
  'map (select (.job == "rows" and .state == "running")) | length == 4' \
  show tasks
check 'the other job is parked' state huge parked
holder=$(all_rows show tasks | jq -r '.[0].shard')
owner=$(owner_of "$holder")
run "$(number_of "$owner")" show tasks where job = rows
run 3 why job huge
run 3 cancel job huge
run 3 cancel job none
check 'it is cancelled' state huge cancelled
signal "$owner" KILL
check 'the job finishes without that entry host' state rows done
check 'the entry host is known to be gone' within 15 answers 3 \
  "any (.[]; .name == \"$owner\" and .state != \"live\")" show hosts
run 3 show jobs
run 3 show shards where zone = dakar-sandaga
run 3 drain worker w7
leaves () { answers "$1" 'any (.[]; .name == "w7")' show workers where state = leaving; }
owner=$(number_of "$(owner_of nord-a 3)")
check 'the worker leaves' within 10 leaves "$owner"
run "$owner" show workers where state = leaving
run 3 undrain worker w7
run 3 trace 00

if [ "${GOLDEN:-}" = write ]; then cp "$view" t/golden/operator.txt; fi
check 'the view is the golden one' diff -u t/golden/operator.txt "$view"
[ "$failed" -eq 0 ] || diff -u t/golden/operator.txt "$view"
check 'no violation' violations 0
session_end
