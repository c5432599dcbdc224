import json

import anyio
import pytest

from swiftjunction import standins
from tests import platform_deployment

# A VM that cannot read back what it wrote answers after some seconds.
SUBMISSION_SECONDS = 15


@pytest.fixture
def deployment(tmp_path):
    return platform_deployment.PlatformDeployment(tmp_path)


def call(request_id, deadline_ms=2000):
    return {
        'swiftjunction-attempt-id': request_id,
        'swiftjunction-deadline-ms': str(deadline_ms),
    }


def make_hanging_watch(hanging_store, hang):
    """Return a watch that hangs for one store, and the original watch."""
    original_watch = type(hanging_store).watch

    async def watch(store, *arguments):
        if store is hanging_store:
            return await hang()
        return await original_watch(store, *arguments)

    return watch, original_watch


@pytest.mark.anyio
class TestCalls:
    async def test_a_response_is_returned_complete_and_signed(
        self, deployment
    ):
        async with deployment.run():
            response = await deployment.send_request(
                'vm-1',
                'POST',
                '/plain/a%2Fb?x=1&y=%20',
                content=b'body',
                headers=call('r1'),
            )
        assert response.status_code == 200
        assert response.content == b'body'
        assert response.headers['swiftjunction-attempt-id'] == 'r1'
        assert (
            response.headers['swiftjunction-response-signature'] == 'signed.r1'
        )
        seen = [s for server in deployment.plain.values() for s in server.runs]
        assert seen == [('r1', '/plain/a%2Fb?x=1&y=%20')]

    async def test_the_remaining_deadline_is_forwarded(self, deployment):
        async with deployment.run():
            await deployment.send_request(
                'vm-1', 'POST', '/plain/a', headers=call('r1', 900)
            )
        (headers,) = [h for s in deployment.plain.values() for h in s.headers]
        assert 0 < int(headers['swiftjunction-deadline-ms']) <= 900
        assert headers['swiftjunction-expect-instance'] in deployment.plain

    async def test_a_path_without_a_route_is_404(self, deployment):
        async with deployment.run():
            response = await deployment.send_request(
                'vm-1', 'GET', '/nowhere/'
            )
        assert response.status_code == 404

    @pytest.mark.parametrize(
        'fault', ['shed', 'unsigned', 'foreign', 'unnamed']
    )
    async def test_an_idempotent_call_is_retried_at_another_server(
        self, deployment, fault
    ):
        # A server sent a second response without an id on a keep-alive
        # connection, which was relayed as the response to the next request
        # (fresh-d20f of tallamedida-mx).
        async with deployment.run():
            deployment.plain['p1'].faults.set(fault, 10)
            for number in range(6):
                response = await deployment.send_request(
                    'vm-1', 'POST', '/plain/a', headers=call(f'r{number}')
                )
                assert response.status_code == 200
        assert len(deployment.plain['p2'].runs) >= 3

    async def test_a_call_that_is_not_idempotent_runs_at_most_once(
        self, deployment
    ):
        async with deployment.run():
            for server in deployment.plain.values():
                server.faults.set('foreign', 5)
            response = await deployment.send_request(
                'vm-1', 'POST', '/once/a', headers=call('r1')
            )
        assert response.status_code == 502
        assert sum(len(s.runs) for s in deployment.plain.values()) == 1

    async def test_a_call_that_all_servers_refuse_is_503_with_retry_after(
        self, deployment
    ):
        async with deployment.run():
            for server in deployment.plain.values():
                server.faults.set('shed', 100)
            response = await deployment.send_request(
                'vm-1', 'POST', '/once/a', headers=call('r1')
            )
        assert response.status_code == 503
        assert float(response.headers['retry-after']) > 0

    async def test_the_route_timeout_is_enforced(self, deployment):
        async with deployment.run():
            for server in deployment.plain.values():
                server.faults.set('silent', 10)
            started_at = anyio.current_time()
            response = await deployment.send_request(
                'vm-1', 'POST', '/plain/a', headers=call('r1', 5000)
            )
            duration_seconds = anyio.current_time() - started_at
        assert response.status_code == 504
        assert 1.0 < duration_seconds < 2.0

    async def test_a_newer_configuration_is_activated_and_an_older_one_is_not(
        self, deployment
    ):
        async with deployment.run():
            newer_config = platform_deployment.make_config(7)
            newer_config['routes'][0]['path_prefix'] = '/fresh/'
            deployment.store.put('config', 'main', newer_config)
            await anyio.sleep(0.3)
            new_path_response = await deployment.send_request(
                'vm-1', 'GET', '/fresh/a'
            )
            old_path_response = await deployment.send_request(
                'vm-1', 'GET', '/plain/a'
            )
            deployment.store.put(
                'config', 'main', platform_deployment.make_config(3)
            )
            await anyio.sleep(0.3)
            response_after_rollback = await deployment.send_request(
                'vm-1', 'GET', '/fresh/a'
            )
        assert new_path_response.status_code == 200
        assert old_path_response.status_code == 404
        assert response_after_rollback.status_code == 200

    async def test_a_vm_whose_watch_hangs_is_updated_by_a_peer(
        self, deployment
    ):
        # The store stopped sending changes to one VM, whose connections stayed
        # open (trouble-1 --seed 75079629209 of diurna-turneu).
        async with deployment.run(('vm-1', 'vm-2', 'vm-3')):
            await anyio.sleep(1.5)
            hanging_store = deployment.programs['vm-1']._direct

            async def hang(*arguments):
                await anyio.sleep_forever()

            type(hanging_store).watch, watch = make_hanging_watch(
                hanging_store, hang
            )
            try:
                # Discarding the history ends the watches in progress.
                deployment.store.compact_history()
                await anyio.sleep(1.5)
                newer_config = platform_deployment.make_config(7)
                newer_config['routes'][0]['path_prefix'] = '/fresh/'
                deployment.store.put('config', 'main', newer_config)
                await anyio.sleep(2.0)
                response = await deployment.send_request(
                    'vm-1', 'GET', '/fresh/a'
                )
            finally:
                type(hanging_store).watch = watch
        assert response.status_code == 200

    async def test_a_malformed_configuration_is_ignored(self, deployment):
        async with deployment.run():
            deployment.store.put('config', 'main', {'version': 9, 'routes': 5})
            await anyio.sleep(0.3)
            response = await deployment.send_request('vm-1', 'GET', '/plain/a')
        assert response.status_code == 200

    async def test_a_draining_server_gets_no_requests_after_two_seconds(
        self, deployment
    ):
        async with deployment.run():
            deployment.register_server(
                'p1', deployment.plain['p1'], state='draining'
            )
            await anyio.sleep(2.0)
            for number in range(8):
                await deployment.send_request(
                    'vm-1', 'POST', '/plain/a', headers=call(f'r{number}')
                )
        assert not deployment.plain['p1'].runs
        assert len(deployment.plain['p2'].runs) == 8

    async def test_invalid_server_objects_are_ignored(self, deployment):
        async with deployment.run():
            for name, spec in (
                ('x1', {'service': platform_deployment.SERVICE}),
                ('x2', 'text'),
                ('x3', {'service': 5, 'address': 'a:1', 'state': 'ready'}),
                (
                    'x4',
                    {
                        'service': platform_deployment.SERVICE,
                        'address': '127.0.0.1:9',
                        'zone': 'dc-1',
                        'state': 'resting',
                    },
                ),
            ):
                deployment.store.put('servers', name, spec)
            await anyio.sleep(0.5)
            for number in range(4):
                response = await deployment.send_request(
                    'vm-1', 'POST', '/plain/a', headers=call(f'r{number}')
                )
                assert response.status_code == 200


