"""Runs the demo: ``python -m swiftjunction.demo``."""

import logging
import sys

import anyio

from swiftjunction import demo


def main() -> int:
    """Run the demo and return its exit code."""
    logging.basicConfig(level=logging.ERROR)
    # A stand-in that crashes raises in the middle of its answers.
    logging.getLogger('hypercorn.error').setLevel(logging.CRITICAL)
    result = anyio.run(demo.run_demo, print)
    for line in result.format_table():
        print(line)
    print(result.format_json())
    return 0 if result.holds() else 1


if __name__ == '__main__':
    sys.exit(main())
