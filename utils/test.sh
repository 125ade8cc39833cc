#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test. The known failures of
# KNOWN-RED.txt are run apart and printed, and do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."

utils/install_dependencies.sh >/dev/null
cmake --preset release >/dev/null
cmake --build --preset release

known=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|' -)
exclude=()
if [ -n "$known" ]; then
  echo "known failures, run apart:"
  ctest --preset release -R "^($known)\$" || true
  exclude=(-E "^($known)\$")
fi
ctest --preset release -j "$(nproc)" "${exclude[@]}"
