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
    await ledger.place([2, 0], 0)
    await ledger.place([3], 1)
    step = await steps.Ledger(store, 't.s', 'b').take_over()
    assert step.order == [2, 0, 3]
    assert step.acknowledged == 1


async def test_a_paused_owner_is_stopped_by_the_log(store):
    old = await open_ledger(store)
    await steps.Ledger(store, 't.s', 'b').take_over()
    with pytest.raises(errors.LeaseLost):
        await old.place([1], 0)


@pytest.mark.parametrize('fault', ['refuse', 'lose'])
async def test_a_failed_write_is_repeated_and_counts_once(store, fault):
    ledger = await open_ledger(store)
    store.faults = [fault]
    await ledger.place([1], 0)
    step = await steps.Ledger(store, 't.s', 'b').read()
    assert step.order == [1]


async def test_a_step_is_opened_once(store):
    await open_ledger(store)
    with pytest.raises(errors.RevisionConflict):
        await open_ledger(store, 'b')


async def test_an_ended_step_is_not_opened_again(store):
    ledger = await open_ledger(store)
    await ledger.close(4)
    await ledger.erase()
    assert list(store.objects) == ['steps/t.s/000000']
    with pytest.raises(errors.StepEnded):
        await steps.Ledger(store, 't.s', 'b').take_over()
    with pytest.raises(errors.RevisionConflict):
        await open_ledger(store, 'b')


async def test_reading_an_unknown_step_says_so(store):
    with pytest.raises(errors.ObjectMissing):
        await steps.Ledger(store, 'no.such', 'b').read()


def test_a_cursor_beyond_the_order_is_refused():
    step = steps.Step(SPEC)
    step.place(0)
    with pytest.raises(errors.RequestInvalid, match='cursor = 2'):
        step.acknowledge(2)
