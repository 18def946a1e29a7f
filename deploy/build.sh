#!/usr/bin/env bash
# Puts the libraries and packages that the processes need under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/.libraries -nt deploy/requirements.txt ]; then
  python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
  touch target/.libraries
fi
for package in packages/daisypick_core packages/daisypick_http \
  packages/daisypick_router platform; do
  cp -r "$package"/src/* target/deps/
done
bash deploy/build_launcher.sh python3 target/bin/daisypick-router
