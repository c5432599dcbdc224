"""``swiftjunction fleet``: shows the state of a deployment on the platform."""

import abc
import collections.abc
import datetime
import os
import typing

import anyio
import cleo.commands.command
import cleo.helpers
import msgspec

from swiftjunction import coordination
from swiftjunction import errors
from swiftjunction.platform import catalog
from swiftjunction import scaling
from swiftjunction import usage
from swiftjunction import web

STORE_VARIABLE = 'SWIFTJUNCTION_STORE'


class StoreClients:
    """The clients through which commands read the platform's store."""

    __slots__ = ('catalog', 'deployment', 'store')

    def __init__(self, peers: web.PeerClients, address: str) -> None:
        store = catalog.open_store(peers, address)
        self.store = store
        self.deployment = coordination.DeploymentReader(store, peers)
        self.catalog = catalog.PlatformCatalog(store)


class _FleetCommand(cleo.commands.command.Command):
    """A command that reads the platform's store."""

    options = [
        cleo.helpers.option(
            'store',
            None,
            f"Address of the platform's store, ip:port; default: "
            f'${STORE_VARIABLE}.',
            flag=False,
        ),
        cleo.helpers.option('json', None, 'Print JSON.'),
    ]

    def handle(self) -> int:
        address = self.option('store') or os.environ.get(STORE_VARIABLE, '')
        host, _, port = address.rpartition(':')
        if not host or not port.isdecimal():
            raise errors.SettingsError(
                [
                    f'--store {address!r}: must be ip:port of the store '
                    f'(or set {STORE_VARIABLE})'
                ]
            )
        rows = anyio.run(self._collect, address)
        if self.option('json'):
            self.line(msgspec.json.encode(rows).decode())
            return 0
        for row in rows:
            self.line(self.format_row(row))
        if not rows:
            self.line('nothing found')
        return 0

    async def _collect(self, address: str) -> list[typing.Any]:
        peers = web.PeerClients()
        try:
            return list(await self.collect(StoreClients(peers, address)))
        finally:
            await peers.close()

    @abc.abstractmethod
    async def collect(
        self, clients: StoreClients
    ) -> collections.abc.Iterable[typing.Any]:
        """Return the rows to print."""

    @abc.abstractmethod
    def format_row(self, row: typing.Any) -> str:
        """Return a row as a line of text."""


class FleetStatusCommand(_FleetCommand):
    """Prints the VMs, and which one is the coordinator."""

    name = 'fleet status'
    description = (
        'Shows the state of each VM, and whether it reaches the store.'
    )

    async def collect(
        self, clients: StoreClients
    ) -> collections.abc.Iterable[coordination.VmReport]:
        return await clients.deployment.list_vms()

    def format_row(self, row: coordination.VmReport) -> str:
        head = f'{row.member.name:<28} {row.member.data_center:<16}'
        status = row.status
        if status is None:
            return f'{head} away: {row.problem}'
        words = [f'{status.state:<9}']
        if status.fencing_token:
            words.append(f'coordinates under {status.fencing_token}')
        if not status.reaches_store:
            words.append('does not reach the store')
        if status.configuration_age_seconds is not None:
            words.append(
                f'configuration {status.configuration_version} confirmed '
                f'{status.configuration_age_seconds:.1f} s ago'
            )
        return f'{head} {", ".join(words)}'


class FleetLeasesCommand(_FleetCommand):
    """Prints the holder of each lease."""

    name = 'fleet leases'
    description = 'Shows the holder and the fencing token of each lease.'

    async def collect(
        self, clients: StoreClients
    ) -> collections.abc.Iterable[typing.Any]:
        return await clients.deployment.list_leases()

    def format_row(self, row: typing.Any) -> str:
        return (
            f'{row.name:<16} {row.holder or "free":<40} '
            f'token {row.fencing_token}, version {row.version}'
        )


class FleetStepsCommand(_FleetCommand):
    """Prints the batches of the trainers' steps."""

    name = 'fleet steps'
    description = 'Shows the batch of each step and its progress.'

    async def collect(
        self, clients: StoreClients
    ) -> collections.abc.Iterable[typing.Any]:
        return await clients.deployment.list_batches()

    def format_row(self, row: typing.Any) -> str:
        state = 'ended' if row.ended else 'open'
        return (
            f'{row.batch_id:<20} {row.model:<16} step {row.step:<5} '
            f'{row.listed} of {row.total} listed, {state}'
        )


