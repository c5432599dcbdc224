import random

from swiftjunction import routing
from tests.cover import test_routing

PROMPTS = [f'{number:<64}' for number in range(40)]


def place(servers, prompts):
    return [
        servers.router.choose(
            routing.RoutingRequest('demo', 'fit', prompt=prompt), 'prefix'
        ).name
        for prompt in prompts
    ]


def test_the_same_beginning_goes_to_the_same_server(clock):
    servers = test_routing.Servers(clock, *['dc-1'] * 5)
    placed = place(servers, [p + 'x' * 40 for p in PROMPTS])
    assert place(servers, [p + 'y' * 40 for p in PROMPTS]) == placed
    assert len(set(placed)) == 5


def test_a_beginning_that_all_prompts_share_does_not_collect_them(clock):
    servers = test_routing.Servers(clock, *['dc-1'] * 5)
    placed = place(servers, ['instructions' * 8 + p * 3 for p in PROMPTS])
    assert len(set(placed)) == 5


def test_entries_agree_with_no_message_between_them(clock):
    first = test_routing.Servers(clock, *['dc-1'] * 5)
    second = test_routing.Servers(clock, *['dc-1'] * 5)
    assert place(first, PROMPTS) == place(second, PROMPTS)


def test_a_holder_above_the_load_bound_is_passed_over(clock):
    servers = test_routing.Servers(clock, *['dc-1'] * 5)
    (holder,) = place(servers, PROMPTS[:1])
    servers[holder].in_flight = 15
    (other,) = place(servers, PROMPTS[:1])
    assert other != holder
    servers[holder].in_flight = 0
    servers[other].in_flight = 15
    assert place(servers, PROMPTS[:1]) == [holder]


def test_a_swap_of_weights_forgets_what_an_engine_held(clock):
    servers = test_routing.Servers(clock, *['dc-1'] * 3)
    (holder,) = place(servers, PROMPTS[:1])
    servers[holder].in_flight = 15
    (other,) = place(servers, PROMPTS[:1])
    servers[holder].in_flight = 0
    servers.report(other, version=2)
    assert place(servers, PROMPTS[:1]) == [holder]


def test_learns_from_events_and_forgets_at_a_gap():
    holders = routing.PrefixIndex()
    blocks = routing.hash_blocks(PROMPTS[0])
    holders.apply_event('s0', routing.CacheEvent(7, blocks))
    assert holders.count_blocks('s0', blocks) == 2
    holders.apply_event('s0', routing.CacheEvent(8, [], blocks[1:]))
    assert holders.count_blocks('s0', blocks) == 1
    holders.apply_event('s0', routing.CacheEvent(10, ['other']))
    assert holders.count_blocks('s0', blocks) == 0
    assert holders.find_holders('other') == ['s0']


def test_an_event_that_comes_twice_or_late_adds_nothing():
    holders = routing.PrefixIndex()
    holders.apply_event('s0', routing.CacheEvent(2, ['b']))
    holders.apply_event('s0', routing.CacheEvent(1, ['a']))
    holders.apply_event('s0', routing.CacheEvent(2, [], ['b']))
    assert holders.find_holders('a') == []
    assert holders.find_holders('b') == ['s0']


def test_holders_take_bounded_memory(monkeypatch):
    monkeypatch.setattr(routing._prefix_index, 'MAX_BLOCKS', 100)
    holders = routing.PrefixIndex()
    rng = random.Random('holders')
    for _ in range(1000):
        name = f's{rng.randrange(20)}'
        holders.record_use(name, [str(rng.randrange(1000))])
    assert len(holders._blocks) == 100
    assert all(len(found) <= 4 for found in holders._blocks.values())
