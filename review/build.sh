#!/bin/sh
# The stand-ins are Python files without dependencies; compiling them shows
# that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib/standins.py
for case in */case.py; do
  python3 -m py_compile "$case"
done
