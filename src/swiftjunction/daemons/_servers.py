"""Monitors the backend servers that this conductor owns."""

import logging
import time

import anyio
import anyio.abc
import httpx
import msgspec

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction.daemons import _listing
from swiftjunction.daemons import _loads
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore
from swiftjunction import web

LOG = logging.getLogger(__name__)

ASSIGN_INTERVAL_SECONDS = 0.25
RETRY_DELAY_SECONDS = 0.3
HEALTH_CHECK_INTERVAL_SECONDS = 1.0
HEALTH_CHECK_TIMEOUT_SECONDS = 2.0


class ServerMonitor:
    """Maintains the reports of the backend servers of this conductor.

    Rendezvous hashing assigns each server in the VM list to one conductor,
    its owner, which monitors it and writes its record. All processes read the
    records.

    Parameters
    ----------
    vm : str
        The name of this VM.
    table : RecordTable
        The shared records, which include the reports.
    processes : ProcessList
        The live conductors, which divide the servers between them.
    tree : Tree
        The active settings, which define models and plain services.
    backend_clients : PeerClients
        HTTP clients for the servers.
    """

    __slots__ = (
        '_backend_clients',
        '_engines',
        '_listed',
        '_list_change_count',
        '_load_filters',
        '_processes',
        '_scopes',
        '_seen_changes',
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
        backend_clients: web.PeerClients,
    ) -> None:
        self._vm = vm
        self._table = table
        self._processes = processes
        self._tree = tree
        self._backend_clients = backend_clients
        self._engines = backends.EngineClient(backend_clients)
        self._listed: dict[str, objectstore.Vm] = {}
        self._load_filters: dict[str, _loads.LoadFilter] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._seen_changes = (-1, -1)
        self._list_change_count = 0
        table.listen(_listing.VM_PREFIX, self._apply_vm)
        table.listen(backends.SERVER_PREFIX, self._apply_report)

    async def run(self) -> None:
        """Monitor the owned servers until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                changes = (
                    self._list_change_count,
                    self._processes.change_count,
                )
                if changes != self._seen_changes:
                    self._seen_changes = changes
                    self._assign_servers()
                await anyio.sleep(ASSIGN_INTERVAL_SECONDS)

    def _apply_vm(self, record: links.Record) -> None:
        vm = decoding.decode_msgpack(record.value, objectstore.Vm)
        if vm.state == _listing.REMOVED_STATE and self._is_gone(vm.name):
            return
        # The list lags and may be older than an earlier one. A server that it
        # no longer shows is kept until it does not respond either.
        self._list_change_count += 1
        self._listed[vm.name] = vm

    def _apply_report(self, record: links.Record) -> None:
        report = decoding.decode_msgpack(record.value, backends.ServerReport)
        listed = self._listed.get(report.name)
        if (
            report.state == 'gone'
            and listed is not None
            and listed.state == _listing.REMOVED_STATE
        ):
            self._list_change_count += 1
            del self._listed[report.name]

    def list_owned(self) -> list[str]:
        """Return the names of the servers that this conductor monitors."""
        return sorted(self._scopes)

    def _assign_servers(self) -> None:
        conductors = [p.vm for p in self._processes.select('conductor')]
        owned = {
            vm.name
            for vm in self._listed.values()
            if vm.service != 'swiftjunction'
            and membership.choose_owner(vm.name, conductors) == self._vm
        }
        for name in set(self._scopes) - owned:
            self._scopes.pop(name).cancel()
            self._load_filters.pop(name, None)
        for name in owned - set(self._scopes):
            assert self._tasks is not None, 'only run() calls this method'
            self._scopes[name] = anyio.CancelScope()
            self._tasks.start_soon(self._monitor, name, self._scopes[name])

    async def _monitor(self, name: str, scope: anyio.CancelScope) -> None:
        with scope:
            while name in self._listed:
                vm = self._listed[name]
                try:
                    if self._tree.has_model(vm.service):
                        await self._watch_engine(vm)
                    elif self._tree.has_service(vm.service):
                        await self._poll_service(vm)
                    elif vm.state == _listing.REMOVED_STATE:
                        self._write_report(vm, 'gone')
                except errors.BackendError as error:
                    LOG.info(
                        'monitoring of backend server %s failed: %s',
                        name,
                        error,
                    )
                    listed = self._listed.get(name, vm)
                    unlisted = listed.state == _listing.REMOVED_STATE
                    self._write_report(vm, 'gone' if unlisted else 'down')
                await anyio.sleep(RETRY_DELAY_SECONDS)

    async def _watch_engine(self, vm: objectstore.Vm) -> None:
        async for status in self._engines.watch(vm.address):
            self._write_report(
                vm,
                'leaving' if status.leaving else 'live',
                status.weight_version,
                status.staged_version,
                service=status.model,
                load=self._filter_load(vm.name, status.load),
            )
        raise errors.AnswerBroken(
            'the engine closed its status stream', step='watch', peer=vm.name
        )

    def _filter_load(self, name: str, load: float) -> float:
        load_filter = self._load_filters.setdefault(name, _loads.LoadFilter())
        return load_filter.filter(load, time.monotonic())

    async def _poll_service(self, vm: objectstore.Vm) -> None:
        while self._tree.has_service(vm.service):
            try:
                # The timeout of the client applies to each read.
                with anyio.fail_after(HEALTH_CHECK_TIMEOUT_SECONDS):
                    response = await self._backend_clients.get(vm.address).get(
                        '/health',
                        timeout=HEALTH_CHECK_TIMEOUT_SECONDS,
                        extensions=web.SHORT_BODY,
                    )
                leaving = bool(response.json().get('leaving'))
            except (
                httpx.HTTPError,
                TimeoutError,
                ValueError,
                AttributeError,
            ) as error:
                raise errors.AnswerBroken(
                    f'health check failed: {errors.describe(error)}',
                    step='watch',
                    peer=vm.name,
                ) from error
            self._write_report(vm, 'leaving' if leaving else 'live')
            await anyio.sleep(HEALTH_CHECK_INTERVAL_SECONDS)

    def _write_report(
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
            # The list gives the service that an engine was set up for; the
            # engine itself reports the one that it currently serves.
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
        """Return the last known service, for a server that reports none."""
        report = self._find_report(vm.name)
        if report is None or not report.listed_service:
            return vm.service
        return report.service

    def _is_gone(self, name: str) -> bool:
        report = self._find_report(name)
        return report is not None and report.state == 'gone'

    def _find_report(self, name: str) -> backends.ServerReport | None:
        current = self._table.get(f'{backends.SERVER_PREFIX}{name}')
        if current is None:
            return None
        return decoding.decode_msgpack(current.value, backends.ServerReport)
