"""Process of a storage VM: stores nothing and waits for a stop signal.

It is run by path rather than as a module, so that it imports little.
"""

# The module signal would import others first.
import _signal  # type: ignore[import-not-found]

STOP_SIGNALS = {_signal.SIGTERM, _signal.SIGINT}

# There are no settings to reload.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
_signal.pthread_sigmask(_signal.SIG_BLOCK, STOP_SIGNALS)
_signal.sigwait(STOP_SIGNALS)
