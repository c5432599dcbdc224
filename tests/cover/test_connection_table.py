"""Which connections are ended, and when."""

import socket

import pytest

from swiftjunction import web
from swiftjunction.web import _connection_table

NOW = 1000.0
HEAD_SECONDS = 5.0


class FakeConnection:
    """A connection whose state a test sets."""

    def __init__(self, name, **state):
        self.name = name
        self.descriptor = -1
        self.is_ahead = False
        self.head_began_at = None
        self.writing_since = None
        self.stalled_since = None
        self.is_lost = False
        for key, value in state.items():
            setattr(self, key, value)

    def lose(self):
        self.is_lost = True


@pytest.fixture
def table():
    return _connection_table.ConnectionTable()


def add(table, *connections):
    for connection in connections:
        table.add(connection)
    return connections


def list_lost(connections):
    return [item.name for item in connections if item.is_lost]


def test_connections_that_never_sent_a_request_make_room_first(table):
    kept, old, new = add(
        table,
        FakeConnection('kept'),
        FakeConnection('old'),
        FakeConnection('new'),
    )
    table.set_idle(kept, False)
    table.set_idle(kept, True)
    assert table.evict_idle(1) == 1
    assert list_lost([kept, old, new]) == ['old']
    assert table.evict_idle(9) == 2
    assert table.evict_idle(9) == 0


def test_a_connection_with_a_request_makes_no_room(table):
    (busy,) = add(table, FakeConnection('busy'))
    table.set_idle(busy, False)
    assert table.evict_idle(1) == 0
    assert not busy.is_lost


def test_the_longest_stalled_connection_is_ended_for_memory(table):
    connections = add(
        table,
        FakeConnection('waits for a server'),
        FakeConnection('ahead', is_ahead=True),
        FakeConnection('later', stalled_since=NOW - 2.0),
        FakeConnection('first', stalled_since=NOW - 3.0),
        FakeConnection('just now', stalled_since=NOW - 0.5),
    )
    assert table.end_stalled(NOW)
    assert list_lost(connections) == ['first']
    assert table.end_stalled(NOW) and table.end_stalled(NOW)
    assert list_lost(connections) == ['ahead', 'later', 'first']
    assert not table.end_stalled(NOW)


def test_a_write_or_a_head_that_takes_too_long_ends(table):
    unread = NOW - _connection_table.MAX_WRITING_SECONDS
    connections = add(
        table,
        FakeConnection('unread', writing_since=unread - 0.1),
        FakeConnection('slow', writing_since=unread + 0.1),
        FakeConnection('head', head_began_at=NOW - HEAD_SECONDS - 0.1),
        FakeConnection('new head', head_began_at=NOW - HEAD_SECONDS + 0.1),
    )
    table.sweep(NOW, HEAD_SECONDS)
    assert list_lost(connections) == ['unread', 'head']


def test_a_client_that_left_is_noticed_while_requests_wait(table):
    pairs = [socket.socketpair() for _ in range(2)]
    gone, there = add(
        table,
        *(
            FakeConnection(name, is_ahead=True, descriptor=own.fileno())
            for name, (own, _) in zip(('gone', 'there'), pairs, strict=True)
        ),
    )
    for _, other in pairs:
        other.sendall(b'ahead')
    pairs[0][1].close()
    table.sweep(NOW, HEAD_SECONDS)
    for own, other in pairs:
        own.close()
        other.close()
    assert list_lost([gone, there]) == ['gone']


def test_holds_stay_within_the_budget_and_end_with_their_account():
    budget = web.MemoryBudget(100)
    first, second = budget.open_account(), budget.open_account()
    body, answer = first.open_hold(), first.open_hold()
    assert body.try_grow(60) and answer.try_grow(30)
    assert not second.open_hold().try_grow(20)
    answer.release()
    answer.release()
    assert second.open_hold().try_grow(20)
    first.close()
    assert budget.held_bytes == 20
    assert not first.open_hold().try_grow(1)
    assert not body.try_grow(1)


def test_what_makes_room_may_end_the_one_that_asks():
    budget = web.MemoryBudget(100)
    account = budget.open_account()
    hold = account.open_hold()
    assert hold.try_grow(90)

    def end_account():
        had_any = account.held_bytes > 0
        account.close()
        return had_any

    budget.add_relief(end_account)
    assert not hold.try_grow(20)
    assert budget.held_bytes == 0


@pytest.mark.parametrize(
    ('memory_mib', 'held_mib'), [(128, 20), (160, 40), (300, 127.5)]
)
def test_limits_go_by_the_memory(memory_mib, held_mib):
    limits = web.compute_client_limits(memory_mib << 20, 4100)
    assert limits.held_bytes == held_mib * web.BYTES_PER_MIB


def test_descriptors_are_kept_back():
    limits = web.compute_client_limits(1 << 40, 1000)
    taken = (
        limits.connections
        + limits.peer_connections
        + 2 * limits.side_connections
        + 2 * limits.tunnels
    )
    assert taken <= (1000 - 200) * 0.8
