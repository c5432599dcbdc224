#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it does the same without the disruption (see claim.txt).
cd "$(dirname "$0")" || exit 2
exec env TROUBLE="${TROUBLE:-1}" PYTHONPATH="$PWD/../standins-2" \
    PYTHONDONTWRITEBYTECODE=1 python3 case.py
