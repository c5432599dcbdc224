import pytest

from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership

pytestmark = pytest.mark.anyio


class Team:
    """Keys on a platform, and as a daemon has them in force."""

    def __init__(self, store, administrator=''):
        self.store = store
        self.editor = configuration.KeyEditor(store)
        self.table = membership.RecordTable()
        self.ring = configuration.KeyRing(
            self.table,
            configuration.hash_key(administrator) if administrator else '',
        )

    def spread(self):
        self.table.apply(
            links.Record(o.key, o.version, o.value)
            for o in self.store.objects.values()
        )


async def test_a_team_without_keys_is_open(store):
    assert Team(store).ring.identify('fit', '') == ''


async def test_with_an_administrators_key_nothing_is_open(store):
    ring = Team(store, 'secret').ring
    assert ring.identify('fit', 'secret') == 'administrator'
    with pytest.raises(errors.KeyRefused, match='none was given'):
        ring.identify('fit', '')


async def test_a_key_opens_its_own_teams_subtree_only(store):
    team = Team(store)
    key = await team.editor.issue('fit', 'eva')
    await team.editor.issue('ledger', 'dan')
    team.spread()
    assert team.ring.identify('fit', key) == 'eva'
    with pytest.raises(errors.KeyRefused, match='subtree of team ledger'):
        team.ring.identify('ledger', key)


async def test_a_key_is_kept_only_as_its_hash(store):
    key = await Team(store).editor.issue('fit', 'eva')
    stored = store.objects['keys/fit'].value
    assert key.encode() not in stored
    assert key.split('.')[1].encode() not in stored


async def test_a_key_is_replaced_without_an_interruption(store):
    team = Team(store)
    old = await team.editor.issue('fit', 'eva')
    new = await team.editor.issue('fit', 'eva')
    team.spread()
    assert {team.ring.identify('fit', key) for key in (old, new)} == {'eva'}
    kept = configuration.hash_key(new)
    assert await team.editor.withdraw('fit', 'eva', keep=kept) == 1
    team.spread()
    assert team.ring.identify('fit', new) == 'eva'
    with pytest.raises(errors.KeyRefused):
        team.ring.identify('fit', old)


async def test_a_dump_is_for_operators_of_any_team(store):
    team = Team(store)
    assert team.ring.identify_operator('') == ''
    key = await team.editor.issue('fit', 'eva')
    team.spread()
    assert team.ring.identify_operator(key) == 'eva'
    with pytest.raises(errors.KeyRefused):
        team.ring.identify_operator('')