@pytest.mark.anyio
class TestLeavingServers:
    async def announce(self, deployment):
        """Call p1 until it has announced that it is leaving."""
        deployment.plain['p1'].faults.set('leaving', 1)
        while not deployment.plain['p1'].runs:
            await self.call(deployment)
        deployment.plain['p1'].runs.clear()

    async def call(self, deployment, count=1):
        """Send calls at the same time, which uses all available servers."""
        statuses = []

        async def send():
            response = await deployment.send_request(
                'vm-1', 'POST', '/plain/a', headers=call('r')
            )
            statuses.append(response.status_code)

        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(send)
        assert statuses == [200] * count

    async def test_nothing_that_is_listed_undoes_an_announcement(
        self, deployment
    ):
        plain = deployment.plain['p1']
        async with deployment.run():
            await self.announce(deployment)
            await self.call(deployment, 10)
            for state in ('draining', 'ready'):
                deployment.register_server('p1', plain, state=state)
                await anyio.sleep(0.6)
            await self.call(deployment, 10)
            deployment.store.remove('servers', 'p1')
            await anyio.sleep(1.5)
            deployment.register_server('p1', plain)
            await anyio.sleep(0.6)
            await self.call(deployment, 10)
        assert not plain.runs

    async def test_an_entry_that_lapses_while_the_store_is_away_undoes_nothing(
        self, deployment
    ):
        plain = deployment.plain['p1']
        async with deployment.run():
            await self.announce(deployment)
            deployment.store.faults.set('down', 1)
            deployment.store.remove('servers', 'p1')
            await anyio.sleep(2.0)
            await self.call(deployment, 10)
            deployment.store.faults.set('down', 0)
            deployment.store.compact_history()
            await anyio.sleep(5.0)
            assert (
                'p1' not in deployment.programs['vm-1']._directory.summarize()
            )
            deployment.register_server('p1', plain)
            await anyio.sleep(1.0)
            await self.call(deployment, 10)
        assert not plain.runs

    @pytest.mark.parametrize('name', ['p1', 'p3'])
    async def test_another_instance_at_the_same_address_gets_requests_at_once(
        self, deployment, name
    ):
        plain = deployment.plain['p1']
        async with deployment.run():
            await self.announce(deployment)
            plain.faults.set('leaving', 0)
            plain.name = name
            deployment.store.remove('servers', 'p1')
            deployment.addresses[name] = deployment.addresses['p1']
            deployment.register_server(name, plain, born=2)
            with anyio.fail_after(2):
                while not plain.runs:
                    await self.call(deployment, 8)

    async def test_streams_and_samples_avoid_an_engine_that_announced_it(
        self, deployment
    ):
        engine = deployment.engines['e1']
        headers = {'swiftjunction-model': platform_deployment.MODEL}
        async with deployment.run():
            engine.faults.set('leaving', 1)
            while not engine.runs:
                response = await deployment.send_request(
                    'vm-1', 'POST', '/streams/a', headers=call('s') | headers
                )
                assert response.status_code == 200
            engine.runs.clear()
            for _ in range(6):
                await deployment.send_request(
                    'vm-1', 'POST', '/streams/a', headers=call('s') | headers
                )
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            results = await deployment.wait_for_results('vm-1', 'b1', 4)
        assert {result['state'] for result in results} == {'completed'}
        assert not engine.runs

    async def test_callers_are_refused_at_once_and_a_new_server_serves_them(
        self, deployment
    ):
        async with deployment.run():
            for plain in deployment.plain.values():
                plain.faults.set('leaving', 1)
            statuses = []
            for _ in range(3):
                started_at = anyio.current_time()
                response = await deployment.send_request(
                    'vm-1', 'POST', '/plain/a', headers=call('r')
                )
                statuses.append(response.status_code)
            assert statuses == [200, 200, 503]
            assert anyio.current_time() - started_at < 0.5
            assert float(response.headers['retry-after']) > 0
            metrics = deployment.programs['vm-1']._metrics.render().decode()
            assert (
                'swiftjunction_leaving_servers_total{source="call"} 2.0'
                in metrics
            )
            deployment.start_server(
                'p3', standins.PlatformServiceStandin('p3')
            )
            await anyio.sleep(0.6)
            await self.call(deployment, 3)


