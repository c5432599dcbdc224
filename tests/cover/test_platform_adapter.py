"""Tests of the decoding of the platform's data formats."""

import base64
import json

import anyio
import pytest

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.platform import _schemas
from swiftjunction.platform import _settings
from swiftjunction.platform import _store
from swiftjunction.platform.callers import _batches
from swiftjunction.platform.servers import _events
from swiftjunction import routes
from swiftjunction import standins
from swiftjunction import web
from tests import platform_deployment


def make_object(key, value):
    return objectstore.Object(key, 1, json.dumps(value).encode())


class TestEvents:
    def read(self, *chunks):
        parser = _events.EventParser(3, 'e')
        events = [event for chunk in chunks for event in parser.feed(chunk)]
        events += parser.finish()
        return [(event.number, event.data, event.version) for event in events]

    def test_events_are_parsed_across_chunk_boundaries(self):
        data = b'id: 0\ndata: a\n\nid: 1\ndata: b\n\n'
        expected = [(0, 'a', 3), (1, 'b', 3)]
        assert self.read(data) == expected
        assert self.read(*(data[i : i + 1] for i in range(len(data)))) == (
            expected
        )

    def test_a_weight_version_applies_until_the_next_one(self):
        assert self.read(
            b'id: 0\ndata: a\n\n',
            b'swiftjunction-weight-versions: 4\nid: 1\ndata: b\n\n',
            b'id: 2\ndata: c\n\n',
        ) == [(0, 'a', 3), (1, 'b', 4), (2, 'c', 4)]

    def test_data_of_several_lines_is_joined(self):
        assert self.read(b'id: 0\ndata: a\ndata: b\n\n') == [(0, 'a\nb', 3)]

    @pytest.mark.parametrize(
        'incomplete_event', [b'id: 1', b'id: 1\ndata: x\n']
    )
    def test_a_stream_that_ends_inside_an_event_is_broken(
        self, incomplete_event
    ):
        with pytest.raises(errors.AnswerBroken):
            self.read(b'id: 0\ndata: a\n\n', incomplete_event)

    @pytest.mark.parametrize('data', [b'id: x\n\n', b'\xff\n\n'])
    def test_an_invalid_event_breaks_the_stream(self, data):
        with pytest.raises(errors.AnswerBroken):
            self.read(data)


class TestRoutes:
    def decode(self, config):
        return _schemas.decode_routes(make_object('config/main', config))

    def test_the_longest_matching_prefix_wins(self):
        config = platform_deployment.make_config()
        longer_route = dict(config['routes'][0], name='longer')
        longer_route['path_prefix'] = '/plain/more/'
        config['routes'].append(longer_route)
        table = self.decode(config)
        host = platform_deployment.HOST
        assert table.find(host, '/plain/more/x').name == 'longer'
        assert table.find(host, '/plain/x').name == 'plain'
        assert table.find('other', '/plain/x') is None
        assert table.find(host, '/') is None

    def test_times_and_kinds_are_converted(self):
        route = self.decode(platform_deployment.make_config()).find(
            platform_deployment.HOST, '/samples/x'
        )
        assert route.kind is routes.RouteKind.BATCH
        assert (route.due_seconds, route.max_age_seconds) == (7.5, 40.0)

    def test_a_route_of_an_unknown_kind_is_not_idempotent(self):
        config = platform_deployment.make_config()
        config['routes'][0]['kind'] = 'new'
        route = self.decode(config).find(platform_deployment.HOST, '/plain/x')
        assert route.kind is routes.RouteKind.ONCE

    def test_a_split_route_selects_services_by_weight(self, rng):
        config = platform_deployment.make_config()
        config['routes'][0]['backends'] = [
            {'service': 'a', 'weight': 90},
            {'service': 'b', 'weight': 10},
        ]
        route = self.decode(config).find(platform_deployment.HOST, '/plain/x')
        selected = [route.draw_service(rng) for _ in range(1000)]
        assert 850 < selected.count('a') < 950

    @pytest.mark.parametrize('config', [5, {}, {'version': 'x', 'routes': []}])
    def test_a_malformed_configuration_is_broken(self, config):
        with pytest.raises(errors.ObjectBroken):
            self.decode(config)

    def test_an_older_version_is_never_activated(self):
        active_routes = routes.ActiveRoutes()
        assert active_routes.update(
            self.decode(platform_deployment.make_config(5))
        )
        assert not active_routes.update(
            self.decode(platform_deployment.make_config(4))
        )
        assert not active_routes.update(
            self.decode(platform_deployment.make_config(5))
        )
        assert active_routes.version == 5


