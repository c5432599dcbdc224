"""Datagrams by which VMs tell the coordinator their counts."""

import msgspec


class CountEntry(msgspec.Struct, frozen=True, array_like=True):
    """How many requests of an organisation began in a window, so far."""

    window: int
    organisation: str
    count: int


class UsageCounts(msgspec.Struct, frozen=True, tag='usage-counts'):
    """Datagram with counts of one VM.

    Attributes
    ----------
    vm, run : str
        The VM that counted, and the run of its process.
    number : int
        Grows with each message of a run; of two counts for the same window
        and organisation, the one of the higher number counts.
    fencing_token : int
        That of the coordinator for which the message is meant.
    told_through : int
        The last of the windows of which that coordinator has been told all,
        with this message; -1 if there is none.
    is_relayed : bool
        Whether another VM passed the message on.
    """

    vm: str
    run: str
    number: int
    entries: list[CountEntry] = []
    fencing_token: int = 0
    told_through: int = -1
    is_relayed: bool = False


class UsageReceipt(msgspec.Struct, frozen=True, tag='usage-receipt'):
    """Datagram of the coordinator that acknowledges a message.

    Attributes
    ----------
    vm, run, number
        Those of the message.
    fencing_token : int
        That of the coordinator.
    fixed_through : int
        The last window whose report is fixed; -1 if none is.
    """

    vm: str
    run: str
    number: int
    fencing_token: int
    fixed_through: int = -1
