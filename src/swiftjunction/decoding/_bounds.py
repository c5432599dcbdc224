"""Types of numbers from outside, with bounds that any encoding can carry."""

import sys
import typing

import msgspec

MAX_INTEGER = 2**63 - 1
# Some thirty years, so that sums with a clock stay exact enough.
MAX_SECONDS = 1e9
MAX_MILLISECONDS = 1e12

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
# Neither NaN nor negative infinity; both exist in MessagePack.
Number = typing.Annotated[float, msgspec.Meta(ge=-sys.float_info.max)]
NonNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
Milliseconds = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
