"""How recently the key table in effect was known to be the newest."""

import abc

# Subtracted from the bound: the store may send nothing on a watch for this
# long before it ends the watch.
MARGIN_SECONDS = 1.0
# Clocks of two VMs may differ in rate by this fraction.
MAX_CLOCK_RATE_ERROR = 0.01


class TableConfirmation(abc.ABC):
    """Tells how old the newest proof is that the table lacks no change."""

    __slots__ = ()

    @abc.abstractmethod
    def compute_age_seconds(self) -> float:
        """Return for how long the table may lack changes, in seconds.

        Time during which this VM was suspended counts. It is infinite before
        the first proof.
        """


def compute_max_age_seconds(revoke_seconds: float) -> float:
    """Return the greatest age of the proof at which keys are served.

    Parameters
    ----------
    revoke_seconds : float
        Time from the acknowledgement of a configuration until keys that it
        removes are no longer served, in seconds.
    """
    return max(
        0.0, revoke_seconds * (1 - MAX_CLOCK_RATE_ERROR) - MARGIN_SECONDS
    )
