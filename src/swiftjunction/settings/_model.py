"""Schema of a settings file; docs/SETTINGS.md describes each key."""

import typing

import msgspec

from swiftjunction import web

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = typing.Annotated[
    str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9.-]*$', max_length=63)
]
Url = typing.Annotated[str, msgspec.Meta(pattern='^https?://[^/]+$')]
Address = typing.Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f.:\[\]]+:\d+$')]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86400)]


class VmSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Identity, location and limits of the VM that the processes run on.

    The limits are those of each process.
    """

    name: Name
    ip: typing.Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f.:]+$')]
    data_center: Name
    region: Name
    memory_mb: typing.Annotated[int, msgspec.Meta(ge=64, le=1_048_576)] = 1024
    max_descriptors: typing.Annotated[
        int, msgspec.Meta(ge=64, le=10_000_000)
    ] = web.DEFAULT_DESCRIPTORS


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Base URLs of the platform's APIs."""

    objects: Url
    vms: Url
    weights: Url


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of ``swiftjunction-entry``."""

    port: Port = 8080
    link_port: Port = 8081
    address_lifetime_seconds: Seconds = 30.0
    max_in_flight: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1024


class RolloutSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of ``swiftjunction-rollout``."""

    port: Port = 8090
    link_port: Port = 8091
    max_in_flight: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 96


class ConductorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of ``swiftjunction-conductor``."""

    port: Port = 8070
    link_port: Port = 8071
    seeds: list[Address] = []
    administrator_sha256: typing.Annotated[
        str, msgspec.Meta(pattern='^([0-9a-f]{64})?$')
    ] = ''


class SpoolSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of ``swiftjunction-spool``.

    With an empty ``folder``, payloads are kept in memory. ``max_bytes`` limits
    their total size.
    """

    folder: str
    port: Port = 8061
    max_bytes: typing.Annotated[int, msgspec.Meta(ge=1_000_000)] = (
        10_000_000_000
    )


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the logs, written as JSON lines to standard error."""

    level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class TlsSettings(web.TlsFiles, frozen=True, forbid_unknown_fields=True):
    """TLS files of the VM's HTTP listeners and of calls between daemons."""


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings file of a VM."""

    vm: VmSettings
    platform: PlatformSettings
    entry: EntrySettings = msgspec.field(default_factory=EntrySettings)
    rollout: RolloutSettings = msgspec.field(default_factory=RolloutSettings)
    conductor: ConductorSettings = msgspec.field(
        default_factory=ConductorSettings
    )
    spool: SpoolSettings | None = None
    tls: TlsSettings | None = None
    logs: LogSettings = msgspec.field(default_factory=LogSettings)

    def format_link_address(self, port: int) -> str:
        """Return the ``ip:port`` of a link port of this VM."""
        return f'{self.vm.ip}:{port}'
