#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python of the standard library, which is
# only compiled here to show that it is complete.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("built", path)
CHECK
