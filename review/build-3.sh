#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start besides the node: one
# program for each case, with its stand-ins in it. Run it after the build of the
# deploy file. Usage: review/build-3.sh
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra"
pids=""
for source in review/standins-3/*.cc; do
  c++ $flags -c "$source" -o "$out/$(basename "$source" .cc).o" &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
for case in 11 12 13 14 15; do
  for source in review/$case/*.cc; do
    [ -e "$source" ] || continue
    c++ $flags "$source" "$out"/*.o -o "$out/case-$case" -lpthread
  done
done
