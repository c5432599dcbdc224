"""Server-sent events, as callers and engines speak them."""


def format_event(data: bytes, name: str = '') -> bytes:
    """Frame one server-sent event around `data`, which has no newline."""
    head = f'event: {name}\n'.encode() if name else b''
    return head + b'data: ' + data + b'\n\n'
