"""Reads routes, backend servers and model versions from the store."""

from swiftjunction import backends
from swiftjunction import coordination
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.platform import _feeds
from swiftjunction.platform import _names
from swiftjunction.platform import _schemas
from swiftjunction.platform import _store
from swiftjunction import routes
from swiftjunction import web


class PlatformCatalog(coordination.Catalog):
    """Reads the object kinds that the platform defines.

    Parameters
    ----------
    store : ObjectStore
        Store of the platform.
    """

    __slots__ = ('_store',)

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store

    async def read_routes(self) -> routes.RouteTable:
        obj = await self._store.read(_feeds.CONFIG_KEY)
        return _schemas.decode_routes(obj)

    async def list_servers(self) -> list[backends.ServerReport]:
        listed = await self._store.list(f'{_names.SERVERS_KIND}/')
        reports = []
        for item in listed.changed:
            try:
                reports.append(_schemas.decode_server(item))
            except errors.ObjectBroken as error:
                _feeds.LOG.warning('ignoring invalid server object: %s', error)
        return sorted(reports, key=lambda report: report.name)

    async def list_versions(self) -> dict[str, int]:
        listed = await self._store.list(f'{_names.VERSIONS_KIND}/')
        versions = {}
        for item in listed.changed:
            try:
                model, version = _schemas.decode_version(item)
                versions[model] = version
            except errors.ObjectBroken as error:
                _feeds.LOG.warning('ignoring invalid version: %s', error)
        return versions


def open_store(
    peers: web.PeerClients, address: str
) -> objectstore.ObjectStore:
    """Return a client of the platform's store at ``ip:port``."""
    return _store.PlatformStore(peers, address)
