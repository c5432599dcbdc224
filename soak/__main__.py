"""Runs the soak test: ``python -m soak --seed 1 --seconds 30``."""

import sys

from soak import runs

if __name__ == '__main__':
    sys.exit(runs.run_command())
