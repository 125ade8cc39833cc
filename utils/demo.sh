#!/usr/bin/env bash
# Installs, builds, and runs the main job on stand-ins: a chat request through
# each gateway, cold and warm, and a renewal that is sent twice and runs once.
# Leaves no process behind; prints where the logs are.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" != "--no-build" ]; then
  utils/install_dependencies.sh >/dev/null
  cmake --preset release >/dev/null
  cmake --build --preset release
fi
bin=$PWD/build/release/bin
run=$(mktemp -d)
pids=()

stop_all() {
  # In the reverse order, so that the daemons can hand over first.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" 2>/dev/null || true
  done
  echo "logs: $run"
}
trap stop_all EXIT

start() { # start NAME PROGRAM ARGUMENT...
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" --port-file "$run/$name.port" >"$run/$name.log" 2>&1 &
  pids+=($!)
}

wait_for() { # wait_for DESCRIPTION COMMAND...
  local what=$1
  shift
  for _ in $(seq 600); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "not reached: $what (logs: $run)" >&2
  return 1
}

stand_in() { # stand_in NAME KIND ARGUMENT... ; sets ADDRESS
  local name=$1 kind=$2
  shift 2
  start "$name" "yuccamoor-standin-$kind" "$@"
  wait_for "$name" test -s "$run/$name.port"
  ADDRESS=127.0.0.1:$(cat "$run/$name.port")
}

port_of() { sed -n "s/^$2=//p" "$run/$1.port"; } # port_of DAEMON LISTENER

daemon() { # daemon ROLE INDEX
  local name=$1-$2
  cat >"$run/$name.json" <<JSON
{
  "node": "$name", "vm": "vm-$2", "failure_domain": "domain-$2",
  "key_value_service": "$kv", "vm_list": "$vms", "unready_time_ms": 100,
  "trace_file": "$run/$name.traces.jsonl"
}
JSON
  start "$name" "yuccamoor-$1" --settings "$run/$name.json"
  wait_for "$name" test -s "$run/$name.port"
}

stand_in kv kv --writes-per-second 300 --reads-per-second 2000
kv=$ADDRESS
stand_in vms vms
vms=$ADDRESS
curl -fsS "http://$vms/vms" -d '{"vms":[
  {"id":"vm-0","failure_domain":"domain-0"},
  {"id":"vm-1","failure_domain":"domain-1"}]}' >/dev/null
stand_in store store --loads-per-second 2.5
store=$ADDRESS
stand_in booking service --endpoint booking-0
booking=$ADDRESS
stand_in engine-0 engine --worker w0 --slots 2 --store "$store"
engine_0=$ADDRESS
stand_in engine-1 engine --worker w1 --slots 2 --store "$store"
engine_1=$ADDRESS

cat >"$run/assistant.json" <<JSON
{
  "owner": "assistant",
  "cells": {
    "assistant": {
      "model": "base-1", "region": "marmara",
      "workers": {
        "w0": {"address": "$engine_0", "failure_domain": "domain-0"},
        "w1": {"address": "$engine_1", "failure_domain": "domain-1"}
      },
      "weight_store": {"loads_per_second": 2.5}
    }
  },
  "adapters": {
    "diary": {"cell": "assistant", "versions": ["v1", "v2"]},
    "support": {"cell": "assistant", "versions": ["v1"],
                "priority": "interactive"}
  },
  "aliases": {"diary": {"diary@v1": 90, "diary@v2": 10}}
}
JSON
cat >"$run/renewals.json" <<JSON
{
  "owner": "renewals",
  "services": {
    "renewals": {
      "endpoints": {
        "booking-0": {"address": "$booking", "failure_domain": "domain-0"}
      },
      "non_idempotent": [{"method": "POST", "path_prefix": "/charges"}]
    }
  }
}
JSON
"$bin/yuccamoor-publish" --kv "$kv" "$run/assistant.json" "$run/renewals.json"

for i in 0 1; do daemon scheduler "$i"; done
for i in 0 1; do daemon gateway "$i"; done
for i in 0 1; do
  wait_for "gateway-$i is ready" curl -fsS \
    "http://127.0.0.1:$(port_of "gateway-$i" operator)/readyz"
done

chat() { # chat GATEWAY MODEL TEXT
  curl -sS -w '\n(%{time_total} s)\n' \
    "http://127.0.0.1:$(port_of "gateway-$1" callers)/v1/chat/completions" \
    -d "{\"model\":\"$2\",\"max_tokens\":8,
         \"messages\":[{\"role\":\"user\",\"content\":\"$3\"}]}"
}
charge() { # charge GATEWAY
  curl -sS -i \
    "http://127.0.0.1:$(port_of "gateway-$1" callers)/services/renewals/charges" \
    -H 'Idempotency-Key: renewal-2026-12-4711' -d '{"amount": 990}' |
    grep -iE '^HTTP|yuccamoor|^[{]'
}

echo "--- chat, cold: the adapter is loaded first"
chat 0 support@v1 "my parcel is late"
echo "--- chat, warm, through the other gateway"
chat 1 support@v1 "my parcel is late"
echo "--- a renewal, sent twice, once through each gateway"
charge 0
charge 1
echo "--- what the service ran"
curl -sS "http://$booking/ledger"
echo
