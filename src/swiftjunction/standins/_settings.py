"""The settings file of the stand-ins."""

import msgspec

from swiftjunction import objectstore
from swiftjunction import settings


class EngineStandinSettings(msgspec.Struct, forbid_unknown_fields=True):
    """A stand-in for a model engine.

    With `checks_fencing`, it refuses orders with an outdated fencing token.
    """

    name: settings.Name
    port: settings.Port
    model: settings.Name
    data_center: settings.Name
    checks_fencing: bool = True


class ServiceStandinSettings(msgspec.Struct, forbid_unknown_fields=True):
    """A stand-in for a server of a plain service, or for a scorer."""

    name: settings.Name
    port: settings.Port
    service: settings.Name
    data_center: settings.Name


class StandinSettings(msgspec.Struct, forbid_unknown_fields=True):
    """All stand-ins of a deployment.

    Attributes
    ----------
    region : str
        Region of the engines and services in the VM list.
    vms : list of Vm
        VMs of this system in the VM list. Engines and services are added to
        the list automatically.
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
    """Read and check the settings file of the stand-ins.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid; has a line for each problem.
    """
    return settings.read_struct(path, StandinSettings)
