#!/bin/sh
# Prepares what the scripts of the cases start; run it at the repository's
# root, after the build of the deploy file.  The stand-ins are Python sources
# of this repository and need only target/deps, so compiling them is all.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the deploy file's build first" >&2; exit 2; }
python3 -m compileall -q heatherdyke tests review || true
