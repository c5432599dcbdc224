"""Watches the backend servers that this conductor owns."""

import logging
import time

import anyio
import anyio.abc
import httpx
import msgspec

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction.daemons import _listing
from swiftjunction.daemons import _load_filter
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore
from swiftjunction import web

LOG = logging.getLogger(__name__)

ASSIGN_INTERVAL_SECONDS = 0.25
RETRY_SECONDS = 0.3
HEALTH_INTERVAL_SECONDS = 1.0
HEALTH_TIMEOUT_SECONDS = 2.0


class ServerWatches:
    """Keeps a report of each backend server of the VM list.

    Each server is watched by one conductor, its owner by rendezvous hashing,
    which writes its record; every process reads the records.

    Parameters
    ----------
    vm : str
        This VM.
    table : RecordTable
        Where the reports go.
    processes : ProcessList
        Knows the other conductors.
    tree : Tree
        Knows which services are models.
    peers : PeerClients
        The HTTP clients of the servers.
    """

    __slots__ = (
        '_engines',
        '_listed',
        '_list_changes',
        '_loads',
        '_peers',
        '_processes',
        '_scopes',
        '_seen',
        '_table',
        '_tasks',
        '_tree',
        '_vm',
    )

    def __init__(
        self,
        vm: str,
        table: membership.RecordTable,
        processes: membership.ProcessList,
        tree: configuration.Tree,
        peers: web.PeerClients,
    ) -> None:
        self._vm = vm
        self._table = table
        self._processes = processes
        self._tree = tree
        self._peers = peers
        self._engines = backends.EngineClient(peers)
        self._listed: dict[str, objectstore.Vm] = {}
        self._loads: dict[str, _load_filter.LoadFilter] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._seen = (-1, -1)
        self._list_changes = 0
        table.listen(_listing.VM_PREFIX, self._learn_vm)
        table.listen(backends.SERVER_PREFIX, self._learn_report)

    async def run(self) -> None:
        """Watch until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                seen = (self._list_changes, self._processes.change_count)
                if seen != self._seen:
                    self._seen = seen
                    self._assign()
                await anyio.sleep(ASSIGN_INTERVAL_SECONDS)

    def _learn_vm(self, record: links.Record) -> None:
        vm = msgspec.msgpack.decode(record.value, type=objectstore.Vm)
        if vm.state == _listing.REMOVED and self._is_gone(vm.name):
            return
        # The list lags and may be older than what was read before. A server
        # that it does not show stays, until it does not answer either.
        self._list_changes += 1
        self._listed[vm.name] = vm

    def _learn_report(self, record: links.Record) -> None:
        report = msgspec.msgpack.decode(
            record.value, type=backends.ServerReport
        )
        listed = self._listed.get(report.name)
        if (
            report.state == 'gone'
            and listed is not None
            and listed.state == _listing.REMOVED
        ):
            self._list_changes += 1
            del self._listed[report.name]

    def owned(self) -> list[str]:
        """Return the servers that are watched here."""
        return sorted(self._scopes)

    def _assign(self) -> None:
        conductors = [p.vm for p in self._processes.select('conductor')]
        owned = {
            vm.name
            for vm in self._listed.values()
            if vm.service != 'swiftjunction'
            and membership.choose_owner(vm.name, conductors) == self._vm
        }
        for name in set(self._scopes) - owned:
            self._scopes.pop(name).cancel()
            self._loads.pop(name, None)
        for name in owned - set(self._scopes):
            assert self._tasks is not None, 'run() assigns'
            self._scopes[name] = anyio.CancelScope()
            self._tasks.start_soon(self._watch, name, self._scopes[name])

    async def _watch(self, name: str, scope: anyio.CancelScope) -> None:
        with scope:
            while name in self._listed:
                vm = self._listed[name]
                try:
                    if self._tree.has_model(vm.service):
                        await self._watch_engine(vm)
                    elif self._tree.has_service(vm.service):
                        await self._watch_service(vm)
                    elif vm.state == _listing.REMOVED:
                        self._report(vm, 'gone')
                except errors.BackendError as error:
                    LOG.info('%s does not answer: %s', name, error)
                    listed = self._listed.get(name, vm)
                    unlisted = listed.state == _listing.REMOVED
                    self._report(vm, 'gone' if unlisted else 'down')
                await anyio.sleep(RETRY_SECONDS)

    async def _watch_engine(self, vm: objectstore.Vm) -> None:
        async for status in self._engines.watch(vm.address):
            self._report(
                vm,
                'leaving' if status.leaving else 'live',
                status.weight_version,
                status.staged_version,
                service=status.model,
                load=self._filter_load(vm.name, status.load),
            )
        raise errors.AnswerBroken(
            'the status stream ended', step='watch', peer=vm.name
        )

    def _filter_load(self, name: str, load: float) -> float:
        filter_ = self._loads.setdefault(name, _load_filter.LoadFilter())
        return filter_.filter(load, time.monotonic())

    async def _watch_service(self, vm: objectstore.Vm) -> None:
        while self._tree.has_service(vm.service):
            try:
                response = await self._peers.get(vm.address).get(
                    '/health',
                    timeout=HEALTH_TIMEOUT_SECONDS,
                )
                leaving = bool(response.json().get('leaving'))
            except (httpx.HTTPError, ValueError, AttributeError) as error:
                raise errors.AnswerBroken(
                    f'no health: {error}', step='watch', peer=vm.name
                ) from error
            self._report(vm, 'leaving' if leaving else 'live')
            await anyio.sleep(HEALTH_INTERVAL_SECONDS)

    def _report(
        self,
        vm: objectstore.Vm,
        state: str,
        weight_version: int = 0,
        staged_version: int = 0,
        *,
        service: str = '',
        load: float = 0.0,
    ) -> None:
        listed = self._listed.get(vm.name, vm)
        if listed.state == 'leaving' and state == 'live':
            state = 'leaving'
        report = backends.ServerReport(
            vm.name,
            vm.address,
            # An engine knows best what it serves; the list says what it was
            # set up for.
            service or self._find_service(vm),
            vm.data_center,
            vm.region,
            state,
            weight_version,
            staged_version,
            load,
            vm.service,
        )
        self._table.put(
            f'{backends.SERVER_PREFIX}{vm.name}',
            msgspec.msgpack.encode(report),
        )

    def _find_service(self, vm: objectstore.Vm) -> str:
        """Return what a server that says nothing was last known to serve."""
        report = self._find_report(vm.name)
        if report is None or not report.listed_service:
            return vm.service
        return report.service

    def _is_gone(self, name: str) -> bool:
        report = self._find_report(name)
        return report is not None and report.state == 'gone'

    def _find_report(self, name: str) -> backends.ServerReport | None:
        held = self._table.get(f'{backends.SERVER_PREFIX}{name}')
        if held is None:
            return None
        return msgspec.msgpack.decode(held.value, type=backends.ServerReport)
