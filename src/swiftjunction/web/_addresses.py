"""Addresses of the form ``host:port``, which other processes name."""

MAX_PORT = 65535


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``.

    Checked here, as asyncio raises errors of several types for a port out of
    range.

    Raises
    ------
    ValueError
        If there is no host, or no valid port.
    """
    host, _, port = address.rpartition(':')
    number = int(port)
    if not host or not 0 < number <= MAX_PORT:
        raise ValueError(f'{address!r} must be a host and a port')
    return host, number
