"""Entry point of ``python -m swiftjunction.demo``."""

import logging
import sys

import anyio

from swiftjunction import demo


def main() -> int:
    """Run the demo; return 0 if all guarantees held, else 1."""
    logging.basicConfig(level=logging.ERROR)
    # A stand-in that simulates a crash raises while it responds, which
    # hypercorn logs as an error.
    logging.getLogger('hypercorn.error').setLevel(logging.CRITICAL)
    result = anyio.run(demo.run_demo, print)
    for line in result.format_table():
        print(line)
    print(result.format_json())
    return 0 if result.passed() else 1


if __name__ == '__main__':
    sys.exit(main())
