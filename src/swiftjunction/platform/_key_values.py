"""Reads checked values from the ``key=value`` lines of a settings file."""

import logging
import math
import pathlib

from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction import web

LOG = logging.getLogger(__name__)

LINE_SEPARATOR = '\n'
MAX_PORT = 65535
# The longest time that a setting may give: a year.
MAX_SECONDS = 365.0 * 86400
BOOLEANS = {'true': True, 'false': False}


class KeyValueReader:
    """Reads typed values and collects what is wrong with them.

    Only the values that are read are checked. A value with a `fallback` does
    not have to be valid: it is logged and replaced.

    Parameters
    ----------
    path : Path
        The file.

    Raises
    ------
    SettingsError
        If the file cannot be read.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._problems: list[str] = []
        try:
            content = path.read_bytes()
        except OSError as error:
            raise errors.SettingsError(
                [f'{path}: cannot be read: {error.strerror}']
            ) from error
        # Bytes that are not UTF-8 become characters that no value may have.
        # A byte order mark may precede the first key.
        text = content.decode('utf-8', 'surrogateescape').lstrip('\ufeff')
        parts = [line.partition('=') for line in text.split(LINE_SEPARATOR)]
        self._values = {
            key.strip(): value.strip()
            for key, separator, value in parts
            if separator
        }

    def read_text(self, key: str, default: str | None = None) -> str:
        """Return a value of printable characters."""
        value = self._values.get(key, '') or default
        if value is None:
            self._problems.append(f'{self._path}: {key} is missing')
            return ''
        if not value.isprintable():
            self._report(key, value, 'must have printable characters only')
            return ''
        return value

    def read_flag(self, key: str) -> bool:
        """Return whether a value is ``true``; it may be missing."""
        value = self.read_text(key, 'false')
        if value and value not in BOOLEANS:
            self._report(key, value, 'must be true or false')
        return BOOLEANS.get(value, False)

    def read_number(
        self,
        key: str,
        default: float,
        *,
        least: float = 0.0,
        most: float = MAX_SECONDS,
        fallback: float | None = None,
    ) -> float:
        """Return a number between two others.

        Parameters
        ----------
        key : str
            Name of the value.
        default : float
            What is returned if the value is missing.
        least, most : float
            The smallest and the largest valid value.
        fallback : float
            What is returned if the value is invalid.
        """
        value = self._values.get(key, '')
        if not value:
            return default
        number = _parse_number(value)
        if number is not None and least <= number <= most:
            return number
        requirement = f'must be a number from {least:g} to {most:.10g}'
        if fallback is None:
            self._report(key, value, requirement)
            return default
        self._replace(key, value, requirement, f'{fallback:g}')
        return fallback

    def read_milliseconds(
        self, key: str, default_ms: float, *, least_ms: float = 0.0
    ) -> float:
        """Return a time in milliseconds, converted to seconds."""
        most_ms = MAX_SECONDS * _names.MS_PER_SECOND
        number = self.read_number(
            key, default_ms, least=least_ms, most=most_ms
        )
        return number / _names.MS_PER_SECOND

    def read_list(self, key: str) -> tuple[str, ...]:
        """Return the values that commas separate; none if it is missing."""
        values = self._values.get(key, '').split(',')
        return tuple(value.strip() for value in values if value.strip())

    def read_ip(self, key: str) -> str:
        """Return an IP address in its normal form."""
        value = self.read_text(key)
        if not value:
            return value
        try:
            ip, _ = web.parse_address(web.format_address(value, MAX_PORT))
        except ValueError:
            self._report(key, value, 'must be an IP address')
            return value
        return ip

    def read_address(
        self,
        key: str,
        default: str | None = None,
        *,
        fallback: str | None = None,
    ) -> str:
        """Return an ``ip:port`` in its normal form."""
        value = self._values.get(key, '')
        if not value:
            return self.read_text(key, default)
        if web.is_address(value):
            return web.format_address(*web.parse_address(value))
        requirement = (
            f'must be an IP address and a port from 1 to {MAX_PORT}, '
            'joined by a colon'
        )
        if fallback is None:
            self._report(key, value, requirement)
            return value
        self._replace(key, value, requirement, fallback or 'none')
        return fallback

    def read_ports(self, key: str) -> tuple[int, int]:
        """Return the first and the last port of a range; zeros if invalid.

        An invalid last port is replaced by the first one.
        """
        value = self.read_text(key)
        if not value:
            return 0, 0
        first_text, _, last_text = value.partition(',')
        first, last = _parse_port(first_text), _parse_port(last_text)
        requirement = (
            f'must be two ports from 1 to {MAX_PORT}, joined by a comma'
        )
        if first is None:
            self._report(key, value, requirement)
            return 0, 0
        if last is None or last < first:
            self._replace(key, value, requirement, f'{first},{first}')
            return first, first
        return first, last

    def raise_problems(self) -> None:
        """Raise a SettingsError if a value that was read is invalid."""
        if self._problems:
            raise errors.SettingsError(self._problems)

    def _report(self, key: str, value: str, requirement: str) -> None:
        self._problems.append(f'{self._path}: {key} = {value!r} {requirement}')

    def _replace(
        self, key: str, value: str, requirement: str, fallback: str
    ) -> None:
        LOG.warning(
            '%s: %s = %r %s; it is taken for %s',
            self._path,
            key,
            value,
            requirement,
            fallback,
        )


def _parse_number(value: str) -> float | None:
    """Return a finite number of ASCII digits, or None."""
    if not value.isascii() or '_' in value:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _parse_port(text: str) -> int | None:
    """Return a port of ASCII digits, or None."""
    digits = text.strip()
    if not (digits.isascii() and digits.isdecimal()):
        return None
    # Python refuses to convert thousands of digits.
    if len(digits) > len(str(MAX_PORT)):
        return None
    port = int(digits)
    return port if 1 <= port <= MAX_PORT else None