class FleetServersCommand(_FleetCommand):
    """Prints the backend servers."""

    name = 'fleet servers'
    description = 'Shows each backend server and its weight versions.'

    async def collect(
        self, clients: StoreClients
    ) -> collections.abc.Iterable[typing.Any]:
        return await clients.catalog.list_servers()

    def format_row(self, row: typing.Any) -> str:
        versions = ', '.join(
            f'{model} at {version}'
            for model, version in sorted(row.model_versions.items())
        )
        return (
            f'{row.name:<16} {row.service:<20} {row.address:<22} '
            f'{row.state:<8} {versions}'
        )


class ModelVersion(msgspec.Struct, frozen=True):
    """The newest weight version of a model."""

    model: str
    version: int


class FleetVersionsCommand(_FleetCommand):
    """Prints the newest weight version of each model."""

    name = 'fleet versions'
    description = (
        'Shows the newest weight version that trainers set for each model.'
    )

    async def collect(
        self, clients: StoreClients
    ) -> collections.abc.Iterable[ModelVersion]:
        versions = await clients.catalog.list_versions()
        return [ModelVersion(*pair) for pair in sorted(versions.items())]

    def format_row(self, row: ModelVersion) -> str:
        return f'{row.model:<24} {row.version}'


class FleetRoutesCommand(_FleetCommand):
    """Prints the routes of the newest configuration."""

    name = 'fleet routes'
    description = 'Shows the routes of the newest configuration.'

    async def collect(
        self, clients: StoreClients
    ) -> collections.abc.Iterable[typing.Any]:
        return (await clients.catalog.read_routes()).routes

    def format_row(self, row: typing.Any) -> str:
        services = ', '.join(share.service for share in row.shares)
        return (
            f'{row.host}{row.prefix}  {row.kind.value}, to {services}, '
            f'{row.timeout_seconds} s'
        )


class FleetScalingCommand(_FleetCommand):
    """Prints the servers of services that are ordered."""

    name = 'fleet scaling'
    description = (
        'Shows for each service, data centre and kind of server how many run, '
        'are coming and are wanted, and why.'
    )

    async def collect(
        self, clients: StoreClients
    ) -> collections.abc.Iterable[scaling.SubjectState]:
        servers = await clients.catalog.list_servers()
        return [
            state
            for record in await clients.deployment.list_scaled_services()
            for state in scaling.list_states(
                record,
                (
                    scaling.ServerView(
                        server.name,
                        scaling.Subject(server.data_center, server.is_spot),
                        server.state == 'live',
                    )
                    for server in servers
                    if server.service == record.service
                ),
            )
        ]

    def format_row(self, row: scaling.SubjectState) -> str:
        kind = 'spot' if row.is_spot else 'regular'
        why = row.reason or 'found there'
        if row.is_open:
            why += ', no response yet'
        return (
            f'{row.service:<16} {row.data_center:<16} {kind:<8} '
            f'{row.running} running, {row.leaving} leaving, '
            f'{row.coming} coming, {row.wanted} wanted ({why})'
        )


class FleetUsageCommand(_FleetCommand):
    """Prints the usage reports of the last windows."""

    name = 'fleet usage'
    description = 'Shows which windows of usage are open, fixed or sent.'

    async def collect(
        self, clients: StoreClients
    ) -> collections.abc.Iterable[usage.WindowSummary]:
        return await usage.list_windows(clients.store)

    def format_row(self, row: usage.WindowSummary) -> str:
        words = [
            f'{row.window:<12} {row.state:<5} {row.requests} requests of '
            f'{row.organisations} organisations'
        ]
        if row.fixed_unix:
            words.append(f'fixed {_format_time(row.fixed_unix)}')
            words.append(f'by {row.fixed_by}')
        if row.sent_unix:
            words.append(f'sent {_format_time(row.sent_unix)}')
        return ', '.join(words)


def _format_time(unix_seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(unix_seconds, datetime.UTC)
    return moment.isoformat(timespec='seconds')


COMMANDS = (
    FleetStatusCommand,
    FleetLeasesCommand,
    FleetStepsCommand,
    FleetServersCommand,
    FleetVersionsCommand,
    FleetRoutesCommand,
    FleetScalingCommand,
    FleetUsageCommand,
)
