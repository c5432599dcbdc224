import anyio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from swiftjunction import errors
from swiftjunction import leases
from tests import conftest


def make_keeper(store, clock, holder, timing=leases.LeaseTiming()):
    return leases.LeaseKeeper(
        store, 'orders/1', holder, timing=timing, clock=clock
    )


@pytest.mark.anyio
class TestOneHolder:
    async def test_a_lease_expires_while_its_holder_is_paused(
        self, store, clock
    ):
        lease = await make_keeper(store, clock, 'a').acquire()
        lease.check()
        clock.now += 9
        with pytest.raises(errors.LeaseLost):
            lease.check()

    async def test_the_deadline_counts_from_before_the_write(
        self, store, clock
    ):
        keeper = make_keeper(store, clock, 'a')
        create = store.create

        async def create_slowly(key, value):
            clock.now += 5
            return await create(key, value)

        store.create = create_slowly
        lease = await keeper.acquire()
        assert lease.remaining_seconds() == pytest.approx(3)

    @pytest.mark.parametrize(
        ('faults', 'remaining_seconds'),
        [
            ([['ok']], 8),
            # The write took effect, and reading the object back succeeds ...
            ([['lose']], 8),
            # ... or fails, and the next attempt finds the write.
            ([['lose', 'refuse'], ['ok']], 8),
            ([['lose', 'refuse'], ['refuse'], ['ok']], 8),
            ([['lose', 'refuse'], ['ok', 'lose']], 8),
            # The write did not take effect.
            ([['refuse']], 5),
            ([['drop'], ['ok']], 8),
            ([['drop', 'refuse'], ['ok', 'drop']], 5),
        ],
    )
    async def test_a_failed_renewal_does_not_end_the_term(
        self, store, clock, faults, remaining_seconds
    ):
        keeper = make_keeper(store, clock, 'a')
        token = (await keeper.acquire()).fencing_token
        clock.now += 3
        for round_faults in faults:
            store.faults = list(round_faults)
            try:
                await keeper.acquire()
            except errors.PlatformError:
                pass
        assert keeper.lease.fencing_token == token
        assert keeper.lease.remaining_seconds() == pytest.approx(
            remaining_seconds
        )

    async def test_a_conflict_with_the_holders_delayed_write_keeps_the_lease(
        self, store, clock
    ):
        keeper = make_keeper(store, clock, 'a')
        token = (await keeper.acquire()).fencing_token
        clock.now += 3
        store.faults = ['delay', 'ok', 'ok', 'land']
        with pytest.raises(errors.WriteUncertain):
            await keeper.acquire()
        clock.now += 1
        lease = await keeper.acquire()
        assert lease.fencing_token == token
        assert lease.remaining_seconds() == pytest.approx(7)

    # Guards against a lost renewal that is reported as not carried out.
    async def test_a_lost_renewal_that_cannot_be_read_back_is_uncertain(
        self, store, clock
    ):
        keeper = make_keeper(store, clock, 'a')
        lease = await keeper.acquire()
        store.faults = ['lose', 'refuse']
        with pytest.raises(errors.WriteUncertain):
            await keeper.acquire()
        store.faults = []
        assert await keeper.acquire() is lease

    async def test_a_renewal_that_hangs_times_out_and_is_read_back(
        self, store, clock
    ):
        timing = leases.LeaseTiming(
            renew_interval_seconds=9,
            renew_timeout_seconds=0.01,
            retry_interval_seconds=0.01,
        )
        keeper = make_keeper(store, clock, 'a', timing)
        token = (await keeper.acquire()).fencing_token
        clock.now += 3
        store.faults = ['hang']
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keeper.run)
            with anyio.fail_after(5):
                while keeper.lease.remaining_seconds() < 8:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert keeper.lease.fencing_token == token

    async def test_renewal_timeout_and_longest_action_fit_before_expiry(self):
        timing = leases.LeaseTiming()
        needed_seconds = (
            timing.renew_interval_seconds + timing.renew_timeout_seconds + 3
        )
        assert needed_seconds <= (timing.ttl_seconds - timing.margin_seconds)


