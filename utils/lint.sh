#!/usr/bin/env bash
# Checks the format of every source file and runs the linter over each one. A
# file that has passed is checked again once it, a file that it includes, the
# rules or the linter have changed; LINT_CACHE=none checks all.
# Usage: [LINT_JOBS=N] [LINT_CACHE=FOLDER] utils/lint.sh BUILD_FOLDER [FILE ...]
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
shift
mapfile -t sources < <(git ls-files '*.cc' '*.h')
clang-format --dry-run --Werror "${sources[@]}"

files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  # The JSON-RPC library's headers are no valid C++ for the linter.
  mapfile -t files < <(git ls-files '*.cc' | grep -v '^lib/jsonrpc/')
fi

export build
export cache=${LINT_CACHE:-$HOME/.cache/yuccamoor-lint}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export deps=$scratch/deps
# One line for each object that the build has compiled: all files read for it.
ninja -C "$build" -t deps 2>/dev/null | awk '
  /^[^ ].*: #deps/ { if (line) print line; line = "" }
  /^ / { line = line " " $1 }
  END { if (line) print line }' >"$deps"
# What all results depend on besides the files.
common=$({
  clang-tidy --version
  git ls-files -z '*CMakeLists.txt' '*.cmake' CMakePresets.json .clang-tidy \
    utils/lint.sh | xargs -0 cat
} | sha256sum)
export common

# Prints what the file's result depends on as one hash, or nothing if the build
# does not say what the file includes.
input_hash() {
  local list
  list=$(grep -F "/$1 " "$deps" | head -n 1 || true)
  [ -n "$list" ] || return 0
  # The paths are relative to the build folder.
  (echo "$common" "$1" && cd "$build" && sha256sum $list) | sha256sum |
    cut -d ' ' -f 1
}

lint() {
  local hash=""
  [ "$cache" = none ] || hash=$(input_hash "$1")
  if [ -n "$hash" ] && [ -e "$cache/$hash" ]; then return 0; fi
  # The definitions make Asio offer coroutines under the linter's compiler.
  clang-tidy --quiet -p "$build" \
    --extra-arg=-D__cpp_impl_coroutine=201902L \
    --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 \
    --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 \
    --extra-arg=-Wno-unknown-warning-option "$1" || return 1
  if [ -n "$hash" ]; then
    mkdir -p "$cache"
    touch "$cache/$hash"
  fi
}
export -f input_hash lint

printf '%s\0' "${files[@]}" | xargs -0 -P "${LINT_JOBS:-$(nproc)}" -I '{}' \
  bash -c 'lint "$1"' lint '{}' 2> >(grep -vE \
  'warnings? generated|Suppressed|Use -header-filter' >&2)
