import collections

import anyio
import pytest

from swiftjunction import errors
from swiftjunction import steps
from tests import virtualtime

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'loop_factory': virtualtime.VirtualTimeLoop}


async def acquire_and_release(queue, flow, weight, seconds, counts):
    await queue.acquire(flow, weight)
    counts[flow] += 1
    await anyio.sleep(seconds)
    queue.release()


async def acquire_repeatedly(queue, flow, weight, counts):
    async with anyio.create_task_group() as tasks:
        while True:
            await queue.acquire(flow, weight)
            counts[flow] += 1
            tasks.start_soon(release_later, queue)


async def release_later(queue):
    await anyio.sleep(1)
    queue.release()


@pytest.mark.parametrize(
    'weights', [{'a': 1, 'b': 1}, {'a': 3, 'b': 1}, {'a': 4, 'b': 2, 'c': 1}]
)
async def test_backlogged_steps_get_slots_in_proportion_to_their_weights(
    weights,
):
    # All slots are released at the same times, the worst case of a burst.
    queue = steps.FairQueue(7)
    counts = collections.Counter()
    with anyio.move_on_after(200):
        async with anyio.create_task_group() as tasks:
            for flow, weight in weights.items():
                for _ in range(8):
                    tasks.start_soon(
                        acquire_repeatedly, queue, flow, weight, counts
                    )
    total = sum(counts.values())
    for flow, weight in weights.items():
        share = weight / sum(weights.values())
        assert counts[flow] / total == pytest.approx(share, abs=0.02)


async def test_a_step_that_was_idle_does_not_starve_the_others():
    queue = steps.FairQueue(1)
    counts = collections.Counter()
    with anyio.move_on_after(200):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(acquire_repeatedly, queue, 'a', 1, counts)
            await anyio.sleep(100)
            before = counts['a']
            tasks.start_soon(acquire_repeatedly, queue, 'b', 1, counts)
    assert counts['a'] - before == pytest.approx(50, abs=2)
    assert counts['b'] == pytest.approx(50, abs=2)


async def test_a_cancelled_wait_does_not_leak_a_slot():
    queue = steps.FairQueue(1)
    counts = collections.Counter()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(acquire_and_release, queue, 'a', 1, 10, counts)
        await anyio.sleep(1)
        with anyio.move_on_after(1):
            await queue.acquire('b', 1)
        await anyio.sleep(1)
        tasks.start_soon(acquire_and_release, queue, 'c', 1, 1, counts)
    assert counts == {'a': 1, 'c': 1}
    assert queue.free == 1


@pytest.mark.parametrize('remaining_seconds', [780, 390, 100, 1, 0, -5])
def test_a_late_step_weighs_at_most_four_times_its_share(remaining_seconds):
    weight = steps.compute_weight(2.0, remaining_seconds, 780)
    assert 2.0 <= weight <= 8.0


def iter_tasks(*groups):
    groups = [steps.Group(prompt, count) for prompt, count in groups]
    return list(steps.StepSpec('t', 's', 'p', groups).iter_tasks())


def test_the_group_with_the_longest_completions_goes_first():
    length_estimator = steps.LengthEstimator()
    for prompt, tokens in (('short', 5), ('long', 500), ('middle', 50)):
        length_estimator.update(prompt, tokens)
    schedule = steps.LongestFirst(length_estimator)
    for task in iter_tasks(('short', 1), ('long', 2), ('middle', 1)):
        schedule.push(task, False)
    prompts = [schedule.pop().group.prompt for _ in range(4)]
    assert prompts == ['long', 'long', 'middle', 'short']
    assert schedule.pop() is None


def test_unknown_groups_are_probed_and_slow_groups_continue_first():
    schedule = steps.LongestFirst(steps.LengthEstimator())
    for task in iter_tasks(('a', 2), ('b', 2), ('c', 2)):
        schedule.push(task, False)
    probes = [schedule.pop() for _ in range(3)]
    assert [task.group.prompt for task in probes] == ['a', 'b', 'c']
    schedule.update(probes[0], 5)
    schedule.update(probes[2], 7)
    prompts = [schedule.pop().group.prompt for _ in range(3)]
    assert prompts == ['b', 'c', 'a']


def test_committed_samples_go_first():
    schedule = steps.LongestFirst(steps.LengthEstimator())
    first, second, third = iter_tasks(('a', 3))
    schedule.push(first, False)
    schedule.push(third, True)
    schedule.push(second, True)
    assert [schedule.pop() for _ in range(3)] == [third, second, first]


def test_the_number_of_estimated_prompts_is_bounded(monkeypatch):
    monkeypatch.setattr('swiftjunction.steps._schedule.MAX_PROMPTS', 2)
    length_estimator = steps.LengthEstimator()
    for prompt in 'abc':
        length_estimator.update(prompt, 1)
    assert [length_estimator.estimate(p) for p in 'abc'] == [None, 1.0, 1.0]


def test_a_step_has_at_most_100000_samples():
    spec = steps.StepSpec('t', 's', 'p', [steps.Group('x', 100_001)])
    with pytest.raises(errors.RequestInvalid, match='100001 samples'):
        spec.validate()