@pytest.mark.anyio
class TestChangeOfHolder:
    async def test_another_holder_waits_a_whole_ttl_on_its_own_clock(
        self, store, clock
    ):
        first = await make_keeper(store, clock, 'a').acquire()
        other = make_keeper(store, clock, 'b')
        with pytest.raises(errors.LeaseLost):
            await other.acquire()
        clock.now += 10
        with pytest.raises(errors.LeaseLost):
            await other.acquire()
        clock.now += 1
        assert (await other.acquire()).fencing_token > first.fencing_token

    async def test_the_old_holder_cannot_renew_after_a_take_over(
        self, store, clock
    ):
        first = make_keeper(store, clock, 'a')
        await first.acquire()
        second = make_keeper(store, clock, 'b')
        for _ in range(2):
            with pytest.raises(errors.LeaseLost):
                await second.acquire()
            clock.now += 6
        await second.acquire()
        with pytest.raises(errors.LeaseLost):
            await first.acquire()
        assert first.lease is None

    async def test_fencing_tokens_increase_after_a_release(self, store, clock):
        first = make_keeper(store, clock, 'a')
        old = await first.acquire()
        await first.release()
        assert (
            await make_keeper(store, clock, 'b').acquire()
        ).fencing_token > old.fencing_token

    async def test_fencing_tokens_increase_across_leases(self, store, clock):
        old = await make_keeper(store, clock, 'a').acquire()
        other = leases.LeaseKeeper(store, 'orders/2', 'a', clock=clock)
        assert (await other.acquire()).fencing_token > old.fencing_token

    async def test_a_first_term_has_no_predecessor_to_wait_for(
        self, store, clock
    ):
        lease = await make_keeper(store, clock, 'a').acquire()
        lease.check_predecessor_done(3)

    async def test_a_later_term_waits_for_actions_of_its_predecessor(
        self, store, clock
    ):
        first = make_keeper(store, clock, 'a')
        await first.acquire()
        await first.release()
        lease = await make_keeper(store, clock, 'b').acquire()
        clock.now += 3
        with pytest.raises(
            errors.LeaseLost,
            match='actions under the previous term of lease orders/1 may',
        ):
            lease.check_predecessor_done(3)
        clock.now += 0.1
        lease.check_predecessor_done(3)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Three keepers with different clock rates and a store that fails."""

    @stateful.initialize(
        rates=strategies.lists(
            strategies.floats(0.995, 1.005), min_size=3, max_size=3
        )
    )
    def begin(self, rates):
        self.store = conftest.MemoryStore()
        self.clocks = [conftest.FakeClock() for _ in rates]
        self.rates = rates
        self.keepers = [
            make_keeper(self.store, clock, f'holder-{number}')
            for number, clock in enumerate(self.clocks)
        ]
        self.tokens = [0, 0, 0]

    @stateful.rule(
        number=strategies.integers(0, 2),
        faults=strategies.lists(
            strategies.sampled_from(
                ['ok', 'refuse', 'lose', 'drop', 'delay', 'land']
            ),
            max_size=4,
        ),
    )
    def acquire(self, number, faults):
        self.store.faults = list(faults)
        try:
            anyio.run(self.keepers[number].acquire)
        except (errors.PlatformError, errors.LeaseLost):
            pass
        self.store.faults = []

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1, 3, 8, 10.2, 30]))
    def wait(self, seconds):
        # Advancing the clock also simulates a paused holder.
        for clock, rate in zip(self.clocks, self.rates, strict=True):
            clock.now += seconds * rate

    @stateful.rule(number=strategies.integers(0, 2))
    def release(self, number):
        try:
            anyio.run(self.keepers[number].release)
        except errors.PlatformError:
            pass

    @stateful.rule()
    def apply_a_delayed_write(self):
        self.store.apply_delayed_write()

    @stateful.invariant()
    def at_most_one_keeper_may_act(self):
        acting_leases = [
            keeper.lease
            for keeper in getattr(self, 'keepers', [])
            if keeper.lease is not None and self._may_act(keeper.lease)
        ]
        assert len(acting_leases) <= 1

    @stateful.invariant()
    def a_keeper_that_may_act_has_the_highest_token(self):
        for keeper in getattr(self, 'keepers', []):
            if keeper.lease is not None and self._may_act(keeper.lease):
                assert keeper.lease.fencing_token >= max(self.tokens)
                self.tokens.append(keeper.lease.fencing_token)

    def _may_act(self, lease):
        try:
            lease.check()
        except errors.LeaseLost:
            return False
        return True


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


@pytest.mark.anyio
@pytest.mark.parametrize(
    'value',
    [
        b'5',
        b'{"notes":' + b'[' * 6_000 + b']' * 6_000 + b'}',
        b'{"holder":"b","token":1,"nonce":"","ttl_seconds":1e300}',
        b'{"holder":"b","token":-1,"nonce":"","ttl_seconds":8}',
    ],
)
async def test_a_lease_with_an_odd_record_is_acquired_after_its_ttl(
    store, clock, value
):
    holder, other = (make_keeper(store, clock, name) for name in 'ab')
    token = (await holder.acquire()).fencing_token
    store._put('leases/orders/1', value)
    with pytest.raises(errors.LeaseLost):
        await holder.acquire()
    assert holder.lease is None
    with pytest.raises(errors.LeaseLost):
        await other.acquire()
    clock.now += leases.LeaseTiming().ttl_seconds
    with pytest.raises(errors.LeaseLost):
        await other.acquire()
    clock.now += 1
    assert (await other.acquire()).fencing_token > token


@pytest.mark.anyio
async def test_an_odd_record_hides_no_other_lease(store, clock):
    await make_keeper(store, clock, 'a').acquire()
    store._put('leases/odd', b'5')
    [state] = await leases.list_leases(store)
    assert state.holder == 'a'
