import random

from swiftjunction import routing
from tests.cover import test_routing

PROMPTS = [f'{number:<64}' for number in range(40)]


def choose_servers(harness, prompts):
    return [
        harness.router.choose(
            routing.RoutingRequest('demo', 'fit', prompt=prompt), 'prefix'
        ).name
        for prompt in prompts
    ]


def test_prompts_with_the_same_prefix_go_to_the_same_server(clock):
    harness = test_routing.RouterHarness(clock, *['dc-1'] * 5)
    chosen = choose_servers(harness, [p + 'x' * 40 for p in PROMPTS])
    assert choose_servers(harness, [p + 'y' * 40 for p in PROMPTS]) == chosen
    assert len(set(chosen)) == 5


def test_a_prefix_common_to_all_prompts_does_not_concentrate_them(clock):
    harness = test_routing.RouterHarness(clock, *['dc-1'] * 5)
    chosen = choose_servers(
        harness, ['instructions' * 8 + p * 3 for p in PROMPTS]
    )
    assert len(set(chosen)) == 5


def test_entry_processes_choose_the_same_server_for_a_prefix(clock):
    first = test_routing.RouterHarness(clock, *['dc-1'] * 5)
    second = test_routing.RouterHarness(clock, *['dc-1'] * 5)
    assert choose_servers(first, PROMPTS) == choose_servers(second, PROMPTS)


def test_a_server_above_the_load_bound_is_skipped(clock):
    harness = test_routing.RouterHarness(clock, *['dc-1'] * 5)
    (preferred,) = choose_servers(harness, PROMPTS[:1])
    harness[preferred].in_flight = 15
    (other,) = choose_servers(harness, PROMPTS[:1])
    assert other != preferred
    harness[preferred].in_flight = 0
    harness[other].in_flight = 15
    assert choose_servers(harness, PROMPTS[:1]) == [preferred]


def test_a_weight_swap_invalidates_the_index_records_of_an_engine(clock):
    harness = test_routing.RouterHarness(clock, *['dc-1'] * 3)
    (preferred,) = choose_servers(harness, PROMPTS[:1])
    harness[preferred].in_flight = 15
    (other,) = choose_servers(harness, PROMPTS[:1])
    harness[preferred].in_flight = 0
    harness.report(other, version=2)
    assert choose_servers(harness, PROMPTS[:1]) == [preferred]


def test_a_gap_in_cache_events_invalidates_the_records_of_a_server():
    index = routing.PrefixIndex()
    blocks = routing.hash_blocks(PROMPTS[0])
    index.apply_event('s0', routing.CacheEvent(7, blocks))
    assert index.count_cached_blocks('s0', blocks) == 2
    index.apply_event('s0', routing.CacheEvent(8, [], blocks[1:]))
    assert index.count_cached_blocks('s0', blocks) == 1
    index.apply_event('s0', routing.CacheEvent(10, ['other']))
    assert index.count_cached_blocks('s0', blocks) == 0
    assert index.find_servers('other') == ['s0']


def test_duplicate_and_late_events_are_ignored():
    index = routing.PrefixIndex()
    index.apply_event('s0', routing.CacheEvent(2, ['b']))
    index.apply_event('s0', routing.CacheEvent(1, ['a']))
    index.apply_event('s0', routing.CacheEvent(2, [], ['b']))
    assert index.find_servers('a') == []
    assert index.find_servers('b') == ['s0']


def test_the_size_of_the_index_is_bounded(monkeypatch):
    monkeypatch.setattr(routing._holders, 'MAX_BLOCKS', 100)
    index = routing.PrefixIndex()
    rng = random.Random('holders')
    for _ in range(1000):
        name = f's{rng.randrange(20)}'
        index.record_use(name, [str(rng.randrange(1000))])
    assert len(index._blocks) == 100
    assert all(len(servers) <= 4 for servers in index._blocks.values())
