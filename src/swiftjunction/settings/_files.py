"""Reads a settings file."""

import pathlib
import tomllib
import typing

import msgspec

from swiftjunction import errors
from swiftjunction.settings import _checks
from swiftjunction.settings import _model


StructT = typing.TypeVar('StructT', bound=msgspec.Struct)


def read_settings(path: str) -> _model.Settings:
    """Read and check one VM's settings file.

    Raises
    ------
    SettingsError
        With a line for each mistake, naming the file, the key, the value and
        what is allowed.
    """
    settings = read_struct(path, _model.Settings)
    problems = _check_together(settings)
    if problems:
        raise errors.SettingsError([f'{path}: {line}' for line in problems])
    return settings


def read_struct(path: str, kind: type[StructT]) -> StructT:
    """Read and check a TOML file as :func:`read_settings` does."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or 'not UTF-8 text'
        raise errors.SettingsError(
            [f'{path}: cannot be read: {reason}']
        ) from error
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError([f'{path}: not TOML: {error}']) from error
    problems = _checks.check_struct(raw, kind)
    if problems:
        raise errors.SettingsError([f'{path}: {line}' for line in problems])
    return msgspec.convert(raw, kind)


def _check_together(settings: _model.Settings) -> list[str]:
    ports = {
        'entry.port': settings.entry.port,
        'entry.link_port': settings.entry.link_port,
        'rollout.port': settings.rollout.port,
        'rollout.link_port': settings.rollout.link_port,
        'conductor.port': settings.conductor.port,
        'conductor.link_port': settings.conductor.link_port,
    }
    if settings.spool is not None:
        ports['spool.port'] = settings.spool.port
    problems = []
    users: dict[int, str] = {}
    for key, port in ports.items():
        if port and port in users:
            problems.append(
                f'{key} = {port}: already used by {users[port]}; '
                'each port must differ'
            )
        users.setdefault(port, key)
    return problems
