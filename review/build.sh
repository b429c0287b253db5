#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
pids=()
for source in review/standin/*.cc; do
    object=target/review/$(basename "$source" .cc).o
    objects+=("$object")
    g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
g++ "${objects[@]}" -lboost_json -lboost_container -o target/review/standin
