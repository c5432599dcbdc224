"""The placement plan: engines that serve a model other than listed."""

import logging

import msgspec

from swiftjunction import links
from swiftjunction import membership

LOG = logging.getLogger(__name__)

PLACEMENT_PREFIX = 'placement/'
PLAN_KEY = f'{PLACEMENT_PREFIX}plan'


class Plan(msgspec.Struct, frozen=True):
    """The planned model of each moved engine, stored as one object.

    Engines that serve the model in the VM list are omitted, which keeps the
    object small in large fleets.

    Attributes
    ----------
    models : dict of str to str
        The planned model by engine name.
    nonce : str
        Unique to each write, so that a writer recognizes its own.
    """

    models: dict[str, str] = {}
    nonce: str = ''


class PlanTracker:
    """The newest plan known to this process.

    Parameters
    ----------
    table : RecordTable
        This daemon's replica of the shared records.

    Attributes
    ----------
    plan : Plan
        The plan; empty if none has been written.
    version : int
        The version of the stored object; 0 if there is none.
    """

    __slots__ = ('plan', 'version')

    def __init__(self, table: membership.RecordTable) -> None:
        self.plan = Plan()
        self.version = 0
        table.listen(PLAN_KEY, self._apply_record)

    def _apply_record(self, record: links.Record) -> None:
        try:
            self.plan = msgspec.json.decode(record.value, type=Plan)
        except msgspec.MsgspecError as error:
            LOG.error('placement plan not applied: %s', error)
            return
        self.version = record.version

    def find_model(self, engine: str, listed: str) -> str:
        """Return the planned model of `engine`, or `listed` by default."""
        return self.plan.models.get(engine, listed)
