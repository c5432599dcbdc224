"""Headers that this VM adds to requests to backend servers."""

import math

import anyio

from swiftjunction.platform import _names


def make_organisation_headers(organisation: str) -> list[tuple[str, str]]:
    """Return the header that names an organisation, if there is one."""
    if not organisation:
        return []
    return [(_names.ORGANISATION_HEADER, organisation)]


def make_deadline_headers(deadline: float) -> list[tuple[str, str]]:
    """Return the header with what is left until a deadline, if there is one.

    It is 1 ms at least, also if the deadline has passed.
    """
    if math.isinf(deadline):
        return []
    remaining_seconds = deadline - anyio.current_time()
    remaining_ms = int(remaining_seconds * _names.MS_PER_SECOND)
    return [(_names.DEADLINE_MS_HEADER, str(max(remaining_ms, 1)))]
