"""Processes of a run, which the bench starts, signals and stops."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import anyio

START_CODE = (
    'from swiftjunction import commands; raise SystemExit(commands.{}())'
)
STOP_TIMEOUT_SECONDS = 3.0


class Program:
    """A daemon or stand-in that runs in a process of its own.

    Parameters
    ----------
    name : str
        Name in results, such as ``entry-3/rollout``.
    entry_point : str
        Function of ``swiftjunction.commands`` that the process runs.
    arguments : list of str
        Command line arguments.
    log : str
        Path of the file that receives standard output and standard error.

    Attributes
    ----------
    is_exit_expected : bool
        Whether the bench asked the process to exit.
    started_at : float
        Time of the last start on the monotonic clock, in seconds.
    """

    def __init__(
        self, name: str, entry_point: str, arguments: list[str], log: str
    ) -> None:
        self.name = name
        self.is_exit_expected = False
        self.started_at = 0.0
        self._command = [
            sys.executable,
            '-c',
            START_CODE.format(entry_point),
            *arguments,
        ]
        self._log = pathlib.Path(log)
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start or restart the process."""
        self.is_exit_expected = False
        self.started_at = time.monotonic()
        with self._log.open('ab') as log:
            # A session of its own keeps Ctrl-C from reaching the process.
            self._process = subprocess.Popen(
                self._command,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env=dict(os.environ, PYTHONUNBUFFERED='1'),
            )

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return None if self._process is None else self._process.poll()

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None, 'the program has not been started'
        return self._process.pid

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.is_exit_expected = True
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def wait(self, seconds: float) -> int | None:
        """Wait for the exit and return its code, or None after a timeout."""
        with anyio.move_on_after(seconds):
            while self.exit_code is None:
                await anyio.sleep(0.05)
        return self.exit_code

    def measure_usage(self) -> tuple[float, int]:
        """Return the resource usage of the process.

        Returns
        -------
        cpu_seconds : float
            User and system time since the start.
        resident_bytes : int
            Resident memory.
        """
        try:
            stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
            statm = pathlib.Path(f'/proc/{self.pid}/statm').read_text()
        except OSError:
            return 0.0, 0
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        seconds = ticks / os.sysconf('SC_CLK_TCK')
        return seconds, int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE')
