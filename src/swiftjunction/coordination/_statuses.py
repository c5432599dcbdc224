"""What VMs tell each other of themselves: their entries and statuses."""

import collections.abc
import typing

import msgspec

from swiftjunction import backends
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import routing
from swiftjunction import web

MEMBER_PREFIX = 'members/'
MAX_PORT = 65535
MAX_CORES = 1e6

# 0 for none.
Port = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
Cores = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_CORES)]


class Member(msgspec.Struct, frozen=True):
    """The entry by which a VM registers itself in the object store.

    Attributes
    ----------
    address : str
        ``ip:port`` for peers.
    front : str
        ``ip:port`` for callers.
    run : str
        Identifies one run of the process; each start generates a new one.
    processor_cores : float
        Processor time that the VM provides, in cores.
    """

    name: str
    address: str
    front: str
    data_center: str
    region: str
    run: str
    processor_cores: Cores = 0.0

    @property
    def host(self) -> str:
        """Return the IP address for peers."""
        return self.address.rpartition(':')[0]


class MemberStatus(msgspec.Struct, frozen=True):
    """The status with which a VM answers the polls of its peers.

    Attributes
    ----------
    state : str
        ``starting``, ``live`` or ``draining``.
    fencing_token : int
        The fencing token of the lease under which the VM coordinates, or 0 if
        it is not the coordinator.
    lease_seconds : float
        How long the VM may still act under that lease, in seconds.
    lease_version : int
        The version of the lease's object, or 0 without the lease.
    reaches_store : bool
        Whether the VM reaches the object store directly.
    revisions : dict of str to int
        For each prefix, the revision up to which the VM has all changes.
    ages : dict of str to float
        For each prefix, the seconds for which changes may be missing: those
        since a response of the store showed that there were no others.
    coordinator : str
        The name of the VM with the highest fencing token known; empty if none
        is.
    coordinator_token : int
        That fencing token, or 0 if none is known.
    coordinator_lease_seconds : float
        How long that VM's lease is still valid, in seconds; 0 if not known.
    rates : list of RateStatement
        The request limits of servers that the VM knows.
    watch_ages : dict of str to float
        For each prefix, the seconds since the VM, or a peer that it copies
        from, had a watch that had not failed.
    tunnel_port : int
        The port at which the VM serves tunnels to backend servers; 0 if it
        serves none.
    cut_off : list of str
        The services of which the VM reaches no server.
    configuration_version : int
        The version of the configuration in effect; -1 if that is not known.
    configuration_age_seconds : float or None
        For how long its copy of the configuration may lack changes, on a
        clock that counts time suspended; None if that is not known.
    servers_age_seconds : float or None
        For how long its list of backend servers may lack changes, on a clock
        that counts time suspended; None if that is not known.
    flow_rates : dict of str to list of FlowRate
        For each service whose requests had to wait lately, the load of
        organisations at the VM.
    time_of_day : float
        The VM's time of day, in Unix seconds, which may be stepped; 0 if no
        duty needs it.
    median_time : float
        The median of its time of day and those of the peers that it polls, in
        Unix seconds; 0 if no duty needs it.
    """

    name: str
    run: str
    state: str
    fencing_token: decoding.Count = 0
    lease_seconds: decoding.Number = 0.0
    lease_version: decoding.Count = 0
    reaches_store: bool = False
    revisions: dict[str, decoding.Integer] = {}
    ages: dict[str, decoding.NonNegative] = {}
    coordinator: str = ''
    coordinator_token: decoding.Count = 0
    rates: list[backends.RateStatement] = []
    watch_ages: dict[str, decoding.NonNegative] = {}
    tunnel_port: Port = 0
    cut_off: list[str] = []
    configuration_age_seconds: float | None = None
    configuration_version: decoding.Integer = -1
    flow_rates: dict[str, list[routing.FlowRate]] = {}
    time_of_day: float = 0.0
    median_time: float = 0.0
    servers_age_seconds: float | None = None
    coordinator_lease_seconds: decoding.Number = 0.0


class Tunnel(msgspec.Struct, frozen=True):
    """A peer that serves tunnels, and its ``ip:port`` for them."""

    member: Member
    address: str


StatusSource = collections.abc.Callable[[], MemberStatus]


def encode_member(member: Member) -> bytes:
    """Return the stored value of a VM's entry."""
    return msgspec.json.encode(member)


def decode_member(found: objectstore.Object) -> Member:
    """Return the entry of a VM.

    Raises
    ------
    ObjectBroken
        If a field is missing or invalid, or the entry names another VM.
    """
    member = objectstore.decode_value(found, Member)
    if (
        found.key != MEMBER_PREFIX + member.name
        or not web.is_address(member.address)
        or (member.front and not web.is_address(member.front))
    ):
        raise errors.ObjectBroken(
            f'{found.key}: invalid name {member.name!r} or address '
            f'{member.address!r}, {member.front!r}',
            step='decode',
        )
    return member
