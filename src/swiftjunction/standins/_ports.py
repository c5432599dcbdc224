"""TCP ports of loopback that stay reserved until something listens on them."""

import socket

LOOPBACK = '127.0.0.1'

_reservations: list[socket.socket] = []


def reserve_ports(count: int) -> list[int]:
    """Return free TCP ports, reserved until this process ends.

    The kernel assigns a port that was merely free a moment ago to the next
    outgoing connection. It assigns no port that a socket is bound to, yet
    lets :func:`swiftjunction.web.bind_socket` listen on it as long as that
    socket does not listen itself.
    """
    sockets = [hold_port(LOOPBACK, 0) for _ in range(count)]
    _reservations.extend(sockets)
    return [held.getsockname()[1] for held in sockets]


def hold_port(ip: str, port: int) -> socket.socket:
    """Return a socket that reserves `port` until it is closed."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((ip, port))
    return held
