#!/usr/bin/env bash
# Plants broken promises between yuccamoor-load and stand-ins, and checks that
# its exit status tells of them.
# Usage: load_breaches_test.sh FOLDER_OF_PROGRAMS
set -euo pipefail

bin=$1
run=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -r "$run"
}
trap stop_all EXIT

stand_in() { # stand_in KIND ARGUMENT... ; sets ADDRESS
  local kind=$1
  shift
  "$bin/yuccamoor-standin-$kind" --port-file "$run/$kind" "$@" 2>/dev/null &
  pids+=($!)
  for _ in $(seq 600); do
    [ -s "$run/$kind" ] && break
    sleep 0.05
  done
  ADDRESS=127.0.0.1:$(cat "$run/$kind")
}

expect() { # expect STATUS DESCRIPTION ARGUMENT...
  local wanted=$1 what=$2 status=0
  shift 2
  "$bin/yuccamoor-load" "$@" >"$run/out" || status=$?
  if [ "$status" -ne "$wanted" ]; then
    echo "$what: exit status $status, expected $wanted" >&2
    cat "$run/out" >&2
    exit 1
  fi
}

stand_in service
service=$ADDRESS
stand_in engine --token-ms 1000
engine=$ADDRESS

# The service in a gateway's place runs every sending of a charge.
charges=(--gateway "$service" --charge-share 1 --charge-path /charges
  --rate 0 --power-cut 5 --endpoint "$service")
expect 0 "charges that run once" "${charges[@]}"
curl -sS "http://$service/faults" -d '{"lose_answer":1}' >/dev/null
expect 1 "a charge that runs twice" "${charges[@]}"

evictions=(--gateway "$service" --rate 0 --engine "$engine")
order() { # order KIND
  curl -sS "http://$engine/orders" -d '{"cell":"c","epoch":1,"number":1,
    "worker":"worker-0","target":"a@1","kind":"'"$1"'"}' >/dev/null
}
order load
order evict
expect 0 "an eviction of an idle adapter" "${evictions[@]}"
order load
curl -sS -m 0.2 "http://$engine/v1/generate" -d '{"request_id":"r",
  "target":"a@1","prompt":"p","max_tokens":100}' >/dev/null 2>&1 || true
order evict
expect 1 "an eviction in use" "${evictions[@]}"
