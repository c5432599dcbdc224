"""Entry point of the edge process, run by path so that it imports little."""

# The module signal would import others first.
import _signal  # type: ignore[import-not-found]
import sys


def replace_default_actions() -> None:
    """Ignore SIGHUP and SIGUSR1 until the process installs its handlers.

    Their default action would terminate the process while it imports its
    modules, which takes half a second. The settings file is read after the
    imports. SIGINT terminates it without a traceback, as SIGTERM does.
    """
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    _signal.signal(_signal.SIGUSR1, _signal.SIG_IGN)
    _signal.signal(_signal.SIGINT, _signal.SIG_DFL)


def main() -> int:
    """Run the edge process and return its exit code."""
    replace_default_actions()
    from swiftjunction.platform import _edge

    return _edge.run_edge()


def end_process(code: int) -> None:
    """End the process with an exit code, without freeing its memory.

    Freeing it takes long on a busy VM, where the process could be killed
    meanwhile. Nothing else is left to do: connections are closed, and the
    process keeps no files.
    """
    import os

    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


if __name__ == '__main__':
    end_process(main())
