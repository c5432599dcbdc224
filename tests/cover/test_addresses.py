import collections
import random

import msgspec
import pytest

from swiftjunction import membership
from swiftjunction import requests


def make_selector(*entries):
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
def test_entries_are_selected_by_state_and_ordered_by_data_center(
    entries, first, count, seconds
):
    selector = make_selector(*(tuple(entry.split()) for entry in entries))
    for _ in range(20):
        selection = selector.select('1')
        assert set(selection.addresses[:1]) <= first
        assert len(selection.addresses) == count
        assert selection.lifetime_seconds == seconds


def test_callers_are_balanced_over_the_entries_of_their_data_center():
    selector = make_selector(*[('1', 'live')] * 4, *[('2', 'live')] * 4)
    first = collections.Counter(
        selector.select('1').addresses[0] for _ in range(4000)
    )
    assert set(first) == {'e0', 'e1', 'e2', 'e3'}
    assert min(first.values()) > 900


@pytest.mark.parametrize('data_center', ['9', ''])
def test_callers_of_an_unknown_data_center_are_balanced_over_all(data_center):
    selector = make_selector(
        *[(str(number % 4), 'live') for number in range(8)]
    )
    first = collections.Counter(
        selector.select(data_center).addresses[0] for _ in range(4000)
    )
    assert len(first) == 8
    assert min(first.values()) > 400


def test_backup_entries_are_in_different_data_centers():
    selector = make_selector(
        ('1', 'live'), *[('2', 'live')] * 5, *[('3', 'live')] * 5
    )
    for _ in range(50):
        backups = {int(a[1:]) > 5 for a in selector.select('1').addresses[1:]}
        assert backups == {True, False}
