"""Clients that send requests ahead and do not read the answers."""

import contextlib
import itertools
import pathlib
import socket

import anyio
import anyio.abc
import h2.config
import h2.connection
import h2.exceptions
import starlette.responses

from swiftjunction import standins
from tests import platform_deployment

BYTES_PER_KB = 1024
SMALL_BUFFER_BYTES = 4096
FOLLOW_INTERVAL_SECONDS = 0.05
# What a closed connection raises in a client.
CLOSED_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)

_request_numbers = itertools.count()


def read_peak_bytes(pid):
    """Return the most memory that a process has had, in bytes."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    [line] = (x for x in status.splitlines() if x.startswith('VmHWM:'))
    return int(line.split()[1]) * BYTES_PER_KB


def count_descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))


@contextlib.asynccontextmanager
async def follow_descriptors(pid):
    """Yield a list of the numbers of open descriptors, which grows."""
    counts = []

    async def follow():
        while True:
            counts.append(count_descriptors(pid))
            await anyio.sleep(FOLLOW_INTERVAL_SECONDS)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follow)
        yield counts
        tasks.cancel_scope.cancel()


def make_request(path, body=b'', method='POST'):
    """Return a request over HTTP/1.1, with an id of its own."""
    head = (
        f'{method} {path} HTTP/1.1\r\n'
        f'Host: {platform_deployment.HOST}\r\n'
        f'Swiftjunction-Attempt-Id: crowd-{next(_request_numbers)}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def send_ahead(address, path, body, count):
    """Send requests ahead on one connection, which stays open, unread.

    Parameters
    ----------
    address : (str, int)
        Where the process listens.
    count : int
        The number of requests.
    """
    with contextlib.suppress(*CLOSED_ERRORS):
        async with await anyio.connect_tcp(*address) as stream:
            for _ in range(count):
                await stream.send(make_request(path, body))
            await anyio.sleep_forever()


async def send_ahead_at_once(address, path, body, count):
    """Do the same with a small receive buffer and one write."""
    with contextlib.suppress(*CLOSED_ERRORS):
        async with await anyio.connect_tcp(*address) as stream:
            raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
            await stream.send(
                b''.join(make_request(path, body) for _ in range(count))
            )
            await anyio.sleep_forever()


async def send_ahead_http_2(address, path, body, count):
    """Do the same over HTTP/2, never extending the window of any answer."""
    async with await anyio.connect_tcp(*address) as stream:
        connection = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True)
        )
        connection.initiate_connection()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_follow_windows, stream, connection)
            with contextlib.suppress(*CLOSED_ERRORS):
                await stream.send(connection.data_to_send())
                for _ in range(count):
                    await _send_http_2(stream, connection, path, body)
            await anyio.sleep_forever()


async def _follow_windows(stream, connection):
    # A process that refuses HTTP/2 answers over HTTP/1.1.
    refusals = (*CLOSED_ERRORS, h2.exceptions.ProtocolError)
    with contextlib.suppress(*refusals):
        while True:
            connection.receive_data(await stream.receive())


async def _send_http_2(stream, connection, path, body):
    number = connection.get_next_available_stream_id()
    headers = [
        (':method', 'POST'),
        (':path', path),
        (':authority', platform_deployment.HOST),
        (':scheme', 'http'),
        ('swiftjunction-attempt-id', f'crowd-{next(_request_numbers)}'),
    ]
    connection.send_headers(number, headers, end_stream=not body)
    while body:
        size = min(
            connection.local_flow_control_window(number),
            connection.max_outbound_frame_size,
        )
        part, body = body[:size], body[size:]
        if part:
            connection.send_data(number, part, end_stream=not body)
        await stream.send(connection.data_to_send())
        await anyio.sleep(0.001)
    await stream.send(connection.data_to_send())


@contextlib.asynccontextmanager
async def run(clients, seconds):
    """Run clients for some seconds, and on during the context.

    Parameters
    ----------
    clients : iterable of callable
        Coroutine functions without arguments.
    """
    async with anyio.create_task_group() as tasks:
        for client in clients:
            tasks.start_soon(client)
        await anyio.sleep(seconds)
        yield
        tasks.cancel_scope.cancel()


def make_large_servers(answer_bytes):
    """Return plain servers that answer each request with so many bytes."""
    return {name: LargeServer(name, answer_bytes) for name in ('p1', 'p2')}


class LargeServer(standins.PlatformServiceStandin):
    """Answers each request with a body of a fixed size."""

    def __init__(self, name, answer_bytes):
        super().__init__(name)
        self._body = b'x' * answer_bytes

    async def _serve(self, request):
        response = await super()._serve(request)
        headers = dict(response.headers)
        del headers['content-length']
        return starlette.responses.Response(
            self._body, response.status_code, headers
        )


def count_runs(deployment):
    """Return how many requests the plain servers have begun."""
    return sum(len(server.runs) for server in deployment.plain.values())
