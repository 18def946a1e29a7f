#!/usr/bin/env bash
# Checks the stand-ins that the scripts of cases 4 to 8 start. They are plain
# Python of the standard library and need no build beyond that of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness_2.py replica_2.py [4-8]/case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
