"""What was ordered last, on the object store for the next coordinator."""

import collections
import collections.abc
import logging
import uuid

import msgspec

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.scaling import _supply

LOG = logging.getLogger(__name__)

SCALING_PREFIX = 'scaling/'


class OrderRecord(msgspec.Struct, frozen=True):
    """The number of servers of one subject.

    Attributes
    ----------
    ordered : bool
        Whether that number was ordered, or is about to be; otherwise it was
        found there.
    is_open : bool
        Whether the order may still be carried out: it was about to be sent,
        or has got no response yet.
    reason : str
        Why it was ordered; empty if it was not.
    """

    data_center: str
    is_spot: bool
    servers: int
    ordered: bool = False
    is_open: bool = False
    reason: str = ''

    @property
    def subject(self) -> _supply.Subject:
        """Return the subject of the order."""
        return _supply.Subject(self.data_center, self.is_spot)


class ServiceRecord(msgspec.Struct, frozen=True):
    """What was decided for one service.

    Attributes
    ----------
    target : int
        The number of servers aimed at.
    fencing_token : int
        That of the coordinator that wrote it.
    nonce : str
        Unique for each write, to recognize one whose response was lost.
    """

    service: str
    target: int = 0
    fencing_token: int = 0
    subjects: list[OrderRecord] = []
    nonce: str = ''


class OrderArchive:
    """Reads and writes the records of services.

    Parameters
    ----------
    store : ObjectStore
        Holds one object for each service.
    """

    __slots__ = ('_store',)

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store

    async def read(self, service: str) -> tuple[ServiceRecord, int]:
        """Return the record of a service and its version, 0 if new.

        A record that cannot be decoded is replaced by the next write.
        """
        try:
            found = await self._store.read(SCALING_PREFIX + service)
        except errors.ObjectMissing:
            return ServiceRecord(service), 0
        try:
            record = objectstore.decode_value(found, ServiceRecord)
        except errors.ObjectBroken:
            record = ServiceRecord(service)
        return record, found.version

    async def write(self, record: ServiceRecord, version: int) -> int:
        """Write a record on the condition that it is still at `version`.

        Returns
        -------
        int
            Its new version.

        Raises
        ------
        RevisionConflict, WriteUncertain
            If another process has written it, or may have.
        """
        key = SCALING_PREFIX + record.service
        value = msgspec.json.encode(
            msgspec.structs.replace(record, nonce=uuid.uuid4().hex)
        )
        if not version:
            return await objectstore.create_or_confirm(self._store, key, value)
        return await objectstore.update_or_confirm(
            self._store, key, value, version
        )

    async def list(self) -> list[ServiceRecord]:
        """Return the records of all services, sorted by service."""
        found = await self._store.list(SCALING_PREFIX)
        records = []
        for item in found.changed:
            try:
                records.append(objectstore.decode_value(item, ServiceRecord))
            except errors.ObjectBroken as error:
                LOG.warning('ignoring an invalid record of orders: %s', error)
        return sorted(records, key=lambda record: record.service)


class SubjectState(msgspec.Struct, frozen=True):
    """The servers of one subject, for operators.

    Attributes
    ----------
    running, leaving : int
        The servers that are listed as live and as leaving.
    coming : int
        How many more servers were ordered than run.
    wanted : int
        The number that was ordered last, or that was found there if none was
        ordered.
    reason : str
        Why it was ordered; empty if it was not.
    is_open : bool
        Whether the order has no outcome yet.
    """

    service: str
    data_center: str
    is_spot: bool
    running: int
    leaving: int
    coming: int
    wanted: int
    reason: str
    is_open: bool


def list_states(
    record: ServiceRecord,
    servers: collections.abc.Iterable[_supply.ServerView],
) -> list[SubjectState]:
    """Return the state of each subject of a service.

    Parameters
    ----------
    servers : iterable of ServerView
        The listed servers of the service.
    """
    running: collections.Counter[_supply.Subject] = collections.Counter()
    leaving: collections.Counter[_supply.Subject] = collections.Counter()
    for server in servers:
        (running if server.is_live else leaving)[server.subject] += 1
    rows = {row.subject: row for row in record.subjects}
    for subject in running.keys() | leaving.keys():
        rows.setdefault(
            subject,
            OrderRecord(
                subject.data_center, subject.is_spot, running[subject]
            ),
        )
    return [
        SubjectState(
            record.service,
            subject.data_center,
            subject.is_spot,
            running[subject],
            leaving[subject],
            max(row.servers - running[subject], 0) if row.ordered else 0,
            row.servers,
            row.reason,
            row.is_open,
        )
        for subject, row in sorted(rows.items())
    ]
