#!/usr/bin/env bash
# Installs what is needed, builds and runs every test through CTest.
set -euo pipefail
cd "$(dirname "$0")"
scripts/install.sh
scripts/build.sh release
ctest --test-dir build --output-on-failure -j 4
