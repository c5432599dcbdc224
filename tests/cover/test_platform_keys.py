"""Keys of organisations at an edge VM, its servers and its batches."""

import contextlib
import json

import anyio
import httpx
import pytest

from swiftjunction import coordination
from swiftjunction import organisations
from swiftjunction.telemetry import _logs
from tests import platform_deployment

KEY = 'swiftjunction-credential'
NAME = 'swiftjunction-tenant-id'
OLD_KEY = 'key-of-first'
OTHER_KEY = 'key-of-second'
FORGED = {KEY: OLD_KEY, NAME: 'second'}
STRICT = ('bounds.strict_revoke=true', 'bounds.revoke_ms=5000')


def make_config(version=1, first=(OLD_KEY,), second=(OTHER_KEY,), **changes):
    config = platform_deployment.make_config(version)
    config['routes'].append(
        {
            'name': 'open',
            'host': platform_deployment.HOST,
            'path_prefix': '/open/',
            'kind': 'safe',
            'timeout_ms': 1500,
            'service': platform_deployment.SERVICE,
            'public': True,
        }
    )
    config['tenants'] = [
        {'name': 'first', 'api_keys': list(first), 'priority': 1},
        {'name': 'second', 'api_keys': list(second)},
    ]
    return {**config, **changes}


class Confirmation(organisations.TableConfirmation):
    """An age that a test sets."""

    def __init__(self):
        self.age_seconds = 0.0

    def compute_age_seconds(self):
        return self.age_seconds


class Deployment(platform_deployment.PlatformDeployment):
    """A deployment in which tests set the age of the confirmations."""

    def __init__(self, folder, **options):
        super().__init__(
            folder, **{'config': make_config(), 'settings': STRICT, **options}
        )
        self.confirmation = Confirmation()

    def start_vm(self, name):
        super().start_vm(name)
        if self._extra_settings != STRICT:
            return
        callers = self.programs[name]._ingress._callers
        callers._checker._confirmation = self.confirmation

    async def change_config(self, config):
        """Store a configuration, and wait until all VMs have it."""
        self.store.put('config', 'main', config)
        with anyio.fail_after(5):
            for program in self.programs.values():
                while program._active_routes.version < config['version']:
                    await anyio.sleep(0.02)

    async def call(self, path='/plain/a', key=OLD_KEY, **options):
        headers = options.pop('headers', {} if key is None else {KEY: key})
        return await self.send_request(
            'vm-1',
            options.pop('method', 'POST'),
            path,
            headers={
                'swiftjunction-attempt-id': 'r1',
                'swiftjunction-model': platform_deployment.MODEL,
                **headers,
            },
            **options,
        )

    def list_server_headers(self):
        servers = [*self.plain.values(), *self.engines.values()]
        return [headers for server in servers for headers in server.headers]

    async def submit_as(self, key, batch_id, vm='vm-1', **options):
        return await self.send_request(
            vm,
            'POST',
            '/samples/new',
            content=json.dumps(
                platform_deployment.make_batch(**options)
            ).encode(),
            headers={'swiftjunction-attempt-id': batch_id, KEY: key},
        )

    async def read_as(self, key, batch_id, vm='vm-1'):
        return await self.send_request(
            vm, 'GET', f'/lots/{batch_id}?after=0', headers={KEY: key}
        )

    async def wait_for_results_as(self, key, batch_id, count):
        with anyio.fail_after(10):
            while True:
                response = await self.read_as(key, batch_id)
                if response.status_code == 200:
                    results = response.json()['results']
                    if len(results) >= count:
                        return results
                await anyio.sleep(0.05)


@pytest.fixture
def deployment(tmp_path):
    return Deployment(tmp_path)


def get_values(headers, name):
    return {entry.get(name) for entry in headers}