@pytest.mark.anyio
class TestAddresses:
    async def test_all_live_vms_are_resolved(self, deployment):
        async with deployment.run(('vm-1', 'vm-2')):
            await anyio.sleep(1.5)
            response = await deployment.send_request(
                'vm-2',
                'GET',
                f'/resolve?name={platform_deployment.HOST}',
                port='directory',
            )
        assert set(response.json()['addresses']) == {
            f'127.0.0.1:{deployment.ports[name]["front"]}'
            for name in ('vm-1', 'vm-2')
        }
        assert response.json()['ttl_s'] == 2

    async def test_a_stopped_vm_is_not_resolved(self, deployment):
        async with deployment.run(('vm-1', 'vm-2')):
            await anyio.sleep(1.5)
            deployment.kill_vm('vm-1')
            await anyio.sleep(1.5)
            response = await deployment.send_request(
                'vm-2', 'GET', '/resolve', port='directory'
            )
        assert response.json()['addresses'] == [
            f'127.0.0.1:{deployment.ports["vm-2"]["front"]}'
        ]


@pytest.mark.anyio
class TestBatches:
    async def test_each_sample_is_listed_once_and_complete(self, deployment):
        async with deployment.run():
            batch = platform_deployment.make_batch()
            accepted = await deployment.submit('vm-1', 'b1', batch)
            results = await deployment.wait_for_results('vm-1', 'b1', 4)
        assert accepted.status_code == 202
        assert sorted(r['id'] for r in results) == [
            'a0.0',
            'a0.1',
            'a1.0',
            'a1.1',
        ]
        for result in results:
            assert result['state'] == 'completed'
            assert result['text'] == standins.make_platform_text(result['id'])
            assert result['versions'] == [1]
            assert result['score'] == f'signed.score-{result["id"]}'

    async def test_a_resubmitted_batch_is_accepted_and_runs_once(
        self, deployment
    ):
        async with deployment.run(('vm-1', 'vm-2')):
            batch = platform_deployment.make_batch()
            first = await deployment.submit('vm-1', 'b1', batch)
            repeated = await deployment.submit('vm-2', 'b1', batch)
            results = await deployment.wait_for_results('vm-2', 'b1', 4)
            late = await deployment.submit('vm-2', 'b1', batch)
        assert [first.status_code, repeated.status_code, late.status_code] == [
            202,
            202,
            202,
        ]
        assert len(results) == 4
        runs = [run for e in deployment.engines.values() for run in e.runs]
        assert len(runs) == 4

    async def test_positions_are_the_same_at_all_vms_and_after_a_kill(
        self, deployment
    ):
        async with deployment.run(('vm-1', 'vm-2')):
            batch = platform_deployment.make_batch()
            await deployment.submit('vm-1', 'b1', batch)
            before = await deployment.wait_for_results('vm-1', 'b1', 4)
            other = await deployment.wait_for_results('vm-2', 'b1', 4)
            deployment.kill_vm('vm-1')
            after = await deployment.wait_for_results('vm-2', 'b1', 4)
        assert before == other == after

    async def test_a_broken_stream_is_resumed_after_its_last_event(
        self, deployment
    ):
        async with deployment.run():
            for engine in deployment.engines.values():
                engine.faults.set('cut', 1)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            results = await deployment.wait_for_results('vm-1', 'b1', 4)
        for result in results:
            assert result['text'] == standins.make_platform_text(result['id'])
        runs = [run for e in deployment.engines.values() for run in e.runs]
        assert [after for _, after in runs if after >= 0] == [2, 2]

    async def test_a_stalled_stream_is_resumed_at_another_engine(
        self, deployment
    ):
        async with deployment.run():
            for engine in deployment.engines.values():
                engine.faults.set('stall', 1)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            results = await deployment.wait_for_results('vm-1', 'b1', 4)
        for result in results:
            assert result['text'] == standins.make_platform_text(result['id'])

    async def test_a_sample_that_engines_reject_is_given_up(self, deployment):
        async with deployment.run():
            for engine in deployment.engines.values():
                engine.faults.set('never', 4)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            results = await deployment.wait_for_results('vm-1', 'b1', 4)
        assert {r['state'] for r in results} == {'abandoned'}
        assert {r['text'] for r in results} == {''}

    async def test_a_sample_is_given_up_after_the_allowed_attempts(
        self, deployment
    ):
        async with deployment.run():
            for engine in deployment.engines.values():
                engine.faults.set('fail', 100)
            batch = platform_deployment.make_batch(1, 1)
            await deployment.submit('vm-1', 'b1', batch)
            (result,) = await deployment.wait_for_results('vm-1', 'b1', 1)
        assert result['state'] == 'abandoned'
        assert sum(len(e.runs) for e in deployment.engines.values()) == 3

    async def test_a_body_can_be_read_until_its_sample_is_listed(
        self, deployment
    ):
        async with deployment.run():
            for engine in deployment.engines.values():
                engine.faults.set('shed', 10_000)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            unlisted = await deployment.send_request(
                'vm-1', 'GET', '/items/b1?id=a0.0'
            )
            for engine in deployment.engines.values():
                engine.faults.set('shed', 0)
            await deployment.wait_for_results('vm-1', 'b1', 4, seconds=15)
            listed = await deployment.send_request(
                'vm-1', 'GET', '/items/b1?id=a0.0'
            )
        assert unlisted.status_code == 200
        assert unlisted.content == b'prompt'
        assert listed.status_code == 404

    async def test_an_ended_batch_keeps_its_listed_results(self, deployment):
        async with deployment.run(('vm-1', 'vm-2')):
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            before = await deployment.wait_for_results('vm-1', 'b1', 4)
            ended = await deployment.send_request('vm-2', 'DELETE', '/lots/b1')
            repeated = await deployment.send_request(
                'vm-1', 'DELETE', '/lots/b1'
            )
            after = await deployment.wait_for_results('vm-2', 'b1', 4)
        assert [ended.status_code, repeated.status_code] == [200, 200]
        assert before == after

    async def test_an_unknown_batch_is_404_and_503_while_the_store_is_down(
        self, deployment
    ):
        async with deployment.run():
            missing = await deployment.read_results('vm-1', 'nothing')
            deployment.store.faults.set('down', 1)
            unavailable = await deployment.read_results('vm-1', 'nothing')
            refused = await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
        assert missing.status_code == 404
        assert unavailable.status_code == 503
        assert refused.status_code == 503

    async def test_a_malformed_batch_is_400(self, deployment):
        async with deployment.run():
            batch = platform_deployment.make_batch()
            batch['items'][1]['id'] = 5
            response = await deployment.submit('vm-1', 'b1', batch)
            await anyio.sleep(0.2)
        assert response.status_code == 400
        assert '$.items[1].id' in json.loads(response.content)['message']
        assert not deployment.store.list_names('batches')

    async def test_a_batch_is_accepted_once_if_the_store_response_is_lost(
        self, deployment
    ):
        async with deployment.run():
            deployment.store.faults.set('lost', 1)
            accepted = await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            results = await deployment.wait_for_results('vm-1', 'b1', 4)
        assert accepted.status_code == 202
        assert len(results) == 4

    # Guards against answering 503, which promises that nothing runs, as the
    # store goes down once it has stored the batch: its samples run later.
    async def test_a_stored_batch_is_not_refused_as_the_store_goes_down(
        self, deployment
    ):
        store = deployment.store
        statuses = []

        async def submit():
            response = await deployment.submit(
                'vm-1',
                'b1',
                platform_deployment.make_batch(),
                timeout=SUBMISSION_SECONDS,
            )
            statuses.append(response.status_code)

        async with deployment.run():
            store.faults.set('lost', 1)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(submit)
                while not store.list_names('batches'):
                    await anyio.sleep(0.01)
                store.faults.set('down', 1)
            store.faults.set('down', 0)
            results = await deployment.wait_for_results('vm-1', 'b1', 4)
        assert len(results) == 4
        assert statuses == [504]

    # Guards against answering 503, which promises that nothing was done, to
    # an end that the coordinator has stored as the store goes down.
    async def test_a_stored_end_is_not_refused_as_the_store_goes_down(
        self, deployment
    ):
        store = deployment.store
        statuses = []

        async def end(vm):
            response = await deployment.send_request(
                vm, 'DELETE', '/lots/b1', timeout=SUBMISSION_SECONDS
            )
            statuses.append(response.status_code)

        async with deployment.run(('vm-1', 'vm-2')):
            # The other VM finds the coordinator meanwhile.
            await anyio.sleep(1.0)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            await deployment.wait_for_results('vm-1', 'b1', 4)
            lease = store.get('leases', 'coordinator')
            name = lease['spec']['holder'].partition('@')[0]
            store.faults.set('lost', 1)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(end, 'vm-2' if name == 'vm-1' else 'vm-1')
                while not store.get('batches', 'b1')['spec']['ended']:
                    await anyio.sleep(0.01)
                store.faults.set('down', 1)
        assert statuses == [504]

    async def test_another_vm_takes_over_from_a_killed_coordinator(
        self, deployment
    ):
        async with deployment.run(('vm-1', 'vm-2')):
            for engine in deployment.engines.values():
                engine.faults.set('shed', 10_000)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            lease = deployment.store.get('leases', 'coordinator')
            name = lease['spec']['holder'].partition('@')[0]
            other = 'vm-2' if name == 'vm-1' else 'vm-1'
            deployment.kill_vm(name)
            for engine in deployment.engines.values():
                engine.faults.set('shed', 0)
            results = await deployment.wait_for_results(
                other, 'b1', 4, seconds=20
            )
        for result in results:
            assert result['text'] == standins.make_platform_text(result['id'])

    async def test_a_stopping_vm_hands_its_samples_over(self, deployment):
        async with deployment.run(('vm-1', 'vm-2')):
            await anyio.sleep(1.0)
            for engine in deployment.engines.values():
                engine.faults.set('stall', 2)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            await anyio.sleep(0.3)
            lease = deployment.store.get('leases', 'coordinator')
            name = lease['spec']['holder'].partition('@')[0]
            other = 'vm-2' if name == 'vm-1' else 'vm-1'
            deployment.programs[name]._stopping.set()
            await anyio.sleep(0)
            # Submit at once, because the VM stops after its grace period.
            refused = await deployment.submit(
                name, 'b2', platform_deployment.make_batch(prefix='c')
            )
            results = await deployment.wait_for_results(
                other, 'b1', 4, seconds=4
            )
        for result in results:
            assert result['text'] == standins.make_platform_text(result['id'])
        runs = [run for e in deployment.engines.values() for run in e.runs]
        assert sorted(after for _, after in runs) == [-1] * 4 + [2] * 4
        assert refused.status_code == 503

    async def test_a_resubmitted_group_continues_from_its_progress(
        self, deployment
    ):
        async with deployment.run():
            for engine in deployment.engines.values():
                engine.faults.set('cut', 10)
            batch = platform_deployment.make_batch()
            await deployment.submit('vm-1', 'b1', batch)
            with anyio.fail_after(10):
                while not any(e.runs for e in deployment.engines.values()):
                    await anyio.sleep(0.01)
            await anyio.sleep(0.1)
            for engine in deployment.engines.values():
                engine.faults.set('shed', 10_000)
            await anyio.sleep(0.3)
            await deployment.send_request('vm-1', 'DELETE', '/lots/b1')
            before = [
                run for e in deployment.engines.values() for run in e.runs
            ]
            for engine in deployment.engines.values():
                engine.runs.clear()
                engine.faults.set('shed', 0)
                engine.faults.set('cut', 0)
            await deployment.submit('vm-1', 'b2', batch)
            results = await deployment.wait_for_results('vm-1', 'b2', 4)
        for result in results:
            assert result['text'] == standins.make_platform_text(result['id'])
        assert before
        runs = [run for e in deployment.engines.values() for run in e.runs]
        assert all(after >= 0 for _, after in runs)


