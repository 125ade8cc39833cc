#!/usr/bin/env bash
# Checks that each layer includes only itself and the layers below it.
set -euo pipefail
cd "$(dirname "$0")/.."

status=0
check() {
  local layer=$1 forbidden=$2
  if grep -rnE "#include \"yuccamoor/($forbidden)/" \
    "include/yuccamoor/$layer" "lib/$layer"; then
    echo "layer $layer includes a layer above it" >&2
    status=1
  fi
}
check state 'coordination|protocol|transport|standins'
check coordination 'protocol|transport|standins'
check protocol 'transport|standins'
check transport 'standins'
if grep -rnE '#include <(boost/(asio|beast)|nlohmann|glog|CLI|thread|mutex)' \
  include/yuccamoor/{state,coordination} lib/{state,coordination}; then
  echo "state and coordination do no I/O, locking or encoding" >&2
  status=1
fi
if grep -rnE '(system_clock|steady_clock|random_device|rand\(\))' \
  include/yuccamoor/coordination lib/coordination; then
  echo "coordination reads no clock and no global random source" >&2
  status=1
fi
exit $status
