import contextlib

import anyio
import httpx
import pytest

from swiftjunction import standins
from tests import platform_deployment

MODEL = platform_deployment.MODEL
LAST_EVENT_ID = standins.make_platform_text('r1').count('\n')


@pytest.fixture
def deployment(tmp_path):
    return platform_deployment.PlatformDeployment(tmp_path)


def make_headers(request_id, **more):
    return {
        'host': platform_deployment.HOST,
        'swiftjunction-attempt-id': request_id,
        'swiftjunction-deadline-ms': '3000',
        'swiftjunction-model': platform_deployment.MODEL,
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


def list_resume_positions(deployment):
    return sorted(
        after
        for engine in deployment.engines.values()
        for _, after in engine.runs
    )


def set_faults(deployment, name, count):
    for engine in deployment.engines.values():
        engine.faults.set(name, count)


def share_engine_faults(deployment):
    """Share the faults, so that each hits only the engine called first."""
    first, second = deployment.engines.values()
    second.faults = first.faults
    return first.faults


@pytest.mark.anyio
class TestStreams:
    async def test_a_stream_is_returned_complete_and_signed(self, deployment):
        async with deployment.run():
            response, lines = await read_lines(deployment, '/streams/a')
        assert list_ids(lines) == list(range(LAST_EVENT_ID + 1))
        assert response.headers['swiftjunction-attempt-id'] == 'r1'
        assert response.headers['swiftjunction-weight-versions'] == '1'
        assert (
            response.headers['swiftjunction-response-signature'] == 'signed.r1'
        )

    async def test_events_are_relayed_as_they_arrive(self, deployment):
        async with deployment.run():
            set_faults(deployment, 'stall', 1)
            async with open_stream(deployment, '/streams-once/a') as response:
                lines = response.aiter_lines()
                with anyio.fail_after(1):
                    first = await anext(lines)
        assert first == 'id: 0'

    async def test_events_before_the_last_event_id_are_not_repeated(
        self, deployment
    ):
        async with deployment.run():
            async with open_stream(deployment, '/streams/a', 'r0') as response:
                await anext(response.aiter_lines())
            _, lines = await read_lines(
                deployment,
                '/streams/a',
                **{'last-event-id': '3', 'resumes': 'r0'},
            )
        assert list_ids(lines) == [4, 5]
        assert list_resume_positions(deployment) == [-1, 3]

    async def test_a_refused_stream_is_retried_at_another_engine(
        self, deployment
    ):
        async with deployment.run():
            share_engine_faults(deployment).set('shed', 1)
            _, lines = await read_lines(deployment, '/streams-once/a')
        assert list_ids(lines) == list(range(LAST_EVENT_ID + 1))
        assert list_resume_positions(deployment) == [-1]

    async def test_a_stream_that_all_engines_refuse_does_not_run(
        self, deployment
    ):
        async with deployment.run():
            set_faults(deployment, 'shed', 1)
            response, _ = await read_lines(deployment, '/streams-once/a')
        assert response.status_code == 503
        assert float(response.headers['retry-after']) > 0
        assert list_resume_positions(deployment) == []


@pytest.mark.anyio
class TestInterruptedStreams:
    @pytest.mark.parametrize('fault', ['cut', 'stall'])
    async def test_another_engine_resumes_without_a_gap(
        self, deployment, fault
    ):
        async with deployment.run():
            share_engine_faults(deployment).set(fault, 1)
            _, lines = await read_lines(deployment, '/streams/a')
        assert list_ids(lines) == list(range(LAST_EVENT_ID + 1))
        assert list_resume_positions(deployment) == [-1, 2]

    async def test_a_stream_that_is_not_resumable_is_aborted(self, deployment):
        async with deployment.run():
            set_faults(deployment, 'cut', 1)
            with pytest.raises(httpx.RemoteProtocolError):
                await read_lines(deployment, '/streams-once/a')
        assert list_resume_positions(deployment) == [-1]

    async def test_a_stream_that_breaks_at_every_engine_is_aborted(
        self, deployment
    ):
        async with deployment.run():
            set_faults(deployment, 'cut', 2)
            # The second engine aborts the stream at the same event.
            with pytest.raises(httpx.RemoteProtocolError):
                await read_lines(deployment, '/streams/a')
        assert list_resume_positions(deployment) == [-1, 2]

    async def test_a_failure_of_the_next_engine_is_not_joined(
        self, deployment
    ):
        async with deployment.run():
            faults = share_engine_faults(deployment)
            faults.set('cut', 1)
            faults.set('fail_resumed', 1)
            async with open_stream(deployment, '/streams/a') as response:
                received = b''
                with pytest.raises(httpx.RemoteProtocolError):
                    async for data in response.aiter_raw():
                        received += data
        assert list_ids(received.decode().splitlines()) == [0, 1, 2]
        assert b'error' not in received
        assert list_resume_positions(deployment) == [-1, 2]

    async def test_a_third_engine_goes_on_after_a_failure_of_the_second(
        self, tmp_path
    ):
        config = platform_deployment.make_config()
        for route in config['routes']:
            route['max_attempts'] = 3
        deployment = platform_deployment.PlatformDeployment(
            tmp_path, config=config
        )
        engines = deployment.engines
        engines['e3'] = standins.PlatformEngineStandin('e3', {MODEL: 1})
        async with deployment.run():
            faults = engines['e1'].faults
            engines['e2'].faults = engines['e3'].faults = faults
            faults.set('cut', 1)
            faults.set('fail_resumed', 1)
            response, lines = await read_lines(deployment, '/streams/a')
        assert response.status_code == 200
        assert list_ids(lines) == list(range(LAST_EVENT_ID + 1))
        assert list_resume_positions(deployment) == [-1, 2, 2]

    async def test_a_stalled_stream_ends_at_its_deadline(self, deployment):
        async with deployment.run():
            set_faults(deployment, 'stall', 1)
            started_at = anyio.current_time()
            with pytest.raises(httpx.RemoteProtocolError):
                await read_lines(
                    deployment,
                    '/streams-once/a',
                    **{'swiftjunction-deadline-ms': '700'},
                )
            assert 0.6 < anyio.current_time() - started_at < 1.5

    async def test_a_failure_status_is_relayed(self, deployment):
        async with deployment.run():
            set_faults(deployment, 'fail', 1)
            response, _ = await read_lines(deployment, '/streams-once/a')
        assert response.status_code == 500
        assert list_resume_positions(deployment) == [-1]

    async def test_a_resumed_stream_states_its_new_version(self, deployment):
        deployment.engines['e1'].versions[platform_deployment.MODEL] = 5
        async with deployment.run():
            share_engine_faults(deployment).set('cut', 1)
            response, lines = await read_lines(deployment, '/streams/a')
        initial_version = int(
            response.headers['swiftjunction-weight-versions']
        )
        version_line = f'swiftjunction-weight-versions:{6 - initial_version}'
        assert list_ids(lines) == list(range(LAST_EVENT_ID + 1))
        assert [line for line in lines if line.startswith('swift')] == [
            version_line
        ]
        assert lines[lines.index(version_line) + 1] == 'id: 3'

    async def test_a_disconnected_caller_cancels_the_run(self, deployment):
        async with deployment.run():
            set_faults(deployment, 'stall', 1)
            async with open_stream(deployment, '/streams-once/a') as response:
                await anext(response.aiter_lines())
            with anyio.fail_after(1):
                while any(
                    e._running_count for e in deployment.engines.values()
                ):
                    await anyio.sleep(0.02)
            program = deployment.programs['vm-1']
            assert program._ingress._admission.in_flight == 0
