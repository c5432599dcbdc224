"""A backend server on a raw socket that answers with given bytes."""

import contextlib
import socket
import struct

import anyio
import anyio.abc

from swiftjunction import backends

REQUEST_ID = 'r'
NAMED = b'Swiftjunction-Attempt-Id: r\r\n'
SIGNED = NAMED + b'Swiftjunction-Response-Signature: %s\r\n'
EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
# Lingering for no time makes the system reset a connection as it is closed.
RESET_LINGER = struct.pack('ii', 1, 0)


def make_head(*headers, status=b'200 OK', receipt=b'other'):
    """Return the head of a signed answer."""
    lines = b''.join(headers) or EVENT_STREAM + CHUNKED
    return b'HTTP/1.1 %s\r\n%s%s\r\n' % (status, SIGNED % receipt, lines)


def make_event(number):
    return b'id: %d\ndata: %d\n\n' % (number, number)


def make_events(*numbers):
    return b''.join(make_event(number) for number in numbers)


def make_chunks(*parts, complete=True):
    """Return a chunked body, with its end if it is complete."""
    chunks = b''.join(b'%x\r\n%s\r\n' % (len(p), p) for p in parts if p)
    return chunks + (b'0\r\n\r\n' if complete else b'')


class ScriptedServer:
    """Answers each request with given bytes, then closes the connection.

    Attributes
    ----------
    positions : list of bytes
        The ``Last-Event-Id`` of each request; empty without one.
    go_on : callable or None
        Called with the connection after the answer.
    closed : anyio.Event
        With `waits`, set once the caller has closed a connection.

    Parameters
    ----------
    answer : bytes or callable
        What it sends; a function gets the ``Last-Event-Id`` as bytes, and may
        return the parts of an iterable, which are sent one after the other.
    resets : bool
        Reset the connection instead of closing it.
    waits : bool
        Leave the connection open until the caller closes it.
    """

    def __init__(self, name, answer, resets=False, waits=False):
        self.name = name
        self._answer = answer
        self._resets = resets
        self._waits = waits
        self.closed = anyio.Event()
        self.go_on = None
        self.positions = []
        self.backend = None

    @contextlib.asynccontextmanager
    async def run(self):
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.backend = backends.BackendServer(
            backends.ServerReport(
                self.name,
                f'127.0.0.1:{port}',
                's',
                'dc',
                state='live',
                software='v1',
            )
        )
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._handle)
            yield self
            tasks.cancel_scope.cancel()

    async def _handle(self, stream):
        received = b''
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while b'\r\n\r\n' not in received:
                    received += await stream.receive()
                self._record(received)
                for part in self._list_parts():
                    await stream.send(part)
                if self.go_on is not None:
                    await self.go_on(stream)
            if self._waits:
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    await stream.receive()
                self.closed.set()
            if self._resets:
                # What was sent is read before the reset discards it.
                await anyio.sleep(0.05)
                stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
                )

    def _list_parts(self):
        answer = self._answer
        if callable(answer):
            answer = answer(self.positions[-1])
        return [answer] if isinstance(answer, bytes) else answer

    def _record(self, head):
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'last-event-id:'):
                self.positions.append(line.partition(b':')[2].strip())
                return
        self.positions.append(b'')
