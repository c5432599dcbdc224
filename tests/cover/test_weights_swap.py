import random

import anyio
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import requests
from swiftjunction import routing
from swiftjunction import weights

CONTINUE, RESUME, RESTART = weights.SwapAction


@pytest.mark.parametrize(
    ('policy', 'oldest_version', 'is_whole', 'action'),
    [
        ('finish', 4, True, CONTINUE),
        ('finish', 4, False, CONTINUE),
        # Would be rejected as stale at its end; restarting saves engine time.
        ('finish', 3, True, RESTART),
        ('finish', 3, False, CONTINUE),
        ('resume', 4, True, RESUME),
        ('resume', 4, False, RESUME),
        ('resume', 3, True, RESTART),
        ('regenerate', 4, True, RESTART),
        # Tokens that the caller has received cannot be withdrawn.
        ('regenerate', 4, False, CONTINUE),
    ],
)
def test_each_policy_chooses_its_action(
    policy, oldest_version, is_whole, action
):
    swap = weights.SwapContext(oldest_version, 4, is_whole)
    assert weights.SWAP_POLICIES[policy].decide(swap) is action


class SwappingEngines:
    """Engines that swap their weights after the second chunk."""

    def __init__(self):
        self.version = 1
        self.calls = []

    async def stream(self, server, call):
        self.calls.append(call)
        for offset in range(call.generated_tokens, 4):
            if offset == 2:
                self.version = 2
            end = 'stop' if offset == 3 else ''
            yield backends.Chunk(f'{offset}', offset, 1, self.version, end)

    async def cancel(self, server, request_id):
        pass


async def run(policy, is_whole=True, idempotent=True):
    table = membership.RecordTable()
    history = weights.VersionHistory('fit')
    for _ in range(2):
        history.add(0.0)
    table.put('weights/fit', msgspec.json.encode(history))
    report = backends.ServerReport(
        'engine-0', '127.0.0.1:1', 'fit', 'dc-1', weight_version=2
    )
    table.put('server/engine-0', msgspec.msgpack.encode(report))
    engines = SwappingEngines()
    rng = random.Random(0)
    generator = requests.CompletionGenerator(
        routing.Router(backends.Directory(table), 'dc-1', rng),
        engines,
        weights.VersionTracker(table),
        requests.RetryBudget(),
        requests.SuspectTracker(requests.RecordCrashRegistry(table), 'a'),
    )
    call = requests.GenerationCall(
        request_id='r1',
        path='demo/fit',
        settings=configuration.PathSettings(
            model='fit',
            freshness_versions=1,
            policy='two-choices',
            swap=policy,
        ),
        prompt='which size?',
        max_tokens=4,
        deadline=anyio.current_time() + 5,
        idempotent=idempotent,
        is_whole=is_whole,
    )
    chunks = [chunk async for chunk in generator.generate(call)]
    return requests.build_segments(chunks), engines.calls


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('policy', 'options', 'attempts'),
    [
        ('finish', {}, 1),
        ('resume', {}, 2),
        ('regenerate', {'is_whole': False}, 1),
        ('resume', {'idempotent': False}, 1),
    ],
)
async def test_a_completion_across_a_swap_is_complete_and_names_both_versions(
    policy, options, attempts
):
    segments, calls = await run(policy, **options)
    assert segments == [
        requests.Segment(1, 0, 2),
        requests.Segment(2, 2, 2),
    ]
    assert len(calls) == attempts
    if attempts == 2:
        assert calls[1].generated_tokens == 2
        assert calls[1].request_id != calls[0].request_id


@pytest.mark.anyio
async def test_the_regenerate_policy_restarts_a_completion_not_streamed():
    with pytest.raises(errors.WeightsSwapped):
        await run('regenerate')
