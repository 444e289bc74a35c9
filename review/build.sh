#!/usr/bin/env bash
# The stand-ins are Python files without dependencies; building them compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins.py
for case in [1-9]; do
  for file in "$case"/*.py; do
    [ -e "$file" ] || continue
    python3 -m py_compile "$file"
  done
done
