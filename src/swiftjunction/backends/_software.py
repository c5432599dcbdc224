"""The rule that a text goes on only at the software that began it.

What servers of two versions of their software write does not fit together, and
the servers do not check it.
"""

from swiftjunction.backends import _server

# Not equal to any version, nor to itself.
UNKNOWN_SOFTWARE = ''


def may_continue(software: str, server: _server.BackendServer) -> bool:
    """Return whether a server may go on with a text.

    Parameters
    ----------
    software : str
        The software version of the servers that wrote the text so far.
    """
    return software != UNKNOWN_SOFTWARE and server.software == software
