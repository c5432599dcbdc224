import pytest

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import requests

pytestmark = pytest.mark.anyio

RESPONSE = backends.ServiceResponse(200, [], b'paid')


async def claim(store, owner='a'):
    return await requests.ClaimStore(store, owner).claim('team/ledger', 'k1')


async def test_a_repeated_request_gets_the_response_of_the_first(store):
    first = await claim(store)
    assert first.response is None
    await first.store_response(RESPONSE)
    assert (await claim(store, 'b')).response == RESPONSE


async def test_a_repeated_request_fails_while_the_first_may_be_running(store):
    await claim(store)
    with pytest.raises(errors.OutcomeUnknown, match='used before'):
        await claim(store, 'b')


async def test_a_request_that_did_not_run_releases_its_key(store):
    await (await claim(store)).release()
    assert (await claim(store, 'b')).response is None


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
async def test_store_faults_never_let_a_request_run_twice(
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
        runs += (await claim(store, 'b')).response is None
    except errors.OutcomeUnknown:
        pass
    assert runs <= 1
