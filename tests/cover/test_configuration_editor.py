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
def no_delay(monkeypatch):
    monkeypatch.setattr(_editor, 'FIRST_RETRY_DELAY_SECONDS', 0.0)


def make_store(changes=2):
    store = conftest.MemoryStore()

    async def fill():
        editor = configuration.Editor(store)
        for number in range(changes):
            await change(editor, f'before-{number}', *await seen(editor))

    anyio.run(fill)
    return store


async def seen(editor):
    subtree, version = await editor.read('fit')
    return version, subtree.revision


async def change(editor, nonce, version, revision):
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


async def try_change(editor, nonce, version, revision):
    try:
        await change(editor, nonce, version, revision)
    except errors.WriteUncertain:
        return 'unknown'
    except errors.PlatformError:
        return 'refused'
    return 'accepted'


@pytest.mark.parametrize('present', [0, 2])
@hypothesis.given(faults=FAULTS, racer=FAULTS)
@hypothesis.settings(max_examples=150)
def test_no_lost_answer_makes_the_outcome_a_lie(present, faults, racer):
    store = make_store(present)

    async def run():
        editor = configuration.Editor(store)
        version, revision = await seen(editor)
        store.faults = list(faults)
        outcome = await try_change(editor, 'mine', version, revision)
        store.faults = list(racer)
        await try_change(editor, 'other', version, revision)
        store.faults = []
        nonces = await list_nonces(editor)
        assert nonces.count('mine') <= 1
        if outcome != 'unknown':
            assert (outcome == 'accepted') == ('mine' in nonces)
        # Whoever was left in doubt sends it again and learns the truth.
        again = await try_change(editor, 'mine', version, revision)
        nonces = await list_nonces(editor)
        assert (again == 'accepted') == ('mine' in nonces)
        assert nonces.count('mine') <= 1
        if outcome == 'accepted':
            assert again == 'accepted'

    anyio.run(run)


@hypothesis.given(faults=FAULTS)
def test_the_history_has_no_gap_whatever_fails(faults):
    store = make_store(0)

    async def run():
        editor = configuration.Editor(store)
        for number in range(6):
            held = await seen(editor)
            store.faults = list(faults)
            await try_change(editor, f'n{number}', *held)
            store.faults = []
        # Each revision can be read.
        nonces = await list_nonces(editor)
        assert len(set(nonces)) == len(nonces)

    anyio.run(run)


@pytest.mark.anyio
async def test_a_stale_read_is_not_taken_for_the_last_word(store):
    editor = configuration.Editor(store)
    await change(editor, 'a', 0, 0)
    old = store.objects['config/fit']
    version = await change(editor, 'b', *await seen(editor))
    fresh = store.read
    reads = []

    async def read_stale(key):
        reads.append(key)
        return old if len(reads) == 1 else await fresh(key)

    store.read = read_stale
    assert await change(editor, 'c', version, 2) > version


@pytest.mark.anyio
async def test_history_says_who_changed_what_and_rolls_back(store):
    editor = configuration.Editor(store)
    await change(editor, 'a', 0, 0)
    version, _ = await seen(editor)
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