@pytest.mark.anyio
class TestServers:
    @pytest.mark.parametrize('path', ['/plain/a', '/once/a', '/streams/a'])
    async def test_get_the_name_and_never_the_key(self, deployment, path):
        async with deployment.run():
            response = await deployment.call(path, headers=FORGED)
        assert response.status_code == 200
        headers = deployment.list_server_headers()
        assert get_values(headers, NAME) == {'first'}
        assert get_values(headers, KEY) == {None}

    async def test_get_no_name_for_a_public_route(self, deployment):
        async with deployment.run():
            without_key = await deployment.call('/open/a', key=None)
            forged = await deployment.call('/open/a', headers=FORGED)
        assert [without_key.status_code, forged.status_code] == [200, 200]
        headers = deployment.list_server_headers()
        assert get_values(headers, NAME) == {None}
        assert get_values(headers, KEY) == {None}

    async def test_get_both_headers_unchanged_without_organisations(
        self, tmp_path
    ):
        deployment = Deployment(
            tmp_path, config=platform_deployment.make_config()
        )
        async with deployment.run():
            await deployment.call(headers=FORGED)
        (headers,) = deployment.list_server_headers()
        assert (headers[KEY], headers[NAME]) == (OLD_KEY, 'second')

    async def test_get_the_name_with_samples_and_not_with_scores(
        self, deployment
    ):
        async with deployment.run():
            await deployment.submit_as(OLD_KEY, 'b1')
            await deployment.wait_for_results_as(OLD_KEY, 'b1', 4)
        engines, plain = deployment.engines, deployment.plain
        samples = [h for server in engines.values() for h in server.headers]
        scores = [h for server in plain.values() for h in server.headers]
        assert len(samples) >= 4
        assert get_values(samples, NAME) == {'first'}
        assert len(scores) >= 4
        assert get_values(scores, NAME) == {None}
        assert get_values([*samples, *scores], KEY) == {None}

    async def test_get_no_key_or_forged_name_from_items(self, deployment):
        batch = platform_deployment.make_batch(groups=1, size=1)
        batch['items'][0]['headers'].update(
            {'Swiftjunction-Credential': OLD_KEY, NAME.title(): 'second'}
        )
        async with deployment.run():
            await deployment.send_request(
                'vm-1',
                'POST',
                '/samples/new',
                content=json.dumps(batch).encode(),
                headers={'swiftjunction-attempt-id': 'b1', KEY: OLD_KEY},
            )
            await deployment.wait_for_results_as(OLD_KEY, 'b1', 1)
        headers = [
            headers
            for server in deployment.engines.values()
            for headers in server.headers
        ]
        assert get_values(headers, NAME) == {'first'}
        assert get_values(headers, KEY) == {None}