class TestBatches:
    def make_route(self):
        table = _schemas.decode_routes(
            make_object('config/main', platform_deployment.make_config())
        )
        return table.find(platform_deployment.HOST, '/samples/x')

    def decode(self, submission, batch_id='b1'):
        body = json.dumps(submission).encode()
        return _batches.decode_submission(
            body, batch_id, self.make_route(), 'engines'
        )

    def test_a_submission_is_decoded_with_its_scorers(self):
        batch = self.decode(
            platform_deployment.make_batch(1, 1, min_version=4)
        )
        (item,) = batch.samples
        assert (batch.total, batch.min_version) == (1, 4)
        assert (item.request_path, item.body) == (
            '/samples/0/0?q=1',
            b'prompt',
        )
        assert item.scorer.body == b'text'
        assert item.expected_tokens == 100.0

    def test_a_length_hint_sets_the_expected_tokens(self):
        submission = platform_deployment.make_batch(1, 1)
        headers = submission['items'][0]['headers']
        headers['Swiftjunction-Length-Hint'] = '37'
        (item,) = self.decode(submission).samples
        assert item.expected_tokens == 37.0
        headers['Swiftjunction-Length-Hint'] = 'many'
        (item,) = self.decode(submission).samples
        assert item.expected_tokens == 100.0

    def test_connection_level_headers_are_not_passed_on(self):
        submission = platform_deployment.make_batch(1, 1)
        submission['items'][0]['headers'] = {
            'Connection': 'close',
            'X-Note': 'a',
            'Upgrade': 'h2c',
        }
        (item,) = self.decode(submission).samples
        assert item.headers == [('X-Note', 'a')]

    @pytest.mark.parametrize(
        ('change', 'field'),
        [
            ({'items': 5}, '$.items'),
            ({'min_version': 'x'}, '$.min_version'),
            ({'items': [{'id': 'a'}]}, '$.items[0]'),
            ({'items': [{'id': 'a', 'path': '/', 'body': '*'}]}, 'a'),
        ],
    )
    def test_an_invalid_field_is_named(self, change, field):
        with pytest.raises(errors.RequestInvalid) as caught:
            self.decode({**platform_deployment.make_batch(), **change})
        assert field in caught.value.message

    def test_a_submission_without_an_id_is_refused(self):
        with pytest.raises(errors.RequestInvalid):
            self.decode(platform_deployment.make_batch(), batch_id='')

    def test_a_body_of_arbitrary_bytes_is_preserved(self):
        submission = platform_deployment.make_batch(1, 1)
        data = bytes(range(256))
        submission['items'][0]['body'] = base64.b64encode(data).decode()
        assert self.decode(submission).samples[0].body == data


class TestSettings:
    LINES = [
        'node_name=vm-1',
        'ip=10.0.0.1',
        'zone=z',
        'region=r',
        'port_range=7000,7010',
        'provider.address=10.0.0.9:80',
        'not a pair',
        'some.new.key=5',
    ]

    def read(self, tmp_path, *more):
        path = tmp_path / 'local.conf'
        path.write_text('\n'.join([*self.LINES, *more]))
        return _settings.read_settings(path)

    def test_unknown_keys_are_ignored(self, tmp_path):
        settings = self.read(
            tmp_path, 'bounds.lease_ms=2500\nbounds.cancel_ms=2000'
        )
        assert settings.cancel_seconds == 2.0
        assert settings.name == 'vm-1'
        assert settings.peer_port == 7000
        assert settings.lease_seconds == 2.5

    @pytest.mark.parametrize(
        ('line', 'key'),
        [
            ('bounds.grace_s=soon', 'bounds.grace_s'),
            ('port_range=a,b', 'port_range'),
            ('ip=', 'ip'),
        ],
    )
    def test_an_invalid_value_is_reported_with_its_key(
        self, tmp_path, line, key
    ):
        with pytest.raises(errors.SettingsError) as caught:
            self.read(tmp_path, line)
        assert key in str(caught.value)

    def test_a_missing_file_is_named(self, tmp_path):
        with pytest.raises(errors.SettingsError) as caught:
            _settings.read_settings(tmp_path / 'none')
        assert 'none' in str(caught.value)


