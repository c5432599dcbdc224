"""Runs the process of a VM that callers reach."""

import sys

from swiftjunction import errors
from swiftjunction.platform import _program

EXIT_USAGE = 2

if __name__ == '__main__':
    try:
        sys.exit(_program.run_edge())
    except errors.SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        sys.exit(EXIT_USAGE)
