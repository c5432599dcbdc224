"""Decodes what other processes sent or stored; one typed error for all."""

from swiftjunction.decoding._bounds import Count
from swiftjunction.decoding._bounds import Integer
from swiftjunction.decoding._bounds import MAX_INTEGER
from swiftjunction.decoding._bounds import MAX_MILLISECONDS
from swiftjunction.decoding._bounds import Milliseconds
from swiftjunction.decoding._bounds import NonNegative
from swiftjunction.decoding._bounds import Number
from swiftjunction.decoding._bounds import Seconds
from swiftjunction.decoding._messages import decode
from swiftjunction.decoding._messages import decode_json
from swiftjunction.decoding._messages import decode_msgpack
from swiftjunction.decoding._nesting import cut_deep_values
from swiftjunction.decoding._nesting import MAX_LEVELS

__all__ = [
    'Count',
    'Integer',
    'MAX_INTEGER',
    'MAX_LEVELS',
    'MAX_MILLISECONDS',
    'Milliseconds',
    'NonNegative',
    'Number',
    'Seconds',
    'cut_deep_values',
    'decode',
    'decode_json',
    'decode_msgpack',
]
