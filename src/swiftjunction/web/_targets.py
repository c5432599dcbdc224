"""The targets of requests as they were sent.

ASGI splits a target into a path and a query, and has no place to tell an empty
query from none.
"""

import collections.abc
import typing

import hypercorn.protocol.events
import hypercorn.protocol.http_stream
import starlette.types

EXTENSIONS = 'extensions'
TARGET_EXTENSION = 'target'

App = collections.abc.Callable[..., collections.abc.Awaitable[None]]


def read_target(scope: starlette.types.Scope) -> bytes:
    """Return the target of a request, as far as the server reports it."""
    target = scope.get(EXTENSIONS, {}).get(TARGET_EXTENSION)
    if target is not None:
        return target
    query = scope['query_string']
    return scope['raw_path'] + (b'?' + query if query else b'')


class TargetStream(hypercorn.protocol.http_stream.HTTPStream):
    """A request whose application also gets its target."""

    async def handle(self, event: hypercorn.protocol.events.Event) -> None:
        if isinstance(event, hypercorn.protocol.events.Request):
            self.app = _add_target(self.app, event.raw_path)
        await super().handle(event)


def _add_target(app: App, target: bytes) -> typing.Any:
    async def run(
        scope: starlette.types.Scope, *arguments: typing.Any
    ) -> None:
        scope[EXTENSIONS][TARGET_EXTENSION] = target
        await app(scope, *arguments)

    return run
