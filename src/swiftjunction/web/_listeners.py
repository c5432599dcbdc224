"""HTTP listeners that serve ASGI applications with hypercorn."""

import asyncio
import collections.abc
import errno
import logging
import socket
import ssl
import typing

import anyio
import hypercorn.asyncio
import hypercorn.config

from swiftjunction import errors
from swiftjunction.web import _accepting
from swiftjunction.web import _addresses
from swiftjunction.web import _client_policy
from swiftjunction.web import _connections

# Exceeds the longest allowed request. hypercorn's default of 3 s would abort
# longer streams at a graceful shutdown.
GRACEFUL_TIMEOUT_SECONDS = 900.0
ABORT_TIMEOUT_SECONDS = 0.05
KEEP_ALIVE_SECONDS = 75.0
BACKLOG_CONNECTIONS = 1024


class _Config(hypercorn.config.Config):
    """A hypercorn configuration with sockets that listen already."""

    sockets: list[_accepting.AcceptingSocket]
    policy: _client_policy.ClientPolicy

    @property
    def h11_max_incomplete_size(self) -> int:  # type: ignore[override]
        """Return the limit on heads for a connection that begins now."""
        return self.policy.read_head_limits().max_bytes

    def create_sockets(self) -> hypercorn.config.Sockets:
        if self.ssl_enabled:
            return hypercorn.config.Sockets([*self.sockets], [], [])
        return hypercorn.config.Sockets([], [*self.sockets], [])


class _TlsConfig(_Config):
    """A configuration with an existing TLS context, too.

    hypercorn would load the certificate only once. The given context gets the
    new certificate whenever the file changes.
    """

    context: ssl.SSLContext

    @property
    def ssl_enabled(self) -> bool:
        return True

    def create_ssl_context(self) -> ssl.SSLContext:
        return self.context


class HttpListener:
    """One or more listening sockets that serve one ASGI application.

    Parameters
    ----------
    sockets : socket
        The listening sockets.
    keep_alive_seconds : float
        Idle time after which a connection is closed.
    graceful_seconds : float
        How long :meth:`close` waits for connections to end; then they are
        aborted.
    policy : ClientPolicy, optional
        The limits on clients. The first socket is the one for requests.

    Attributes
    ----------
    address : str
        ``ip:port`` of the first socket, with the port that the kernel
        assigned if port 0 was requested.
    """

    __slots__ = (
        '_graceful_seconds',
        '_keep_alive_seconds',
        '_policy',
        '_shutdown_requested',
        '_sockets',
        '_stopped',
        'address',
    )

    def __init__(
        self,
        *sockets: socket.socket,
        keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
        graceful_seconds: float = GRACEFUL_TIMEOUT_SECONDS,
        policy: _client_policy.ClientPolicy | None = None,
    ) -> None:
        self._policy = policy or _client_policy.ClientPolicy()
        self._sockets = sockets
        self._graceful_seconds = graceful_seconds
        self._keep_alive_seconds = keep_alive_seconds
        self._shutdown_requested = anyio.Event()
        self._stopped = anyio.Event()
        host, port = sockets[0].getsockname()[:2]
        self.address = _addresses.format_address(host, port)

    async def serve(
        self, app: typing.Any, context: ssl.SSLContext | None = None
    ) -> None:
        """Serve `app` until :meth:`close`, then complete requests in flight.

        If cancelled, it aborts requests in flight after
        `ABORT_TIMEOUT_SECONDS`.

        Parameters
        ----------
        app : callable
            The ASGI application.
        context : ssl.SSLContext
            TLS context; without it, plain HTTP is served.
        """
        _connections.replace_connections()
        config = _Config()
        if context is not None:
            config = _TlsConfig()
            config.context = context
        config.policy = self._policy
        config.sockets = list(self._make_accepting())
        config.graceful_timeout = self._graceful_seconds
        config.keep_alive_timeout = self._keep_alive_seconds
        config.backlog = BACKLOG_CONNECTIONS
        config.accesslog = None
        config.errorlog = logging.getLogger('hypercorn.error')
        config.include_server_header = False
        asyncio.get_running_loop().set_exception_handler(
            _handle_loop_exception
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_hypercorn, app, config)
            tasks.start_soon(self._policy.sweep)
            try:
                await self._stopped.wait()
                tasks.cancel_scope.cancel()
            except anyio.get_cancelled_exc_class():
                config.graceful_timeout = ABORT_TIMEOUT_SECONDS
                self.close()
                raise

    def _make_accepting(
        self,
    ) -> collections.abc.Iterator[_accepting.AcceptingSocket]:
        limits = self._policy.limits
        max_connections = limits.connections
        for item in self._sockets:
            port = item.getsockname()[1]
            yield _accepting.AcceptingSocket(
                item, self._policy.get_table(port), max_connections
            )
            max_connections = limits.side_connections

    async def _run_hypercorn(self, app: typing.Any, config: _Config) -> None:
        # hypercorn does not shut down cleanly when it is cancelled, so it is
        # shielded and stopped by its shutdown trigger.
        with anyio.CancelScope(shield=True):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._abort_connections, config)
                await hypercorn.asyncio.serve(
                    app, config, shutdown_trigger=self._shutdown_requested.wait
                )
                tasks.cancel_scope.cancel()
        self._stopped.set()

    async def _abort_connections(self, config: _Config) -> None:
        """Abort the connections that are open when :meth:`close` gives up."""
        await self._shutdown_requested.wait()
        await anyio.sleep(config.graceful_timeout)
        for listening_socket in config.sockets:
            listening_socket.abort_connections()

    def close(self) -> None:
        """Start a graceful shutdown: accept no more connections."""
        self._shutdown_requested.set()


