#!/bin/sh
# Installs the pinned libraries and the packages into target/deps.
set -eu
deps=target/deps
if [ ! -f "$deps/installed" ] || ! cmp -s deploy/requirements.txt "$deps/installed"; then
  rm -rf "$deps"
  python3 -m pip install -q --target "$deps" -r deploy/requirements.txt
  cp deploy/requirements.txt "$deps/installed"
fi
rm -rf "$deps/trefoilhaven" "$deps"/trefoilhaven_*
for source in packages/core packages/balancer packages/agent platform; do
  cp -r "$source"/src/trefoilhaven* "$deps/"
done
python3 -m compileall -q "$deps"
