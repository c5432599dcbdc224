"""How recently the key table in effect was known to be the newest."""

import abc


class TableConfirmation(abc.ABC):
    """Tells how old the newest proof is that the table lacks no change."""

    __slots__ = ()

    @abc.abstractmethod
    def compute_age_seconds(self) -> float:
        """Return for how long the table may lack changes, in seconds.

        Time during which this VM was suspended counts. It is infinite before
        the first proof.
        """