def _handle_loop_exception(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    # CPython 3.11 reports a cancelled connection task as an unhandled
    # exception.
    if not isinstance(context.get('exception'), asyncio.CancelledError):
        loop.default_exception_handler(context)


def open_listener(
    ip: str, port: int, policy: _client_policy.ClientPolicy | None = None
) -> HttpListener:
    """Return a listener on a newly bound socket.

    Parameters
    ----------
    policy : ClientPolicy, optional
        The limits on clients.

    Raises
    ------
    AddressInUse
        If another process listens on the address.
    SettingsError
        If the address cannot be bound for another reason.
    """
    return HttpListener(bind_socket(ip, port), policy=policy)


def bind_socket(ip: str, port: int) -> socket.socket:
    """Return a listening socket; fails as :func:`open_listener` does."""
    bound_socket = _bind_stream_socket(ip, port)
    try:
        bound_socket.listen(BACKLOG_CONNECTIONS)
    except OSError as error:
        bound_socket.close()
        raise _describe_failure(ip, port, error) from error
    return bound_socket


def check_address(ip: str, port: int) -> None:
    """Fail as :func:`open_listener` does, but do not listen."""
    _bind_stream_socket(ip, port).close()


def bind_datagram_socket(ip: str, port: int) -> socket.socket:
    """Return a bound UDP socket; fails as :func:`open_listener` does."""
    bound_socket = _create_socket(ip, port, socket.SOCK_DGRAM)
    _bind(bound_socket, ip, port)
    return bound_socket


def _bind_stream_socket(ip: str, port: int) -> socket.socket:
    bound_socket = _create_socket(ip, port, socket.SOCK_STREAM)
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _bind(bound_socket, ip, port)
    return bound_socket


def _create_socket(
    ip: str, port: int, kind: socket.SocketKind
) -> socket.socket:
    family = socket.AF_INET6 if ':' in ip else socket.AF_INET
    try:
        created = socket.socket(family, kind)
    except OSError as error:
        # For example, too many open files.
        raise _describe_failure(ip, port, error) from error
    created.setblocking(False)
    return created


def _bind(unbound_socket: socket.socket, ip: str, port: int) -> None:
    try:
        unbound_socket.bind((ip, port))
    except OSError as error:
        unbound_socket.close()
        raise _describe_failure(ip, port, error) from error


def _describe_failure(
    ip: str, port: int, error: OSError
) -> errors.SettingsError:
    address = _addresses.format_address(ip, port)
    problems = [f'cannot listen on {address}: {error.strerror}']
    if error.errno == errno.EADDRINUSE:
        return errors.AddressInUse(problems)
    return errors.SettingsError(problems)
