"""The client of callers: selects entries, and retries where it is safe."""

import typing

import anyio
import httpx
import msgspec

from swiftjunction.client import _base
from swiftjunction import decoding
from swiftjunction import errors

MAX_ATTEMPTS = 4
RETRY_BASE_DELAY_SECONDS = 0.05
ADDRESS_TIMEOUT_SECONDS = 2.0


class Completion(msgspec.Struct, frozen=True):
    """A complete response.

    Attributes
    ----------
    weight_versions : list of list of int
        Weight version, first token and token count of each segment.
    """

    id: str
    text: str
    finish_reason: str
    weight_versions: list[list[int]]


class _WireChoice(msgspec.Struct):
    text: str
    finish_reason: str | None = None


class _WireCompletion(msgspec.Struct):
    id: str
    choices: list[_WireChoice]
    weight_versions: list[list[int]]


class _WireAddresses(msgspec.Struct):
    addresses: list[str]
    lifetime_seconds: float


class CallerClient(_base.BaseClient):
    """Sends requests to the entries assigned to it, and fails over.

    The addresses come from the entries themselves, and are requested again
    when their lifetime is over.

    Parameters
    ----------
    seeds : list of str
        ``ip:port`` of the entries that are called first.
    data_center : str
        Data centre of the caller, whose entries are preferred.
    timeout_seconds : float
        Timeout of each connect, read and write of an attempt; also sent to the
        entry in ``x-timeout-seconds``.
    authority : str
        File of CA certificates that verify the entries; if empty, they are
        called over plain HTTP.
    """

    __slots__ = (
        '_addresses',
        '_data_center',
        '_refresh_at',
        '_timeout_seconds',
    )

    def __init__(
        self,
        seeds: list[str],
        *,
        data_center: str = '',
        timeout_seconds: float = 30.0,
        authority: str = '',
    ) -> None:
        super().__init__(seeds, authority)
        self._addresses = list(seeds)
        self._data_center = data_center
        self._timeout_seconds = timeout_seconds
        self._refresh_at = 0.0

    async def complete(
        self, path: str, prompt: str, *, max_tokens: int = 16, seed: int = 0
    ) -> Completion:
        """Return the complete response to `prompt`.

        Raises
        ------
        NotRun, OutcomeUnknown, StaleWeights, RequestInvalid
            As in :meth:`request`, with the type of the entry's error.
        """
        response = await self.request(
            'POST',
            '/v1/completions',
            json={
                'model': path,
                'prompt': prompt,
                'max_tokens': max_tokens,
                'seed': seed,
            },
        )
        decoded = decoding.decode_json(response.content, _WireCompletion)
        choice = decoded.choices[0]
        return Completion(
            decoded.id,
            choice.text,
            choice.finish_reason or '',
            decoded.weight_versions,
        )

    async def request(
        self,
        method: str,
        url: str,
        *,
        idempotent: bool = True,
        idempotency_key: str = '',
        **options: typing.Any,
    ) -> httpx.Response:
        """Send a request to the preferred entry; retry at others if safe.

        A request is retried if it did not run. If that is unknown, it is
        retried if it has an idempotency key, which all attempts share, or if
        it is idempotent and no complete response arrived.

        Raises
        ------
        RequestError
            If no entry returned a complete response.
        """
        headers = dict(options.pop('headers', {}))
        headers['x-timeout-seconds'] = str(self._timeout_seconds)
        headers['x-idempotent'] = str(idempotent).lower()
        if idempotency_key:
            headers['idempotency-key'] = idempotency_key
        last_error: errors.RequestError | None = None
        may_have_run = False
        for attempt in range(MAX_ATTEMPTS):
            if last_error is not None:
                await anyio.sleep(RETRY_BASE_DELAY_SECONDS * 2**attempt)
            await self._refresh_addresses()
            address = self._addresses[attempt % len(self._addresses)]
            try:
                response = await self._clients.get(address).request(
                    method,
                    url,
                    headers=headers,
                    timeout=self._timeout_seconds,
                    **options,
                )
            except (httpx.ConnectError, httpx.ConnectTimeout):
                last_error = errors.NotRun(
                    'cannot connect to the entry', peer=address
                )
                self._refresh_at = 0.0
                continue
            except httpx.HTTPError as error:
                may_have_run = True
                last_error = errors.OutcomeUnknown(
                    f'no complete response: {error}', peer=address
                )
                if not idempotent and not idempotency_key:
                    raise last_error from error
                continue
            outcome = response.headers.get('x-request-outcome')
            if outcome == 'complete':
                return response
            last_error = _parse_error(response, address)
            may_have_run |= isinstance(last_error, errors.OutcomeUnknown)
            if not self._may_retry(last_error, idempotency_key):
                raise last_error
        assert last_error is not None
        if may_have_run and isinstance(last_error, errors.NotRun):
            # The last attempt did not run, but an earlier one may have.
            raise errors.OutcomeUnknown(
                last_error.message, step=last_error.step, peer=last_error.peer
            )
        raise last_error

    def _may_retry(self, error: errors.RequestError, key: str) -> bool:
        """Return whether the request may be sent again."""
        if isinstance(error, errors.NotRun):
            return True
        # The idempotency key prevents a second run: the retry gets the
        # response of the first run, which may still be in progress.
        return bool(key) and isinstance(error, errors.OutcomeUnknown)

    async def _refresh_addresses(self) -> None:
        """Request the addresses of entries again once they have expired."""
        now = anyio.current_time()
        if now < self._refresh_at:
            return
        for address in [*self._addresses, *self._seeds]:
            try:
                response = await self._clients.get(address).get(
                    '/v1/addresses',
                    params={'data_center': self._data_center},
                    timeout=ADDRESS_TIMEOUT_SECONDS,
                )
                decoded = decoding.decode_json(
                    response.content, _WireAddresses
                )
            except (httpx.HTTPError, errors.ContentBroken):
                continue
            if decoded.addresses:
                self._addresses = decoded.addresses
                self._refresh_at = now + decoded.lifetime_seconds
                return


_ERROR_TYPES: dict[str, type[errors.RequestError]] = {
    'NotRun': errors.NotRun,
    'OutcomeUnknown': errors.OutcomeUnknown,
    'PoisonRefused': errors.PoisonRefused,
    'RequestInvalid': errors.RequestInvalid,
    'StaleWeights': errors.StaleWeights,
}


def _parse_error(response: httpx.Response, peer: str) -> errors.RequestError:
    try:
        body = response.json()['error']
        error_type = _ERROR_TYPES.get(body['type'], errors.OutcomeUnknown)
        return error_type(
            body['message'],
            step=body['step'],
            peer=peer,
            retry_after_seconds=body['retry_after_seconds'],
        )
    except (ValueError, KeyError, TypeError):
        return errors.OutcomeUnknown(
            f'unexpected response with status {response.status_code}',
            peer=peer,
        )
