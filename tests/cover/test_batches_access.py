"""Access to a batch where the first way to it fails."""

import pytest

from swiftjunction import batches
from swiftjunction import errors


class FailingAccess(batches.BatchAccess):
    """A way to access batches on which each call raises one error."""

    def __init__(self, error):
        self._error = error

    async def read_results(self, *arguments):
        raise self._error

    async def read_body(self, *arguments):
        raise self._error

    async def end(self, *arguments):
        raise self._error


class FixedAccesses(batches.AccessList):
    """Lists the same ways at all times."""

    def __init__(self, *accesses):
        self._accesses = list(accesses)

    def list_accesses(self):
        return self._accesses


def make_failover(*found_errors):
    accesses = [FailingAccess(error) for error in found_errors]
    return batches.FailoverAccess(FixedAccesses(*accesses))


UNAVAILABLE = errors.PlatformUnavailable('away', step='test')
UNCERTAIN = errors.WriteUncertain('no response', step='test')
UNKNOWN = errors.PlatformError('not decoded', step='test')


@pytest.mark.anyio
class TestFailover:
    # Guards against answering 503, which promises that nothing was done, to
    # an end that the first way may have carried out.
    @pytest.mark.parametrize('first', [UNCERTAIN, UNKNOWN])
    async def test_an_end_stays_uncertain_if_the_next_way_is_unavailable(
        self, first
    ):
        failover = make_failover(first, UNAVAILABLE)
        with pytest.raises(type(first)) as caught:
            await failover.end('b')
        assert caught.value is first

    async def test_an_end_that_no_way_took_is_unavailable(self):
        failover = make_failover(UNAVAILABLE, UNAVAILABLE)
        with pytest.raises(errors.PlatformUnavailable):
            await failover.end('b')

    async def test_an_end_is_uncertain_if_only_the_last_way_may_have_it(self):
        failover = make_failover(UNAVAILABLE, UNCERTAIN)
        with pytest.raises(errors.WriteUncertain):
            await failover.end('b')

    async def test_a_read_that_is_unavailable_can_be_made_again(self):
        failover = make_failover(UNCERTAIN, UNAVAILABLE)
        with pytest.raises(errors.PlatformUnavailable):
            await failover.read_results('b', 0, 0.0)
        with pytest.raises(errors.PlatformUnavailable):
            await failover.read_body('b', 'i')
