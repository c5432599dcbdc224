"""The requests that this VM sent, by window and organisation."""

import collections
import collections.abc

from swiftjunction import requests
from swiftjunction.usage import _messages
from swiftjunction.usage import _windows

# After the end of a window, how long the outcome of its requests is awaited
# before its counts are taken to be complete.
MAX_OUTCOME_SECONDS = 1.0
# Older windows are forgotten: nobody reports them any longer.
MAX_WINDOWS = 120

# The message number and the count of a count that was not received.
NOT_RECEIVED = (-1, -1)

# A window and an organisation.
Key = tuple[int, str]


class UsageCounter(requests.RunListener):
    """Counts requests, and knows which counts the coordinator has.

    Parameters
    ----------
    windows : Windows
        Tells the current window.
    """

    __slots__ = (
        '_counts',
        '_fixed_through',
        '_listeners',
        '_received',
        '_undecided',
        '_windows',
    )

    def __init__(self, windows: _windows.Windows) -> None:
        self._windows = windows
        self._counts: dict[Key, int] = {}
        # What the present coordinator is known to have received: the number
        # of the message, and the count.
        self._received: dict[Key, tuple[int, int]] = {}
        # By window, the requests whose outcome is not known.
        self._undecided: collections.Counter[int] = collections.Counter()
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._fixed_through = -1

    def listen(self, on_change: collections.abc.Callable[[], None]) -> None:
        """Call `on_change` after each change of a count."""
        self._listeners.append(on_change)

    def count(self, organisation: str) -> int:
        window = self._windows.current
        self._undecided[window] += 1
        self._add(window, organisation, 1)
        return window

    def take_back(self, organisation: str, window: int) -> None:
        self.settle(window)
        if window > self._fixed_through:
            self._add(window, organisation, -1)

    def settle(self, window: int) -> None:
        self._undecided[window] -= 1
        if self._undecided[window] <= 0:
            del self._undecided[window]

    def _add(self, window: int, organisation: str, amount: int) -> None:
        key = (window, organisation)
        self._counts[key] = self._counts.get(key, 0) + amount
        for on_change in self._listeners:
            on_change()

    def list_untold(self) -> list[_messages.CountEntry]:
        """Return the counts that the coordinator lacks, oldest first."""
        untold = [
            _messages.CountEntry(*key, count)
            for key, count in self._counts.items()
            if self._received.get(key, NOT_RECEIVED)[1] != count
        ]
        return sorted(untold, key=lambda entry: entry.window)

    def record_received(
        self,
        number: int,
        entries: collections.abc.Iterable[_messages.CountEntry],
    ) -> None:
        """Learn that the coordinator has received a numbered message."""
        for entry in entries:
            key = (entry.window, entry.organisation)
            # A count may also decrease, so only the order of the messages
            # shows which one is newer.
            if key in self._counts and (
                number > self._received.get(key, NOT_RECEIVED)[0]
            ):
                self._received[key] = (number, entry.count)

    def forget_received(self) -> None:
        """Learn that another coordinator has received nothing yet."""
        self._received.clear()

    def forget_fixed(self, fixed_through: int) -> None:
        """Forget the windows whose reports are fixed."""
        oldest = self._windows.current - MAX_WINDOWS
        self._fixed_through = max(fixed_through, self._fixed_through, oldest)
        for key in list(self._counts):
            if key[0] <= self._fixed_through:
                del self._counts[key]
                self._received.pop(key, None)

    def find_complete(self) -> int:
        """Return the last window that no count of this VM changes any more."""
        last = self._windows.current - 1
        undecided = [
            window
            for window in self._undecided
            if self._windows.compute_age(window) < MAX_OUTCOME_SECONDS
        ]
        return min([last, *(window - 1 for window in undecided)])

    def summarize(self) -> dict[str, object]:
        """Return the counts that are not fixed, for the state dump."""
        return {
            'counts': [
                [window, organisation, count]
                for (window, organisation), count in self._counts.items()
            ],
            'untold': len(self.list_untold()),
            'undecided': sum(self._undecided.values()),
            'fixed_through': self._fixed_through,
        }
