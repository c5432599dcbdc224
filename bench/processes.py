"""Starts, stops and disturbs the programs of a run."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import anyio

START = 'from swiftjunction import commands; raise SystemExit(commands.{}())'
STOP_SECONDS = 3.0


class Program:
    """One process, which this bench started and may end.

    Attributes
    ----------
    expected_end : bool
        Whether the bench itself ended it.
    started_at : float
        On the monotonic clock, in seconds.
    """

    def __init__(
        self, name: str, entry_point: str, arguments: list[str], log: str
    ) -> None:
        self.name = name
        self.expected_end = False
        self.started_at = 0.0
        self._command = [
            sys.executable,
            '-c',
            START.format(entry_point),
            *arguments,
        ]
        self._log = pathlib.Path(log)
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it, or start it again."""
        self.expected_end = False
        self.started_at = time.monotonic()
        with self._log.open('ab') as log:
            # In a session of its own, so that Ctrl-C reaches only the bench.
            self._process = subprocess.Popen(
                self._command,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env=dict(os.environ, PYTHONUNBUFFERED='1'),
            )

    @property
    def exit_code(self) -> int | None:
        """Return its exit code; None while it runs."""
        return None if self._process is None else self._process.poll()

    @property
    def pid(self) -> int:
        """Return its process id."""
        assert self._process is not None, 'it was started'
        return self._process.pid

    def send(self, number: signal.Signals) -> None:
        """Send a signal, where it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self.expected_end = True
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def wait(self, seconds: float) -> int | None:
        """Wait for its end and return its exit code, None if it runs on."""
        with anyio.move_on_after(seconds):
            while self.exit_code is None:
                await anyio.sleep(0.05)
        return self.exit_code

    def use(self) -> tuple[float, int]:
        """Return the processor seconds and resident bytes used so far."""
        try:
            stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
            pages = pathlib.Path(f'/proc/{self.pid}/statm').read_text()
        except OSError:
            return 0.0, 0
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        seconds = ticks / os.sysconf('SC_CLK_TCK')
        return seconds, int(pages.split()[1]) * os.sysconf('SC_PAGE_SIZE')
