"""What a VM has heard of the coordinator.

A VM that states a valid lease, of its own or of another, makes a claim, which
lasts as long as that lease: meanwhile no other VM can acquire it. A statement
without such a lease is a hint only. It counts while there is no claim, and the
next claim replaces it, whatever its fencing token is. A wrong statement can
thus neither spread nor stay once there is a coordinator.
"""

import collections
import collections.abc

import msgspec

# A claim lasts no longer without being repeated.
MAX_CLAIM_SECONDS = 3.0
# Fencing tokens that the store has refuted, and that are remembered.
MAX_REFUTED_TOKENS = 64


class _Claim(msgspec.Struct, frozen=True):
    """A lease that a VM states, until it expires on this VM's clock."""

    name: str
    fencing_token: int
    until: float


class CoordinatorClaims:
    """The newest coordinator by claims and statements of VMs.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    __slots__ = ('_claim', '_clock', '_heard', '_refuted', '_stated')

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self._clock = clock
        self._claim: _Claim | None = None
        # What counts without a claim.
        self._heard = ('', 0)
        # The highest token stated, which only a coordinator looks at.
        self._stated = ('', 0)
        self._refuted: collections.deque[int] = collections.deque(
            maxlen=MAX_REFUTED_TOKENS
        )

    @property
    def newest(self) -> tuple[str, int]:
        """Return the name and fencing token of the newest coordinator.

        It is the one with the highest fencing token of those that a VM states
        to have a valid lease. Without such a one, it may be unreachable or
        have lost its lease. The name is empty, and the token 0, if there is
        none.
        """
        claim = self._find_claim()
        if claim is None:
            return self._heard
        return claim.name, claim.fencing_token

    @property
    def highest_stated(self) -> tuple[str, int]:
        """Return the highest token that is stated, and whose it is said to be.

        Tokens that were refuted do not count.
        """
        return self._stated

    def compute_remaining_seconds(self) -> float:
        """Return for how long the newest coordinator's claim lasts, or 0."""
        claim = self._find_claim()
        return 0.0 if claim is None else claim.until - self._clock()

    def _find_claim(self) -> _Claim | None:
        if self._claim is not None and self._claim.until <= self._clock():
            self._claim = None
        return self._claim

    def record(
        self, name: str, fencing_token: int, lease_seconds: float = 0.0
    ) -> None:
        """Record what a VM states of itself or of another VM.

        Parameters
        ----------
        lease_seconds : float
            How long the lease is still valid; 0 or less if it has expired, or
            if that is not known.
        """
        if not fencing_token or fencing_token in self._refuted:
            return
        if fencing_token > self._stated[1]:
            self._stated = (name, fencing_token)
        claim = self._find_claim()
        if lease_seconds > 0:
            self._record_claim(claim, name, fencing_token, lease_seconds)
        elif claim is None and fencing_token > self._heard[1]:
            self._heard = (name, fencing_token)

    def _record_claim(
        self,
        claim: _Claim | None,
        name: str,
        fencing_token: int,
        lease_seconds: float,
    ) -> None:
        if claim is not None and fencing_token < claim.fencing_token:
            return
        until = self._clock() + min(lease_seconds, MAX_CLAIM_SECONDS)
        if claim is not None and fencing_token == claim.fencing_token:
            until = max(until, claim.until)
        self._claim = _Claim(name, fencing_token, until)
        self._heard = (name, fencing_token)

    def withdraw(self, name: str) -> None:
        """Record that a VM states no valid lease, or is gone."""
        if self._claim is not None and self._claim.name == name:
            self._claim = None

    def refute(self, fencing_token: int) -> None:
        """Record that the store shows that nobody has this fencing token.

        Must be called only by the holder of the lease.
        """
        self._refuted.append(fencing_token)
        if self._stated[1] == fencing_token:
            self._stated = ('', 0)
        if self._heard[1] == fencing_token:
            self._heard = ('', 0)
        claim = self._claim
        if claim is not None and claim.fencing_token == fencing_token:
            self._claim = None
