import pytest

from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership

pytestmark = pytest.mark.anyio

SETTINGS = configuration.PathSettings


async def apply(editor, paths, version, team='fit'):
    return await editor.apply(team, paths, author='op', version=version)


async def test_a_path_inherits_what_it_leaves_unset(store):
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
    found = store.objects['config/fit']
    table.apply([links.Record(found.key, found.version, found.value)])
    settings = tree.resolve('fit/advice')
    assert settings.freshness_versions == 0
    assert settings.timeout_seconds == 5
    assert settings.policy == 'two-choices'


async def test_of_two_racing_operators_one_is_told(store):
    editor = configuration.Editor(store)
    version = await apply(editor, {'fit': SETTINGS(model='a')}, 0)
    await apply(editor, {'fit': SETTINGS(model='b')}, version)
    with pytest.raises(errors.RevisionConflict, match='changed by op'):
        await apply(editor, {'fit': SETTINGS(model='c')}, version)


async def test_another_teams_path_is_refused(store):
    editor = configuration.Editor(store)
    with pytest.raises(errors.SettingsError, match='outside of the subtree'):
        await apply(editor, {'ledger/x': SETTINGS()}, 0)


async def test_a_lost_answer_is_found_to_be_accepted(store):
    editor = configuration.Editor(store)
    store.faults = ['ok', 'lose']
    assert await apply(editor, {'fit': SETTINGS(model='a')}, 0) == 1


async def test_a_subtree_that_is_not_understood_leaves_the_old_in_force(
    store,
):
    table = membership.RecordTable()
    tree = configuration.Tree(table)
    editor = configuration.Editor(store)
    await apply(editor, {'fit': SETTINGS(model='a')}, 0)
    found = store.objects['config/fit']
    table.apply([links.Record(found.key, found.version, found.value)])
    table.apply([links.Record('config/fit', 99, b'{"paths": 3}')])
    assert tree.resolve('fit').model == 'a'
