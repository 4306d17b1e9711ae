#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2: those of the
# project's tests and those of review/lib-2. Run it after the build of the
# deploy file, which builds the programs under target/deps.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
cp review/lib-2/*.py "$out/"
python3 -m compileall -q "$out"
