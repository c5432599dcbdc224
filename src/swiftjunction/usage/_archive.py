"""What the coordinator keeps of usage reports on the object store.

A report is created once and never changed, so that there is one for each
window, whoever the coordinator is.
"""

import logging
import uuid

import msgspec

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.usage import _ledger

LOG = logging.getLogger(__name__)

USAGE_PREFIX = 'usage/'
STATE_KEY = USAGE_PREFIX + 'state'
REPORT_PREFIX = USAGE_PREFIX + 'report-'
# Keys of reports sort by window.
WINDOW_DIGITS = 15


class FixedReport(msgspec.Struct, frozen=True):
    """What is reported of a window, whichever coordinator sends it.

    Attributes
    ----------
    counts : dict of str to int
        The requests of each organisation.
    fixed_unix : float
        When it was fixed, in Unix seconds.
    vm : str
        The VM that fixed it.
    nonce : str
        Tells apart two creations with the same counts.
    """

    window: int
    counts: dict[str, int]
    fixed_unix: float = 0.0
    vm: str = ''
    fencing_token: int = 0
    nonce: str = ''


class UsageState(msgspec.Struct, frozen=True):
    """The coordinator's state, for its successor and for operators.

    Attributes
    ----------
    next_window : int
        The first window whose report is not fixed.
    unsent : list of int
        The windows whose report is fixed and not known to be sent.
    sent : dict of int to float
        When the last reports were sent, in Unix seconds.
    records : list of CountRecord
        The counts of the windows that are not fixed.
    """

    next_window: int
    unsent: list[int] = []
    sent: dict[int, float] = {}
    records: list[_ledger.CountRecord] = []
    vm: str = ''
    fencing_token: int = 0
    nonce: str = ''


class StoredUsage(msgspec.Struct, frozen=True):
    """All that is on the store: the state, its version, and the reports."""

    state: UsageState | None
    version: int
    reports: dict[int, FixedReport]
    report_versions: dict[int, int]


def make_nonce() -> str:
    """Return a text that is unique for each write.

    With it, a write whose response was lost is recognized on the store.
    """
    return uuid.uuid4().hex[:12]


def make_report_key(window: int) -> str:
    """Return the key of the report of a window."""
    return f'{REPORT_PREFIX}{window:0{WINDOW_DIGITS}}'


class UsageArchive:
    """Reads and writes the state and the fixed reports.

    Parameters
    ----------
    store : ObjectStore
        Access to the store, directly or through a peer.
    """

    __slots__ = ('_store',)

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store

    async def load(self) -> StoredUsage:
        """Read all that is stored; invalid objects are left out.

        Raises
        ------
        PlatformError
            If the store cannot be read.
        """
        listed = await self._store.list(USAGE_PREFIX)
        state = None
        version = 0
        reports: dict[int, FixedReport] = {}
        versions: dict[int, int] = {}
        for found in listed.changed:
            try:
                if found.key == STATE_KEY:
                    version = found.version
                    state = objectstore.decode_value(found, UsageState)
                elif found.key.startswith(REPORT_PREFIX):
                    report = _decode_report(found)
                    reports[report.window] = report
                    versions[report.window] = found.version
            except errors.ObjectBroken as error:
                LOG.error('ignoring an invalid object of usage: %s', error)
        return StoredUsage(state, version, reports, versions)

    async def save_state(self, state: UsageState, version: int) -> int:
        """Write the state over a version, 0 if there is none.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        RevisionConflict
            If it has another version.
        PlatformError
            If it was not written, or that is not known.
        """
        value = msgspec.json.encode(state)
        if version:
            return await objectstore.update_or_confirm(
                self._store, STATE_KEY, value, version
            )
        return await objectstore.create_or_confirm(
            self._store, STATE_KEY, value
        )

    async def fix(self, report: FixedReport) -> tuple[FixedReport, int]:
        """Create the report of a window, unless there is one.

        Returns
        -------
        FixedReport
            The one on the store, this one or another.
        int
            The version of its object.

        Raises
        ------
        PlatformError
            If it is not known what is on the store.
        """
        key = make_report_key(report.window)
        try:
            version = await objectstore.create_or_confirm(
                self._store, key, msgspec.json.encode(report)
            )
            return report, version
        except errors.RevisionConflict:
            found = await self._store.read(key)
        return _decode_report(found), found.version

    async def delete(self, window: int, version: int) -> None:
        """Delete the report of a window."""
        await self._store.delete(make_report_key(window), version)


def _decode_report(found: objectstore.Object) -> FixedReport:
    """Return a fixed report; ``ObjectBroken`` if its key names another."""
    report = objectstore.decode_value(found, FixedReport)
    if found.key != make_report_key(report.window):
        raise errors.ObjectBroken(
            f'{found.key}: names window {report.window}', step='decode'
        )
    return report
