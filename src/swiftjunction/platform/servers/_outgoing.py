"""A request to a backend server, before its connection is chosen."""

import collections.abc
import math

import msgspec


class OutgoingRequest(msgspec.Struct, frozen=True):
    """What is sent to a backend server, and what is expected of its answer.

    Attributes
    ----------
    target : str
        Path and query, as they are sent.
    timeout_seconds : float
        Timeout of each read and write.
    source : str
        The kind of the request, for the log.
    host : str
        Value of the ``host`` header; the server's address if empty.
    deadline : float
        When the answer is due, on the clock of the event loop.
    check : callable, optional
        Called before the first byte of the request and of its body is sent. If
        it raises, nothing more is sent.
    request_id : str
        The id by which the answer is recognized; empty if by none.
    is_stream : bool
        Whether an event stream is expected, of any length.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    content: bytes
    timeout_seconds: float
    source: str
    host: str = ''
    deadline: float = math.inf
    check: collections.abc.Callable[[], None] | None = None
    request_id: str = ''
    is_stream: bool = False
