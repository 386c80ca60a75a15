#!/usr/bin/env bash
# The stand-ins are Python modules of the standard library only; this checks
# that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import ast, pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("checked", path)
P
