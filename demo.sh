#!/usr/bin/env bash
# Installs what is needed, builds, runs a small deployment with real calls and
# shows what magnoliatray promises. Exits 0 only where all bounds were held.
set -euo pipefail
cd "$(dirname "$0")"
scripts/install.sh
cmake --preset release -Wno-dev >/dev/null
cmake --build build --target bench_loopback
echo "Running the deployment of Kyushu on 127.0.0.0/8; takes under two minutes."
exec build/bench/loopback --demo --deployment kyushu --seed "${1:-1}"
