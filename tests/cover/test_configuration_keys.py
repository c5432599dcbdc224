import pytest

from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership

pytestmark = pytest.mark.anyio


class KeyHarness:
    """Keys in an object store, and the key ring of one daemon."""

    def __init__(self, store, administrator=''):
        self.store = store
        self.editor = configuration.KeyEditor(store)
        self.table = membership.RecordTable()
        self.ring = configuration.KeyRing(
            self.table,
            configuration.hash_key(administrator) if administrator else '',
        )

    def replicate(self):
        self.table.apply(
            links.Record(o.key, o.version, o.value)
            for o in self.store.objects.values()
        )


async def test_a_team_without_keys_is_open_to_everyone(store):
    assert KeyHarness(store).ring.identify('fit', '') == ''


async def test_an_administrator_key_protects_teams_without_keys(store):
    ring = KeyHarness(store, 'secret').ring
    assert ring.identify('fit', 'secret') == 'administrator'
    with pytest.raises(errors.KeyRefused, match='none was given'):
        ring.identify('fit', '')


async def test_a_key_is_valid_only_for_its_own_team(store):
    harness = KeyHarness(store)
    key = await harness.editor.issue('fit', 'eva')
    await harness.editor.issue('ledger', 'dan')
    harness.replicate()
    assert harness.ring.identify('fit', key) == 'eva'
    with pytest.raises(errors.KeyRefused, match='subtree of team ledger'):
        harness.ring.identify('ledger', key)


async def test_only_the_hash_of_a_key_is_stored(store):
    key = await KeyHarness(store).editor.issue('fit', 'eva')
    stored = store.objects['keys/fit'].value
    assert key.encode() not in stored
    assert key.split('.')[1].encode() not in stored


async def test_a_key_is_replaced_without_interruption(store):
    harness = KeyHarness(store)
    old = await harness.editor.issue('fit', 'eva')
    new = await harness.editor.issue('fit', 'eva')
    harness.replicate()
    assert {harness.ring.identify('fit', key) for key in (old, new)} == {'eva'}
    kept_hash = configuration.hash_key(new)
    assert await harness.editor.withdraw('fit', 'eva', keep=kept_hash) == 1
    harness.replicate()
    assert harness.ring.identify('fit', new) == 'eva'
    with pytest.raises(errors.KeyRefused):
        harness.ring.identify('fit', old)


async def test_an_operator_key_of_any_team_is_accepted(store):
    harness = KeyHarness(store)
    assert harness.ring.identify_operator('') == ''
    key = await harness.editor.issue('fit', 'eva')
    harness.replicate()
    assert harness.ring.identify_operator(key) == 'eva'
    with pytest.raises(errors.KeyRefused):
        harness.ring.identify_operator('')
