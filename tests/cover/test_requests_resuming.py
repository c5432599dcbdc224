"""Streams that callers resume, without a network."""

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import requests
from swiftjunction.requests import _resuming
from swiftjunction.requests import _stream_progress

pytestmark = pytest.mark.anyio

EVENT = backends.StreamEvent(0, 'text')


def make_call(service, request_id='r1'):
    return requests.ForwardedCall(
        path='/p',
        settings=configuration.PathSettings(service=service),
        service_call=backends.ServiceCall(
            request_id=request_id,
            method='POST',
            path='/p',
            query='',
            body=b'',
            headers=[],
            timeout_seconds=0.0,
        ),
        deadline=anyio.current_time() + 5.0,
        idempotent=False,
    )


def make_server(software='v1'):
    directory = backends.Directory(membership.RecordTable())
    directory.update(
        backends.ServerReport('a', 'a:1', 's1', 'dc', software=software)
    )
    return directory.get('a')


class Scene:
    """A stream that began at a server of the service ``s1``."""

    def __init__(self, resumable=True):
        self.resumer = _resuming.StreamResumer(requests.LocalOrigins())
        self.resumable = resumable

    async def begin(self, event=EVENT):
        progress = _stream_progress.StreamProgress(
            backends.StreamPosition(), self.resumable, 'r1'
        )
        await self.resumer.record(
            make_call('s1'), progress, make_server(), event
        )

    async def resume(self, drawn, allowed):
        point = requests.ResumePoint(3, 'r1', frozenset(allowed))
        return await self.resumer.resume(make_call(drawn, 'r2'), True, point)


async def test_a_stream_goes_on_at_the_service_that_began_it():
    # Of a route that splits its requests between services.
    scene = Scene()
    await scene.begin()
    call, progress = await scene.resume('s2', ['s1', 's2'])
    assert call.settings.service == 's1'
    assert progress.software == 'v1'
    assert progress.position.number == 3
    assert progress.first_request_id == 'r1'


async def test_a_stream_whose_service_the_route_has_left_is_refused():
    scene = Scene()
    await scene.begin()
    with pytest.raises(errors.StreamNotResumable) as caught:
        await scene.resume('s2', ['s2'])
    assert caught.value.retry_after_seconds == 0


@pytest.mark.parametrize(
    ('resumable', 'event'),
    [(False, EVENT), (True, backends.StreamEvent(backends.NO_EVENT, ''))],
)
async def test_nothing_is_recorded_of_what_cannot_be_resumed(resumable, event):
    scene = Scene(resumable)
    await scene.begin(event)
    with pytest.raises(errors.StreamNotResumable):
        await scene.resume('s1', ['s1'])
