"""A small HTTP/1.1 server and client on asyncio, for the review's stand-ins."""

import asyncio
import socket
import struct


class Request:
    """One request, as it was received."""

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


async def read_body(reader, headers, until_end=False):
    """Return the body of a message; fails if it ends early."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(data[:-2])
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if until_end else b''


def make_response(status, body=b'', headers=()):
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def reset(writer):
    """Reset a connection."""
    raw = writer.get_extra_info('socket')
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class Server:
    """Serves one request at a time on each connection.

    Subclasses define ``handle(request, writer)``, which writes the response.
    """

    def __init__(self):
        self.address = ''
        self.writers = set()
        self._server = None

    async def start(self, host='127.0.0.1', port=0):
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=64 * 1024 * 1024
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def stop_listening(self):
        """Close the listening socket; open connections stay."""
        self._server.close()

    async def handle(self, request, writer):
        raise NotImplementedError

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        connection = {}
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                method, target, _ = first.split(' ', 2)
                body = await read_body(reader, headers)
                await self.handle(
                    Request(method, target, headers, body, connection), writer
                )
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # Cancelled only as the script ends.
            return
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, target, headers=(), body=b'', timeout=15.0):
    """Send a request on a new connection; return status, headers and body.

    The status is 0 without a complete response.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=64 * 1024 * 1024
            )
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers]
            if not any(name.lower() == 'host' for name, _ in headers):
                lines.append(f'Host: {address}')
            if body or method in ('POST', 'PUT'):
                lines.append(f'Content-Length: {len(body)}')
            head = '\r\n'.join([*lines, '', '']).encode('latin-1')
            writer.write(head + body)
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                return 0, {}, b''
            first, answer_headers = answer
            content = await read_body(reader, answer_headers, True)
            return int(first.split(' ')[1]), answer_headers, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()
