"""Decides whether the process that runs batches may start samples now."""

import logging

from swiftjunction import backends
from swiftjunction.batches import _confirmation

LOG = logging.getLogger(__name__)

# While the event loop lags by more than this, no samples are started: more of
# them would delay all running ones, and the handling of ended batches.
MAX_LOOP_LAG_SECONDS = 0.2


class StartCondition:
    """Whether samples may be started now; logs each change.

    Parameters
    ----------
    loop_lag : LoopLag
        The lag of this process's event loop.
    confirmation : EndConfirmation
        Tracks when all ended batches were last known.
    """

    __slots__ = ('_confirmation', '_confirmed', '_lagging', '_loop_lag')

    def __init__(
        self,
        loop_lag: backends.LoopLag,
        confirmation: _confirmation.EndConfirmation,
    ) -> None:
        self._loop_lag = loop_lag
        self._confirmation = confirmation
        self._lagging = False
        self._confirmed = False

    def reset(self) -> None:
        """Expect a first confirmation, as this process begins to run batches.

        The lack of one is not logged.
        """
        self._confirmed = False

    def may_start(self) -> bool:
        """Return whether samples may be started now."""
        self._update_lagging()
        self._update_confirmed()
        return self._confirmed and not self._lagging

    def _update_lagging(self) -> None:
        lag_seconds = self._loop_lag.average_seconds
        lagging = lag_seconds > MAX_LOOP_LAG_SECONDS
        if lagging == self._lagging:
            return
        self._lagging = lagging
        extra = {'lag_seconds': round(lag_seconds, 3)}
        if lagging:
            LOG.warning('event loop lags; starting no samples', extra=extra)
        else:
            LOG.info(
                'event loop keeps up again; starting samples', extra=extra
            )

    def _update_confirmed(self) -> None:
        confirmed = self._confirmation.is_recent()
        if confirmed == self._confirmed:
            return
        self._confirmed = confirmed
        if confirmed:
            LOG.info('ended batches are known; starting samples')
        else:
            LOG.warning(
                'ended batches may be unknown; starting no samples',
                extra={'max_age_seconds': self._confirmation.max_age_seconds},
            )
