"""Reads the bodies of backend servers' responses within bounded memory.

A body is read whole before it is passed on, so that another server can be
tried if it breaks off. Bodies without end must not fill the memory of the
process meanwhile, also if several servers send them at once.
"""

import httpx

from swiftjunction.backends import _http
from swiftjunction import errors
from swiftjunction import web

# The usual response has a few KB. As many bodies of this size as there are
# requests may be read at once.
FREE_BODY_BYTES = 64 * 1024
# What all bodies together may hold beyond their free parts, and so what one
# may. The longest valid one known, a page of a list, has 1 MB.
SHARED_BODY_BYTES = 2 * 1024 * 1024


class BodyMemory:
    """Bounds the bytes of the incomplete bodies of a process.

    If they hold too much together, the largest one fails: those without end
    outgrow the others.
    """

    __slots__ = ('_bodies', '_shared_bytes')

    def __init__(self) -> None:
        self._bodies: set[IncompleteBody] = set()
        self._shared_bytes = 0

    def open(self, peer: str) -> 'IncompleteBody':
        """Return an empty body, a context manager that frees its memory."""
        body = IncompleteBody(self, peer)
        self._bodies.add(body)
        return body

    def record_growth(self, shared_bytes: int) -> None:
        """Record that a body holds `shared_bytes` more than before."""
        self._shared_bytes += shared_bytes
        while self._shared_bytes > SHARED_BODY_BYTES:
            max(self._bodies, key=lambda body: body.shared_bytes).drop()

    def release(self, body: 'IncompleteBody') -> None:
        """Forget a body that was read or dropped."""
        if body in self._bodies:
            self._bodies.remove(body)
            self._shared_bytes -= body.shared_bytes


class IncompleteBody:
    """The part of a body that has been received.

    Parameters
    ----------
    memory : BodyMemory
        Bounds all bodies together.
    peer : str
        Name of the server that sends it.
    """

    __slots__ = ('_buffer', '_dropped', '_memory', '_peer', 'shared_bytes')

    def __init__(self, memory: BodyMemory, peer: str) -> None:
        self._memory = memory
        self._peer = peer
        # One buffer instead of a list, as chunks may have a few bytes each.
        self._buffer = bytearray()
        self._dropped = False
        self.shared_bytes = 0

    def __enter__(self) -> 'IncompleteBody':
        return self

    def __exit__(self, *_: object) -> None:
        self._memory.release(self)

    def append(self, chunk: bytes) -> None:
        """Add a chunk; raise ``AnswerBroken`` if the body was dropped."""
        self._check_kept()
        self._buffer += chunk
        shared_bytes = max(len(self._buffer) - FREE_BODY_BYTES, 0)
        growth = shared_bytes - self.shared_bytes
        self.shared_bytes = shared_bytes
        if growth:
            self._memory.record_growth(growth)
        self._check_kept()

    def complete(self) -> bytes:
        """Return the body; raise ``AnswerBroken`` if it was dropped."""
        self._check_kept()
        return bytes(self._buffer)

    def drop(self) -> None:
        """Free the memory; the reader fails when it continues."""
        self._memory.release(self)
        self._dropped = True
        self._buffer = bytearray()

    def _check_kept(self) -> None:
        if self._dropped:
            raise errors.AnswerBroken(
                'response body was the largest, and all bodies together '
                f'exceed {SHARED_BODY_BYTES} bytes',
                step='read',
                peer=self._peer,
            )


_memory = BodyMemory()


async def read_body(response: httpx.Response, peer: str) -> bytes:
    """Return the complete body.

    Raises
    ------
    AnswerBroken
        If the body ends early, or the process has no memory for it.
    """
    with _memory.open(peer) as body, _http.translate_errors('read', peer):
        async for chunk in response.aiter_raw():
            body.append(chunk)
        content = body.complete()
    _hold_for_client(len(content), peer)
    return content


def _hold_for_client(size: int, peer: str) -> None:
    """Count a response as held until the client has it."""
    account = web.get_account()
    if account is None or account.open_hold().try_grow(size):
        return
    raise errors.AnswerBroken(
        'clients make this process hold too many responses',
        step='read',
        peer=peer,
    )
