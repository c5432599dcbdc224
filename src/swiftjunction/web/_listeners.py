"""Serves an ASGI application on a socket that was bound beforehand."""

import asyncio
import logging
import socket
import ssl
import typing

import anyio
import hypercorn.asyncio
import hypercorn.config

from swiftjunction import errors

# Longer than any request may last: hypercorn's default of 3 s would cut off
# longer streams at a graceful shutdown.
GRACEFUL_TIMEOUT_SECONDS = 900.0
ABORT_TIMEOUT_SECONDS = 0.05
KEEP_ALIVE_SECONDS = 75.0
BACKLOG_CONNECTIONS = 1024


class _TlsConfig(hypercorn.config.Config):
    """Serves TLS with a context that is kept outside of hypercorn.

    hypercorn would read the certificate once and keep it; the context is
    given the new certificate whenever its file changes.
    """

    context: ssl.SSLContext

    @property
    def ssl_enabled(self) -> bool:
        return True

    def create_ssl_context(self) -> ssl.SSLContext:
        return self.context


class HttpListener:
    """One HTTP listener: bound at once, served later, closed on request.

    Parameters
    ----------
    bound : socket
        One or more sockets that the same application serves.
    keep_alive_seconds : float
        How long a connection may be idle.

    Attributes
    ----------
    address : str
        ``ip:port`` of the first socket; the kernel chose the port for 0.
    """

    __slots__ = (
        '_bound',
        '_closed',
        '_closing',
        '_keep_alive_seconds',
        'address',
    )

    def __init__(
        self,
        *bound: socket.socket,
        keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
    ) -> None:
        self._bound = bound
        self._keep_alive_seconds = keep_alive_seconds
        self._closing = anyio.Event()
        self._closed = anyio.Event()
        host, port = bound[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def serve(
        self, app: typing.Any, context: ssl.SSLContext | None = None
    ) -> None:
        """Serve `app` until :meth:`close`, then finish what is in flight.

        A cancellation ends it too, and gives requests only a moment.

        Parameters
        ----------
        app : callable
            The ASGI application.
        context : ssl.SSLContext
            Where it is to be served over TLS.
        """
        config = hypercorn.config.Config()
        if context is not None:
            config = _TlsConfig()
            config.context = context
        config.bind = [f'fd://{item.detach()}' for item in self._bound]
        config.graceful_timeout = GRACEFUL_TIMEOUT_SECONDS
        config.keep_alive_timeout = self._keep_alive_seconds
        config.backlog = BACKLOG_CONNECTIONS
        config.accesslog = None
        config.errorlog = logging.getLogger('hypercorn.error')
        config.include_server_header = False
        asyncio.get_running_loop().set_exception_handler(_report_exception)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve_shielded, app, config)
            try:
                await self._closed.wait()
            except anyio.get_cancelled_exc_class():
                config.graceful_timeout = ABORT_TIMEOUT_SECONDS
                self.close()
                raise

    async def _serve_shielded(
        self, app: typing.Any, config: hypercorn.config.Config
    ) -> None:
        # hypercorn does not end cleanly when it is cancelled from outside;
        # it is told to stop instead.
        with anyio.CancelScope(shield=True):
            await hypercorn.asyncio.serve(
                app, config, shutdown_trigger=self._closing.wait
            )
        self._closed.set()

    def close(self) -> None:
        """Stop accepting connections."""
        self._closing.set()


def _report_exception(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    # CPython 3.11 reports each connection task that was cancelled as if it
    # had failed.
    if not isinstance(context.get('exception'), asyncio.CancelledError):
        loop.default_exception_handler(context)


def open_listener(ip: str, port: int) -> HttpListener:
    """Bind a listening socket.

    Raises
    ------
    SettingsError
        If the address cannot be bound, for example as it is in use.
    """
    return HttpListener(bind_socket(ip, port))


def bind_socket(ip: str, port: int) -> socket.socket:
    """Bind a listening socket, as :func:`open_listener` does."""
    family = socket.AF_INET6 if ':' in ip else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((ip, port))
    except OSError as error:
        bound.close()
        raise errors.SettingsError(
            [f'cannot listen on {ip}:{port}: {error.strerror}']
        ) from error
    bound.listen(BACKLOG_CONNECTIONS)
    bound.setblocking(False)
    return bound
