#!/bin/sh
# Builds the stand-ins and clients that the scripts of review/6 to review/10
# start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$case/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/lib-2 \
    "$case/case.cpp" -o "target/review-2/case-$(basename "$case")"
done
