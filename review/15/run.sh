#!/bin/sh
# A version of the configuration adds a route with a long name: see claim.txt.
# TROUBLE=0: there is no such version.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../standin-3/lib.sh"
routes=$(route jobs /jobs/)
site_begin 4
body='{"spec":"400","steps":[{"count":2,"cpu":600,"mem_mb":100,"est_ms":400}]}'
long=conciliacion-de-volumenes-entre-puestos-y-plantas-de-florida-y-durazno
wrong=0
submit "$(id_of 1)" "$body" || cannot_run "the first job was not accepted"
if [ "$TROUBLE" = 1 ]; then
  site_configure 4 "$routes,$(route $long /conciliacion/)"
  sleep 5 # config_ms is 2.5 s
  for host in $HOSTS; do
    answer=$("$rv" call POST "$(front "$host")" site.example \
      "/conciliacion/$(id_of 2)" 3000 "$body")
    say "client POST $(id_of 2) to /conciliacion/ at edge-$host: $answer"
    echo "edge-$host: $answer"
    case $answer in 404*) wrong=$((wrong + 1)) ;; esac
  done
fi
submit "$(id_of 3)" "$body" || wrong=$((wrong + 1))
say "$wrong answers only an older version allows"
[ "$wrong" = 0 ]
