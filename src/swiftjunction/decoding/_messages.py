"""Decoding of single values."""

import collections.abc
import typing

import msgspec

from swiftjunction import errors

ValueT = typing.TypeVar('ValueT')
DataT = typing.TypeVar('DataT', bytes, str)

# msgspec limits the nesting by the interpreter's recursion limit, also in
# fields that the type does not have.
_ERRORS = (
    msgspec.MsgspecError,
    OverflowError,
    RecursionError,
    ValueError,
)


def decode_json(data: bytes | str | msgspec.Raw, kind: type[ValueT]) -> ValueT:
    """Decode a JSON value of type `kind`.

    Raises
    ------
    ContentBroken
        If `data` is invalid, or nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except _ERRORS as error:
        raise _build_error(error) from error


def decode_msgpack(data: bytes, kind: type[ValueT]) -> ValueT:
    """Decode a MessagePack value of type `kind`.

    Raises
    ------
    ContentBroken
        If `data` is invalid, or nested too deeply.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except _ERRORS as error:
        raise _build_error(error) from error


def decode(
    decoder: collections.abc.Callable[[DataT], ValueT], data: DataT
) -> ValueT:
    """Return what the method of a msgspec decoder returns for `data`.

    Raises
    ------
    ContentBroken
        If `data` is invalid, or nested too deeply.
    """
    try:
        return decoder(data)
    except _ERRORS as error:
        raise _build_error(error) from error


def _build_error(error: Exception) -> errors.ContentBroken:
    return errors.ContentBroken(str(error), step='decode')
