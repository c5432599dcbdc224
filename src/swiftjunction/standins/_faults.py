"""Fault injection, controlled over HTTP or by a schedule."""

import typing

import msgspec
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import web


class FaultSwitches:
    """Named faults, each with a value; 0 disables a fault.

    Parameters
    ----------
    names : str
        Faults that the stand-in supports. The stand-in defines what their
        values mean, such as a duration or a number of occurrences.
    """

    __slots__ = ('_values',)

    def __init__(self, *names: str) -> None:
        self._values = dict.fromkeys(names, 0.0)

    def get(self, name: str) -> float:
        """Return the value of a fault; 0 if it is disabled."""
        return self._values[name]

    def set(self, name: str, value: float) -> None:
        """Set the value of a fault.

        Raises
        ------
        ValueError
            If the stand-in does not support the fault.
        """
        if name not in self._values:
            raise ValueError(
                f'unknown fault {name!r}; known faults: '
                f'{", ".join(self._values)}'
            )
        self._values[name] = value

    def consume(self, name: str) -> bool:
        """Consume one occurrence of a counted fault.

        Returns
        -------
        bool
            Whether the fault occurs.
        """
        if self._values[name] <= 0:
            return False
        self._values[name] -= 1
        return True

    def make_route(self) -> starlette.routing.Route:
        """Return the HTTP route that shows and sets the faults."""
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
