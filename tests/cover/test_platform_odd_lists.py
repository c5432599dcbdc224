"""An odd object hides no other in what operators list."""

import pytest

from swiftjunction.platform import catalog
from swiftjunction import scaling

pytestmark = pytest.mark.anyio


async def test_the_versions_beside_an_odd_one_are_listed(store):
    store._put('versions/odd', b'{"model":"odd","version":-1}')
    store._put('versions/m', b'{"model":"m","version":3}')
    found = await catalog.PlatformCatalog(store).list_versions()
    assert found == {'m': 3}


async def test_the_orders_beside_an_odd_record_are_listed(store):
    store._put('scaling/odd', b'{"service":5}')
    store._put('scaling/s', b'{"service":"s"}')
    found = await scaling.OrderArchive(store).list()
    assert [record.service for record in found] == ['s']
