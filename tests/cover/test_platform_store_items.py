"""Items of the platform's store that cannot be decoded hide no others."""

import http

import pytest

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.platform import _store

NESTED = b'[' * 6_000 + b']' * 6_000
SOUND = b'{"metadata":{"name":"sound","revision":3},"spec":{"number":1}}'
# Each with the keys under which it is followed.
ODD_ITEMS = {
    'a nested value': (
        b'{"metadata":{"name":"odd","revision":2},"spec":%s}' % NESTED,
        ['odd'],
    ),
    'a nested field': (
        b'{"metadata":{"name":"odd","revision":2},"spec":{"a":%s}}' % NESTED,
        ['odd'],
    ),
    'a nested status': (
        b'{"metadata":{"name":"odd","revision":2},"status":%s}' % NESTED,
        ['odd'],
    ),
    'nested metadata': (b'{"metadata":%s,"spec":1}' % NESTED, []),
    'a nested name': (b'{"metadata":{"name":%s},"spec":1}' % NESTED, []),
    'no metadata': (b'{"spec":1}', []),
    'a large revision': (
        b'{"metadata":{"name":"odd","revision":1%s},"spec":1}' % (b'0' * 30),
        [],
    ),
    'a negative revision': (
        b'{"metadata":{"name":"odd","revision":-1},"spec":1}',
        [],
    ),
    'no object': (b'5', []),
    'a nested item': (NESTED, []),
}


class _Peers:
    """Answers each call with the next of some bodies."""

    def __init__(self, *bodies):
        self.bodies = list(bodies)
        self.targets = []

    def get_direct(self, address):
        return self

    async def fetch(self, method, target, **options):
        self.targets.append(target)
        return http.HTTPStatus.OK, self.bodies.pop(0)


def make_store(*bodies):
    return _store.PlatformStore(_Peers(*bodies), '127.0.0.1:1')


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('item', 'names'), ODD_ITEMS.values(), ids=ODD_ITEMS.keys()
)
async def test_an_odd_item_hides_no_other_in_a_list(item, names):
    body = b'{"items":[%s,%s],"store_revision":9}' % (item, SOUND)
    listed = await make_store(body).list('servers/')
    assert listed.revision == 9
    assert [found.key for found in listed.changed] == [
        f'servers/{name}' for name in [*names, 'sound']
    ]
    assert listed.changed[-1].value == b'{"number":1}'


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('item', 'names'), ODD_ITEMS.values(), ids=ODD_ITEMS.keys()
)
async def test_an_odd_item_hides_no_other_in_a_watch(item, names):
    body = b'{"events":[{"object":%s},{"object":%s}],"store_revision":9}' % (
        item,
        SOUND,
    )
    found = await make_store(body).watch('servers/', 1, 1.0)
    assert found.revision == 9
    assert [item.key for item in found.changed] == [
        f'servers/{name}' for name in [*names, 'sound']
    ]
    assert found.changed[-1].value == b'{"number":1}'


@pytest.mark.anyio
async def test_the_value_of_a_nested_object_is_broken():
    body = b'{"metadata":{"name":"odd","revision":2},"spec":%s}' % NESTED
    found = await make_store(body).read('servers/odd')
    assert (found.key, found.version) == ('servers/odd', 2)
    with pytest.raises(errors.ObjectBroken, match='servers/odd'):
        objectstore.decode_value(found, dict)


@pytest.mark.anyio
async def test_the_pages_after_an_odd_item_are_read():
    first = b'{"items":[%s,5],"more_pages":true,"store_revision":9}' % SOUND
    second = b'{"items":[5,%s],"store_revision":10}' % SOUND.replace(
        b'sound', b'other'
    )
    store = make_store(first, second)
    listed = await store.list('servers/')
    assert [found.key for found in listed.changed] == [
        'servers/sound',
        'servers/other',
    ]
    assert store._peers.targets[-1].endswith('?after=sound')


@pytest.mark.anyio
@pytest.mark.parametrize(
    'body',
    [
        b'',
        NESTED,
        b'{"items":%s}' % NESTED,
        b'{"items":[%s' % NESTED,
        b'{"items":[5],"more_pages":true,"store_revision":9}',
    ],
)
async def test_a_page_that_cannot_be_read_raises_a_platform_error(body):
    with pytest.raises(errors.PlatformUnavailable):
        await make_store(body).list('servers/')


@pytest.mark.anyio
@pytest.mark.parametrize('name', ['""', '"a"'])
async def test_a_list_whose_pages_do_not_advance_ends(name):
    page = (
        b'{"items":[{"metadata":{"name":%s,"revision":3},"spec":1}],'
        b'"more_pages":true,"store_revision":3}' % name.encode()
    )
    with pytest.raises(errors.PlatformUnavailable):
        await make_store(page, page).list('servers/')
