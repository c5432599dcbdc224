#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, beside the build of
# the deploy file. The stand-ins are Python without dependencies: this only
# checks that they compile.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins-2/*.py review/*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
