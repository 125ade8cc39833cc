#!/usr/bin/env bash
# Installs what the build and the tests need, on Debian 12: the packages of
# deploy/system.toml and those that only tests, checks and faster builds need.
set -euo pipefail
cd "$(dirname "$0")/.."
export DEBIAN_FRONTEND=noninteractive

mapfile -t build_packages < <(utils/deploy_packages.sh)
apt-get update
apt-get install -y --no-install-recommends "${build_packages[@]}" \
  ninja-build ccache clang-format clang-tidy catch2 curl
