import pytest

from swiftjunction import errors
from swiftjunction import steps

pytestmark = pytest.mark.anyio

SPEC = steps.StepSpec('t', 's', 'demo/advice', [steps.Group('p', 4)])


async def open_ledger(store, owner='a'):
    ledger = steps.Ledger(store, 't.s', owner)
    await ledger.open(SPEC)
    return ledger


async def test_a_new_owner_reads_the_order_of_the_old_one(store):
    ledger = await open_ledger(store)
    await ledger.append([2, 0], 0)
    await ledger.append([3], 1)
    step = await steps.Ledger(store, 't.s', 'b').take_over()
    assert step.order == [2, 0, 3]
    assert step.acknowledged == 1


async def test_a_paused_owner_is_stopped_by_the_ledger(store):
    old = await open_ledger(store)
    await steps.Ledger(store, 't.s', 'b').take_over()
    with pytest.raises(errors.LeaseLost):
        await old.append([1], 0)


@pytest.mark.parametrize('fault', ['refuse', 'lose'])
async def test_a_failed_write_is_retried_and_applied_once(store, fault):
    ledger = await open_ledger(store)
    store.faults = [fault]
    await ledger.append([1], 0)
    step = await steps.Ledger(store, 't.s', 'b').read()
    assert step.order == [1]


async def test_a_step_is_opened_once(store):
    await open_ledger(store)
    with pytest.raises(errors.RevisionConflict):
        await open_ledger(store, 'b')


async def test_an_ended_step_is_not_opened_again(store):
    ledger = await open_ledger(store)
    await ledger.close(4)
    await ledger.delete_data()
    assert list(store.objects) == ['steps/t.s/head']
    with pytest.raises(errors.StepEnded):
        await steps.Ledger(store, 't.s', 'b').take_over()
    with pytest.raises(errors.RevisionConflict):
        await open_ledger(store, 'b')


async def test_reading_an_unknown_step_raises_object_missing(store):
    with pytest.raises(errors.ObjectMissing):
        await steps.Ledger(store, 'no.such', 'b').read()


def test_a_cursor_beyond_the_order_is_refused():
    step = steps.Step(SPEC)
    step.commit(0)
    with pytest.raises(
        errors.RequestInvalid, match='cursor 2 is beyond the last .* number 1'
    ):
        step.acknowledge(2)


def make_spec(groups):
    return steps.StepSpec('t', 's', 'demo/advice', groups)


@pytest.mark.parametrize(
    'faults',
    [
        ['refuse'],
        ['lose'],
        ['refuse', 'lose'],
        ['lose', 'refuse', 'refuse'],
        ['lose', 'lose', 'lose'],
    ],
)
@pytest.mark.parametrize('call', ['open', 'append', 'take-over', 'close'])
async def test_every_change_survives_every_fault_of_the_platform(
    store, call, faults
):
    ledger = steps.Ledger(store, 't.s', 'a')
    if call == 'open':
        store.faults = list(faults)
    await ledger.open(SPEC)
    store.faults = list(faults) if call == 'append' else []
    await ledger.append([2, 0], 0)
    store.faults = ['ok', 'ok', *faults] if call == 'take-over' else []
    other = steps.Ledger(store, 't.s', 'b')
    step = await other.take_over()
    assert (step.order, step.spec) == ([2, 0], SPEC)
    assert await ledger.read_owner() == 'b'
    store.faults = list(faults) if call == 'close' else []
    await other.close(2)
    with pytest.raises(errors.StepEnded):
        await ledger.read()


async def test_a_spec_above_the_object_limit_is_stored_in_parts(store):
    groups = [steps.Group(f'{n} ' + 'p' * 2000, 8) for n in range(1024)]
    spec = make_spec(groups)
    await steps.Ledger(store, 't.s', 'a').open(spec)
    assert max(len(o.value) for o in store.objects.values()) < 1_000_000
    step = await steps.Ledger(store, 't.s', 'b').take_over()
    assert step.spec == spec


async def test_the_head_stays_small_however_long_the_order_is(store):
    ledger = steps.Ledger(store, 't.s', 'a')
    await ledger.open(make_spec([steps.Group('p', 8192)]))
    for start in range(0, 8192, 512):
        await ledger.append(list(range(start, start + 512)), start)
        assert len(store.objects['steps/t.s/head'].value) < 10_000
    step = await steps.Ledger(store, 't.s', 'b').take_over()
    assert step.order == list(range(8192))


async def test_two_owners_seal_the_same_block_identically(store):
    ledger = steps.Ledger(store, 't.s', 'a')
    await ledger.open(make_spec([steps.Group('p', 3000)]))
    await ledger.append(list(range(1500)), 0)
    other = steps.Ledger(store, 't.s', 'b')
    await other.take_over()
    with pytest.raises(errors.LeaseLost):
        await ledger.append([1500], 0)
    await other.append([1501], 0)
    step = await steps.Ledger(store, 't.s', 'c').take_over()
    assert step.order == [*range(1500), 1501]


async def test_an_owner_paused_until_after_the_end_cannot_write(store):
    old = await open_ledger(store)
    new = steps.Ledger(store, 't.s', 'b')
    await new.take_over()
    await new.close(4)
    await new.delete_data()
    with pytest.raises(errors.LeaseLost):
        await old.append([1], 0)
    with pytest.raises(errors.LeaseLost):
        await old.close(0)


async def test_a_step_can_be_closed_after_a_cancelled_append_took_effect(
    store,
):
    ledger = await open_ledger(store)
    before = store.objects['steps/t.s/head'].version
    await ledger.append([1], 0)
    # Simulates a cancelled append whose write took effect.
    ledger._version = before
    await ledger.close(0)
    with pytest.raises(errors.StepEnded):
        await ledger.read_owner()


class StaleStore:
    """Returns outdated objects for the first `stale_reads` reads."""

    def __init__(self, store, stale_reads):
        self._store = store
        self._stale_objects = dict(store.objects)
        self._stale_reads = stale_reads

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def read(self, key):
        if self._stale_reads and key in self._stale_objects:
            self._stale_reads -= 1
            return self._stale_objects[key]
        return await self._store.read(key)


async def test_a_take_over_retries_after_a_stale_read(store):
    ledger = await open_ledger(store)
    stale = StaleStore(store, 2)
    await ledger.append([3, 1], 0)
    step = await steps.Ledger(stale, 't.s', 'b').take_over()
    assert step.order == [3, 1]


async def test_a_stale_read_does_not_reopen_an_ended_step(store):
    ledger = await open_ledger(store)
    stale = StaleStore(store, 2)
    await ledger.close(4)
    with pytest.raises(errors.StepEnded):
        await steps.Ledger(stale, 't.s', 'b').take_over()


@pytest.mark.parametrize('call', ['open', 'take_over'])
async def test_open_and_take_over_report_an_outage(store, call, monkeypatch):
    monkeypatch.setattr(
        'swiftjunction.steps._ledger.WRITE_RETRY_DELAY_SECONDS', 0
    )
    if call == 'take_over':
        await open_ledger(store)
    ledger = steps.Ledger(store, 't.s', 'b')
    store.faults = ['refuse'] * 1000
    with pytest.raises(errors.PlatformUnavailable):
        await (ledger.open(SPEC) if call == 'open' else ledger.take_over())
