#!/bin/sh
# Formats the sources; with --check only says what differs.
set -eu
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run --Werror"
git ls-files -co --exclude-standard 'Source/*.h' 'Source/*.cxx' 'Tests/*.h' 'Tests/*.cxx' 'platform/*.h' 'platform/*.cxx' |
  grep -v /Generated/ | xargs -P 8 -n 20 clang-format $mode
