"""Faults that can be switched at run time, over HTTP or by a schedule."""

import typing

import msgspec
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import web


class FaultSwitches:
    """Named faults, each with a number; 0 is off.

    Parameters
    ----------
    names : str
        The faults that this stand-in knows, with what the number means.
    """

    __slots__ = ('_values',)

    def __init__(self, *names: str) -> None:
        self._values = dict.fromkeys(names, 0.0)

    def get(self, name: str) -> float:
        """Return the number of a fault."""
        return self._values[name]

    def set(self, name: str, value: float) -> None:
        """Switch a fault.

        Raises
        ------
        ValueError
            If there is no such fault.
        """
        if name not in self._values:
            raise ValueError(
                f'no fault {name!r}; there are {", ".join(self._values)}'
            )
        self._values[name] = value

    def consume(self, name: str) -> bool:
        """Use up one occurrence of a fault that is counted."""
        if self._values[name] <= 0:
            return False
        self._values[name] -= 1
        return True

    def make_route(self) -> starlette.routing.Route:
        """Return the route that shows and switches the faults."""
        return starlette.routing.Route(
            '/faults', self._serve, methods=['GET', 'POST']
        )

    async def _serve(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        if request.method == 'POST':
            try:
                changes: dict[str, typing.Any] = msgspec.json.decode(
                    await request.body(), type=dict[str, float]
                )
                for name, value in changes.items():
                    self.set(name, value)
            except (ValueError, msgspec.MsgspecError) as error:
                return web.respond_json({'error': str(error)}, status=400)
        return web.respond_json(self._values)
