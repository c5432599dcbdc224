"""The promises, checked from what callers and servers see."""

import collections
import collections.abc

from soak import world
from swiftjunction import standins

# Statuses by which a VM promises that a request has not run.
PROMISES = frozenset({408, 421, 429, 503})


class Promises:
    """What was found broken.

    Attributes
    ----------
    cases : Counter
        How often each promise was tried.
    broken : list of str
        What happened, promise first.
    """

    def __init__(self) -> None:
        self.cases: collections.Counter[str] = collections.Counter()
        self.broken: list[str] = []

    def check(self, promise: str, holds: bool, seen: object) -> None:
        """Count a case; note what was seen where the promise is broken."""
        self.cases[promise] += 1
        if not holds:
            self.broken.append(f'{promise}: {seen}')


class Outcome:
    """One request, as its caller saw it.

    Attributes
    ----------
    status : int
        0 where there was no whole answer.
    """

    __slots__ = ('began_at', 'ended_at', 'kind', 'request_id', 'status', 'vm')

    def __init__(self, request_id: str, kind: str, vm: str) -> None:
        self.request_id = request_id
        self.kind = kind
        self.vm = vm
        self.status = 0
        self.began_at = 0.0
        self.ended_at = 0.0


def check_runs(
    promises: Promises,
    outcomes: collections.abc.Iterable[Outcome],
    deployment: world.World,
) -> None:
    """Compare what callers were told with what servers ran."""
    runs: collections.Counter[str] = collections.Counter()
    for server in deployment.plain.values():
        runs.update(request_id for request_id, _ in server.runs)
    for engine in deployment.engines.values():
        runs.update(request_id for request_id, _ in engine.runs)
    for outcome in outcomes:
        ran = runs[outcome.request_id]
        told = (outcome.vm, outcome.request_id, outcome.status, ran)
        if outcome.status in PROMISES:
            promises.check('"not run" is true', ran == 0, told)
        if outcome.kind == 'once':
            promises.check('a request runs at most once', ran <= 1, told)


def check_fences(promises: Promises, deployment: world.World) -> None:
    """Check that no two holders order under one fencing token."""
    holders: dict[int, str] = {}
    for engine in deployment.engines.values():
        for order in engine.orders:
            token = order['fencing_token']
            holder = holders.setdefault(token, order['holder'])
            promises.check(
                'a fencing token has one holder',
                holder == order['holder'],
                (engine.name, order, holder),
            )


class BatchReader:
    """What has been read of one batch, and whether it ever changed.

    Parameters
    ----------
    body : dict
        As it was submitted.
    """

    def __init__(
        self,
        promises: Promises,
        deployment: world.World,
        batch_id: str,
        body: dict,
    ) -> None:
        self._promises = promises
        self._world = deployment
        self._body = body
        self._ids = {item['id'] for item in body['items']}
        self.batch_id = batch_id
        self.results: list[dict] = []

    @property
    def is_complete(self) -> bool:
        """Tell whether all results have been read."""
        return len(self.results) == len(self._ids)

    def note_page(self, position: int, page: dict) -> None:
        """Take the results from a position on."""
        self._promises.check(
            'total is the number of samples',
            page['total'] == len(self._ids),
            (self.batch_id, page['total']),
        )
        for offset, result in enumerate(page['results']):
            place = position + offset
            if place < len(self.results):
                self._promises.check(
                    'a result keeps its position and content',
                    result == self.results[place],
                    (self.batch_id, place, result, self.results[place]),
                )
            elif place == len(self.results):
                self._note_new(result)

    def _note_new(self, result: dict) -> None:
        known = {held['id'] for held in self.results}
        self._promises.check(
            'each sample is listed once',
            result['id'] in self._ids - known,
            (self.batch_id, result['id']),
        )
        self.results.append(result)
        if result['state'] == 'completed':
            self._check_text(result)

    def _check_text(self, result: dict) -> None:
        sample = result['id']
        self._promises.check(
            'a text is whole',
            result['text'] == standins.make_platform_text(sample),
            (self.batch_id, result),
        )
        self._promises.check(
            "a score is its scorer's signature",
            result['score'] == f'signed.score-{sample}',
            (self.batch_id, result),
        )
        made = {
            version
            for engine in self._world.engines.values()
            for _, version in engine.generated.get(sample, ())
        }
        versions = set(result['versions'])
        self._promises.check(
            'versions are those that made the text',
            bool(versions) and versions <= made,
            (self.batch_id, result, sorted(made)),
        )
        self._promises.check(
            'no version is older than the bound',
            min(versions, default=0) >= self._body['min_version'],
            (self.batch_id, result, self._body['min_version']),
        )
