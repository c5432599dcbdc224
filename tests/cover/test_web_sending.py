"""What can be sent is sent as it is, and nothing else reaches a server."""

import logging
import socket

import anyio
import httpcore
import httpx
import hypothesis
from hypothesis import strategies
import pytest

from swiftjunction import errors
from swiftjunction import web

pytestmark = pytest.mark.anyio

RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
# Of all kinds: those of tokens, of Latin-1 and beyond, and controls.
TEXT = strategies.text(
    strategies.one_of(
        strategies.characters(max_codepoint=0x17F),
        strategies.sampled_from('aZ0-_/?#%&=:. \t\r\n\0\x7f\u0219\U0001f600'),
    ),
    max_size=12,
)
ODD_ADDRESSES = [
    '',
    '127.0.0.1',
    '127.0.0.1:',
    '127.0.0.1:70000',
    '127.0.0.1:-1',
    '127.0.0.1:x',
    '[::1',
    ':80',
    '127.0.\x010.1:80',
    'a/b:80',
    'a@b:80',
]


class RecordingStream(httpcore.AsyncMockStream):
    """Records what is written, and answers each request alike."""

    def __init__(self, written):
        super().__init__([RESPONSE])
        self._written = written

    async def write(self, buffer, timeout=None):
        self._written.append(buffer)

    def get_extra_info(self, info):
        closed = socket.socket()
        closed.close()
        return closed if info == 'socket' else None


class RecordingBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that record what is written."""

    def __init__(self, error=None):
        self.written = []
        self._error = error

    async def connect_tcp(self, *arguments, **options):
        if self._error is not None:
            raise self._error
        return RecordingStream(self.written)


async def send(target, headers, host='', backend=None):
    """Return the bytes that a server gets."""
    backend = backend or RecordingBackend()
    client = web.DirectClient('127.0.0.1:80', backend)
    response = await client.send(
        'POST', target, headers=headers, host=host, content=b'x'
    )
    await response.aclose()
    await client.close()
    return b''.join(backend.written)


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    name=strategies.just('x-a') | TEXT,
    value=strategies.just('b') | TEXT,
    target=strategies.just('/a?b') | TEXT | TEXT.map('/'.__add__),
    host=strategies.just('') | TEXT,
)
async def test_a_request_is_sent_unchanged_or_not_at_all(
    name, value, target, host
):
    problems = [
        web.find_name_problem(name),
        web.find_value_problem(value),
        web.find_value_problem(host),
        web.find_target_problem(target),
    ]
    backend = RecordingBackend()
    try:
        written = await send(target, [(name, value)], host, backend)
    except errors.RequestUnsendable:
        assert any(problems)
        assert backend.written == []
        return
    assert not any(problems)
    head, _, body = written.partition(b'\r\n\r\n')
    lines = head.split(b'\r\n')
    assert f'{name}: {value}'.encode('latin-1') in lines
    assert len(lines) == 4
    assert body == b'x'


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    target=strategies.text(
        strategies.characters(min_codepoint=0x21, max_codepoint=0x7E)
    )
)
async def test_a_target_of_visible_characters_is_sent(target):
    target = '/' + target.replace('#', '')
    assert web.find_target_problem(target) == ''
    assert (await send(target, [])).startswith(b'POST /')


@pytest.mark.parametrize(
    'name', ['Content-Length', 'HOST', 'transfer-encoding']
)
async def test_a_header_that_frames_the_request_is_not_sent(name):
    backend = RecordingBackend()
    with pytest.raises(errors.RequestUnsendable):
        await send('/a', [(name, '1')], backend=backend)
    assert backend.written == []


async def test_a_long_target_is_not_sent():
    with pytest.raises(errors.RequestUnsendable):
        await send('/' + 'a' * 70_000, [])


@pytest.mark.parametrize('address', ODD_ADDRESSES)
async def test_an_odd_address_is_an_unsent_request(address):
    with pytest.raises(errors.AddressInvalid) as caught:
        web.PeerClients().get_direct(address)
    assert isinstance(caught.value, web.UNSENT_ERRORS)
    assert isinstance(caught.value, errors.BackendUnreachable)


@pytest.mark.parametrize(
    'error',
    [
        ExceptionGroup('connect', [OverflowError('port')]),
        OverflowError('port'),
        UnicodeError('label too long'),
    ],
)
async def test_an_error_of_the_system_is_a_failed_connection(error):
    with pytest.raises(web.UNSENT_ERRORS):
        await send('/a', [], backend=RecordingBackend(error))


async def test_an_unexpected_error_is_one_of_the_exchange(caplog):
    caplog.set_level(logging.ERROR)
    backend = RecordingBackend(RuntimeError('a fault of the library'))
    with pytest.raises(httpx.TransportError):
        await send('/a', [], backend=backend)
    (record,) = caplog.records
    assert record.message == 'unexpected error in a request'
    assert record.exc_info
    with anyio.fail_after(1):
        assert (await send('/a', [])).startswith(b'POST /a HTTP/1.1\r\n')
