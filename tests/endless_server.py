"""A server on a raw socket whose answers have no end."""

import contextlib

import anyio
import anyio.abc

from swiftjunction import backends

REQUEST_ID = 'i'
HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Swiftjunction-Attempt-Id: i\r\n'
    b'Swiftjunction-Response-Signature: s\r\n'
)
STREAM_HEAD = HEAD + b'Content-Type: text/event-stream\r\n\r\n'

# The start of an answer, and what follows it until the caller closes.
HEADS = {
    'status_line': (b'HTTP/1.1 200 ', b'x' * 4096),
    'header_line': (HEAD + b'x-a: ', b'x' * 4096),
    'header_lines': (HEAD, b'x-a: %s\r\n' % (b'x' * 100)),
    'informational_heads': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 64),
    'no_http': (b'', b'\x00\xff' * 2048),
}
SLOW_HEADS = {
    'status_line': (b'HTTP/1.1 200 ', b'x'),
    'header_lines': (HEAD, b'x: y\r\n'),
    'informational_heads': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
}
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
BODIES = {
    'without_length': (HEAD + b'\r\n', b'x' * 65536),
    'large_chunks': (CHUNKED, b'10000\r\n%s\r\n' % (b'x' * 65536)),
    'chunk_size': (CHUNKED, b'0' * 4096),
    'trailers': (CHUNKED + b'0\r\n', b'x: %s\r\n' % (b'y' * 100)),
}
SLOW_BODY = (HEAD + b'Content-Length: 1000000\r\n\r\n', b'x')


class EndlessServer:
    """Answers each request with `start`, then with `part` without end.

    Parameters
    ----------
    part : bytes or callable
        The part, or a function that returns the next one.

    Attributes
    ----------
    address : str
        ``ip:port``, while it runs.
    requests : int
        The number of requests received.
    closed : anyio.Event
        Set once the caller has closed a connection.
    """

    def __init__(self, start, part, pause_seconds=0.0):
        self._start = start
        self._part = part
        self._pause_seconds = pause_seconds
        self.address = ''
        self.requests = 0
        self.closed = anyio.Event()

    @contextlib.asynccontextmanager
    async def run(self):
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._handle)
            yield self
            tasks.cancel_scope.cancel()

    def make_backend(self, name='endless'):
        return backends.BackendServer(
            backends.ServerReport(name, self.address, 's', 'dc')
        )

    def _make_part(self):
        return self._part() if callable(self._part) else self._part

    async def _handle(self, stream):
        try:
            async with stream:
                while b'\r\n\r\n' not in await stream.receive():
                    pass
                self.requests += 1
                await stream.send(self._start)
                while True:
                    await stream.send(self._make_part())
                    await anyio.sleep(self._pause_seconds)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            self.closed.set()
