import anyio
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction.daemons import _loads
from swiftjunction.demo import _fleet
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import placement
from swiftjunction.placement import _loading
from swiftjunction import weights

pytestmark = pytest.mark.anyio

MODEL_LIMITS = [
    placement.ModelLimits('fit', 2),
    placement.ModelLimits('tour', 1),
]


class RecordingSender:
    """Records orders; the test reports their effect on the engines."""

    def __init__(self):
        self.orders = []

    async def send(self, lease, address, service, order):
        self.orders.append((address, order.model, order.fencing_token))


class PlacementHarness:
    """Reported engines, a planner and the model loader of their shard."""

    def __init__(self, store, clock):
        self.store = store
        self.table = membership.RecordTable()
        self.directory = backends.Directory(self.table)
        self.plan_tracker = placement.PlanTracker(self.table)
        self.keeper = leases.LeaseKeeper(store, 'placement', 'a', clock=clock)
        self.planner = placement.Planner(
            store,
            self.keeper,
            lambda: MODEL_LIMITS,
            self.directory,
            self.plan_tracker,
            placement.DemandPolicy(),
        )
        self.sender = RecordingSender()
        self.loader = placement.ModelLoader(
            lambda: [limits.model for limits in MODEL_LIMITS],
            self.directory,
            self.plan_tracker,
            self.keeper,
            self.sender,
            lambda name: True,
        )
        for number in range(3):
            self.report(number, 'fit')

    def report(self, number, model, state='live'):
        name = f'engine-{number}'
        report = backends.ServerReport(
            name, name, model, 'dc-1', '', state, 1, 1, 0.0, 'fit'
        )
        self.table.put(f'server/{name}', msgspec.msgpack.encode(report))

    def distribute_plan(self):
        found = self.store.objects['placement/plan']
        self.table.apply([links.Record(found.key, found.version, found.value)])


async def test_an_engine_is_ordered_until_it_reports_the_planned_model(
    store, clock, monkeypatch
):
    monkeypatch.setattr(_loading, 'ORDER_RETRY_SECONDS', 0)
    harness = PlacementHarness(store, clock)
    lease = await harness.keeper.acquire()
    moves = await harness.planner.plan_once()
    assert moves == [placement.Move('engine-0', 'tour')]
    harness.distribute_plan()
    for _ in range(2):
        await harness.loader.send_orders(lease)
    assert (
        harness.sender.orders
        == [('engine-0', 'tour', lease.fencing_token)] * 2
    )
    assert await harness.planner.plan_once() == []
    harness.report(0, 'tour')
    await harness.loader.send_orders(lease)
    assert len(harness.sender.orders) == 2


async def test_an_engine_with_another_model_is_ordered_to_load_its_own(
    store, clock
):
    harness = PlacementHarness(store, clock)
    lease = await harness.keeper.acquire()
    harness.report(1, 'unknown')
    await harness.loader.send_orders(lease)
    assert harness.sender.orders == [('engine-1', 'fit', lease.fencing_token)]


async def test_no_plan_is_written_without_the_lease(store, clock):
    harness = PlacementHarness(store, clock)
    assert await harness.planner.plan_once() == []
    await harness.keeper.acquire()
    clock.now += 6
    with pytest.raises(errors.LeaseLost):
        await harness.planner.plan_once()
    assert 'placement/plan' not in store.objects


async def test_a_planner_with_an_outdated_plan_overwrites_nothing(
    store, clock
):
    harness = PlacementHarness(store, clock)
    await harness.keeper.acquire()
    await store.create('placement/plan', b'{"models": {"engine-2": "tour"}}')
    with pytest.raises(errors.RevisionConflict):
        await harness.planner.plan_once()


@pytest.mark.parametrize('fault', ['refuse', 'lose', 'drop'])
async def test_a_plan_whose_write_fails_is_written_again(store, clock, fault):
    harness = PlacementHarness(store, clock)
    await harness.keeper.acquire()
    store.faults = [fault]
    try:
        await harness.planner.plan_once()
    except errors.PlatformError:
        await harness.planner.plan_once()
    plan = msgspec.json.decode(store.objects['placement/plan'].value)
    assert plan['models'] == {'engine-0': 'tour'}


async def test_a_conductor_moves_an_engine_and_rolls_out_its_weights():
    plan = _fleet.FleetOptions(vms=2, engines=3, services=0, scorers=0)
    async with _fleet.Fleet(plan).run() as fleet:
        publisher = weights.Publisher(fleet.create_store_client())
        for model in ('fit', 'tour'):
            await publisher.publish(model)
        await fleet.configure(
            {
                f'demo/{model}': configuration.PathSettings(
                    model=model, least_servers=1, checks_fencing=True
                )
                for model in ('fit', 'tour')
            }
        )
        with anyio.fail_after(30):
            while sorted(
                (engine.model, engine.weight_version)
                for engine in fleet.engines.values()
            ) != [('fit', 1), ('fit', 1), ('tour', 1)]:
                await anyio.sleep(0.05)


@pytest.mark.parametrize(
    ('loads', 'reports'),
    [([0.0] * 30, 1), ([0.1, 0.0] * 30, 1), ([1.0] * 60, 4)],
)
async def test_a_smoothed_load_is_rarely_reported_anew(loads, reports):
    load_filter = _loads.LoadFilter()
    load_filter.filter(0.0, 0)
    seen = [load_filter.filter(x, 1.0 + n) for n, x in enumerate(loads)]
    assert len(set(seen)) <= reports + 1
    assert abs(seen[-1] - sum(loads) / len(loads)) < 0.25


def test_limits_of_several_paths_of_a_model_are_merged():
    table = membership.RecordTable()
    tree = configuration.Tree(table)
    paths = {
        'demo/a': configuration.PathSettings(model='fit', least_servers=1),
        'demo/b': configuration.PathSettings(
            model='fit', least_servers=3, most_servers=5, share=2
        ),
        'demo/c': configuration.PathSettings(model='free'),
    }
    subtree = configuration.Subtree('demo', paths=paths)
    table.put('config/demo', msgspec.json.encode(subtree))
    (found,) = placement.list_model_limits(tree)
    assert (found.model, found.least, found.share) == ('fit', 3, 3.0)