@pytest.mark.anyio
class TestCallers:
    @pytest.mark.parametrize(
        'values',
        [
            [],
            [''],
            ['wrong'],
            [OLD_KEY, OLD_KEY],
            [OLD_KEY, OTHER_KEY],
            ['x' * 16_384],
            [b'\xff\xc3\xa9'],
        ],
    )
    @pytest.mark.parametrize(
        'path', ['/plain/a', '/streams/a', '/lots/b', '/items/b?id=a']
    )
    async def test_without_a_valid_key_get_401(
        self, deployment, values, path, caplog
    ):
        caplog.set_level('DEBUG', logger='swiftjunction')
        method = 'GET' if path.startswith(('/lots', '/items')) else 'POST'
        async with deployment.run():
            async with httpx.AsyncClient(trust_env=False) as client:
                response = await client.request(
                    method,
                    f'http://127.0.0.1:{deployment.ports["vm-1"]["front"]}'
                    f'{path}',
                    headers=[
                        ('host', platform_deployment.HOST),
                        *((KEY, value) for value in values),
                    ],
                )
            assert (await deployment.call()).status_code == 200
        assert response.status_code == 401
        assert 'wrong' not in response.text
        assert OLD_KEY not in caplog.text
        assert len(deployment.list_server_headers()) == 1

    async def test_with_an_unusual_key_of_the_configuration_are_served(
        self, tmp_path
    ):
        keys = ['x' * 4096, 'Grüße', *(f'key-{n}' for n in range(10_000))]
        deployment = Deployment(
            tmp_path, config=make_config(first=keys, second=[''])
        )
        async with deployment.run():
            statuses = [
                (await deployment.call(key=key)).status_code
                for key in [keys[0], keys[1].encode(), keys[-1]]
            ]
        assert statuses == [200, 200, 200]

    async def test_of_an_organisation_that_no_header_can_name_get_401(
        self, tmp_path, caplog
    ):
        config = make_config()
        config['tenants'][1]['name'] = 'two\nlines'
        deployment = Deployment(tmp_path, config=config)
        async with deployment.run():
            refused = await deployment.call(key=OTHER_KEY)
            served = await deployment.call()
        assert [refused.status_code, served.status_code] == [401, 200]
        assert 'whose name no header can carry' in caplog.text

    async def test_are_asked_to_come_back_if_the_key_is_uncertain(
        self, deployment
    ):
        async with deployment.run():
            deployment.confirmation.age_seconds = 4.0
            known = await deployment.call()
            public = await deployment.call('/open/a', key=None)
            deployment.confirmation.age_seconds = 3.0
            served = await deployment.call()
            unknown = await deployment.call(key='wrong')
        assert [known.status_code, unknown.status_code] == [503, 503]
        assert float(known.headers['retry-after']) < 1
        assert [served.status_code, public.status_code] == [200, 200]

    @pytest.mark.parametrize('strict', ['true', 'false'])
    async def test_are_told_apart_with_and_without_strict_revocation(
        self, tmp_path, strict
    ):
        settings = [f'bounds.strict_revoke={strict}']
        deployment = Deployment(tmp_path, settings=settings)
        statuses = []
        async with deployment.run():
            for key in (OLD_KEY, 'wrong'):
                with anyio.fail_after(5):
                    while True:
                        response = await deployment.call(key=key)
                        if response.status_code != 503:
                            break
                        await anyio.sleep(0.1)
                statuses.append(response.status_code)
        assert statuses == [200, 401]

    async def test_are_named_in_log_lines_by_their_organisation(
        self, deployment, caplog
    ):
        caplog.set_level('INFO', logger='swiftjunction')
        caplog.handler.addFilter(_logs.ContextFilter())
        async with deployment.run():
            await deployment.call()
            await deployment.call('/open/a', key=None)
        names = [
            getattr(record, 'organisation', '')
            for record in caplog.records
            if record.message == 'request answered'
        ]
        assert names == ['first', '']
        assert OLD_KEY not in str([vars(r) for r in caplog.records])

    async def test_with_wrong_keys_cause_no_calls_of_the_store(
        self, deployment
    ):
        async with deployment.run():
            await deployment.call()
            calls = []
            program = deployment.programs['vm-1']
            for name in ('read', 'list', 'create', 'update'):
                setattr(
                    type(program._direct),
                    name,
                    _count_calls(type(program._direct), name, calls),
                )
            with contextlib.ExitStack() as stack:
                stack.callback(_restore_calls, type(program._direct))
                async with httpx.AsyncClient(trust_env=False) as client:
                    for _ in range(300):
                        await client.post(
                            'http://127.0.0.1:'
                            f'{deployment.ports["vm-1"]["front"]}/plain/a',
                            headers={
                                'host': platform_deployment.HOST,
                                KEY: 'wrong',
                            },
                        )
        # Those that the coordinator and the members make anyway.
        assert len(calls) < 30


def _count_calls(store_class, name, calls):
    original = getattr(store_class, name)

    async def call(*arguments):
        calls.append(name)
        return await original(*arguments)

    call.original = original
    return call


def _restore_calls(store_class):
    for name in ('read', 'list', 'create', 'update'):
        setattr(store_class, name, getattr(store_class, name).original)


