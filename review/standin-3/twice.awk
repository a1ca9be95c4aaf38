# Judges the record by TWICE: two runs of a task at the same time on workers
# that are up, or a start after a run has ended "done" whose end is taken note
# of: when last_seen has reached it, or 100 ms after the worker has listed it
# with no disruption near (none in the 3 s before), in both cases unless the
# worker's lease lapsed before.  Prints the first breaks and sets the exit status
# to 1 if there is one.
{ if (NR == 1) zero = $1; t = $1 - zero }
/time of day|SIG/ { trouble = t }
$2 != "worker" { next }
{ life = $3 " " $4 }
$5 == "begin" || $5 == "crash" { trouble = t }
$5 == "crash" {
  for (k in open) { split (open[k], p, "|"); split (p[2], q, " ")
    if (q[1] == $3) delete open[k] }
  next
}
$5 == "start" {
  for (k in open) { split (k, p, SUBSEP)
    if (p[1] == $6) { broken++
      if (broken <= 8) printf "TWICE at %d ms: run %s of %s starts at %s while run %s is at %s\n", t, $7, $6, $3, p[2], open[k] } }
  starts[$6] = starts[$6] " " t ":" $7 ":" $3
  open[$6, $7] = t "|" life
}
$5 == "end" { delete open[$6, $7]; if ($8 == "done") done_at[$6, $7] = t }
$5 == "lapse" { lapsed[life] = t }
$5 == "listed" && $8 == "done" && $9 == "leased" && t > trouble + 3100 {
  if (!(($6, $7) in noted)) noted[$6, $7] = "listed at " t " by " life }
$5 == "noted" && $8 ~ /^done/ {
  if (!(life in lapsed) || lapsed[life] < done_at[$6, $7])
    noted[$6, $7] = "acknowledged " t " at " life }
END {
  for (k in noted) { split (k, p, SUBSEP)
    count = split (starts[p[1]], s, " ")
    for (i = 1; i <= count; i++) { split (s[i], q, ":")
      if (q[1] > done_at[k] + 100 && q[2] != p[2]) { broken++
        if (broken <= 8) printf "TWICE: %s: run %s ended done at %d ms (%s), and run %s starts at %d ms at %s\n", p[1], p[2], done_at[k], noted[k], q[2], q[1], q[3] } } }
  printf "%d breaks of TWICE\n", broken
  exit broken > 0
}
