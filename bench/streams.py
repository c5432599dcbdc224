"""A client that requests completions as event streams."""

import collections.abc
import time

import httpx
import httpx_sse
import msgspec

from swiftjunction import errors
from swiftjunction import web

MAX_ATTEMPTS = 2
# Exception classes of the values of the header x-request-outcome.
OUTCOME_ERRORS = {
    'not-run': errors.NotRun,
    'stale': errors.StaleWeights,
}


class StreamClient:
    """Spreads streamed requests over the entries in turn.

    The entries' addresses are fetched again when their lifetime ends or a
    connection fails.

    Parameters
    ----------
    seed_addresses : list of str
        Entries from which the first addresses are fetched.
    timeout_seconds : float
        Timeout of each attempt.

    Attributes
    ----------
    broken_streams : list of tuple
        Monotonic time and entry of each stream that ended early or failed
        without a typed error.
    """

    def __init__(
        self, seed_addresses: list[str], timeout_seconds: float
    ) -> None:
        self.broken_streams: list[tuple[float, str]] = []
        self._seed_addresses = seed_addresses
        self._addresses: list[str] = []
        self._refresh_at = 0.0
        self._clients = web.PeerClients()
        self._timeout_seconds = timeout_seconds
        self._selection_count = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._clients.close()

    async def complete(
        self,
        request_id: str,
        body: dict,
        on_version: collections.abc.Callable[[str, int], None],
    ) -> tuple[str, list[list[int]]]:
        """Request a completion and read its stream to the end.

        A request is sent again only if the entry could not be connected to,
        so that it cannot have run.

        Parameters
        ----------
        request_id : str
            Id of the request.
        body : dict
            Body of the request.
        on_version : callable
            Called with the request id and the weight version of each chunk
            as it arrives.

        Returns
        -------
        text : str
            Text of the completion.
        segments : list of list
            Weight version, offset and number of tokens of each chunk.

        Raises
        ------
        RequestError
            If the request failed or its outcome is unknown.
        """
        last_error: errors.RequestError | None = None
        for attempt in range(MAX_ATTEMPTS):
            address = await self._select_address()
            try:
                return await self._read_stream(
                    address, request_id, body, on_version
                )
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                self._refresh_at = 0.0
                last_error = errors.NotRun(
                    f'connection failed: {error}', peer=address
                )
            except httpx.HTTPError as error:
                self.broken_streams.append((time.monotonic(), address))
                self._refresh_at = 0.0
                raise errors.OutcomeUnknown(
                    f'the connection failed during the request: {error!r}',
                    peer=address,
                ) from error
        assert last_error is not None, 'MAX_ATTEMPTS must be positive'
        raise last_error

    async def _select_address(self) -> str:
        now = time.monotonic()
        if now >= self._refresh_at:
            await self._refresh_addresses(now)
        self._selection_count += 1
        return self._addresses[self._selection_count % len(self._addresses)]

    async def _refresh_addresses(self, now: float) -> None:
        for address in [*self._addresses, *self._seed_addresses]:
            try:
                response = await self._clients.get(address).get(
                    '/v1/addresses', timeout=1.0
                )
                content = response.json()
            except (httpx.HTTPError, ValueError):
                continue
            if content.get('addresses'):
                self._addresses = content['addresses']
                self._refresh_at = now + content['lifetime_seconds']
                return
        raise errors.NotRun('no entry returned the addresses to use')

    async def _read_stream(
        self,
        address: str,
        request_id: str,
        body: dict,
        on_version: collections.abc.Callable[[str, int], None],
    ) -> tuple[str, list[list[int]]]:
        headers = {
            'x-request-id': request_id,
            'x-timeout-seconds': str(self._timeout_seconds),
        }
        text, segments, is_done = '', [], False
        async with httpx_sse.aconnect_sse(
            self._clients.get(address),
            'POST',
            '/v1/completions',
            json=body,
            headers=headers,
            timeout=self._timeout_seconds,
        ) as source:
            if source.response.status_code != 200:
                raise _make_error(source.response, address)
            async for event in source.aiter_sse():
                if event.event == 'error':
                    raise errors.OutcomeUnknown(event.data, peer=address)
                if event.data == '[DONE]':
                    is_done = True
                    break
                chunk = msgspec.json.decode(event.data)
                text += chunk['choices'][0]['text']
                if chunk['tokens']:
                    on_version(request_id, chunk['weight_version'])
                    segments.append(
                        [
                            chunk['weight_version'],
                            chunk['offset'],
                            chunk['tokens'],
                        ]
                    )
        if not is_done:
            raise httpx.RemoteProtocolError(
                'the stream ended before its [DONE] event'
            )
        return text, segments


def _make_error(response: httpx.Response, peer: str) -> errors.RequestError:
    outcome = response.headers.get('x-request-outcome', '')
    error_class = OUTCOME_ERRORS.get(outcome, errors.OutcomeUnknown)
    return error_class(
        f'the entry responded with status {response.status_code}', peer=peer
    )
