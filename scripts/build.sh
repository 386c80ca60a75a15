#!/usr/bin/env bash
# Configures and builds a preset (default: release).
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
cmake --preset "$preset" -Wno-dev
case $preset in release) dir=build ;; *) dir=build-$preset ;; esac
cmake --build "$dir"
