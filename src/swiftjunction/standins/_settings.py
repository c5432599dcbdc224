"""The file that says which stand-ins there are."""

import msgspec

from swiftjunction import objectstore
from swiftjunction import settings


class EngineStandinSettings(msgspec.Struct, forbid_unknown_fields=True):
    """One model engine."""

    name: settings.Name
    port: settings.Port
    model: settings.Name
    data_center: settings.Name
    checks_fencing: bool = True


class ServiceStandinSettings(msgspec.Struct, forbid_unknown_fields=True):
    """One server of a plain service, or a scorer."""

    name: settings.Name
    port: settings.Port
    service: settings.Name
    data_center: settings.Name


class StandinSettings(msgspec.Struct, forbid_unknown_fields=True):
    """All stand-ins of a deployment.

    Attributes
    ----------
    vms : list of Vm
        This system's own VMs, for the VM list; the engines and services are
        listed by themselves.
    """

    objects_port: settings.Port = 9001
    vms_port: settings.Port = 9002
    weights_port: settings.Port = 9003
    ip: str = '127.0.0.1'
    region: str = 'loopback'
    engines: list[EngineStandinSettings] = []
    services: list[ServiceStandinSettings] = []
    vms: list[objectstore.Vm] = []


def read_standin_settings(path: str) -> StandinSettings:
    """Read and check a stand-ins file.

    Raises
    ------
    SettingsError
        With a line for each mistake.
    """
    return settings.read_struct(path, StandinSettings)
