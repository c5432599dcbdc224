"""Memory that clients make a process hold, bounded for all of them together.

Each connection has an account. Whatever is held for its requests is a hold of
the account: the body, the response, what is read ahead. All holds together
stay within the budget of the process.
"""

import collections.abc
import contextvars


class MemoryBudget:
    """Counts the bytes that are held for all clients.

    Parameters
    ----------
    limit_bytes : int
        The most that may be held.

    Attributes
    ----------
    held_bytes : int
        What is held.
    """

    __slots__ = ('_reliefs', 'held_bytes', 'limit_bytes')

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._reliefs: list[collections.abc.Callable[[], bool]] = []

    def add_relief(self, relieve: collections.abc.Callable[[], bool]) -> None:
        """Add what is called while there is no room.

        It ends a client that makes no progress, and returns whether there was
        one.
        """
        self._reliefs.append(relieve)

    def open_account(self) -> 'MemoryAccount':
        """Return the account of a connection."""
        return MemoryAccount(self)

    def has_room(self, size: int, share: float = 1.0) -> bool:
        """Return whether `size` more bytes fit in a share of the budget.

        Ends clients that make no progress until they do.
        """
        while self.held_bytes + size > self.limit_bytes * share:
            if not any(relieve() for relieve in self._reliefs):
                return False
        return True


class MemoryAccount:
    """What is held for one connection.

    Parameters
    ----------
    budget : MemoryBudget
        Bounds all accounts together.
    """

    __slots__ = ('_holds', '_is_closed', 'budget')

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self._holds: set[MemoryHold] = set()
        self._is_closed = False

    @property
    def held_bytes(self) -> int:
        """Return what is held for the connection, in bytes."""
        return sum(hold.size for hold in self._holds)

    def open_hold(self) -> 'MemoryHold':
        """Return an empty hold, which cannot grow if this is closed."""
        hold = MemoryHold(self)
        if not self._is_closed:
            self._holds.add(hold)
        return hold

    def remove(self, hold: 'MemoryHold') -> None:
        """Forget a hold, whose bytes count no longer."""
        if hold in self._holds:
            self._holds.remove(hold)
            self.budget.held_bytes -= hold.size

    def release_all(self) -> None:
        """Release all holds."""
        for hold in list(self._holds):
            hold.release()

    def close(self) -> None:
        """Release all holds, as the connection has ended."""
        self._is_closed = True
        self.release_all()

    def contains(self, hold: 'MemoryHold') -> bool:
        """Return whether a hold was not released yet."""
        return hold in self._holds


class MemoryHold:
    """Bytes that are held for one purpose.

    Attributes
    ----------
    size : int
        How many they are.
    """

    __slots__ = ('_account', 'size')

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.size = 0

    def try_grow(self, size: int, share: float = 1.0) -> bool:
        """Hold `size` more bytes if they fit in a share of the budget.

        A hold that was released meanwhile does not grow.
        """
        if not self._account.budget.has_room(size, share):
            return False
        # Making room may have ended this very connection.
        if not self._account.contains(self):
            return False
        self._account.budget.held_bytes += size
        self.size += size
        return True

    def release(self) -> None:
        """Hold nothing any more."""
        self._account.remove(self)
        self.size = 0


# Of the connection whose request the current task handles. A child task
# inherits it.
_account: contextvars.ContextVar[MemoryAccount | None] = (
    contextvars.ContextVar('memory_account', default=None)
)


def set_account(account: MemoryAccount) -> None:
    """Set the account of the connection that the current task serves."""
    _account.set(account)


def get_account() -> MemoryAccount | None:
    """Return the account of the current connection; None outside of one."""
    return _account.get()
