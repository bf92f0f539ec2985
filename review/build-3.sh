#!/bin/sh
# Builds the stand-ins and clients that the scripts of review/11 to review/15
# start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]; do
  [ -f "$case/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/lib-3 \
    "$case/case.cpp" -o "target/review-3/case-$(basename "$case")"
done
