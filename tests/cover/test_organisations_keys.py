"""The key table of a configuration."""

import pytest

from swiftjunction import organisations

FIRST = organisations.Organisation('first', 1)
SECOND = organisations.Organisation('second')


def make_table(*entries):
    return organisations.KeyTable(entries)


def test_finds_the_organisation_of_each_key():
    table = make_table((FIRST, ['a', 'b']), (SECOND, ['c']))
    assert [table.find(key) for key in 'abc'] == [FIRST, FIRST, SECOND]
    assert table.find('d') is None


@pytest.mark.parametrize('key', ['', 'é' * 100, 'x' * 16_384, '\udcff'])
def test_finds_nothing_for_an_unusual_key(key):
    assert make_table((FIRST, ['a', ''])).find(key) is None


def test_a_key_of_two_organisations_belongs_to_neither(caplog):
    table = make_table((FIRST, ['a', 'shared']), (SECOND, ['shared', 'c']))
    assert table.find('shared') is None
    assert table.find('a') == FIRST
    assert table.find('c') == SECOND
    assert 'several organisations' in caplog.text
    assert 'shared' not in caplog.text


def test_a_key_that_is_listed_twice_counts_once():
    table = make_table((FIRST, ['a', 'a']))
    assert table.find('a') == FIRST
    assert len(table) == 1


def test_keeps_no_key_in_readable_form():
    table = make_table((FIRST, ['a-secret-key']))
    assert 'a-secret-key' not in str(table._by_digest)


def test_an_organisation_without_keys_is_known_by_name():
    assert make_table((FIRST, [])).names == {'first'}
