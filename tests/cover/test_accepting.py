"""Which connections a listening socket accepts."""

import errno
import socket

import pytest

from swiftjunction.web import _accepting
from swiftjunction.web import _connection_table

MAX_CONNECTIONS = 3


class FakeConnection:
    """An idle connection of the table, with the socket it was accepted on."""

    def __init__(self, accepted):
        self.accepted = accepted

    def lose(self):
        self.accepted.close()


@pytest.fixture
def table():
    return _connection_table.ConnectionTable()


@pytest.fixture
def listener(table):
    listening_socket = socket.create_server(('127.0.0.1', 0))
    listening_socket.setblocking(False)
    accepting = _accepting.AcceptingSocket(
        listening_socket, table, MAX_CONNECTIONS
    )
    yield accepting
    accepting.close()


def connect(listener):
    client = socket.create_connection(listener.getsockname())
    client.settimeout(5)
    return client


def accept_all(listener):
    accepted = []
    try:
        while True:
            accepted.append(listener.accept()[0])
    except BlockingIOError:
        return accepted


def is_closed(client):
    """Return whether the other end has closed the connection."""
    client.setblocking(False)
    try:
        return client.recv(1) == b''
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True


def test_a_connection_above_the_limit_is_closed_if_none_is_idle(listener):
    clients = [connect(listener) for _ in range(MAX_CONNECTIONS + 2)]
    accepted = accept_all(listener)
    assert len(accepted) == MAX_CONNECTIONS
    accept_all(listener)
    assert [is_closed(client) for client in clients] == [
        *[False] * MAX_CONNECTIONS,
        True,
        True,
    ]


def test_an_idle_connection_makes_room_for_a_new_one(listener, table):
    clients = [connect(listener) for _ in range(MAX_CONNECTIONS)]
    accepted = accept_all(listener)
    table.add(FakeConnection(accepted[1]))
    new = connect(listener)
    # The event loop closes the idle connection between the two calls.
    assert accept_all(listener) == []
    accepted += accept_all(listener)
    assert len(accepted) == MAX_CONNECTIONS + 1
    assert [is_closed(client) for client in clients] == [False, True, False]
    assert not is_closed(new)


def test_a_closed_connection_counts_no_longer(listener):
    for _ in range(3 * MAX_CONNECTIONS):
        with connect(listener) as client:
            (accepted,) = accept_all(listener)
            accepted.close()
            assert is_closed(client)


def test_without_a_descriptor_a_connection_is_refused(listener, monkeypatch):
    accept = socket.socket.accept
    failures = [OSError(errno.EMFILE, 'too many open files')]

    def fail_once(own):
        if failures:
            raise failures.pop()
        return accept(own)

    monkeypatch.setattr(socket.socket, 'accept', fail_once)
    first, second = connect(listener), connect(listener)
    assert accept_all(listener) == []
    accepted = accept_all(listener)
    assert len(accepted) == 1
    assert [is_closed(first), is_closed(second)] == [True, False]
