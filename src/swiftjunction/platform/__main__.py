"""Entry point of the edge process."""

import signal
import sys


def ignore_reloads() -> None:
    """Ignore SIGHUP until the process installs its own handler.

    The default action would terminate the process while it imports its
    modules, which takes half a second. The settings file is read after the
    imports.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> int:
    """Run the edge process and return its exit code."""
    ignore_reloads()
    from swiftjunction.platform import _edge

    return _edge.run_edge()


if __name__ == '__main__':
    sys.exit(main())
