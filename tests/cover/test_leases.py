import pytest

from swiftjunction import errors
from swiftjunction import leases

pytestmark = pytest.mark.anyio


def keep(store, clock, holder):
    return leases.LeaseKeeper(
        store, 'wave/fit', holder, ttl_seconds=10, clock=clock
    )


async def test_a_lease_lapses_while_its_holder_is_paused(store, clock):
    lease = await keep(store, clock, 'a').take()
    lease.check()
    clock.now += 9
    with pytest.raises(errors.LeaseLost):
        lease.check()


async def test_another_holder_waits_a_whole_term_on_its_own_clock(
    store, clock
):
    await keep(store, clock, 'a').take()
    other = keep(store, clock, 'b')
    with pytest.raises(errors.LeaseLost):
        await other.take()
    clock.now += 10
    with pytest.raises(errors.LeaseLost):
        await other.take()
    clock.now += 1
    assert (await other.take()).token == 2


async def test_the_old_holder_cannot_renew_after_a_take_over(store, clock):
    first = keep(store, clock, 'a')
    await first.take()
    second = keep(store, clock, 'b')
    for _ in range(2):
        with pytest.raises(errors.LeaseLost):
            await second.take()
        clock.now += 6
    await second.take()
    with pytest.raises(errors.LeaseLost):
        await first.take()
    assert first.lease is None


async def test_a_lost_answer_of_a_renewal_is_resolved(store, clock):
    keeper = keep(store, clock, 'a')
    await keeper.take()
    store.faults = ['lose']
    clock.now += 3
    lease = await keeper.take()
    assert lease.token == 1
    assert lease.remaining_seconds() == pytest.approx(8)


async def test_the_deadline_counts_from_before_the_write(store, clock):
    keeper = keep(store, clock, 'a')
    create = store.create

    async def create_slowly(key, value):
        clock.now += 5
        return await create(key, value)

    store.create = create_slowly
    lease = await keeper.take()
    assert lease.remaining_seconds() == pytest.approx(3)


async def test_fencing_tokens_grow_over_a_release(store, clock):
    first = keep(store, clock, 'a')
    await first.take()
    await first.release()
    assert (await keep(store, clock, 'b').take()).token == 2