@pytest.mark.anyio
class TestVersions:
    async def wait_for_version(self, deployment, version):
        with anyio.fail_after(10):
            while any(
                e.versions[platform_deployment.MODEL] != version
                for e in deployment.engines.values()
            ):
                await anyio.sleep(0.05)

    def set_target_version(self, deployment, version):
        deployment.store.put(
            'versions',
            platform_deployment.MODEL,
            {'model': platform_deployment.MODEL, 'version': version},
        )

    async def test_each_engine_gets_one_order_per_version(self, deployment):
        async with deployment.run(('vm-1', 'vm-2')):
            self.set_target_version(deployment, 2)
            await self.wait_for_version(deployment, 2)
            await anyio.sleep(1.5)
        for engine in deployment.engines.values():
            assert [order['version'] for order in engine.orders] == [2]
            assert engine.refused_orders == 0

    @pytest.mark.parametrize('fault', ['lost_orders', 'late_orders'])
    async def test_an_order_with_a_lost_response_is_executed_once(
        self, deployment, fault
    ):
        async with deployment.run():
            for engine in deployment.engines.values():
                engine.faults.set(fault, 1)
            self.set_target_version(deployment, 2)
            await self.wait_for_version(deployment, 2)
            await anyio.sleep(1.5)
        for engine in deployment.engines.values():
            assert [order['version'] for order in engine.orders] == [2]

    async def test_running_samples_continue_unless_they_need_a_single_version(
        self, deployment
    ):
        async with deployment.run():
            self.set_target_version(deployment, 2)
            await self.wait_for_version(deployment, 2)
            config = platform_deployment.make_config(2)
            (samples,) = [
                r for r in config['routes'] if r['name'] == 'samples'
            ]
            samples['single_version'] = True
            deployment.store.put('config', 'main', config)
            await anyio.sleep(0.3)
            for engine in deployment.engines.values():
                engine.faults.set('shed', 10_000)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            await anyio.sleep(0.3)
            self.set_target_version(deployment, 3)
            await self.wait_for_version(deployment, 3)
            for engine in deployment.engines.values():
                engine.faults.set('shed', 0)
            results = await deployment.wait_for_results('vm-1', 'b1', 4)
        for engine in deployment.engines.values():
            modes = [order['mode'] for order in engine.orders]
            assert modes == ['retain', 'wait']
        assert all(len(result['versions']) == 1 for result in results)

    async def test_samples_run_only_on_engines_with_the_minimum_version(
        self, deployment
    ):
        async with deployment.run():
            batch = platform_deployment.make_batch(min_version=2)
            await deployment.submit('vm-1', 'b1', batch)
            await anyio.sleep(0.5)
            assert not any(e.runs for e in deployment.engines.values())
            self.set_target_version(deployment, 2)
            results = await deployment.wait_for_results('vm-1', 'b1', 4)
        assert all(result['versions'] == [2] for result in results)

    async def test_a_new_coordinator_has_a_higher_fencing_token(
        self, deployment
    ):
        async with deployment.run(('vm-1', 'vm-2')):
            self.set_target_version(deployment, 2)
            await self.wait_for_version(deployment, 2)
            lease = deployment.store.get('leases', 'coordinator')
            deployment.kill_vm(lease['spec']['holder'].partition('@')[0])
            self.set_target_version(deployment, 3)
            await self.wait_for_version(deployment, 3)
        for engine in deployment.engines.values():
            first, second = engine.orders
            assert second['fencing_token'] > first['fencing_token']
            assert second['holder'] != first['holder']


@pytest.mark.anyio
class TestStorage:
    async def test_the_drain_of_a_storage_vm_is_acknowledged_at_once(
        self, deployment
    ):
        async with deployment.run():
            deployment.store.put('retirements', 'storage-1', {'duration_s': 8})
            with anyio.fail_after(5):
                while not deployment.store.get('retirements', 'storage-1')[
                    'status'
                ]:
                    await anyio.sleep(0.05)
        retirement = deployment.store.get('retirements', 'storage-1')
        assert retirement['status'] == {'state': 'completed'}
