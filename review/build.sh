#!/bin/sh
# Builds the stand-ins of the cases into target/review. Needs only g++.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O2 -Wall -Wextra -pthread -Ireview/stand-ins"
# shellcheck disable=SC2086
g++ $flags -c review/stand-ins/StandIns.cxx -o target/review/StandIns.o
for source in review/[1-5]/Case.cxx; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  g++ $flags "$source" target/review/StandIns.o -o "target/review/case-$number"
done
