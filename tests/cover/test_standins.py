"""Properties of the stand-ins that other tests rely on."""

import errno
import socket

import anyio
import pytest

from swiftjunction import standins
from swiftjunction import web

pytestmark = pytest.mark.anyio

MODEL = 'model-a'


class TestPorts:
    def test_a_reserved_port_is_taken_for_everyone_else(self):
        [port] = standins.reserve_ports(1)
        with socket.socket() as other, pytest.raises(OSError) as caught:
            other.bind(('127.0.0.1', port))
        assert caught.value.errno == errno.EADDRINUSE

    def test_a_reserved_port_can_be_listened_on_again_and_again(self):
        [port] = standins.reserve_ports(1)
        for _ in range(2):
            with web.bind_socket('127.0.0.1', port):
                socket.create_connection(('127.0.0.1', port)).close()


async def test_an_engine_names_a_version_applied_right_after_the_header():
    engine = standins.PlatformEngineStandin('e1', {MODEL: 1})
    sent = []

    async def send(message):
        sent.append(message)
        if message['type'] == 'http.response.start':
            engine.versions[MODEL] = 2

    async def receive():
        await anyio.sleep_forever()

    scope = {
        'type': 'http',
        'method': 'POST',
        'path': '/sample',
        'raw_path': b'/sample',
        'query_string': b'',
        'headers': [
            (b'swiftjunction-attempt-id', b'a'),
            (b'swiftjunction-model', MODEL.encode()),
        ],
    }
    await engine.build_app()(scope, receive, send)
    assert (b'swiftjunction-weight-versions', b'1') in sent[0]['headers']
    first_event = sent[1]['body']
    assert first_event.startswith(b'swiftjunction-weight-versions:2\n')
    assert engine.generated['a'] == {(n, 2) for n in range(6)}
