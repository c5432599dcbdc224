import collections
import random

import msgspec
import pytest

from swiftjunction import membership
from swiftjunction import requests


def make_book(*entries):
    table = membership.RecordTable()
    processes = membership.ProcessList(table)
    for number, (data_center, state) in enumerate(entries):
        process = membership.Process(
            f'vm-{number}', 'entry', f'e{number}', '', data_center, '', state
        )
        key = f'process/{process.name}'
        table.put(key, msgspec.msgpack.encode(process))
    return requests.EntrySelector(processes, 30.0, random.Random('addresses'))


@pytest.mark.parametrize(
    ('entries', 'first', 'count', 'seconds'),
    [
        (['1 live', '1 live', '2 live'], {'e0', 'e1'}, 3, 30),
        (['1 overloaded', '1 live', '2 live'], {'e1'}, 2, 30),
        (['1 draining', '2 live', '3 live'], {'e1', 'e2'}, 2, 15),
        (['1 dead', '2 live'], {'e1'}, 1, 15),
        (['1 overloaded', '2 draining'], {'e0'}, 1, 15),
        (['1 draining', '2 dead'], {'e0'}, 1, 15),
        (['1 dead'], set(), 0, 15),
    ],
)
def test_names_entries_by_state_then_by_data_center(
    entries, first, count, seconds
):
    book = make_book(*(tuple(entry.split()) for entry in entries))
    for _ in range(20):
        answer = book.select('1')
        assert set(answer.addresses[:1]) <= first
        assert len(answer.addresses) == count
        assert answer.lifetime_seconds == seconds


def test_spreads_callers_evenly_over_near_entries():
    book = make_book(*[('1', 'live')] * 4, *[('2', 'live')] * 4)
    first = collections.Counter(
        book.select('1').addresses[0] for _ in range(4000)
    )
    assert set(first) == {'e0', 'e1', 'e2', 'e3'}
    assert min(first.values()) > 900


@pytest.mark.parametrize('data_center', ['9', ''])
def test_spreads_callers_of_no_known_data_center_evenly(data_center):
    book = make_book(*[(str(number % 4), 'live') for number in range(8)])
    first = collections.Counter(
        book.select(data_center).addresses[0] for _ in range(4000)
    )
    assert len(first) == 8
    assert min(first.values()) > 400


def test_spare_entries_are_in_different_data_centers():
    book = make_book(('1', 'live'), *[('2', 'live')] * 5, *[('3', 'live')] * 5)
    for _ in range(50):
        spare = {int(a[1:]) > 5 for a in book.select('1').addresses[1:]}
        assert spare == {True, False}
