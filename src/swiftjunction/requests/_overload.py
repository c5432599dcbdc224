"""Detection of a lasting overload of an entry."""

OVERLOAD_CHECK_INTERVAL_SECONDS = 0.25
# Above this event loop lag, the process counts as too short of CPU time to
# serve more callers.
MAX_LOOP_LAG_SECONDS = 0.1
CHECKS_UNTIL_OVERLOADED = 4
# Recovery is slower than detection: every state change is a message to each
# process, and callers that return all at once would overload the entry again.
CHECKS_UNTIL_LIVE = 40


class OverloadDetector:
    """Tells whether an entry is overloaded, ignoring short overloads.

    The state changes only after several checks in a row that contradict it.

    Attributes
    ----------
    overloaded : bool
        Whether callers should use other entries.
    """

    __slots__ = ('_differing_checks', 'overloaded')

    def __init__(self) -> None:
        self.overloaded = False
        self._differing_checks = 0

    def update(self, loop_lag_seconds: float, saturated: bool) -> bool:
        """Add the result of one check and return the new state, `overloaded`.

        Parameters
        ----------
        loop_lag_seconds : float
            Lag of the event loop.
        saturated : bool
            Whether the requests in flight are close to the limit.
        """
        observed = saturated or loop_lag_seconds > MAX_LOOP_LAG_SECONDS
        self._differing_checks = (
            self._differing_checks + 1 if observed != self.overloaded else 0
        )
        required = (
            CHECKS_UNTIL_LIVE if self.overloaded else CHECKS_UNTIL_OVERLOADED
        )
        if self._differing_checks >= required:
            self.overloaded = observed
            self._differing_checks = 0
        return self.overloaded
