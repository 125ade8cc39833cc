#!/usr/bin/env bash
# Checks the format of every source file and runs the linter over each one.
# Usage: [LINT_JOBS=N] utils/lint.sh BUILD_FOLDER [FILE ...]
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
# The definitions make Asio offer coroutines under the linter's compiler.
printf '%s\0' "${files[@]}" | xargs -0 -P "${LINT_JOBS:-$(nproc)}" -n 1 \
  clang-tidy --quiet -p "$build" \
  --extra-arg=-D__cpp_impl_coroutine=201902L \
  --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 \
  --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 \
  --extra-arg=-Wno-unknown-warning-option 2> >(grep -vE \
  'warnings? generated|Suppressed|Use -header-filter' >&2)
