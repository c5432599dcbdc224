"""Odd values in the entries of the kinds that the platform defines."""

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.platform import _schemas
from swiftjunction import web
from tests import odd_values
from tests import platform_deployment

SERVER = {
    'service': 'plain',
    'address': '127.0.0.1:80',
    'zone': 'z1',
    'state': 'ready',
    'version': 'v1',
    'capacity': 4,
    'models': [{'name': 'm', 'version': 1}],
    'born': 5,
    'spot': False,
    'leaves_ms': 10.0,
}
VERSION = {'model': 'm', 'version': 2}
ADDRESSES = [
    '127.0.0.1:70000',
    '127.0.0.1:65536',
    '127.0.0.1:0',
    '127.0.0.1:-1',
    '127.0.0.1:+80',
    '127.0.0.1: 80',
    '127.0.0.1:8_0',
    '127.0.0.1:80\n',
    '127.0.0.1:\u0668\u0660',
    '127.0.0.1:',
    '127.0.0.1',
    ':80',
    '127.0.\x010.1:80',
    '127.0.0.\u0661:80',
    '127.0.0.256:80',
    'host.example:80',
    'user@127.0.0.1:80',
    '127.0.0.1:80:80',
    '::1:80',
    '[::1%1]:80',
    '[127.0.0.1]:80',
    '',
]
ODD_FIELDS = [
    {'notes': odd_values.NESTED},
    {'models': odd_values.NESTED},
    {'capacity': odd_values.LARGE},
    {'capacity': odd_values.LONG},
    {'capacity': 2**63},
    {'capacity': -5},
    {'born': -1},
    {'born': odd_values.LARGE},
    {'leaves_ms': odd_values.INFINITE},
    {'leaves_ms': odd_values.NOT_A_NUMBER},
    {'leaves_ms': -1e300},
    {'leaves_ms': 1e300},
    {'models': [{'name': 'm', 'version': odd_values.LARGE}]},
    {'models': [{'name': 'm', 'version': -1}]},
    {'zone': odd_values.NOT_UTF_8},
    {'zone': odd_values.SURROGATE},
]


def make_object(key, value):
    return objectstore.Object(key, 1, msgspec.json.encode(value))


@pytest.mark.parametrize('address', ADDRESSES)
def test_an_odd_address_is_refused_where_it_comes_in(address):
    with pytest.raises(ValueError):
        web.parse_address(address)
    entry = make_object('servers/s', {**SERVER, 'address': address})
    with pytest.raises(errors.ObjectBroken):
        _schemas.decode_server(entry)


@pytest.mark.parametrize(
    ('address', 'parsed'),
    [
        ('127.0.0.1:1', ('127.0.0.1', 1)),
        ('10.1.0.35:65535', ('10.1.0.35', 65535)),
        ('[::1]:80', ('::1', 80)),
    ],
)
def test_a_sound_address_is_accepted(address, parsed):
    assert web.parse_address(address) == parsed
    assert web.format_address(*parsed) == address
    entry = make_object('servers/s', {**SERVER, 'address': address})
    assert _schemas.decode_server(entry).address == address


def test_a_server_that_stays_beyond_its_time_is_accepted():
    entry = make_object('servers/s', {**SERVER, 'leaves_ms': -250.0})
    assert _schemas.decode_server(entry).leaves_seconds == 0.0


@hypothesis.given(st.text('0123456789.:[]%af \u0661', max_size=24))
def test_an_address_is_parsed_or_raises_a_value_error(address):
    try:
        host, port = web.parse_address(address)
    except ValueError:
        return
    assert host.isascii()
    assert 0 < port < 65536


@pytest.mark.parametrize('fields', ODD_FIELDS)
def test_an_odd_field_of_a_server_is_refused(fields):
    with pytest.raises(errors.ObjectBroken, match='servers/s'):
        _schemas.decode_server(make_object('servers/s', {**SERVER, **fields}))


