"""Encoding of server-sent events."""


def format_event(data: bytes, name: str = '') -> bytes:
    """Return `data`, which must have no newline, as a server-sent event."""
    event_line = f'event: {name}\n'.encode() if name else b''
    return event_line + b'data: ' + data + b'\n\n'
