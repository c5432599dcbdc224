"""Bodies of requests of callers."""

import contextlib

import starlette.requests

from swiftjunction import errors
from swiftjunction import requests
from swiftjunction import routes
from swiftjunction import web


# The usual response has a few KB.
MIN_ROOM_BYTES = 64 * 1024


class CallerBodies:
    """Reads bodies within the limit of the configuration in effect.

    Parameters
    ----------
    active_routes : ActiveRoutes
        Has the limit.
    budget : MemoryBudget
        Bounds what is held for all callers.
    """

    __slots__ = ('_active_routes', '_budget', '_reader')

    def __init__(
        self, active_routes: routes.ActiveRoutes, budget: web.MemoryBudget
    ) -> None:
        self._active_routes = active_routes
        self._budget = budget
        self._reader = requests.BodyReader(budget)

    async def read(
        self,
        request: starlette.requests.Request,
        deadline: float,
        stack: contextlib.ExitStack,
    ) -> bytes:
        """Return the body, which counts as held until `stack` is closed.

        Raises
        ------
        BodyTooLarge, NotRun
            As :meth:`swiftjunction.requests.BodyReader.read` does.
        """
        table = self._active_routes.table
        limits = routes.ConnectionLimits() if table is None else table.limits
        return await self._reader.read(
            request, limits.max_body_bytes, deadline, stack
        )

    def check_room(self) -> None:
        """Raise ``NotRun`` if a response could not be held."""
        if not self._budget.has_room(MIN_ROOM_BYTES):
            raise errors.NotRun(
                'callers make this VM hold too many bodies and responses',
                step='memory',
            )
