import pytest

from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership

pytestmark = pytest.mark.anyio

SETTINGS = configuration.PathSettings


async def apply(editor, paths, version, team='fit'):
    return await editor.apply(team, paths, author='op', version=version)


async def test_a_path_inherits_unset_fields_from_its_parent(store):
    editor = configuration.Editor(store)
    await apply(
        editor,
        {
            'fit': SETTINGS(freshness_versions=3, timeout_seconds=5),
            'fit/advice': SETTINGS(model='fit', freshness_versions=0),
        },
        0,
    )
    table = membership.RecordTable()
    tree = configuration.Tree(table)
    stored = store.objects['config/fit']
    table.apply([links.Record(stored.key, stored.version, stored.value)])
    settings = tree.resolve('fit/advice')
    assert settings.freshness_versions == 0
    assert settings.timeout_seconds == 5
    assert settings.policy == 'two-choices'


async def test_a_change_of_an_outdated_version_is_a_conflict(store):
    editor = configuration.Editor(store)
    version = await apply(editor, {'fit': SETTINGS(model='a')}, 0)
    await apply(editor, {'fit': SETTINGS(model='b')}, version)
    with pytest.raises(errors.RevisionConflict, match='changed by op'):
        await apply(editor, {'fit': SETTINGS(model='c')}, version)


async def test_a_path_of_another_team_is_rejected(store):
    editor = configuration.Editor(store)
    with pytest.raises(errors.SettingsError, match='outside of the subtree'):
        await apply(editor, {'ledger/x': SETTINGS()}, 0)


async def test_a_change_whose_response_is_lost_is_found_to_be_applied(store):
    editor = configuration.Editor(store)
    store.faults = ['ok', 'lose']
    assert await apply(editor, {'fit': SETTINGS(model='a')}, 0) == 1


async def test_an_invalid_subtree_leaves_the_previous_one_active(
    store,
):
    table = membership.RecordTable()
    tree = configuration.Tree(table)
    editor = configuration.Editor(store)
    await apply(editor, {'fit': SETTINGS(model='a')}, 0)
    stored = store.objects['config/fit']
    table.apply([links.Record(stored.key, stored.version, stored.value)])
    table.apply([links.Record('config/fit', 99, b'{"paths": 3}')])
    assert tree.resolve('fit').model == 'a'
