"""What operators and workers have written on the platform's store."""

from swiftjunction import backends
from swiftjunction import coordination
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.platform import _entries
from swiftjunction.platform import _feeds
from swiftjunction.platform import _names
from swiftjunction.platform import _store
from swiftjunction import routes
from swiftjunction import web


class PlatformCatalog(coordination.Catalog):
    """Reads the platform's own kinds.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    """

    __slots__ = ('_store',)

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store

    async def read_routes(self) -> routes.RouteTable:
        found = await self._store.read(_feeds.CONFIG_KEY)
        return _entries.decode_routes(found)

    async def list_servers(self) -> list[backends.ServerReport]:
        found = await self._store.list(f'{_names.SERVERS_KIND}/')
        reports = []
        for item in found.changed:
            try:
                reports.append(_entries.decode_server(item))
            except errors.ObjectBroken as error:
                _feeds.LOG.warning('entry names no server: %s', error)
        return sorted(reports, key=lambda report: report.name)

    async def list_versions(self) -> dict[str, int]:
        found = await self._store.list(f'{_names.VERSIONS_KIND}/')
        return dict(_entries.decode_version(item) for item in found.changed)


def open_store(
    peers: web.PeerClients, address: str
) -> objectstore.ObjectStore:
    """Return the platform's store at ``ip:port``."""
    return _store.PlatformStore(peers, address)
