"""A caller that reads its answers as streams."""

import collections.abc
import time

import httpx
import httpx_sse
import msgspec

from swiftjunction import errors
from swiftjunction import web

TRIES = 2
ERRORS = {
    'not-run': errors.NotRun,
    'stale': errors.StaleWeights,
}


class StreamCaller:
    """Asks for addresses, keeps them for their lifetime, reads streams.

    Attributes
    ----------
    broken : list of tuple
        Time and entry of each stream that broke off without a typed error.
    """

    def __init__(self, seeds: list[str], timeout_seconds: float) -> None:
        self.broken: list[tuple[float, str]] = []
        self._seeds = seeds
        self._addresses: list[str] = []
        self._refresh_at = 0.0
        self._peers = web.PeerClients()
        self._timeout_seconds = timeout_seconds
        self._turn = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._peers.close()

    async def complete(
        self,
        request_id: str,
        body: dict,
        note_version: collections.abc.Callable[[str, int], None],
    ) -> tuple[str, list[list[int]]]:
        """Return the text and the segments of a whole answer.

        `note_version` is called with each chunk's version as it comes.
        """
        last: errors.RequestError | None = None
        for attempt in range(TRIES):
            address = await self._choose_address()
            try:
                return await self._read(
                    address, request_id, body, note_version
                )
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                self._refresh_at = 0.0
                last = errors.NotRun(f'cannot connect: {error}', peer=address)
            except httpx.HTTPError as error:
                self.broken.append((time.monotonic(), address))
                self._refresh_at = 0.0
                raise errors.OutcomeUnknown(
                    f'broken off: {error!r}', peer=address
                ) from error
        assert last is not None, 'there is at least one try'
        raise last

    async def _choose_address(self) -> str:
        now = time.monotonic()
        if now >= self._refresh_at:
            await self._refresh(now)
        self._turn += 1
        return self._addresses[self._turn % len(self._addresses)]

    async def _refresh(self, now: float) -> None:
        for address in [*self._addresses, *self._seeds]:
            try:
                response = await self._peers.get(address).get(
                    '/v1/addresses', timeout=1.0
                )
                found = response.json()
            except (httpx.HTTPError, ValueError):
                continue
            if found.get('addresses'):
                self._addresses = found['addresses']
                self._refresh_at = now + found['lifetime_seconds']
                return
        raise errors.NotRun('no entry says which addresses to use')

    async def _read(
        self,
        address: str,
        request_id: str,
        body: dict,
        note_version: collections.abc.Callable[[str, int], None],
    ) -> tuple[str, list[list[int]]]:
        headers = {
            'x-request-id': request_id,
            'x-timeout-seconds': str(self._timeout_seconds),
        }
        text, segments, done = '', [], False
        async with httpx_sse.aconnect_sse(
            self._peers.get(address),
            'POST',
            '/v1/completions',
            json=body,
            headers=headers,
            timeout=self._timeout_seconds,
        ) as source:
            if source.response.status_code != 200:
                raise _read_refusal(source.response, address)
            async for event in source.aiter_sse():
                if event.event == 'error':
                    raise errors.OutcomeUnknown(event.data, peer=address)
                if event.data == '[DONE]':
                    done = True
                    break
                chunk = msgspec.json.decode(event.data)
                text += chunk['choices'][0]['text']
                if chunk['tokens']:
                    note_version(request_id, chunk['weight_version'])
                    segments.append(
                        [
                            chunk['weight_version'],
                            chunk['offset'],
                            chunk['tokens'],
                        ]
                    )
        if not done:
            raise httpx.RemoteProtocolError('the stream ended early')
        return text, segments


def _read_refusal(response: httpx.Response, peer: str) -> errors.RequestError:
    outcome = response.headers.get('x-request-outcome', '')
    kind = ERRORS.get(outcome, errors.OutcomeUnknown)
    return kind(f'answered {response.status_code}', peer=peer)
