#!/usr/bin/env bash
# Checks that the packages of deploy/system.toml suffice to compile
# yuccamoor-node: each system header that its objects include must belong to one
# of these packages or to one that they depend on.
# Argument: a build folder in which yuccamoor-node has been built by Ninja.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: check_deploy_packages.sh BUILD_FOLDER}

mapfile -t listed < <(utils/deploy_packages.sh)
allowed=$(apt-cache depends --recurse --no-recommends --no-suggests \
  --no-conflicts --no-breaks --no-replaces --no-enhances "${listed[@]}" |
  sed -n 's/^[ |]*\(Depends\|PreDepends\): //p; /^[a-z0-9]/p' |
  tr -d '<>' | sed 's/:.*//' | sort -u)

mapfile -t objects < <(ninja -C "$build" -t inputs yuccamoor-node |
  grep '\.o$')
[ "${#objects[@]}" -gt 0 ] || { echo "no objects of yuccamoor-node" >&2; exit 1; }
mapfile -t headers < <(ninja -C "$build" -t deps "${objects[@]}" |
  sed -n 's|^ *\(/usr/.*\)$|\1|p' | xargs -r realpath -s | sort -u)
[ "${#headers[@]}" -gt 0 ] || { echo "no system headers found" >&2; exit 1; }

missing=$(dpkg-query -S "${headers[@]}" | sed 's/[:,].*//' | sort -u |
  comm -23 - <(echo "$allowed"))
if [ -n "$missing" ]; then
  echo "deploy/system.toml lacks packages whose headers yuccamoor-node includes:" >&2
  echo "$missing" >&2
  exit 1
fi
echo "deploy/system.toml lists the packages of all ${#headers[@]} system headers"
