"""Invariants, checked against what callers and servers observe."""

import bisect
import collections
import collections.abc
import math

from soak import testbed
from swiftjunction import standins

# Nothing of a batch is sent to a server later after the acknowledged end.
CANCEL_SECONDS = 3.0
# Longest time after an announcement for which its server may get requests.
DRAIN_SECONDS = 2.0
# The rule on request limits: from this time after the first naming, in some
# window at most this many times what the limit allows, and some requests more,
# from VMs that had passed on a response with the limit some time before.
LIMIT_CONTACT_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA_REQUESTS = 5
LIMIT_KNOWN_SECONDS = 0.5
# A VM returns these statuses only for requests that have not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Invariants:
    """Counts the checks of invariants, and records violations.

    Attributes
    ----------
    cases : Counter
        Number of checks by invariant.
    violations : list of str
        Each violation: the invariant and what was observed.
    """

    def __init__(self) -> None:
        self.cases: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []

    def check(self, invariant: str, holds: bool, observed: object) -> None:
        """Count a check, and record a violation if `holds` is false."""
        self.cases[invariant] += 1
        if not holds:
            self.violations.append(f'{invariant}: {observed}')


class Outcome:
    """A request and its outcome, as its caller observed them.

    Attributes
    ----------
    request_id : str
        Identifies the request.
    kind : str
        First segment of the path: ``plain``, ``once`` or ``streams``.
    vm : str
        Name of the VM that was called.
    status : int
        Status of the response; 0 if there was no complete response.
    run : str
        The run of the server whose response was passed on; empty if none was.
    is_leaving : bool
        Whether that response announced that the server is leaving.
    limit : float
        The request limit that it named; infinity if none.
    epoch : tuple of int
        The starts and freezes of the VM when the request was sent.
    started_at, ended_at : float
        Times on the clock of the event loop in seconds.
    """

    __slots__ = (
        'ended_at',
        'epoch',
        'kind',
        'is_leaving',
        'limit',
        'request_id',
        'run',
        'started_at',
        'status',
        'vm',
    )

    def __init__(self, request_id: str, kind: str, vm: str) -> None:
        self.request_id = request_id
        self.kind = kind
        self.vm = vm
        self.status = 0
        self.run = ''
        self.is_leaving = False
        self.limit = math.inf
        self.epoch = (0, 0)
        self.started_at = 0.0
        self.ended_at = 0.0


def check_runs(
    invariants: Invariants,
    outcomes: collections.abc.Iterable[Outcome],
    deployment: testbed.SoakDeployment,
) -> None:
    """Check that no request ran more often than its outcome allows."""
    runs: collections.Counter[str] = collections.Counter()
    for server in deployment.plain.values():
        runs.update(request_id for request_id, _ in server.runs)
    for engine in deployment.engines.values():
        runs.update(request_id for request_id, _ in engine.runs)
    for outcome in outcomes:
        run_count = runs[outcome.request_id]
        details = (outcome.vm, outcome.request_id, outcome.status, run_count)
        if outcome.status in NOT_RUN_STATUSES:
            invariants.check(
                'a request reported as not run did not run',
                run_count == 0,
                details,
            )
        if outcome.kind == 'once':
            invariants.check(
                'a request runs at most once', run_count <= 1, details
            )


def check_leaving(
    invariants: Invariants,
    outcomes: collections.abc.Sequence[Outcome],
    deployment: testbed.SoakDeployment,
) -> None:
    """Check that no VM sends requests to servers that it knows to leave.

    A VM has passed a response on before its caller has read it. A restart or
    a freeze of the VM since then excuses it.
    """
    known_since: dict[tuple[str, tuple[int, int]], dict[str, float]] = {}
    for outcome in sorted(outcomes, key=lambda o: o.ended_at):
        if outcome.is_leaving:
            runs = known_since.setdefault((outcome.vm, outcome.epoch), {})
            runs.setdefault(outcome.run, outcome.ended_at)
    reached_by_id: dict[str, set[str]] = collections.defaultdict(set)
    for arrival in _iter_arrivals(deployment):
        reached_by_id[arrival.request_id].add(arrival.run)
    for outcome in outcomes:
        reached = reached_by_id[outcome.request_id]
        runs = known_since.get((outcome.vm, outcome.epoch), {})
        for run, since in runs.items():
            if outcome.started_at > since + DRAIN_SECONDS:
                invariants.check(
                    'no request reaches a server that is known to leave',
                    run not in reached,
                    (outcome.vm, outcome.request_id, run),
                )


def _iter_arrivals(
    deployment: testbed.SoakDeployment,
) -> collections.abc.Iterator[standins.Arrival]:
    for server in deployment.servers.values():
        yield from server.server_runs.arrivals


def check_limits(
    invariants: Invariants,
    outcomes: collections.abc.Sequence[Outcome],
    deployment: testbed.SoakDeployment,
) -> None:
    """Check that VMs together keep to the request limit that a run named.

    Each run names one limit at most, until it ends. Counted are the callers'
    requests, from VMs that had passed on a response with the limit.
    """
    limits: dict[str, float] = {}
    named_at: dict[str, float] = {}
    known_since: dict[tuple[str, str, tuple[int, int]], float] = {}
    for outcome in sorted(outcomes, key=lambda o: o.ended_at):
        if outcome.limit < math.inf:
            limits[outcome.run] = outcome.limit
            named_at.setdefault(outcome.run, outcome.ended_at)
            known_since.setdefault(
                (outcome.run, outcome.vm, outcome.epoch), outcome.ended_at
            )
    by_id = {outcome.request_id: outcome for outcome in outcomes}
    times: dict[str, list[float]] = {run: [] for run in limits}
    for arrival in _iter_arrivals(deployment):
        outcome = by_id.get(arrival.request_id)
        if outcome is None or arrival.run not in limits:
            continue
        since = max(
            named_at[arrival.run] + LIMIT_CONTACT_SECONDS,
            known_since.get((arrival.run, outcome.vm, outcome.epoch), math.inf)
            + LIMIT_KNOWN_SECONDS,
        )
        if arrival.at >= since:
            times[arrival.run].append(arrival.at)
    for run, limit in limits.items():
        allowed = (
            limit * LIMIT_WINDOW_SECONDS * LIMIT_FACTOR + LIMIT_EXTRA_REQUESTS
        )
        most = _count_most(times[run])
        invariants.check(
            'a server gets no more than the limit that it names',
            most <= allowed,
            (run, limit, most),
        )


