#!/bin/sh
# Runs the case; see claim.txt. Exit code 1: broken, 0: held, 2: did not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:target/review-2" PYTHONDONTWRITEBYTECODE=1 \
  exec python3 review/10/case.py
