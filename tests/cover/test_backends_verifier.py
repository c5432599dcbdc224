"""Whether a server is still the run that is listed."""

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import errors

pytestmark = pytest.mark.anyio


class Scene:
    """A server that is listed as started at 7 ms."""

    def __init__(self, started=7, listed=7, is_current=False):
        self.started = started
        self.is_current = is_current
        self.now = 100.0
        self.asked = 0
        self.server = backends.BackendServer(
            backends.ServerReport('a', 'a:1', 's', 'dc', born_ms=listed)
        )
        self.verifier = backends.StartVerifier(
            self._read_start, lambda: self.is_current, lambda: self.now
        )

    async def _read_start(self, server):
        self.asked += 1
        if self.started is None:
            await anyio.sleep_forever()
        if isinstance(self.started, Exception):
            raise self.started
        return self.started

    async def may_continue(self):
        return await self.verifier.may_continue(self.server)

    async def may_begin(self):
        return await self.verifier.may_begin(self.server)


@pytest.mark.parametrize('is_current', [False, True])
@pytest.mark.parametrize(('started', 'expected'), [(7, True), (8, False)])
async def test_only_the_listed_run_goes_on(started, expected, is_current):
    scene = Scene(started, is_current=is_current)
    assert await scene.may_continue() is expected


UNSAID = [
    (0, 7),
    (7, 0),
    (errors.AnswerBroken('no report'), 7),
    (errors.BackendUnreachable('refused'), 7),
    (None, 7),
]


@pytest.mark.parametrize('is_current', [False, True])
@pytest.mark.parametrize(('started', 'listed'), UNSAID)
async def test_what_a_server_does_not_say_is_known_by_a_current_list(
    started, listed, is_current
):
    scene = Scene(started, listed, is_current)
    with anyio.fail_after(1):
        assert await scene.may_continue() is is_current
        assert await scene.may_begin() is is_current


async def test_a_text_begins_without_a_question_while_the_list_is_current():
    scene = Scene(started=8, is_current=True)
    assert await scene.may_begin()
    assert scene.asked == 0
    scene.is_current = False
    assert not await scene.may_begin()


async def test_a_server_is_asked_again_after_half_a_second():
    scene = Scene()
    for _ in range(3):
        assert await scene.may_continue()
    assert scene.asked == 1
    scene.started = 8
    scene.now += 0.6
    assert not await scene.may_continue()
    assert scene.asked == 2


async def test_another_run_is_not_known_by_the_answer_of_the_former():
    scene = Scene()
    assert await scene.may_continue()
    scene.server = backends.BackendServer(
        backends.ServerReport('a', 'a:1', 's', 'dc', born_ms=8)
    )
    assert not await scene.may_continue()
    scene.started = 8
    assert await scene.may_continue()
