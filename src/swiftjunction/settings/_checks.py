"""Checks a mapping against a struct and reports every problem."""

import collections.abc
import types
import typing

import msgspec


def list_problems(
    raw: typing.Any, struct_type: type[msgspec.Struct], path: str = ''
) -> list[str]:
    """Return one line for each problem in `raw`; each line names its key.

    Each key is converted separately, because msgspec stops at the first
    error, whereas whoever edits the file needs to see all of them at once.

    Parameters
    ----------
    raw : Any
        Parsed file, or a table of it.
    struct_type : type
        Struct that describes the allowed keys and values.
    path : str
        Dotted key of the table; empty for the file itself.
    """
    if not isinstance(raw, collections.abc.Mapping):
        return [f'{path or "file"} = {raw!r}: must be a table']
    fields = {f.encode_name: f for f in msgspec.structs.fields(struct_type)}
    problems = [
        f'{_join_path(path, key)} = {_format_value(raw[key])}: unknown key; '
        'allowed are ' + ', '.join(sorted(fields))
        for key in raw
        if key not in fields
    ]
    for key, field in fields.items():
        if key in raw:
            problems += _check_field(
                raw[key], field.type, _join_path(path, str(key))
            )
        elif field.required:
            problems.append(f'{_join_path(path, str(key))}: missing')
    return problems


def _check_field(
    value: typing.Any, field_type: typing.Any, path: str
) -> list[str]:
    nested_type = _find_struct_type(field_type)
    if nested_type is not None and value is not None:
        return list_problems(value, nested_type, path)
    try:
        msgspec.convert(value, field_type)
    except msgspec.ValidationError as error:
        reason, _, location = str(error).partition(' - at `$')
        inner_path = location.strip('`')
        return [
            f'{path}{inner_path} = {_format_value(value)}: '
            f'{reason[0].lower()}{reason[1:]}'
        ]
    return []


def _find_struct_type(field_type: typing.Any) -> type[msgspec.Struct] | None:
    options = (
        typing.get_args(field_type)
        if isinstance(field_type, types.UnionType)
        else (field_type,)
    )
    for option in options:
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


def _join_path(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key


def _format_value(value: typing.Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + '...'
