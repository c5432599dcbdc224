"""Addresses of the form ``ip:port``, which other processes name."""

import ipaddress
import re

MAX_PORT = 65535

# ASCII digits alone: int() and str.isdecimal() accept those of all scripts.
_ADDRESS = re.compile(
    r'(\[(?P<ipv6>[^]]+)\]|(?P<ipv4>[^:]+)):(?P<port>[0-9]{1,5})'
)


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``ip:port``.

    An IPv6 address is in brackets, without a scope. Checked here, as httpx and
    asyncio raise errors of many types for other addresses, and asyncio closes
    a UDP socket that is told to send to a port out of range.

    Raises
    ------
    ValueError
        If one of them is invalid.
    """
    found = _ADDRESS.fullmatch(address)
    if found is None:
        raise ValueError(f'{ascii(address)} must be an IP address and a port')
    if found['ipv6'] is None:
        host = str(ipaddress.IPv4Address(found['ipv4']))
    else:
        ip = ipaddress.IPv6Address(found['ipv6'])
        if ip.scope_id is not None:
            raise ValueError(f'{ascii(address)} must have no scope')
        host = str(ip)
    port = int(found['port'])
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'port {port} is not between 1 and {MAX_PORT}')
    return host, port


def format_address(host: str, port: int) -> str:
    """Return ``ip:port``, with an IPv6 address in brackets."""
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'


def is_address(address: str) -> bool:
    """Return whether `address` is an IP address and a port."""
    try:
        parse_address(address)
    except ValueError:
        return False
    return True
