"""When an entry tells callers to use another one."""

CHECK_INTERVAL_SECONDS = 0.25
# A loop that runs so late has no processor time left for more callers.
MAX_LOOP_LAG_SECONDS = 0.1
CHECKS_UNTIL_OVERLOADED = 4
# Leaving is quick and coming back slow: each change is a message to every
# process, and callers that all come back at once would overload it again.
CHECKS_UNTIL_LIVE = 40


class OverloadDetector:
    """Tells a lasting overload from a short one.

    Attributes
    ----------
    overloaded : bool
        What callers are told.
    """

    __slots__ = ('_changing', 'overloaded')

    def __init__(self) -> None:
        self.overloaded = False
        self._changing = 0

    def update(self, loop_lag_seconds: float, saturated: bool) -> bool:
        """Learn from one check and return whether callers should leave.

        Parameters
        ----------
        loop_lag_seconds : float
            By how much the event loop was late.
        saturated : bool
            Whether nearly all places are taken.
        """
        seen = saturated or loop_lag_seconds > MAX_LOOP_LAG_SECONDS
        self._changing = self._changing + 1 if seen != self.overloaded else 0
        needed = (
            CHECKS_UNTIL_LIVE if self.overloaded else CHECKS_UNTIL_OVERLOADED
        )
        if self._changing >= needed:
            self.overloaded = seen
            self._changing = 0
        return self.overloaded
