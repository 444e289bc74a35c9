#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: Python without dependencies, so that they
# are only compiled to see that this Python takes them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in review/standins_3.py review/deployment_3.py review/1[1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