@pytest.mark.anyio
class TestRemovedKeys:
    async def test_are_refused_on_a_kept_connection(self, deployment):
        async with deployment.run():
            url = f'http://127.0.0.1:{deployment.ports["vm-1"]["front"]}'
            headers = {'host': platform_deployment.HOST, KEY: OLD_KEY}
            async with httpx.AsyncClient(trust_env=False) as client:
                before = await client.post(url + '/plain/a', headers=headers)
                await deployment.change_config(make_config(2, ['new']))
                after = await client.post(url + '/plain/a', headers=headers)
                headers[KEY] = 'new'
                replaced = await client.post(url + '/plain/a', headers=headers)
        statuses = [before.status_code, after.status_code]
        assert [*statuses, replaced.status_code] == [200, 401, 200]

    @pytest.mark.parametrize('path', ['/plain/a', '/streams/a'])
    async def test_are_refused_after_a_wait_in_a_queue(self, deployment, path):
        async with deployment.run():
            responses = []

            async def request():
                responses.append(await deployment.call(path))

            release = anyio.Event()
            router = deployment.programs['vm-1']._ingress._forwarder._router
            acquire = type(router).acquire

            async def acquire_late(self, *arguments):
                await release.wait()
                return await acquire(self, *arguments)

            type(router).acquire = acquire_late
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(request)
                    await anyio.sleep(0.1)
                    await deployment.change_config(make_config(2, ['new']))
                    release.set()
            finally:
                type(router).acquire = acquire
        assert responses[0].status_code == 401
        assert deployment.list_server_headers() == []

    async def test_end_no_batch_and_others_of_its_owner_read_on(
        self, deployment
    ):
        async with deployment.run():
            await deployment.submit_as(OLD_KEY, 'b1')
            await deployment.change_config(make_config(2, ['new']))
            removed = await deployment.read_as(OLD_KEY, 'b1')
            results = await deployment.wait_for_results_as('new', 'b1', 4)
        assert removed.status_code == 401
        assert len(results) == 4


@pytest.mark.anyio
class TestBatches:
    async def test_of_another_organisation_do_not_exist(self, deployment):
        async with deployment.run(vms=('vm-1', 'vm-2')):
            await deployment.submit_as(OLD_KEY, 'b1')
            await deployment.wait_for_results_as(OLD_KEY, 'b1', 4)
            for vm in ('vm-1', 'vm-2'):
                own = await deployment.read_as(OLD_KEY, 'b1', vm)
                assert own.status_code == 200
                assert len(own.json()['results']) == 4
                for method, path in (
                    ('GET', '/lots/b1?after=0'),
                    ('GET', '/items/b1?id=a0.0'),
                    ('DELETE', '/lots/b1'),
                ):
                    response = await deployment.send_request(
                        vm, method, path, headers={KEY: OTHER_KEY}
                    )
                    assert response.status_code == 404
                stored = deployment.store.get('batches', 'b1')
            ended = await deployment.send_request(
                'vm-2', 'DELETE', '/lots/b1', headers={KEY: OLD_KEY}
            )
        assert not stored['spec']['ended']
        assert stored['spec']['organisation'] == 'first'
        assert ended.status_code == 200

    async def test_cannot_be_submitted_under_an_id_of_another_organisation(
        self, deployment
    ):
        async with deployment.run():
            first = await deployment.submit_as(OLD_KEY, 'b1')
            again = await deployment.submit_as(OLD_KEY, 'b1')
            other = await deployment.submit_as(OTHER_KEY, 'b1')
        statuses = [first.status_code, again.status_code, other.status_code]
        assert statuses == [202, 202, 400]

    async def test_are_checked_where_the_coordinator_is_of_the_former_build(
        self, deployment, monkeypatch
    ):
        # The build without organisations has no such paths.
        build = coordination.PeerApp.build

        def build_former(app):
            built = build(app)
            built.router.routes = [
                route
                for route in built.router.routes
                if not route.path.startswith('/peer/organisations/')
            ]
            return built

        monkeypatch.setattr(coordination.PeerApp, 'build', build_former)
        async with deployment.run(vms=('vm-1', 'vm-2')):
            await deployment.submit_as(OLD_KEY, 'b1')
            await deployment.wait_for_results_as(OLD_KEY, 'b1', 4)
            for vm in ('vm-1', 'vm-2'):
                own = await deployment.read_as(OLD_KEY, 'b1', vm)
                other = await deployment.read_as(OTHER_KEY, 'b1', vm)
                assert [own.status_code, other.status_code] == [200, 404]
                assert len(own.json()['results']) == 4
