#!/bin/sh
# The stand-ins of all scripts are Python programs in this folder; nothing has to be compiled.
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 - <<'P'
import ast, pathlib
for path in pathlib.Path(".").rglob("*.py"):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
P
