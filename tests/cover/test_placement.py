import hypothesis
from hypothesis import strategies
import pytest

from swiftjunction import placement
from swiftjunction.placement import _policy

HIGH_LOAD_SECONDS = _policy.MIN_HIGH_LOAD_SECONDS


def make_engines(**models):
    """Return engines for each model, one for each of its loads."""
    return [
        placement.PlannedEngine(f'{model}-{number}', model, model, True, load)
        for model, loads in models.items()
        for number, load in enumerate(loads)
    ]


def make_limits(model, least=1, most=100, share=1.0):
    return placement.ModelLimits(model, least, most, share)


@pytest.mark.parametrize(
    ('model_limits', 'engines', 'after', 'moves'),
    [
        # A model below its minimum gets an engine immediately.
        (
            [make_limits('a', least=2), make_limits('b')],
            make_engines(a=[0.1], b=[0.3, 0.2]),
            0,
            [('b-1', 'a')],
        ),
        # The donor never falls below its own minimum.
        (
            [make_limits('a', least=2), make_limits('b', least=2)],
            make_engines(a=[1.5], b=[0.0, 0.0]),
            0,
            [],
        ),
        # A short period of high load moves nothing.
        (
            [make_limits('a'), make_limits('b')],
            make_engines(a=[2], b=[0, 0]),
            HIGH_LOAD_SECONDS - 1,
            [],
        ),
        # Sustained high load moves the least loaded engine.
        (
            [make_limits('a'), make_limits('b')],
            make_engines(a=[2], b=[0.2, 0, 0]),
            HIGH_LOAD_SECONDS,
            [('b-1', 'a')],
        ),
        # A donor that would become too loaded keeps its engines.
        (
            [make_limits('a'), make_limits('b')],
            make_engines(a=[2], b=[0.5, 0.5]),
            HIGH_LOAD_SECONDS,
            [],
        ),
        # A model at its maximum gets no engine.
        (
            [make_limits('a', most=1), make_limits('b')],
            make_engines(a=[2], b=[0, 0]),
            HIGH_LOAD_SECONDS,
            [],
        ),
        # The larger share goes first; a donor gives up one engine at a time.
        (
            [make_limits('a'), make_limits('b', share=2), make_limits('c')],
            make_engines(a=[2], b=[2], c=[0, 0, 0]),
            HIGH_LOAD_SECONDS,
            [('c-0', 'b')],
        ),
    ],
)
def test_moves_follow_limits_and_demand(model_limits, engines, after, moves):
    policy = placement.DemandPolicy()
    policy.decide(model_limits, engines, 0.0)
    if after:
        found = policy.decide(model_limits, engines, after)
    else:
        found = placement.DemandPolicy().decide(model_limits, engines, 0.0)
    assert [(m.engine, m.model) for m in found] == moves


def test_a_drop_in_load_restarts_the_wait():
    policy = placement.DemandPolicy()
    model_limits = [make_limits('a'), make_limits('b')]
    busy = make_engines(a=[2], b=[0, 0])
    policy.decide(model_limits, busy, 0)
    policy.decide(
        model_limits, make_engines(a=[0.1], b=[0, 0]), HIGH_LOAD_SECONDS / 2
    )
    policy.decide(model_limits, busy, HIGH_LOAD_SECONDS / 2 + 1)
    assert policy.decide(model_limits, busy, HIGH_LOAD_SECONDS) == []


def test_no_engine_moves_while_one_of_the_model_is_changing():
    changing = placement.PlannedEngine('b-9', 'b', 'a')
    model_limits = [make_limits('a', least=3), make_limits('b')]
    engines = [*make_engines(a=[0], b=[0, 0, 0]), changing]
    assert placement.DemandPolicy().decide(model_limits, engines, 0) == []


@hypothesis.settings(max_examples=200)
@hypothesis.given(
    leasts=strategies.lists(strategies.integers(0, 3), min_size=2, max_size=4),
    data=strategies.data(),
)
def test_no_model_falls_below_its_minimum(leasts, data):
    model_limits = [
        make_limits(f'm{n}', least) for n, least in enumerate(leasts)
    ]
    engines = [
        placement.PlannedEngine(f'e{n}', model, model)
        for n, model in enumerate(
            data.draw(
                strategies.lists(
                    strategies.sampled_from([m.model for m in model_limits]),
                    min_size=1,
                    max_size=12,
                )
            )
        )
    ]
    policy = placement.DemandPolicy()
    now = 0.0
    for _ in range(12):
        before = {
            m.model: count_serving(engines, m.model) for m in model_limits
        }
        loads = [data.draw(strategies.floats(0, 2)) for _ in engines]
        engines = [
            placement.PlannedEngine(
                e.name, e.model, e.planned, e.is_serving, x
            )
            for e, x in zip(engines, loads, strict=True)
        ]
        moves = policy.decide(model_limits, engines, now)
        involved = [m.model for m in moves]
        for move in moves:
            (moved,) = [e for e in engines if e.name == move.engine]
            involved.append(moved.model)
        # A model takes part in at most one move at a time.
        assert len(involved) == len(set(involved))
        finish = data.draw(strategies.booleans())
        engines = [apply_moves(e, moves, finish) for e in engines]
        for limits in model_limits:
            serving = count_serving(engines, limits.model)
            assert serving >= min(before[limits.model], limits.least)
        now += HIGH_LOAD_SECONDS / 2


def count_serving(engines, model):
    return sum(e.model == model and e.is_serving for e in engines)


def apply_moves(engine, moves, finish):
    planned = next(
        (m.model for m in moves if m.engine == engine.name), engine.planned
    )
    model = planned if finish else engine.model
    return placement.PlannedEngine(engine.name, model, planned)