@pytest.mark.parametrize('name', ['', 'a b', '\u00e9', 'a\n', 'a' * 257])
def test_a_server_name_that_no_header_can_carry_is_refused(name):
    with pytest.raises(errors.ObjectBroken):
        _schemas.decode_server(make_object(f'servers/{name}', SERVER))


@pytest.mark.parametrize(
    'fields',
    [
        {'version': odd_values.LARGE},
        {'version': -1},
        {'version': odd_values.NESTED},
        {'model': odd_values.NESTED},
        {'unknown': odd_values.NESTED},
    ],
)
def test_an_odd_version_is_refused(fields):
    with pytest.raises(errors.ObjectBroken):
        _schemas.decode_version(
            make_object('versions/m', {**VERSION, **fields})
        )


def make_config(**fields):
    return {
        **platform_deployment.make_config(),
        'tenants': [{'name': 'o', 'api_keys': ['k'], 'priority': 1}],
        'services': [
            {'name': 's', 'scaling': {'min': 1, 'zone_prices': {'z': 1.0}}}
        ],
        'limits': {'idle_timeout_ms': 5.0},
        **fields,
    }


def make_route_config(**fields):
    config = make_config()
    config['routes'] = [{**config['routes'][0], **fields}]
    return config


@pytest.mark.parametrize(
    'config',
    [
        make_config(unknown=odd_values.NESTED),
        make_config(routes=odd_values.NESTED),
        make_config(version=odd_values.LARGE),
        make_config(version=None),
        make_config(limits={'idle_timeout_ms': -1}),
        make_config(limits={'max_body_bytes': odd_values.LARGE}),
        make_config(tenants=[{'name': 'o', 'priority': odd_values.LARGE}]),
        make_config(tenants=[{'name': 'o', 'api_keys': [5]}]),
        make_config(services=[{'name': 's', 'scaling': {'min': -1}}]),
        make_config(services=[{'name': 's', 'scaling': {'boot_time_s': -1}}]),
        make_route_config(timeout_ms=-1),
        make_route_config(timeout_ms=odd_values.INFINITE),
        make_route_config(timeout_ms=1e300),
        make_route_config(due_ms=-1),
        make_route_config(max_age_s=-1),
        make_route_config(max_attempts=odd_values.LARGE),
        make_route_config(max_attempts=-1),
        make_route_config(priority=odd_values.LARGE),
        make_route_config(
            backends=[{'service': 's', 'weight': odd_values.NOT_A_NUMBER}]
        ),
        make_route_config(backends=[{'service': 's', 'weight': -1}]),
        make_route_config(backends=[{'service': 's', 'weight': 1e308}]),
    ],
)
def test_an_odd_configuration_is_refused(config):
    with pytest.raises(errors.ObjectBroken):
        _schemas.decode_routes(make_object('config/main', config))


DECODERS = {
    'server': (_schemas.decode_server, SERVER),
    'version': (_schemas.decode_version, VERSION),
    'routes': (_schemas.decode_routes, make_config()),
    'route': (
        lambda found: _schemas.decode_routes(
            objectstore.Object(
                found.key,
                1,
                msgspec.json.encode(
                    make_config(routes=[msgspec.Raw(found.value)])
                ),
            )
        ),
        platform_deployment.make_config()['routes'][0],
    ),
}


@pytest.mark.parametrize('name', DECODERS)
@hypothesis.given(data=st.data())
def test_an_entry_is_decoded_or_raises_object_broken(name, data):
    decode, sound = DECODERS[name]
    value = data.draw(
        st.one_of(
            odd_values.replace_fields(sound),
            odd_values.VALUES.map(msgspec.json.encode),
            st.binary(max_size=40),
        )
    )
    try:
        decoded = decode(objectstore.Object('servers/s', 1, value))
    except errors.ObjectBroken:
        return
    if name in ('server', 'version'):
        # Peers and the store get it, so that each encoding must carry it.
        msgspec.msgpack.encode(decoded)


@pytest.mark.parametrize('name', DECODERS)
def test_a_sound_entry_is_decoded(name):
    decode, sound = DECODERS[name]
    decode(objectstore.Object('servers/s', 1, msgspec.json.encode(sound)))
