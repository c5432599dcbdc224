"""The decision whether a key is valid, without a network."""

import anyio
import pytest

from swiftjunction import errors
from swiftjunction import organisations
from swiftjunction import telemetry
from tests import virtualtime

FIRST = organisations.Organisation('first', 1)
POLICY = organisations.KeyPolicy(
    strict=True, revoke_seconds=5.0, apply_seconds=3.0
)
MAX_AGE_SECONDS = 5.0 * 0.99 - 1.0


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'loop_factory': virtualtime.VirtualTimeLoop}


def make_table(*keys):
    return organisations.KeyTable([(FIRST, keys)])


def find(key, age_seconds, strict=True):
    policy = organisations.KeyPolicy(strict, 5.0, 3.0)
    return organisations.find_organisation(
        make_table('a'), key, age_seconds, policy
    )


class ManualConfirmation(organisations.TableConfirmation):
    """A confirmation that a test gives, on the event loop's clock."""

    def __init__(self):
        self.confirmed_at = 0.0

    def confirm(self):
        self.confirmed_at = anyio.current_time()

    def compute_age_seconds(self):
        return anyio.current_time() - self.confirmed_at


class Scene:
    """A checker whose table was confirmed some time ago."""

    def __init__(self):
        self.table = make_table('a')
        self.confirmation = ManualConfirmation()
        self.confirmation.confirmed_at = anyio.current_time() - 1.0
        self.metrics = telemetry.Metrics()
        self.checker = organisations.KeyChecker(
            lambda: self.table, self.confirmation, POLICY, self.metrics
        )


class TestDecision:
    @pytest.mark.parametrize('age_seconds', [0.0, MAX_AGE_SECONDS])
    def test_a_key_in_a_confirmed_table_is_served(self, age_seconds):
        assert find('a', age_seconds) == FIRST

    def test_a_key_is_not_served_once_it_may_have_been_removed(self):
        with pytest.raises(errors.NotRun) as raised:
            find('a', MAX_AGE_SECONDS + 0.001)
        assert raised.value.retry_after_seconds < 1.0

    def test_a_key_is_served_at_any_age_without_strict_revocation(self):
        assert find('a', float('inf'), strict=False) == FIRST

    @pytest.mark.parametrize('strict', [True, False])
    def test_401_needs_a_table_that_would_have_a_new_key(self, strict):
        with pytest.raises(errors.KeyUnknown):
            find('b', 3.0, strict)
        with pytest.raises(errors.NotRun):
            find('b', 3.001, strict)

    @pytest.mark.parametrize('values', [[], [''], ['a', 'a'], ['a', 'b']])
    def test_a_request_without_exactly_one_key_is_refused(self, values):
        key = organisations.select_key(values)
        with pytest.raises(errors.KeyUnknown):
            find(key, 0.0)
        with pytest.raises(errors.NotRun):
            find(key, 3.001)

    def test_no_error_shows_the_key(self):
        for age_seconds in (0.0, 100.0):
            with pytest.raises(errors.RequestError) as raised:
                find('a-wrong-key', age_seconds)
            assert 'a-wrong-key' not in str(raised.value)


@pytest.mark.anyio
class TestWaiting:
    async def test_a_new_key_is_served_once_the_table_has_it(self):
        scene = Scene()

        async def add_key():
            await anyio.sleep(0.3)
            scene.table = make_table('a', 'new')
            scene.confirmation.confirm()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(add_key)
            assert await scene.checker.identify('new') == FIRST

    async def test_an_unknown_key_waits_for_one_confirmation(self):
        scene = Scene()
        started_at = anyio.current_time()

        async def confirm():
            await anyio.sleep(0.3)
            scene.confirmation.confirm()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(confirm)
            with pytest.raises(errors.KeyUnknown):
                await scene.checker.identify('wrong')
        assert 0.3 <= anyio.current_time() - started_at < 0.5

    async def test_the_wait_ends_without_a_confirmation(self):
        scene = Scene()
        started_at = anyio.current_time()
        with pytest.raises(errors.KeyUnknown):
            await scene.checker.identify('wrong')
        assert anyio.current_time() - started_at <= 0.8

    async def test_only_so_many_unknown_keys_wait(self):
        scene = Scene()
        refused_at = []

        async def request():
            with pytest.raises(errors.KeyUnknown):
                await scene.checker.identify('wrong')
            refused_at.append(anyio.current_time())

        started_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for _ in range(1000):
                tasks.start_soon(request)
        at_once = [at for at in refused_at if at - started_at < 0.01]
        assert len(at_once) == 1000 - 64

    async def test_a_missing_key_does_not_wait(self):
        scene = Scene()
        started_at = anyio.current_time()
        with pytest.raises(errors.KeyUnknown):
            await scene.checker.identify(organisations.select_key([]))
        assert anyio.current_time() == started_at

    async def test_a_key_is_uncertain_after_a_pause(self):
        scene = Scene()
        await anyio.sleep(60.0)
        with pytest.raises(errors.NotRun):
            await scene.checker.identify('a')
        scene.confirmation.confirm()
        assert await scene.checker.identify('a') == FIRST