def _count_most(times: list[float]) -> int:
    """Return the most of these times in one window."""
    return max(
        (
            bisect.bisect_right(times, start + LIMIT_WINDOW_SECONDS) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )


def check_fencing_tokens(
    invariants: Invariants, deployment: testbed.SoakDeployment
) -> None:
    """Check that no two holders sent orders with the same token."""
    holders: dict[int, str] = {}
    for engine in deployment.engines.values():
        for order in engine.orders:
            token = order['fencing_token']
            holder = holders.setdefault(token, order['holder'])
            invariants.check(
                'a fencing token has one holder',
                holder == order['holder'],
                (engine.name, order, holder),
            )


def check_ended_batches(
    invariants: Invariants,
    readers: collections.abc.Iterable['BatchReader'],
    deployment: testbed.SoakDeployment,
) -> None:
    """Check that nothing of an ended batch is sent to servers for long."""
    last_arrivals: dict[str, float] = {}
    for link in deployment.links.values():
        for request_id, arrived_at in link.arrivals:
            last_arrivals[request_id] = max(
                arrived_at, last_arrivals.get(request_id, 0.0)
            )
    for reader in readers:
        for request_id in reader.list_request_ids():
            late_seconds = last_arrivals.get(request_id, 0.0) - reader.ended_at
            invariants.check(
                'nothing of an ended batch is sent to a server',
                late_seconds <= CANCEL_SECONDS,
                (reader.batch_id, request_id, late_seconds),
            )


def make_expected_text(
    text_id: str, data: collections.abc.Iterable[str]
) -> str:
    """Return the complete text of the software that wrote the first event.

    A text that holds events of two software versions differs from it.
    """
    software = standins.find_software(list(data)[:1])
    return standins.make_platform_text(text_id, *software)


class BatchReader:
    """Reads the results of a batch, and checks that they are consistent.

    Parameters
    ----------
    invariants : Invariants
        Records the checks.
    deployment : SoakDeployment
        Deployment whose engines generated the samples.
    batch_id : str
        Identifies the batch.
    body : dict
        Batch as it was submitted.

    Attributes
    ----------
    results : list of dict
        Results read so far, in their order.
    ended_at : float
        When the end of the batch was acknowledged, on the clock of the event
        loop in seconds; infinity before that.
    """

    def __init__(
        self,
        invariants: Invariants,
        deployment: testbed.SoakDeployment,
        batch_id: str,
        body: dict,
    ) -> None:
        self._invariants = invariants
        self._deployment = deployment
        self._body = body
        self._sample_ids = {item['id'] for item in body['items']}
        self.batch_id = batch_id
        self.results: list[dict] = []
        self.ended_at = math.inf

    def list_request_ids(self) -> list[str]:
        """Return the ids of the samples and of their scoring requests."""
        scorer_ids = [item['scorer']['id'] for item in self._body['items']]
        return [*self._sample_ids, *scorer_ids]

    @property
    def is_complete(self) -> bool:
        """Tell whether all results have been read."""
        return len(self.results) == len(self._sample_ids)

    def record_page(self, position: int, page: dict) -> None:
        """Check and record a page of results.

        Parameters
        ----------
        position : int
            Index of the first result of the page in the batch.
        page : dict
            Response body.
        """
        self._invariants.check(
            'total is the number of samples',
            page['total'] == len(self._sample_ids),
            (self.batch_id, page['total']),
        )
        for offset, result in enumerate(page['results']):
            index = position + offset
            if index < len(self.results):
                self._invariants.check(
                    'a result keeps its position and content',
                    result == self.results[index],
                    (self.batch_id, index, result, self.results[index]),
                )
            elif index == len(self.results):
                self._record_result(result)

    def _record_result(self, result: dict) -> None:
        recorded_ids = {recorded['id'] for recorded in self.results}
        self._invariants.check(
            'each sample is listed once',
            result['id'] in self._sample_ids - recorded_ids,
            (self.batch_id, result['id']),
        )
        self.results.append(result)
        if result['state'] == 'completed':
            self._check_text(result)

    def _check_text(self, result: dict) -> None:
        sample_id = result['id']
        self._invariants.check(
            'a text is complete, of one software version',
            result['text']
            == make_expected_text(sample_id, result['text'].split('\n')),
            (self.batch_id, result),
        )
        self._invariants.check(
            'a score has the signature of its scorer',
            result['score'] == f'signed.score-{sample_id}',
            (self.batch_id, result),
        )
        generated_by = {
            version
            for engine in self._deployment.engines.values()
            for _, version in engine.generated.get(sample_id, ())
        }
        versions = set(result['versions'])
        self._invariants.check(
            'the reported versions generated the text',
            bool(versions) and versions <= generated_by,
            (self.batch_id, result, sorted(generated_by)),
        )
        self._invariants.check(
            'no version is older than min_version',
            min(versions, default=0) >= self._body['min_version'],
            (self.batch_id, result, self._body['min_version']),
        )
