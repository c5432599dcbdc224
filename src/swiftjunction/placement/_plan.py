"""The plan: which engines serve another model than they are listed for."""

import logging

import msgspec

from swiftjunction import links
from swiftjunction import membership

LOG = logging.getLogger(__name__)

PLACEMENT_PREFIX = 'placement/'
PLAN_KEY = f'{PLACEMENT_PREFIX}plan'


class Plan(msgspec.Struct, frozen=True):
    """The moves in force: one object of the platform.

    Engines that serve what the VM list says are left out, so that the object
    is small also for many engines.
    """

    models: dict[str, str] = {}
    nonce: str = ''


class PlanTracker:
    """The newest plan known here.

    Parameters
    ----------
    table : RecordTable
        The records of this daemon.
    """

    __slots__ = ('plan', 'version')

    def __init__(self, table: membership.RecordTable) -> None:
        self.plan = Plan()
        self.version = 0
        table.listen(PLAN_KEY, self._learn)

    def _learn(self, record: links.Record) -> None:
        try:
            self.plan = msgspec.json.decode(record.value, type=Plan)
        except msgspec.MsgspecError as error:
            LOG.error('placement not applied: %s', error)
            return
        self.version = record.version

    def find_model(self, engine: str, listed: str) -> str:
        """Return what `engine` is to serve, listed for model `listed`."""
        return self.plan.models.get(engine, listed)
