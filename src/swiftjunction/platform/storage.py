"""Process of a storage VM: stores nothing and waits for a stop signal.

It is run by path rather than as a module, so that it imports little.
"""

import signal

STOP_SIGNALS = {signal.SIGTERM, signal.SIGINT}

# There are no settings to reload.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
signal.sigwait(STOP_SIGNALS)
