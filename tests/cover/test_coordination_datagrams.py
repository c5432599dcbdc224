"""Datagrams between VMs: one that cannot be handled ends nothing."""

import socket

import anyio
import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from swiftjunction import coordination
from swiftjunction import web


class Note(msgspec.Struct, frozen=True, tag='note'):
    """A message of the test."""

    text: str


class Receiver:
    """Receives notes over a socket of its own, and fails on some."""

    def __init__(self):
        self.sock = web.bind_datagram_socket('127.0.0.1', 0)
        self.address = '{}:{}'.format(*self.sock.getsockname())
        self.datagrams = coordination.PeerDatagrams(lambda: self.sock)
        self.datagrams.listen(Note, self.receive)
        self.received = []
        self.has_received = anyio.Event()

    async def receive(self, note, sender):
        if note.text == 'unexpected':
            raise KeyError(note.text)
        self.received.append(note.text)
        self.has_received.set()


async def send_and_wait(*datagrams):
    """Send datagrams to a receiver, and a last note; return its notes."""
    receiver = Receiver()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(receiver.datagrams.run)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (*datagrams, msgspec.msgpack.encode(Note('last'))):
                sender.sendto(data, receiver.sock.getsockname())
                await anyio.sleep(0)
        with anyio.fail_after(2):
            while 'last' not in receiver.received:
                await receiver.has_received.wait()
                receiver.has_received = anyio.Event()
        tasks.cancel_scope.cancel()
    return receiver.received


@pytest.mark.anyio
async def test_goes_on_after_a_handler_has_failed(caplog):
    unexpected = msgspec.msgpack.encode(Note('unexpected'))
    assert await send_and_wait(unexpected) == ['last']
    assert 'unexpected' in caplog.text


@pytest.mark.anyio
async def test_goes_on_after_a_nested_datagram(caplog):
    nested = b'\x82\xa4type\xa4note\xa4text' + b'\x91' * 6_000 + b'\x90'
    assert await send_and_wait(nested) == ['last']
    assert 'invalid datagram' in caplog.text


@hypothesis.given(st.lists(st.binary(max_size=200), max_size=20))
@hypothesis.settings(max_examples=20, deadline=None)
def test_goes_on_after_arbitrary_bytes(datagrams):
    assert anyio.run(send_and_wait, *datagrams)[-1] == 'last'


@pytest.mark.anyio
async def test_receives_again_after_its_socket_was_closed():
    ports = []

    def bind():
        sock = web.bind_datagram_socket('127.0.0.1', ports[0] if ports else 0)
        ports.append(sock.getsockname()[1])
        return sock

    received = anyio.Event()

    async def receive(note, sender):
        received.set()

    datagrams = coordination.PeerDatagrams(bind)
    datagrams.listen(Note, receive)

    async def run_until_closed():
        with pytest.raises((ConnectionError, anyio.ClosedResourceError)):
            await datagrams.run()

    with anyio.fail_after(2):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_until_closed)
            await datagrams.send(Note('first'), f'127.0.0.1:{ports[0]}')
            await datagrams._udp.aclose()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(datagrams.run)
        with anyio.fail_after(2):
            # Those that are sent while the socket is closed are lost.
            while not received.is_set():
                await datagrams.send(Note('again'), f'127.0.0.1:{ports[0]}')
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert ports[0] == ports[1]


@pytest.mark.anyio
async def test_senders_do_not_wait_while_the_socket_is_closed():
    receiver = Receiver()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(receiver.datagrams.run)
        await receiver.datagrams.send(Note('first'), receiver.address)
        tasks.cancel_scope.cancel()
    with anyio.fail_after(0.1):
        for _ in range(100):
            await receiver.datagrams.send(Note('lost'), receiver.address)


@pytest.mark.anyio
async def test_senders_wait_for_the_first_socket_for_a_limited_time():
    receiver = Receiver()
    with anyio.fail_after(2):
        await receiver.datagrams.send(Note('lost'), receiver.address)
    receiver.sock.close()


@pytest.mark.anyio
async def test_senders_do_not_wait_for_a_socket_that_cannot_be_opened():
    receiver = Receiver()
    receiver.sock.close()
    with pytest.raises((OSError, ValueError)):
        await receiver.datagrams.run()
    with anyio.fail_after(0.1):
        await receiver.datagrams.send(Note('lost'), receiver.address)
