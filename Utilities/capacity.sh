#!/bin/sh
# Measures the slopes of docs/CAPACITY.md again: one JSON line per figure on
# standard output and in build/capacity.jsonl. Small programs on this machine
# only; uses at most half of its memory.
set -eu
cd "$(dirname "$0")/.."
sh Utilities/install.sh
cmake --preset normal >/dev/null
cmake --build --preset normal --target StoreBench StateBench ControlBench \
  DecisionBench >&2
out=build/capacity.jsonl
: >"$out"
for bench in Store State Control Decision; do
  echo "capacity: ${bench}Bench" >&2
  "build/normal/Tests/Bench/$bench/${bench}Bench" | tee -a "$out"
done
cmake --build --preset normal --target parsleycoved parsleycovectl \
  parsleycove-engine >&2
sh Utilities/measure-relay.sh | tee -a "$out"
