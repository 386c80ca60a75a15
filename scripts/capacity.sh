#!/usr/bin/env bash
# Measures what the control traffic of a fleet costs each node: runs fleets of
# several sizes on this machine, one after the other, and writes
# docs/capacity/measurements.json and one plot for each figure.
# usage: scripts/capacity.sh [SECONDS [SIZE...]]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-20}
shift || true
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(10 50 100 200)

cmake --build build --target magnoliad magnoliactl standin-store
mkdir -p docs/capacity
python3 scripts/capacity_run.py --build build --seconds "$seconds" \
  --out docs/capacity/measurements.json "${sizes[@]}"
python3 scripts/capacity_plot.py docs/capacity/measurements.json docs/capacity
