#!/bin/sh
# Builds what the scripts of review/6 to review/10 start.  All of it is Python
# and needs only the libraries of the deploy file's build; compiling it shows
# that this interpreter can read it.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q heatherdyke review/fleet_2.py review/6 review/7 \
    review/8 review/9 review/10
