#!/bin/sh
# Builds the programs of the cases into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in http store node workers; do
  g++ -std=c++20 -O2 -Wall -Wextra -c "review/common/$source.cc" \
    -o "target/review/$source.o" &
done
wait
for main in review/[1-5]/case.cc; do
  [ -e "$main" ] || continue
  number=$(basename "$(dirname "$main")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$main" target/review/*.o \
    -o "target/review/case$number"
done
