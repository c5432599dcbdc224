#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't be run.
cd "$(dirname "$0")"
export PYTHONPATH=../standins PYTHONDONTWRITEBYTECODE=1
exec python3 -S case.py