@pytest.mark.anyio
class TestStore:
    @pytest.fixture
    async def served(self):
        standin = standins.PlatformStoreStandin()
        listener = web.open_listener('127.0.0.1', 0)
        clients = web.PeerClients()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(standins.serve, listener, standin)
            yield standin, _store.PlatformStore(clients, listener.address)
            await clients.close()
            tasks.cancel_scope.cancel()

    async def test_writes_are_conditional(self, served):
        _, store = served
        created_revision = await store.create('k/a', b'{"x":1}')
        with pytest.raises(errors.RevisionConflict):
            await store.create('k/a', b'{"x":2}')
        updated_revision = await store.update(
            'k/a', b'{"x":2}', created_revision
        )
        with pytest.raises(errors.RevisionConflict):
            await store.update('k/a', b'{"x":3}', created_revision)
        found = await store.read('k/a')
        assert (found.version, json.loads(found.value)) == (
            updated_revision,
            {'x': 2},
        )
        with pytest.raises(errors.RevisionConflict):
            await store.delete('k/a', created_revision)
        await store.delete('k/a', updated_revision)
        with pytest.raises(errors.ObjectMissing):
            await store.read('k/a')

    async def test_a_list_reads_all_pages(self, served):
        standin, store = served
        standin.page_items = 3
        for number in range(8):
            standin.put('k', f'{number}', {})
        found = await store.list('k/')
        assert [item.key for item in found.changed] == [
            f'k/{number}' for number in range(8)
        ]

    async def test_a_watch_returns_changes_and_deletions(self, served):
        standin, store = served
        standin.put('k', 'a', {})
        listed = await store.list('k/')
        standin.put('k', 'b', {})
        standin.remove('k', 'a')
        standin.put('other', 'c', {})
        found = await store.watch('k/', listed.revision, 1.0)
        assert [item.key for item in found.changed] == ['k/b']
        assert found.deleted == ['k/a']

    async def test_a_watch_from_a_discarded_revision_loses_history(
        self, served
    ):
        standin, store = served
        standin.put('k', 'a', {})
        listed = await store.list('k/')
        standin.put('k', 'b', {})
        standin.compact_history()
        with pytest.raises(errors.HistoryLost):
            await store.watch('k/', listed.revision, 1.0)

    @pytest.mark.parametrize('fault', ['busy', 'many'])
    async def test_a_refusal_changes_nothing(self, served, fault):
        standin, store = served
        standin.faults.set(fault, 1)
        with pytest.raises(errors.PlatformUnavailable):
            await store.create('k/a', b'1')
        assert not standin.list_names('k')

    @pytest.mark.parametrize(
        ('fault', 'stored_count'), [('lost', 1), ('dropped', 0)]
    )
    async def test_a_write_without_a_response_is_uncertain(
        self, served, fault, stored_count
    ):
        standin, store = served
        standin.faults.set(fault, 1)
        with pytest.raises(errors.WriteUncertain):
            await store.create('k/a', b'1')
        assert len(standin.list_names('k')) == stored_count

    async def test_writing_a_status_leaves_the_spec_unchanged(self, served):
        standin, store = served
        standin.put('k', 'a', {'x': 1})
        found = await store.read('k/a')
        await store.write_status('k/a', b'{"state":"done"}', found.version)
        entry = standin.get('k', 'a')
        assert entry['spec'] == {'x': 1}
        assert entry['status'] == {'state': 'done'}


class TestOrganisations:
    def decode(self, **changes):
        config = {**platform_deployment.make_config(), **changes}
        return _schemas.decode_routes(make_object('config/main', config))

    def test_a_configuration_without_organisations_has_no_keys(self):
        table = self.decode()
        assert table.keys is None
        assert table.scalings == []

    def test_keys_priorities_and_public_routes_are_read(self):
        config = platform_deployment.make_config()
        config['routes'][0]['public'] = True
        table = self.decode(
            routes=config['routes'],
            tenants=[
                {'name': 'first', 'api_keys': ['k1', 'k2'], 'priority': 1},
                {'name': 'second'},
            ],
        )
        assert table.keys.names == {'first', 'second'}
        assert table.keys.find('k2').rank == 1
        assert [r.is_public for r in table.routes[:2]] == [True, False]

    def test_the_limits_of_a_service_are_read(self):
        limits = {
            'min': 1,
            'max': 12,
            'boot_time_s': 4.0,
            'spot_price': 0.22,
            'zone_prices': {'dc-1': 0.85},
        }
        service = {'name': 'engines', 'scaling': limits}
        (scaling,) = self.decode(services=[service]).scalings
        assert (scaling.service, scaling.min_servers) == ('engines', 1)
        assert (scaling.max_servers, scaling.boot_seconds) == (12, 4.0)
        assert scaling.prices == {'dc-1': 0.85}
