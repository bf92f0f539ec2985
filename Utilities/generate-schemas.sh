#!/bin/sh
# Generates the committed FlatBuffers headers again from Source/Wire/Schema.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top/Source/Wire/Schema"
flatc --cpp --gen-object-api --object-suffix T --cpp-std c++17 --scoped-enums \
  --filename-suffix Generated -o "$top/Source/Wire/Generated" \
  State.fbs Consensus.fbs Feed.fbs
