#!/bin/sh
# Builds the stand-ins and clients that the scripts of review/6 to review/10
# start, and for review/7 an earlier landing, from the repository's history.
# Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[6-9] review/10; do
  [ -f "$case/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/lib-2 \
    "$case/case.cpp" -o "target/review-2/case-$(basename "$case")"
done
earlier=9e2cecd
folder=target/review-2/earlier
if ! git cat-file -e "$earlier^{commit}" 2>/dev/null; then
  echo "build-2.sh: commit $earlier is not here; review/7 cannot run" >&2
elif [ ! -e "$folder/built" ]; then
  mkdir -p "$folder"
  git archive "$earlier" | tar x -C "$folder"
  (cd "$folder" &&
    sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)")
  touch "$folder/built"
fi
