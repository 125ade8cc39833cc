#!/usr/bin/env bash
# Prints the packages of deploy/system.toml, one a line. A list that is missing
# or stands on several lines is an error.
set -euo pipefail
cd "$(dirname "$0")/.."
sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml |
  tr -d '" ' | tr ',' '\n' | grep .
