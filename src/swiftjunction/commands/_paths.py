"""The settings of a team's paths, as operators type and see them."""

import tomllib
import typing

import msgspec

from swiftjunction import configuration
from swiftjunction import errors

Paths = dict[str, typing.Any]


def format_paths(paths: Paths) -> list[str]:
    """Return a line for each path."""
    return [
        f'  {path:<30} ' + ', '.join(f'{k} = {v!r}' for k, v in found.items())
        for path, found in sorted(paths.items())
    ]


def format_changes(old: Paths, new: Paths) -> list[str]:
    """Return a line for each setting that differs."""
    lines = []
    for path in sorted({*old, *new}):
        before, after = old.get(path, {}), new.get(path, {})
        for key in sorted({*before, *after}):
            if before.get(key) == after.get(key):
                continue
            if key in before:
                lines.append(f'- {path} {key} = {before[key]!r}')
            if key in after:
                lines.append(f'+ {path} {key} = {after[key]!r}')
        if before == after == {} and (path in old) != (path in new):
            lines.append(f'{"-" if path in old else "+"} {path}')
    return lines


def replace_paths(old: Paths, new: Paths) -> Paths:
    """Return the change that turns `old` into `new`; None removes a path."""
    return {
        **{
            path: found
            for path, found in new.items()
            if old.get(path) != found
        },
        **{path: None for path in old if path not in new},
    }


def read_value(text: str) -> typing.Any:
    """Return the value of a setting as typed; text where it is no JSON."""
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def read_number(text: str | None) -> int | None:
    """Return a whole number as typed.

    Raises
    ------
    SettingsError
        If it is none.
    """
    if text is None:
        return None
    if not text.isdigit():
        raise errors.SettingsError([f'{text!r}: must be a whole number'])
    return int(text)


def read_paths(file: str) -> Paths:
    """Return the paths of a TOML file.

    Raises
    ------
    SettingsError
        If it cannot be read, or has a wrong setting.
    """
    try:
        with open(file, 'rb') as opened:
            raw = tomllib.load(opened)
        msgspec.convert(raw, dict[str, configuration.PathSettings])
    except (OSError, tomllib.TOMLDecodeError, msgspec.MsgspecError) as error:
        raise errors.SettingsError([f'{file}: {error}']) from error
    return raw
