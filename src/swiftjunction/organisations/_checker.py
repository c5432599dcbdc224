"""Checks the keys of requests against the table in effect."""

import collections.abc
import logging

import anyio

from swiftjunction import errors
from swiftjunction.organisations import _checking
from swiftjunction.organisations import _confirmation
from swiftjunction.organisations import _keys
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

# How long a request with an unknown key waits for a newer confirmation, and
# how many may.
MAX_WAIT_SECONDS = 0.7
MAX_WAITING = 64
POLL_INTERVAL_SECONDS = 0.05


class KeyChecker:
    """Finds the organisations of requests.

    It counts its decisions in ``key_checks``, by their outcome.

    Parameters
    ----------
    find_keys : callable
        Returns the table in effect; None if requests need no key.
    confirmation : TableConfirmation
        Tells how old the newest proof is that the table lacks no change.
    policy : KeyPolicy
        The bounds that the deployment sets.
    metrics : Metrics
        Counts the decisions.
    """

    __slots__ = (
        '_confirmation',
        '_find_keys',
        '_metrics',
        '_policy',
        '_waiting',
    )

    def __init__(
        self,
        find_keys: collections.abc.Callable[[], _keys.KeyTable | None],
        confirmation: _confirmation.TableConfirmation,
        policy: _checking.KeyPolicy,
        metrics: telemetry.Metrics,
    ) -> None:
        self._find_keys = find_keys
        self._confirmation = confirmation
        self._policy = policy
        self._metrics = metrics
        self._waiting = 0
        if policy.strict and policy.max_age_seconds <= 0:
            LOG.error(
                'no key can be served: removed keys must stop working sooner '
                'than this VM can know of them',
                extra={'revoke_seconds': policy.revoke_seconds},
            )

    async def identify(
        self, key: str | _checking.InvalidKey
    ) -> _keys.Organisation | None:
        """Return the organisation of a request that arrives.

        Returns
        -------
        Organisation or None
            None if requests need no key.

        Raises
        ------
        KeyUnknown
            If the request has no valid key.
        NotRun
            If that is not known.
        """
        if isinstance(key, str) and self._lacks(key):
            await self._wait_for_confirmation(key)
        return self.check(key)

    def check(
        self, key: str | _checking.InvalidKey, *, again: bool = False
    ) -> _keys.Organisation | None:
        """Return the organisation of a key, as far as is known now.

        Raises as :meth:`identify` does.

        Parameters
        ----------
        again : bool
            Whether the request was found valid before; only what has changed
            is counted then.
        """
        keys = self._find_keys()
        if keys is None:
            return None
        try:
            found = _checking.find_organisation(
                keys,
                key,
                self._confirmation.compute_age_seconds(),
                self._policy,
            )
        except errors.KeyUnknown:
            self._count('removed' if again else 'unknown')
            raise
        except errors.NotRun:
            self._count('uncertain')
            raise
        if not again:
            self._count('valid')
        return found

    def _count(self, outcome: str) -> None:
        self._metrics.count('key_checks', outcome=outcome)

    def _lacks(self, key: str) -> bool:
        keys = self._find_keys()
        return keys is not None and keys.find(key) is None

    async def _wait_for_confirmation(self, key: str) -> None:
        """Wait until the table was confirmed after the request arrived.

        The key may be so new that only a later table has it. Nothing is
        requested: wrong keys must not become load.
        """
        if self._waiting >= MAX_WAITING:
            return
        arrived_at = anyio.current_time()
        self._waiting += 1
        try:
            with anyio.move_on_after(MAX_WAIT_SECONDS):
                while self._lacks(key) and not self._is_confirmed_since(
                    arrived_at
                ):
                    await anyio.sleep(POLL_INTERVAL_SECONDS)
        finally:
            self._waiting -= 1

    def _is_confirmed_since(self, arrived_at: float) -> bool:
        waited_seconds = anyio.current_time() - arrived_at
        return self._confirmation.compute_age_seconds() <= waited_seconds
