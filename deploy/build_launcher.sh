#!/usr/bin/env bash
# Builds the router's program: build_launcher.sh PYTHON OUTPUT.
# It runs the router in the environment of that Python.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -ne 2 ]; then
  echo "usage: build_launcher.sh PYTHON OUTPUT" >&2
  exit 2
fi
output=$2

mapfile -t lines < <("$1" -c '
import os
import sys
import sysconfig

get = sysconfig.get_config_var
path = os.path.join(get("LIBDIR") or "", get("INSTSONAME") or "")
is_usable = get("Py_ENABLE_SHARED") and os.path.exists(path)
print(sys.executable)
print(path if is_usable else "")
')
python=${lines[0]}
library=${lines[1]}
mkdir -p "$(dirname "$output")"
rm -f "$output"
if [ -z "$library" ] || ! "${CC:-cc}" -O2 -Wall -Wextra \
  "-DPYTHON_PROGRAM=\"$python\"" "-DPYTHON_LIBRARY=\"$library\"" \
  -o "$output" deploy/launcher/router.c -ldl; then
  echo "build_launcher: needs a C compiler and the shared library of $python;" \
    "without them SIGHUP ends a router whose interpreter still starts" >&2
  {
    echo "#!$python"
    echo "import runpy"
    echo 'runpy.run_module("daisypick_router", run_name="__main__")'
  } > "$output"
  chmod +x "$output"
fi
