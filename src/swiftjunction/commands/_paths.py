"""Parses and formats the settings of paths for operators."""

import tomllib
import typing

import msgspec

from swiftjunction import configuration
from swiftjunction import errors

Paths = dict[str, typing.Any]


def format_paths(paths: Paths) -> list[str]:
    """Return a line of text for each path."""
    return [
        f'  {path:<30} '
        + ', '.join(f'{k} = {v!r}' for k, v in settings.items())
        for path, settings in sorted(paths.items())
    ]


def format_changes(old: Paths, new: Paths) -> list[str]:
    """Return the differences as lines that begin with ``-`` or ``+``."""
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
            path: settings
            for path, settings in new.items()
            if old.get(path) != settings
        },
        **{path: None for path in old if path not in new},
    }


def parse_value(text: str) -> typing.Any:
    """Parse the value of a setting as JSON, or return it as a string."""
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def parse_number(text: str | None) -> int | None:
    """Parse a whole number; None stays None.

    Raises
    ------
    SettingsError
        If the text is not a whole number.
    """
    if text is None:
        return None
    if not text.isdigit():
        raise errors.SettingsError([f'{text!r}: must be a whole number'])
    return int(text)


def read_paths(file: str) -> Paths:
    """Read the settings of paths from a TOML file.

    Raises
    ------
    SettingsError
        If the file cannot be read or has an invalid setting.
    """
    try:
        with open(file, 'rb') as toml_file:
            raw = tomllib.load(toml_file)
        msgspec.convert(raw, dict[str, configuration.PathSettings])
    except (OSError, tomllib.TOMLDecodeError, msgspec.MsgspecError) as error:
        raise errors.SettingsError([f'{file}: {error}']) from error
    return raw
