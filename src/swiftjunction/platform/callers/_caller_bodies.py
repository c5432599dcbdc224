"""Bodies of requests of callers."""

import contextlib

import starlette.requests

from swiftjunction import requests
from swiftjunction import routes


class CallerBodies:
    """Reads bodies within the limit of the configuration in effect.

    Parameters
    ----------
    active_routes : ActiveRoutes
        Has the limit.
    """

    __slots__ = ('_active_routes', '_reader')

    def __init__(self, active_routes: routes.ActiveRoutes) -> None:
        self._active_routes = active_routes
        self._reader = requests.BodyReader()

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
