#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
python3 -B case.py
code=$?
# An error of the script itself is no verdict.
if [ "$code" -gt 2 ]; then code=2; fi
if [ "$code" -eq 1 ] && ! tail -n 1 record.txt | grep -q '^# rule broken$'; then
  code=2
fi
exit "$code"
