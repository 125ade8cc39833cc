#!/usr/bin/env bash
# Runs callers against gateways, schedulers and stand-ins of its own, and prints
# what they saw. Arguments go to yuccamoor-load; sizes come from the environment.
# FAULT is a command to run after four seconds, for example
#   FAULT='kill -KILL ${pids[8]}; kill -KILL ${pids[10]}'  # scheduler-0, gateway-0
#   FAULT='fault engine-0 "{\"restart\":true}"'
# with the default number of engines. Build first: cmake --build --preset release
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/build/release/bin
engines=${ENGINES:-4}
slots=${SLOTS:-4}
targets=${TARGETS:-40}
loads_per_second=${LOADS_PER_SECOND:-2.5}
run=$(mktemp -d)
pids=()

stop_all() {
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  echo "logs: $run"
}
trap stop_all EXIT

start() { # start NAME PROGRAM ARGUMENT...
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" --port-file "$run/$name.port" >"$run/$name.log" 2>&1 &
  pids+=($!)
  for _ in $(seq 600); do
    if [ -s "$run/$name.port" ]; then return 0; fi
    sleep 0.05
  done
  echo "$name did not start (logs: $run)" >&2
  return 1
}

address() { echo "127.0.0.1:$(cat "$run/$1.port")"; }       # address STAND_IN
listener() { # listener DAEMON NAME
  echo "127.0.0.1:$(sed -n "s/^$2=//p" "$run/$1.port")"
}
fault() { curl -sS "$(address "$1")/faults" -d "$2" >/dev/null; }

start kv yuccamoor-standin-kv --writes-per-second 300 --reads-per-second 2000
start vms yuccamoor-standin-vms
start store yuccamoor-standin-store --loads-per-second "$loads_per_second"
start booking yuccamoor-standin-service --endpoint booking-0
workers="" engine_list=""
for i in $(seq 0 $((engines - 1))); do
  start "engine-$i" yuccamoor-standin-engine --worker "w$i" --slots "$slots" \
    --store "$(address store)" --report-lag-ms 100
  engine_list+=",$(address "engine-$i")"
  workers+=",\"w$i\": {\"address\": \"$(address "engine-$i")\",
    \"failure_domain\": \"domain-0\"}"
done
adapters=""
for i in $(seq 0 $((targets - 1))); do
  adapters+=",\"adapter-$i\": {\"cell\": \"cell\", \"versions\": [\"1\"],
    \"priority\": \"interactive\"}"
done

cat >"$run/chat.json" <<JSON
{"owner": "chat",
 "cells": {"cell": {"model": "base", "region": "region",
   "workers": {${workers#,}},
   "weight_store": {"loads_per_second": $loads_per_second}}},
 "adapters": {${adapters#,}}}
JSON
cat >"$run/renewals.json" <<JSON
{"owner": "renewals",
 "services": {"renewals": {
   "endpoints": {"booking-0": {"address": "$(address booking)",
                               "failure_domain": "domain-0"}},
   "non_idempotent": [{"method": "POST", "path_prefix": "/charges"}]}}}
JSON
"$bin/yuccamoor-publish" --kv "$(address kv)" \
  "$run/chat.json" "$run/renewals.json"

for role in scheduler gateway; do
  for i in 0 1; do
    cat >"$run/$role-$i.json" <<JSON
{"node": "$role-$i", "vm": "vm-$i", "failure_domain": "domain-$i",
 "region": "region", "key_value_service": "$(address kv)",
 "vm_list": "$(address vms)"}
JSON
    start "$role-$i" "yuccamoor-$role" --settings "$run/$role-$i.json"
  done
done
for i in 0 1; do
  ready="http://$(listener "gateway-$i" operator)/readyz"
  for _ in $(seq 600); do
    if curl -fsS "$ready" >/dev/null 2>&1; then break; fi
    sleep 0.05
  done
done

if [ -n "${FAULT:-}" ]; then (sleep 4 && eval "$FAULT") & fi
status=0
"$bin/yuccamoor-load" \
  --gateway "$(listener gateway-0 callers),$(listener gateway-1 callers)" \
  --targets "$targets" --charge-path /services/renewals/charges \
  --engine "${engine_list#,}" --endpoint "$(address booking)" \
  --operator "$(listener gateway-0 operator),$(listener scheduler-0 operator)" \
  "$@" || status=$?
echo "weight store: $(curl -sS "http://$(address store)/counters")"
echo "key-value service: $(curl -sS "http://$(address kv)/counters")"
exit "$status"
