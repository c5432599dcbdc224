import contextlib

import anyio
import httpx
import pytest

from swiftjunction import standins
from tests import platformworld

LAST = standins.make_platform_text('r1').count('\n')


@pytest.fixture
def deployment(tmp_path):
    return platformworld.PlatformDeployment(tmp_path)


def make_headers(request_id, **more):
    return {
        'host': platformworld.HOST,
        'swiftjunction-attempt-id': request_id,
        'swiftjunction-deadline-ms': '3000',
        'swiftjunction-model': platformworld.MODEL,
        **more,
    }


@contextlib.asynccontextmanager
async def open_stream(deployment, path, request_id='r1', **headers):
    url = f'http://127.0.0.1:{deployment.ports["vm-1"]["front"]}{path}'
    async with httpx.AsyncClient(trust_env=False, timeout=5) as client:
        async with client.stream(
            'POST', url, headers=make_headers(request_id, **headers)
        ) as response:
            yield response


async def read_lines(deployment, path, request_id='r1', **headers):
    async with open_stream(
        deployment, path, request_id, **headers
    ) as response:
        lines = [line async for line in response.aiter_lines()]
    return response, lines


def list_ids(lines):
    return [
        int(line.removeprefix('id: '))
        for line in lines
        if line.startswith('id: ')
    ]


def list_runs(deployment):
    return sorted(
        after
        for engine in deployment.engines.values()
        for _, after in engine.runs
    )


def set_faults(deployment, name, count):
    for engine in deployment.engines.values():
        engine.faults.set(name, count)


def share_faults(deployment):
    """Let faults hit whichever engine comes first, and no other one."""
    first, second = deployment.engines.values()
    second.faults = first.faults
    return first.faults


@pytest.mark.anyio
class TestStreams:
    async def test_a_stream_comes_back_whole_and_signed(self, deployment):
        async with deployment.run():
            response, lines = await read_lines(deployment, '/streams/a')
        assert list_ids(lines) == list(range(LAST + 1))
        assert response.headers['swiftjunction-attempt-id'] == 'r1'
        assert response.headers['swiftjunction-weight-versions'] == '1'
        assert (
            response.headers['swiftjunction-response-signature'] == 'signed.r1'
        )

    async def test_events_go_on_as_they_come(self, deployment):
        async with deployment.run():
            set_faults(deployment, 'stall', 1)
            async with open_stream(deployment, '/streams-once/a') as response:
                lines = response.aiter_lines()
                with anyio.fail_after(1):
                    first = await anext(lines)
        assert first == 'id: 0'

    async def test_what_the_caller_has_is_not_sent_again(self, deployment):
        async with deployment.run():
            _, lines = await read_lines(
                deployment, '/streams/a', **{'last-event-id': '3'}
            )
        assert list_ids(lines) == [4, 5]
        assert list_runs(deployment) == [3]

    async def test_a_refused_stream_runs_at_another_engine(self, deployment):
        async with deployment.run():
            share_faults(deployment).set('shed', 1)
            _, lines = await read_lines(deployment, '/streams-once/a')
        assert list_ids(lines) == list(range(LAST + 1))
        assert list_runs(deployment) == [-1]

    async def test_a_stream_that_all_refuse_has_not_run(self, deployment):
        async with deployment.run():
            set_faults(deployment, 'shed', 1)
            response, _ = await read_lines(deployment, '/streams-once/a')
        assert response.status_code == 503
        assert float(response.headers['retry-after']) > 0
        assert list_runs(deployment) == []


@pytest.mark.anyio
class TestBrokenStreams:
    @pytest.mark.parametrize('fault', ['cut', 'stall'])
    async def test_another_engine_goes_on_without_a_gap(
        self, deployment, fault
    ):
        async with deployment.run():
            share_faults(deployment).set(fault, 1)
            _, lines = await read_lines(deployment, '/streams/a')
        assert list_ids(lines) == list(range(LAST + 1))
        assert list_runs(deployment) == [-1, 2]

    async def test_a_stream_that_may_not_be_resumed_ends_broken(
        self, deployment
    ):
        async with deployment.run():
            set_faults(deployment, 'cut', 1)
            with pytest.raises(httpx.RemoteProtocolError):
                await read_lines(deployment, '/streams-once/a')
        assert list_runs(deployment) == [-1]

    async def test_one_that_breaks_at_each_server_ends_broken(
        self, deployment
    ):
        async with deployment.run():
            set_faults(deployment, 'cut', 2)
            # The second engine breaks it off at the same event.
            with pytest.raises(httpx.RemoteProtocolError):
                await read_lines(deployment, '/streams/a')
        assert list_runs(deployment) == [-1, 2]

    async def test_a_silent_stream_ends_at_its_deadline(self, deployment):
        async with deployment.run():
            set_faults(deployment, 'stall', 1)
            began = anyio.current_time()
            with pytest.raises(httpx.RemoteProtocolError):
                await read_lines(
                    deployment,
                    '/streams-once/a',
                    **{'swiftjunction-deadline-ms': '700'},
                )
            assert 0.6 < anyio.current_time() - began < 1.5

    async def test_a_failure_of_the_request_is_passed_on(self, deployment):
        async with deployment.run():
            set_faults(deployment, 'fail', 1)
            response, _ = await read_lines(deployment, '/streams-once/a')
        assert response.status_code == 500
        assert list_runs(deployment) == [-1]

    async def test_an_event_names_the_version_that_goes_on(self, deployment):
        deployment.engines['e1'].versions[platformworld.MODEL] = 5
        async with deployment.run():
            share_faults(deployment).set('cut', 1)
            response, lines = await read_lines(deployment, '/streams/a')
        known = int(response.headers['swiftjunction-weight-versions'])
        named = f'swiftjunction-weight-versions:{6 - known}'
        assert list_ids(lines) == list(range(LAST + 1))
        assert [line for line in lines if line.startswith('swift')] == [named]
        assert lines[lines.index(named) + 1] == 'id: 3'

    async def test_a_caller_that_leaves_ends_the_run(self, deployment):
        async with deployment.run():
            set_faults(deployment, 'stall', 1)
            async with open_stream(deployment, '/streams-once/a') as response:
                await anext(response.aiter_lines())
            with anyio.fail_after(1):
                while any(e._running for e in deployment.engines.values()):
                    await anyio.sleep(0.02)
            program = deployment.programs['vm-1']
            assert program._ingress._admission.in_flight == 0
