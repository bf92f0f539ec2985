#!/bin/sh
# Runs clang-tidy on all units, or on the ones given. A unit that passed and
# whose preprocessed text, compile command, settings and linter are unchanged
# is not run again.
set -eu
cd "$(dirname "$0")/.."
build=build/normal
cache=${PARSLEYCOVE_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/parsleycove-lint}
mkdir -p "$cache"
root=$PWD
linter=$(clang-tidy --version)
[ $# -gt 0 ] || set -- $(git ls-files -co --exclude-standard 'Source/*.cxx' 'platform/*.cxx' 'Tests/*.cxx')
export build cache root linter
printf '%s\n' "$@" | xargs -P "${PARSLEYCOVE_JOBS:-$(nproc)}" -I{} sh -c '
  unit=$1
  command=$(grep "\"command\": .* -c [^ ]*/$unit\"" "$build/compile_commands.json" |
    sed "s|$root||g") || true
  [ -n "$command" ] || {
    echo "lint: $unit is in no target" >&2; exit 1; }
  key=$( { cat .clang-tidy Utilities/lint.sh
    printf "%s\n" "$linter" "$command"
    g++ -std=c++20 -E -P -ISource -ISource/Wire/Generated -ITests -Iplatform \
      -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION \
      "$unit" 2>/dev/null || cat "$unit"
    cat "$unit" $(dirname "$unit")/*.h 2>/dev/null
  } | sha256sum | cut -d" " -f1)
  [ -e "$cache/$key" ] && exit 0
  if ! out=$(clang-tidy --quiet -p "$build" \
      --extra-arg=-D__cpp_impl_coroutine=201902L \
      --extra-arg=-Wno-unknown-warning-option "$unit" 2>/dev/null); then
    printf "%s\n" "$out"; exit 1
  fi
  : > "$cache/$key"
' lint {}
echo "lint: clean"
