#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run.  TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:."
python3 -S -c "import httptools, msgspec, xxhash, heatherdyke" || exit 2
exec python3 -S review/5/case.py
