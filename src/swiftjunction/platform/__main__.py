"""Starts the process of a VM that callers reach."""

import signal
import sys


def ignore_reloads() -> None:
    """Ignore SIGHUP until the process handles it.

    Its settings are read later anyway, and while modules are imported, which
    takes half a second, the signal would end it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> int:
    """Run the process and return its exit code."""
    ignore_reloads()
    from swiftjunction.platform import _edge

    return _edge.run_edge()


if __name__ == '__main__':
    sys.exit(main())
