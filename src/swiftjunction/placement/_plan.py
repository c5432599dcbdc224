"""The placement plan: the model that each moved engine is to serve."""

import logging

import msgspec

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership

LOG = logging.getLogger(__name__)

PLACEMENT_PREFIX = 'placement/'
PLAN_KEY = f'{PLACEMENT_PREFIX}plan'


class Plan(msgspec.Struct, frozen=True):
    """The planned model of each moved engine, stored as one object.

    Engines that were never moved serve the model in the VM list. They are
    omitted, which keeps the object small in large deployments. An engine that
    moves back to the model in the VM list stays in the plan.

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
        The shared records.

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
            self.plan = decoding.decode_json(record.value, Plan)
        except errors.ContentBroken as error:
            LOG.error('placement plan not applied: %s', error)
            return
        self.version = record.version

    def find_model(self, engine: str, listed: str) -> str:
        """Return the planned model of `engine`, or `listed` if it has none."""
        return self.plan.models.get(engine, listed)
