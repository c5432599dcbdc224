"""Checks a mapping against a struct and names every mistake in it."""

import collections.abc
import types
import typing

import msgspec


def check_struct(
    raw: typing.Any, kind: type[msgspec.Struct], where: str = ''
) -> list[str]:
    """Return one line for each mistake in `raw`, each naming its key.

    msgspec stops at the first mistake, while a person who mends a file wants
    to see all of them at once; so each key is converted on its own.
    """
    if not isinstance(raw, collections.abc.Mapping):
        return [f'{where or "file"} = {raw!r}: must be a table']
    fields = {f.encode_name: f for f in msgspec.structs.fields(kind)}
    problems = [
        f'{_join(where, key)} = {_show(raw[key])}: unknown key; allowed are '
        + ', '.join(sorted(fields))
        for key in raw
        if key not in fields
    ]
    for key, field in fields.items():
        if key in raw:
            problems += _check_field(
                raw[key], field.type, _join(where, str(key))
            )
        elif field.required:
            problems.append(f'{_join(where, str(key))}: missing')
    return problems


def _check_field(value: typing.Any, kind: typing.Any, where: str) -> list[str]:
    nested = _find_struct(kind)
    if nested is not None and value is not None:
        return check_struct(value, nested, where)
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(' - at `$')
        inside = place.strip('`')
        return [
            f'{where}{inside} = {_show(value)}: '
            f'{reason[0].lower()}{reason[1:]}'
        ]
    return []


def _find_struct(kind: typing.Any) -> type[msgspec.Struct] | None:
    options = (
        typing.get_args(kind) if isinstance(kind, types.UnionType) else (kind,)
    )
    for option in options:
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


def _join(where: str, key: str) -> str:
    return f'{where}.{key}' if where else key


def _show(value: typing.Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + '...'
