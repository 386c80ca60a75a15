#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2. Needs g++ and
# nlohmann-json, which the build of the deploy file needs as well.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=review/standin-2
target=target/review-2
mkdir -p "$target"
common=(http store record upstream template deployment)
objects=()
for name in "${common[@]}"; do
  g++ -std=c++20 -O1 -c "$sources/$name.cpp" -o "$target/$name.o" &
  objects+=("$target/$name.o")
done
wait
for name in pipelined_stop lost_watch many_routes; do
  g++ -std=c++20 -O1 "$sources/$name.cpp" "${objects[@]}" -pthread \
    -o "$target/$name" &
done
wait
for name in pipelined_stop lost_watch many_routes; do
  test -x "$target/$name"
done
echo "review-2: built"
