#!/usr/bin/env bash
# Installs what the build and the tests need, on Debian 12.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update
apt-get install -y --no-install-recommends g++ cmake ninja-build ccache pkg-config clang-format clang-tidy libboost-dev libjsoncpp-dev libjsonrpccpp-dev catch2 libcli11-dev libgoogle-glog-dev nlohmann-json3-dev libxxhash-dev libpcg-cpp-dev curl
