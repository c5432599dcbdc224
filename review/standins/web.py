"""A minimal HTTP/1.1 server and client, for the stand-ins and the scripts.

Standard library only. It speaks plain HTTP/1.1 over TCP, one request at a
time on a connection.
"""

import asyncio
import contextlib
import json

MAX_HEAD_BYTES = 64 * 1024


class Request:
    """A request that a stand-in has read, with its connection."""

    __slots__ = ('body', 'connection', 'headers', 'method', 'target')

    def __init__(self, method, target, headers, body, connection):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.connection = connection

    @property
    def path(self):
        return self.target.partition('?')[0]

    @property
    def query(self):
        pairs = self.target.partition('?')[2].split('&')
        return dict(p.partition('=')[::2] for p in pairs if p)

    def json(self):
        return json.loads(self.body)


class Connection:
    """One accepted connection."""

    __slots__ = ('reader', 'writer')

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def respond(self, status, body=b'', headers=()):
        """Send a whole response."""
        await self.send(format_response(status, body, headers))

    def reset(self):
        self.writer.transport.abort()


def format_response(status, body=b'', headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def read_head(reader):
    """Return the first line and the headers; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Server:
    """Serves `handle(request)` on one address until it is closed.

    `handle` sends the response itself. It is cancelled if the peer closes
    the connection meanwhile.
    """

    def __init__(self, ip, handle, port=0):
        self.ip = ip
        self.port = port
        self._handle = handle
        self._server = None
        self._tasks = set()

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        """Stop as a process does that is killed."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        connection = Connection(reader, writer)
        try:
            while await self._serve_one(connection):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve_one(self, connection):
        head = await read_head(connection.reader)
        if head is None:
            return False
        first, headers = head
        method, target, _ = first.split(' ')
        if headers.get('expect', '').lower() == '100-continue':
            await connection.send(b'HTTP/1.1 100 Continue\r\n\r\n')
        body = await read_body(connection.reader, headers)
        request = Request(method, target, headers, body, connection)
        handling = asyncio.ensure_future(self._handle(request))
        closing = asyncio.ensure_future(_wait_for_close(connection.reader))
        try:
            await asyncio.wait(
                (handling, closing), return_when=asyncio.FIRST_COMPLETED
            )
            if not handling.done():
                # The peer has closed: a sound server drops the request.
                return False
            handling.result()
            return True
        finally:
            for task in (handling, closing):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, Exception):
                    await task


async def _wait_for_close(reader):
    """Return once the peer has closed; pipelined bytes also end the wait."""
    while not reader.at_eof():
        if reader._buffer:
            await asyncio.Event().wait()
        await asyncio.sleep(0.02)


class Answer:
    """What a client got: a status and a body, or how the channel ended."""

    __slots__ = ('body', 'complete', 'error', 'headers', 'status')

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.complete = False
        self.error = ''

    def describe(self):
        if self.complete:
            return f'{self.status}'
        return f'no complete answer ({self.error}, status {self.status})'

    def json(self):
        return json.loads(self.body)


async def call(
    address,
    method,
    target,
    headers=(),
    body=b'',
    timeout=10.0,
    connect_timeout=1.0,
):
    """Send one request on a new connection; return an Answer."""
    answer = Answer()
    host, _, port = address.rpartition(':')
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), connect_timeout
        )
    except (OSError, asyncio.TimeoutError) as error:
        answer.error = f'no connection: {type(error).__name__}'
        return answer
    try:
        lines = [f'{method} {target} HTTP/1.1']
        if not any(name.lower() == 'host' for name, _ in headers):
            lines.append(f'Host: {address}')
        lines += [f'{name}: {value}' for name, value in headers]
        if body or method in ('POST', 'PUT'):
            lines.append(f'Content-Length: {len(body)}')
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1'))
        writer.write(body)
        await writer.drain()
        await asyncio.wait_for(_read_answer(reader, answer), timeout)
    except asyncio.TimeoutError:
        answer.error = 'time is up'
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = f'channel ended: {type(error).__name__}'
    finally:
        writer.transport.abort()
    return answer


async def _read_answer(reader, answer):
    while True:
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError
        first, answer.headers = head
        answer.status = int(first.split(' ')[1])
        if answer.status >= 200:
            break
    if 'content-length' in answer.headers or (
        answer.headers.get('transfer-encoding', '').lower() == 'chunked'
    ):
        answer.body = await read_body(reader, answer.headers)
    answer.complete = True
