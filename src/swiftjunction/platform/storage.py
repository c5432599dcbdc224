"""The process of a storage VM, on which nothing is kept.

It is run by its path, so that it loads next to nothing.
"""

import signal

STOP_SIGNALS = {signal.SIGTERM, signal.SIGINT}

# Nothing here depends on the settings.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
signal.sigwait(STOP_SIGNALS)
