"""Reads and checks settings files."""

import pathlib
import tomllib
import typing

import msgspec

from swiftjunction import errors
from swiftjunction.settings import _checks
from swiftjunction.settings import _model


StructT = typing.TypeVar('StructT', bound=msgspec.Struct)


def read_settings(path: str) -> _model.Settings:
    """Read and check the settings file of a VM.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid. Each problem has a line with
        the file, the key, the value and what is allowed.
    """
    settings = read_struct(path, _model.Settings)
    problems = _list_port_conflicts(settings)
    if problems:
        raise errors.SettingsError([f'{path}: {line}' for line in problems])
    return settings


def read_struct(path: str, struct_type: type[StructT]) -> StructT:
    """Read and check a TOML file.

    Parameters
    ----------
    path : str
        The TOML file.
    struct_type : type
        Struct that describes the file.

    Raises
    ------
    SettingsError
        As for :func:`read_settings`.
    """
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
    problems = _checks.list_problems(raw, struct_type)
    if problems:
        raise errors.SettingsError([f'{path}: {line}' for line in problems])
    return msgspec.convert(raw, struct_type)


def _list_port_conflicts(settings: _model.Settings) -> list[str]:
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
    keys_by_port: dict[int, str] = {}
    for key, port in ports.items():
        if port and port in keys_by_port:
            problems.append(
                f'{key} = {port}: already used by {keys_by_port[port]}; '
                'each port must differ'
            )
        keys_by_port.setdefault(port, key)
    return problems
