"""Checks the items of batch submissions, so that each can be sent."""

import collections.abc
import math

from swiftjunction import batches
from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction import web

# Long ids are cut in messages.
MAX_SHOWN_CHARACTERS = 60


class ItemCheck:
    """Refuses an item because of its first field that cannot be sent.

    Parameters
    ----------
    position : int
        Position of the item in its submission, from 0.
    item_id : str
        Id of the item.
    """

    __slots__ = ('_name',)

    def __init__(self, position: int, item_id: str) -> None:
        shown = ascii(item_id[:MAX_SHOWN_CHARACTERS])
        self._name = f'items[{position}] with id {shown}'

    def check_id(self, field: str, value: str) -> None:
        """Check an id, which is sent as the value of a header."""
        if not value:
            self.refuse(field, 'must not be empty')
        self.check_value(field, value)

    def check_value(self, field: str, value: str) -> None:
        """Check the value of a header."""
        self.refuse(field, web.find_value_problem(value))

    def check_target(self, field: str, target: str) -> None:
        """Check a path and query."""
        self.refuse(field, web.find_target_problem(target))

    def check_headers(
        self, headers: collections.abc.Mapping[str, str]
    ) -> None:
        """Check the names and values of headers."""
        for name, value in headers.items():
            field = f'headers {name[:MAX_SHOWN_CHARACTERS]!a}'
            self.refuse(field, web.find_name_problem(name))
            self.check_value(field, value)

    def check_hint(self, headers: collections.abc.Mapping[str, str]) -> None:
        """Check that the length hint is in range, if it is a number."""
        for name, value in headers.items():
            if name.lower() == _names.LENGTH_HINT_HEADER:
                self._check_hint_value(value)

    def _check_hint_value(self, value: str) -> None:
        try:
            tokens = float(value)
        except ValueError:
            # Ignored, as it is only a hint.
            return
        if not math.isfinite(tokens) or not 0 <= tokens <= batches.MAX_TOKENS:
            self.refuse(
                f'headers {_names.LENGTH_HINT_HEADER!a}',
                f'must be from 0 to {batches.MAX_TOKENS}',
            )

    def refuse(self, field: str, problem: str) -> None:
        """Raise ``RequestInvalid`` if there is a problem."""
        if problem:
            raise errors.RequestInvalid(
                f'{self._name}: {field} {problem}', step='submit'
            )
