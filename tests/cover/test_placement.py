import hypothesis
from hypothesis import strategies
import pytest

from swiftjunction import placement
from swiftjunction.placement import _policy

HOLD = _policy.HOLD_SECONDS


def make_engines(**models):
    """Make engines of each model, with a load for each."""
    return [
        placement.EngineState(f'{model}-{number}', model, model, True, load)
        for model, loads in models.items()
        for number, load in enumerate(loads)
    ]


def need(model, least=1, most=100, share=1.0):
    return placement.ModelLimits(model, least, most, share)


@pytest.mark.parametrize(
    ('needs', 'engines', 'after', 'moves'),
    [
        # A model without its least gets an engine at once.
        (
            [need('a', least=2), need('b')],
            make_engines(a=[0.1], b=[0.3, 0.2]),
            0,
            [('b-1', 'a')],
        ),
        # Never from a model that is at its own least.
        (
            [need('a', least=2), need('b', least=2)],
            make_engines(a=[1.5], b=[0.0, 0.0]),
            0,
            [],
        ),
        # Load must stand for a while ...
        ([need('a'), need('b')], make_engines(a=[2], b=[0, 0]), HOLD - 1, []),
        # ... and then moves one engine, the least loaded.
        (
            [need('a'), need('b')],
            make_engines(a=[2], b=[0.2, 0, 0]),
            HOLD,
            [('b-1', 'a')],
        ),
        # No engine comes from a model that would be loaded without it.
        ([need('a'), need('b')], make_engines(a=[2], b=[0.5, 0.5]), HOLD, []),
        # Nor to a model that has its most.
        (
            [need('a', most=1), need('b')],
            make_engines(a=[2], b=[0, 0]),
            HOLD,
            [],
        ),
        # The larger share goes first; a donor gives one at a time.
        (
            [need('a'), need('b', share=2), need('c')],
            make_engines(a=[2], b=[2], c=[0, 0, 0]),
            HOLD,
            [('c-0', 'b')],
        ),
    ],
)
def test_moves_follow_need_and_demand(needs, engines, after, moves):
    policy = placement.DemandPolicy()
    policy.decide(needs, engines, 0.0)
    if after:
        found = policy.decide(needs, engines, after)
    else:
        found = placement.DemandPolicy().decide(needs, engines, 0.0)
    assert [(m.engine, m.model) for m in found] == moves


def test_a_load_that_falls_between_starts_the_wait_again():
    policy = placement.DemandPolicy()
    needs = [need('a'), need('b')]
    busy = make_engines(a=[2], b=[0, 0])
    policy.decide(needs, busy, 0)
    policy.decide(needs, make_engines(a=[0.1], b=[0, 0]), HOLD / 2)
    policy.decide(needs, busy, HOLD / 2 + 1)
    assert policy.decide(needs, busy, HOLD) == []


def test_nothing_moves_while_an_engine_of_the_model_is_changing():
    changing = placement.EngineState('b-9', 'b', 'a')
    needs = [need('a', least=3), need('b')]
    engines = [*make_engines(a=[0], b=[0, 0, 0]), changing]
    assert placement.DemandPolicy().decide(needs, engines, 0) == []


@hypothesis.settings(max_examples=200)
@hypothesis.given(
    leasts=strategies.lists(strategies.integers(0, 3), min_size=2, max_size=4),
    data=strategies.data(),
)
def test_no_model_is_brought_below_its_least(leasts, data):
    needs = [need(f'm{n}', least) for n, least in enumerate(leasts)]
    engines = [
        placement.EngineState(f'e{n}', model, model)
        for n, model in enumerate(
            data.draw(
                strategies.lists(
                    strategies.sampled_from([n.model for n in needs]),
                    min_size=1,
                    max_size=12,
                )
            )
        )
    ]
    policy = placement.DemandPolicy()
    now = 0.0
    for _ in range(12):
        before = {n.model: count_serving(engines, n.model) for n in needs}
        loads = [data.draw(strategies.floats(0, 2)) for _ in engines]
        engines = [
            placement.EngineState(e.name, e.model, e.planned, e.is_serving, x)
            for e, x in zip(engines, loads, strict=True)
        ]
        moves = policy.decide(needs, engines, now)
        touched = [m.model for m in moves]
        for move in moves:
            (moved,) = [e for e in engines if e.name == move.engine]
            touched.append(moved.model)
        # At most one change to or from a model at a time.
        assert len(touched) == len(set(touched))
        finish = data.draw(strategies.booleans())
        engines = [carry_out(e, moves, finish) for e in engines]
        for model in needs:
            left = count_serving(engines, model.model)
            assert left >= min(before[model.model], model.least)
        now += HOLD / 2


def count_serving(engines, model):
    return sum(e.model == model and e.is_serving for e in engines)


def carry_out(engine, moves, finish):
    planned = next(
        (m.model for m in moves if m.engine == engine.name), engine.planned
    )
    model = planned if finish else engine.model
    return placement.EngineState(engine.name, model, planned)
