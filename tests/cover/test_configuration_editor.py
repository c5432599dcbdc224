import anyio
import hypothesis
import hypothesis.strategies as st
import pytest

from swiftjunction import configuration
from swiftjunction.configuration import _editor
from swiftjunction import errors
from tests import conftest

SETTINGS = configuration.PathSettings

FAULTS = st.lists(st.sampled_from(['ok', 'lose', 'refuse']), max_size=12)


@pytest.fixture(autouse=True)
def retry_without_delay(monkeypatch):
    monkeypatch.setattr(_editor, 'FIRST_RETRY_DELAY_SECONDS', 0.0)


def make_store(changes=2):
    store = conftest.MemoryStore()

    async def fill():
        editor = configuration.Editor(store)
        for number in range(changes):
            await apply_change(
                editor, f'before-{number}', *await read_current(editor)
            )

    anyio.run(fill)
    return store


async def read_current(editor):
    subtree, version = await editor.read('fit')
    return version, subtree.revision


async def apply_change(editor, nonce, version, revision):
    return await editor.apply(
        'fit',
        {'fit': SETTINGS(model=nonce)},
        author='op',
        version=version,
        revision=revision,
        nonce=nonce,
    )


async def list_nonces(editor):
    newest, _ = await editor.read('fit')
    return [
        (await editor.read_revision('fit', revision)).nonce
        for revision in range(1, newest.revision + 1)
    ]


async def try_to_change(editor, nonce, version, revision):
    try:
        await apply_change(editor, nonce, version, revision)
    except errors.WriteUncertain:
        return 'unknown'
    except errors.PlatformError:
        return 'refused'
    return 'accepted'


@pytest.mark.parametrize('existing_changes', [0, 2])
@hypothesis.given(faults=FAULTS, racing_faults=FAULTS)
@hypothesis.settings(max_examples=150)
def test_the_reported_outcome_is_correct_when_responses_are_lost(
    existing_changes, faults, racing_faults
):
    store = make_store(existing_changes)

    async def run():
        editor = configuration.Editor(store)
        version, revision = await read_current(editor)
        store.faults = list(faults)
        outcome = await try_to_change(editor, 'mine', version, revision)
        store.faults = list(racing_faults)
        await try_to_change(editor, 'other', version, revision)
        store.faults = []
        nonces = await list_nonces(editor)
        assert nonces.count('mine') <= 1
        if outcome != 'unknown':
            assert (outcome == 'accepted') == ('mine' in nonces)
        # Sending the change again shows whether it was applied.
        again = await try_to_change(editor, 'mine', version, revision)
        nonces = await list_nonces(editor)
        assert (again == 'accepted') == ('mine' in nonces)
        assert nonces.count('mine') <= 1
        if outcome == 'accepted':
            assert again == 'accepted'

    anyio.run(run)


@hypothesis.given(faults=FAULTS)
def test_the_history_has_no_gaps_when_calls_fail(faults):
    store = make_store(0)

    async def run():
        editor = configuration.Editor(store)
        for number in range(6):
            current = await read_current(editor)
            store.faults = list(faults)
            await try_to_change(editor, f'n{number}', *current)
            store.faults = []
        # Reads every revision.
        nonces = await list_nonces(editor)
        assert len(set(nonces)) == len(nonces)

    anyio.run(run)


# Guards against reporting a change as refused that may have been applied, as
# the subtree cannot be decoded when it is read back.
@pytest.mark.anyio
async def test_a_lost_change_that_cannot_be_read_back_is_uncertain(store):
    editor = configuration.Editor(store)
    version, revision = await read_current(editor)
    store.faults = ['ok', 'lose']
    read = store.read

    async def read_broken(key):
        if key in store.objects:
            raise errors.ObjectBroken('invalid', step='test')
        return await read(key)

    store.read = read_broken
    with pytest.raises(errors.WriteUncertain):
        await apply_change(editor, 'mine', version, revision)
    assert 'config/fit' in store.objects


@pytest.mark.anyio
async def test_a_change_is_applied_after_an_outdated_read(store):
    editor = configuration.Editor(store)
    await apply_change(editor, 'a', 0, 0)
    old = store.objects['config/fit']
    version = await apply_change(editor, 'b', *await read_current(editor))
    read_fresh = store.read
    reads = []

    async def read_stale(key):
        reads.append(key)
        return old if len(reads) == 1 else await read_fresh(key)

    store.read = read_stale
    assert await apply_change(editor, 'c', version, 2) > version


@pytest.mark.anyio
async def test_the_history_lists_changes_and_allows_a_rollback(store):
    editor = configuration.Editor(store)
    await apply_change(editor, 'a', 0, 0)
    version, _ = await read_current(editor)
    await editor.apply(
        'fit', {'fit/x': SETTINGS(share=2.0)}, author='eva', version=version
    )
    entries = await configuration.list_history(editor, 'fit', 10)
    assert [(e.revision, e.changed_by, e.paths) for e in entries] == [
        (2, 'eva', ['fit/x']),
        (1, 'op', ['fit']),
    ]
    newest, version = await editor.read('fit')
    old = await editor.read_revision('fit', 1)
    changes = configuration.find_changes(newest, old)
    assert changes == {'fit/x': None}
    await editor.apply('fit', changes, author='op', version=version)
    newest, _ = await editor.read('fit')
    assert newest.paths == old.paths
    assert newest.revision == 3
