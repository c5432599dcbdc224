"""What the stand-ins for the platform's engines generate."""

from swiftjunction.standins import _software
from swiftjunction.standins import _stream_forms

EVENT_COUNT = 6


def make_platform_text(
    item_id: str, software: str = _software.DEFAULT_SOFTWARE
) -> str:
    """Return the complete text that ``PlatformEngineStandin`` streams."""
    return '\n'.join(
        _software.make_event_data(item_id, number, software)
        for number in range(EVENT_COUNT)
    )


def make_platform_stream(
    request_id: str, software: str = _software.DEFAULT_SOFTWARE
) -> bytes:
    """Return the body that an engine that varies its streams sends.

    It has no comments and no lines of weight versions, which
    `remove_additions` removes from what callers get.
    """
    form = _stream_forms.choose_form(request_id)
    events = (
        f'id: {number}\n'
        f'data: {_software.make_event_data(request_id, number, software)}\n\n'
        for number in range(EVENT_COUNT)
    )
    return form.encode(''.join(events) + form.end_mark)
