import pytest

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import requests

pytestmark = pytest.mark.anyio

ANSWER = backends.ServiceResponse(200, [], b'paid')


async def claim(store, owner='a'):
    return await requests.Claims(store, owner).claim('team/ledger', 'k1')


async def test_a_repeat_gets_the_answer_of_the_first_run(store):
    first = await claim(store)
    assert first.answer is None
    await first.keep_answer(ANSWER)
    assert (await claim(store, 'b')).answer == ANSWER


async def test_a_repeat_while_the_first_runs_is_told_so(store):
    await claim(store)
    with pytest.raises(errors.OutcomeUnknown, match='used before'):
        await claim(store, 'b')


async def test_a_request_that_did_not_run_frees_its_key(store):
    await (await claim(store)).release()
    assert (await claim(store, 'b')).answer is None


@pytest.mark.parametrize(
    ('faults', 'expected'),
    [
        (['refuse'], None),
        (['lose'], None),
        (['refuse', 'lose'], None),
        (['refuse'] * 4, errors.NotRun),
        (['lose', 'refuse', 'refuse', 'refuse'], errors.NotRun),
        (['lose', 'ok', 'refuse'], errors.OutcomeUnknown),
    ],
)
async def test_faults_of_the_platform_never_give_two_runs(
    store, faults, expected
):
    store.faults = list(faults)
    runs = 0
    try:
        await claim(store)
        runs += 1
    except errors.RequestError as error:
        assert expected is not None
        assert isinstance(error, expected)
    store.faults = []
    try:
        runs += (await claim(store, 'b')).answer is None
    except errors.OutcomeUnknown:
        pass
    assert runs <= 1
