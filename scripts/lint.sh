#!/usr/bin/env bash
# Checks the format of every source file and runs clang-tidy. With file names
# as arguments it checks only these. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.h' |
    grep -v '/generated/')
fi
clang-format --dry-run -Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
  xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null ||
  { echo "clang-tidy: findings above"; exit 1; }
echo "format and lint: clean"
