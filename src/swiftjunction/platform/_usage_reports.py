"""Assembles what counts and reports usage, if the platform asks for it."""

import logging
import random

from swiftjunction import coordination
from swiftjunction import objectstore
from swiftjunction.platform import _duty_tasks
from swiftjunction.platform import _names
from swiftjunction.platform import _settings
from swiftjunction import requests
from swiftjunction import supervision
from swiftjunction import telemetry
from swiftjunction import usage
from swiftjunction import web

LOG = logging.getLogger(__name__)


class UsageReports:
    """Counts the requests of this VM, and reports those of all VMs.

    Does nothing where the platform asks for no usage reports.

    Parameters
    ----------
    settings : EdgeSettings
        Tells whether there are reports, and the length of a window.
    store : ObjectStore
        Keeps the reports.
    members : MemberTable
        The VMs that count.
    peers : PeerClients
        HTTP clients of the process.
    metrics : Metrics
        Counts reports.
    rng : random.Random
        Chooses peers that pass messages on.
    clock : callable
        Returns the true time in Unix seconds.
    supervisor : Supervisor
        Keeps the unexpected error of one report from the other work.

    Attributes
    ----------
    runs : RunListener
        Counts the requests that this VM sends.
    duties : list of Duty
        The duty of the coordinator, if there is one.
    """

    __slots__ = ('_counter', '_exchange', '_reporter', 'duties', 'runs')

    def __init__(
        self,
        settings: _settings.EdgeSettings,
        store: objectstore.ObjectStore,
        members: coordination.MemberTable,
        peers: web.PeerClients,
        metrics: telemetry.Metrics,
        rng: random.Random,
        clock: usage.Clock,
        supervisor: supervision.Supervisor,
    ) -> None:
        self.runs: requests.RunListener = requests.NoRunListener()
        self.duties: list[coordination.Duty] = []
        self._exchange: usage.UsageExchange | None = None
        api = _duty_tasks.build_duty_api(settings, peers)
        if api is None or _names.USAGE_DUTY not in settings.duties:
            return
        if settings.usage_window_seconds <= 0:
            LOG.error(
                'no usage is reported, as the length of a window is invalid',
                extra={'seconds': settings.usage_window_seconds},
            )
            return
        windows = usage.Windows(
            settings.usage_window_seconds, settings.usage_late_seconds, clock
        )
        self._reporter = usage.UsageReporter(
            api,
            usage.UsageArchive(store),
            windows,
            members,
            metrics,
            settings.duties_per_second,
            settings.lease_seconds,
            0.0 if settings.checks_fencing else settings.lease_seconds,
            supervisor,
        )
        self._counter = usage.UsageCounter(windows)
        self._exchange = usage.UsageExchange(
            self._counter, windows, members, self._reporter, rng
        )
        self.runs = self._counter
        self.duties.append(self._reporter)

    def connect(self, datagrams: coordination.PeerDatagrams) -> None:
        """Send and receive messages over `datagrams` from now on."""
        if self._exchange is not None:
            self._exchange.connect(datagrams)

    async def run(self) -> None:
        """Tell the coordinator what is counted, until cancelled."""
        if self._exchange is not None:
            await self._exchange.run()

    def summarize(self) -> dict[str, object]:
        """Return the counts and the reports, for the state dump."""
        if self._exchange is None:
            return {}
        return {
            'counter': self._counter.summarize(),
            'reporter': self._reporter.summarize(),
        }
