import asyncio
import contextlib
import socket
import threading
import time

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import errors
from swiftjunction.platform.servers import _workers
from swiftjunction import web

pytestmark = pytest.mark.anyio

LAG_SECONDS = 1.0
# For how long a check allows to send.
VALID_SECONDS = 0.5
# Receive buffer of a server that reads slowly.
RECEIVE_BYTES = 64 * 1024


class Listener:
    """Accepts connections, and records what it receives."""

    def __init__(self):
        self.received = b''
        self.connected = anyio.Event()

    async def handle(self, stream):
        self.connected.set()
        async with stream:
            async for data in stream:
                self.received += data


def refuse():
    raise errors.NotRun('the batch may have ended', step='send')


async def send_sample(client, server):
    sample = batches.Sample('i', '/x', [], b'body', group='g')
    events = client.generate(server, 'h', sample, -1, refuse)
    await anext(events)


async def send_call(client, server):
    await client.call(
        server,
        backends.ServiceCall(
            'i', 'POST', '/x', '', b'body', [], 1.0, 'h', refuse
        ),
    )


@pytest.mark.parametrize('send', [send_sample, send_call])
async def test_nothing_is_sent_if_the_check_on_the_open_connection_fails(send):
    listener = Listener()
    peers = web.PeerClients()
    tcp = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = tcp.extra(anyio.abc.SocketAttribute.local_port)
    server = backends.BackendServer(
        backends.ServerReport('e', f'127.0.0.1:{port}', 's', 'dc')
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(tcp.serve, listener.handle)
        with anyio.fail_after(5):
            with pytest.raises(errors.NotRun):
                await send(_workers.WorkerClient(peers), server)
            await listener.connected.wait()
        await peers.close()
        assert listener.received == b''
        tasks.cancel_scope.cancel()
    await tcp.aclose()


class ThreadReceiver:
    """Receives in a thread, which a busy event loop does not delay.

    Attributes
    ----------
    received_at : float
        Monotonic time of the last byte, in seconds; 0 before the first one.
    """

    def __init__(self):
        self.received_at = 0.0
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        connection, _ = self._listener.accept()
        with connection, contextlib.suppress(OSError):
            while connection.recv(65536):
                self.received_at = time.monotonic()

    def close(self):
        """Wait until the connection is closed."""
        self._thread.join(5)
        self._listener.close()


class LaggingServer(backends.BackendServer):
    """The event loop lags for once after a connection to it is open."""

    def __init__(self, port):
        super().__init__(
            backends.ServerReport('e', f'127.0.0.1:{port}', 's', 'dc')
        )
        self._lag_seconds = LAG_SECONDS

    def accepts_requests(self):
        asyncio.get_running_loop().call_soon(time.sleep, self._lag_seconds)
        self._lag_seconds = 0.0
        return super().accepts_requests()


async def test_no_body_is_sent_after_a_lag_that_outlasts_the_check():
    receiver = ThreadReceiver()
    peers = web.PeerClients()
    started_at = time.monotonic()

    def check():
        if time.monotonic() - started_at > VALID_SECONDS:
            raise errors.EndUnconfirmed('the batch may have ended', step='x')

    sample = batches.Sample('i', '/x', [], b'x' * 2000, group='g')
    events = _workers.WorkerClient(peers).generate(
        LaggingServer(receiver.port), 'h', sample, -1, check
    )
    with anyio.move_on_after(2.0), contextlib.suppress(errors.EndUnconfirmed):
        await anext(events)
    await events.aclose()
    await peers.close()
    receiver.close()
    assert receiver.received_at - started_at <= VALID_SECONDS


async def test_no_order_is_sent_after_a_lag_that_outlasts_its_lease():
    receiver = ThreadReceiver()
    started_at = time.monotonic()

    def check():
        if time.monotonic() - started_at > VALID_SECONDS:
            raise errors.BackendUnreachable('lease expired', step='order')

    order = batches.VersionOrder('m', 2, 'holder', 1, 0)
    with pytest.raises(errors.BackendUnreachable):
        await _workers.WorkerClient(web.PeerClients()).send_order(
            LaggingServer(receiver.port), order, check
        )
    receiver.close()
    assert receiver.received_at - started_at <= VALID_SECONDS


class SlowReceiver:
    """Reads nothing for a while after a connection is open.

    It reads in a thread, as an event loop reads ahead of its tasks.

    Attributes
    ----------
    complete_at : float or None
        Monotonic time at which it had read a whole request.
    was_reset : bool
        Whether the connection was reset.
    """

    def __init__(self, size, pause_seconds):
        self._size = size
        self._pause_seconds = pause_seconds
        self.complete_at = None
        self.was_reset = False
        self._listener = socket.create_server(('127.0.0.1', 0))
        # What is in the buffers of the server's system has arrived there.
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES
        )
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        connection, _ = self._listener.accept()
        time.sleep(self._pause_seconds)
        received = 0
        try:
            with connection:
                while data := connection.recv(65536):
                    received += len(data)
                    if received >= self._size and self.complete_at is None:
                        self.complete_at = time.monotonic()
        except ConnectionResetError:
            self.was_reset = True

    async def wait_closed(self):
        """Wait until the connection is closed."""
        await anyio.to_thread.run_sync(self._thread.join, 5)
        self._listener.close()


async def send_and_cancel(receiver, body, seconds, check=lambda: None):
    """Send a sample, cancel it, and return when it was last checked."""
    checked_at = []

    def record_check():
        check()
        checked_at.append(time.monotonic())

    peers = web.PeerClients()
    server = backends.BackendServer(
        backends.ServerReport('e', f'127.0.0.1:{receiver.port}', 's', 'dc')
    )
    events = _workers.WorkerClient(peers).generate(
        server,
        'h',
        batches.Sample('i', '/x', [], body, group='g'),
        -1,
        record_check,
    )
    with (
        anyio.move_on_after(seconds),
        contextlib.suppress(errors.EndUnconfirmed),
    ):
        await anext(events)
    await events.aclose()
    await receiver.wait_closed()
    await peers.close()
    return checked_at[-1]


async def test_a_long_body_is_not_sent_on_to_a_server_that_reads_late():
    size = 16_000_000
    receiver = SlowReceiver(size, pause_seconds=3 * VALID_SECONDS)
    checked_at = await send_and_cancel(receiver, b'x' * size, seconds=4.0)
    assert receiver.complete_at is None or (
        receiver.complete_at - checked_at <= VALID_SECONDS
    )


async def test_a_long_body_ends_with_a_reset_once_its_check_fails():
    size = 16_000_000
    receiver = SlowReceiver(size, pause_seconds=3 * VALID_SECONDS)
    started_at = time.monotonic()

    def check():
        if time.monotonic() - started_at > VALID_SECONDS:
            raise errors.EndUnconfirmed('the batch may have ended', step='x')

    await send_and_cancel(receiver, b'x' * size, 4.0, check)
    assert receiver.complete_at is None
    assert receiver.was_reset


async def test_the_connection_of_a_cancelled_sample_is_reset():
    # As bytes that are held up on the way are dropped only by a reset.
    receiver = SlowReceiver(size=2000, pause_seconds=1.0)
    await send_and_cancel(receiver, b'x' * 2000, seconds=0.5)
    assert receiver.was_reset
