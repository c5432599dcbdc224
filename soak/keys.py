"""Keys of organisations: their changes, and what may follow from them."""

import collections.abc
import math
import random

import anyio

from soak import checks
from soak import testbed

ORGANISATIONS = ('first', 'second')
KEYS_PER_ORGANISATION = 2
KEY_HEADER = 'swiftjunction-credential'
NAME_HEADER = 'swiftjunction-tenant-id'
# Fraction of the callers' requests that have a removed key, if there is one.
REMOVED_FRACTION = 0.2
# Shorter than the longest cuts and freezes of a run.
REVOKE_SECONDS = 3.0
APPLY_SECONDS = 3.0
SETTINGS = (
    'bounds.strict_revoke=true',
    f'bounds.revoke_ms={REVOKE_SECONDS * 1000}',
    f'bounds.config_apply_ms={APPLY_SECONDS * 1000}',
)


class Key:
    """A key, and when configurations with and without it were accepted.

    Times are on the clock of the event loop in seconds.
    """

    __slots__ = ('added_at', 'organisation', 'removed_at', 'text')

    def __init__(self, text: str, organisation: str, added_at: float) -> None:
        self.text = text
        self.organisation = organisation
        self.added_at = added_at
        self.removed_at = math.inf


class KeyRing:
    """The keys of all organisations of a run, which change at random.

    Parameters
    ----------
    rng : random.Random
        Draws the keys of requests.
    """

    __slots__ = ('_rng', 'keys', 'used')

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.keys: list[Key] = []
        # The key of each request, by the id of the request.
        self.used: dict[str, Key] = {}

    def rotate(self) -> list[dict[str, object]]:
        """Remove the oldest key of an organisation, and add another one.

        Returns
        -------
        list of dict
            The organisations, as the configuration lists them.
        """
        now = anyio.current_time()
        if self.keys:
            chosen = self._rng.choice(ORGANISATIONS)
            self._list_current(chosen)[0].removed_at = now
        for name in ORGANISATIONS:
            while len(self._list_current(name)) < KEYS_PER_ORGANISATION:
                text = f'key-{len(self.keys)}-of-{name}'
                self.keys.append(Key(text, name, now))
        return [
            {
                'name': name,
                'api_keys': [key.text for key in self._list_current(name)],
            }
            for name in ORGANISATIONS
        ]

    def _list_current(self, organisation: str) -> list[Key]:
        return [
            key
            for key in self.keys
            if key.organisation == organisation and math.isinf(key.removed_at)
        ]

    def make_headers(self, organisation: str = '') -> dict[str, str]:
        """Return the header with a current key of an organisation.

        It may be so new that VMs do not have it.
        """
        if not self.keys:
            return {}
        organisation = organisation or ORGANISATIONS[0]
        key = self._rng.choice(self._list_current(organisation))
        return {KEY_HEADER: key.text}

    def draw_headers(self, request_id: str) -> dict[str, str]:
        """Return the header of a caller's request with any key."""
        if not self.keys:
            return {}
        removed = [k for k in self.keys if not math.isinf(k.removed_at)]
        if removed and self._rng.random() < REMOVED_FRACTION:
            key = self._rng.choice(removed)
        else:
            key = self._rng.choice(
                self._list_current(self._rng.choice(ORGANISATIONS))
            )
        self.used[request_id] = key
        return {KEY_HEADER: key.text}


def check_keys(
    invariants: checks.Invariants,
    outcomes: collections.abc.Iterable[checks.Outcome],
    deployment: testbed.SoakDeployment,
    ring: KeyRing,
) -> None:
    """Check who was served, and what servers were told of them."""
    if not ring.keys:
        return
    names = {
        headers.get('swiftjunction-attempt-id'): headers.get(NAME_HEADER)
        for headers in _list_headers(invariants, deployment)
    }
    for outcome in outcomes:
        key = ring.used[outcome.request_id]
        details = (
            outcome.vm,
            outcome.request_id,
            outcome.status,
            outcome.started_at - key.added_at,
            outcome.started_at - key.removed_at,
        )
        if outcome.request_id in names:
            invariants.check(
                'a request with a removed key does not run',
                outcome.started_at <= key.removed_at + REVOKE_SECONDS,
                details,
            )
            invariants.check(
                'a server is told the organisation of the key',
                names[outcome.request_id] == key.organisation,
                (*details, names[outcome.request_id]),
            )
        if outcome.status == 401:
            invariants.check(
                'a valid key is not refused',
                outcome.started_at < key.added_at + APPLY_SECONDS
                or outcome.ended_at > key.removed_at,
                details,
            )


def _list_headers(
    invariants: checks.Invariants, deployment: testbed.SoakDeployment
) -> collections.abc.Iterator[dict[str, str]]:
    """Yield the headers of all requests to servers, and check them."""
    for server in deployment.servers.values():
        for headers in server.headers:
            request_id = headers.get('swiftjunction-attempt-id', '')
            name = headers.get(NAME_HEADER)
            invariants.check(
                'no key reaches a server', KEY_HEADER not in headers, headers
            )
            if request_id.startswith('s'):
                # Scores have none; the trainer is of the first organisation.
                expected = (
                    None
                    if request_id.startswith('score-')
                    else ORGANISATIONS[0]
                )
                invariants.check(
                    'samples name their organisation, and scores do not',
                    name == expected,
                    (request_id, name),
                )
            yield headers
