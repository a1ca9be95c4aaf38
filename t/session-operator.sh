#!/bin/sh
# Compares the tool's output in the demo cluster, from the first configuration
# to a job that finishes after the owner of its shard was killed, with
# t/golden/operator.txt.  "GOLDEN=write sh t/session-operator.sh" writes that
# file again.
set -u
cd "$(dirname "$0")/.." || exit 1
. t/session-lib.sh
session_start session-operator 21350
cluster_start
output=$work/output
: >"$output"

# Replaces values that differ between runs (ages, owners, offsets, terms) with
# "*".
normalise () {
  sed -E -e 's/ {2,}/\t/g' -e 's/age [0-9]+ ms/age * ms/' \
    -e 's/answered by [^ ]+, which owns [0-9]/answered by *, which owns */' \
    -e 's/^(accepted: .* \(revision) [0-9]+/\1 */' \
    | awk -F '\t' -v OFS='  ' '
      BEGIN { split ("OWNER EPOCH OFFSET TERM HOLDER ATTEMPT BINDING " \
                "WORKER SHARD CHECKPOINT BOUND SLOTS BUSY_SLOTS HOST", list, " ")
              for (i in list) hide[list[i]] = 1 }
      function flush (i, j, line) { # sorts rows: their order is undefined
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
record () { # I WORD...: runs the tool with entry host I, appends to $output
  admin_url=$(admin "$1")
  shift
  { printf '$ kumquatrack %s\n' "$(echo "$*" | tr -d '\n')"
    tool --admin "$admin_url" "$@" 2>&1
    echo "status $?"; } | normalise >>"$output"
}
job_is () { # NAME STATE: waits until entry host 3 shows job NAME in STATE
  within 30 answers 3 "any (.[]; .name == \"$1\" and .state == \"$2\")" \
    show jobs
}

record 1 show configuration
record 1 configure base 0 "$configuration"
cluster_wait
record 3 show hosts
record 1 show services
record 3 show shards where zone = dakar-sandaga
owner=$(owner_of sandaga-a)
record "$(number_of "$owner")" show workers where shard = sandaga-a
record 1 configure base 0 "$configuration"
record 1 configure base 1 '{"shards": [{"name": "x"}]}'
record 1 show history
record 1 show hots
record 1 show jobs where importance '>' ten

record 1 submit job rows team weavers zone dakar-sandaga tasks 4 cpu 1 \
  memory 64mb run 6s
record 2 submit job rows team weavers tasks 4 cpu 1 memory 64mb run 6s
record 3 submit job huge team weavers tasks 1 cpu 500 memory 64mb run 6s
check 'all tasks of job rows run' within 10 any_holds \
  'map (select (.job == "rows" and .state == "running")) | length == 4' \
  show tasks
check 'job huge is parked' job_is huge parked
holder=$(all_rows show tasks | jq -r '.[0].shard')
owner=$(owner_of "$holder")
record "$(number_of "$owner")" show tasks where job = rows
record 3 why job huge
record 3 cancel job huge
record 3 cancel job none
check 'job huge is cancelled' job_is huge cancelled
signal "$owner" KILL
check 'job rows finishes after its entry host was killed' job_is rows done
check 'entry host 3 shows that the killed host is not live' within 15 answers 3 \
  "any (.[]; .name == \"$owner\" and .state != \"live\")" show hosts
record 3 show jobs
record 3 show shards where zone = dakar-sandaga
record 3 drain worker w7
w7_is_leaving () { answers "$1" 'any (.[]; .name == "w7")' show workers where state = leaving; }
owner=$(number_of "$(owner_of nord-a 3)")
check 'worker w7 is shown as leaving' within 10 w7_is_leaving "$owner"
record "$owner" show workers where state = leaving
record 3 undrain worker w7
record 3 trace 00

if [ "${GOLDEN:-}" = write ]; then cp "$output" t/golden/operator.txt; fi
check 'the output matches t/golden/operator.txt' \
  diff -u t/golden/operator.txt "$output"
[ "$failed" -eq 0 ] || diff -u t/golden/operator.txt "$output"
check 'no violation' violations 0
session_end
