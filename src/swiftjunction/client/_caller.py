"""The client of live callers: which entry to ask, and what to retry."""

import typing

import anyio
import httpx
import msgspec

from swiftjunction.client import _base
from swiftjunction import errors

MAX_TRIES = 4
FIRST_RETRY_SECONDS = 0.05
ADDRESS_TIMEOUT_SECONDS = 2.0


class Completion(msgspec.Struct, frozen=True):
    """A whole answer.

    Attributes
    ----------
    weight_versions : list of list of int
        Version, first token and number of tokens of each segment.
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
    """Asks entries which of them to use, and fails over between them.

    Parameters
    ----------
    seeds : list of str
        ``ip:port`` of some entries to begin with.
    data_center : str
        The caller's.
    timeout_seconds : float
        Deadline of each request.
    authority : str
        A file of the certificates that entries are checked against; they are
        called over TLS where it is given.
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
        """Return the whole answer to `prompt`.

        Raises
        ------
        NotRun, OutcomeUnknown, StaleWeights, RequestInvalid
            As the entry answered.
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
        wire = msgspec.json.decode(response.content, type=_WireCompletion)
        choice = wire.choices[0]
        return Completion(
            wire.id,
            choice.text,
            choice.finish_reason or '',
            wire.weight_versions,
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
        """Send any request to the best entry, trying others where it is safe.

        A request that is not idempotent is tried again only where it was not
        run, and carries the same key each time.

        Raises
        ------
        RequestError
            If no entry gave a whole answer.
        """
        headers = dict(options.pop('headers', {}))
        headers['x-timeout-seconds'] = str(self._timeout_seconds)
        headers['x-idempotent'] = str(idempotent).lower()
        if idempotency_key:
            headers['idempotency-key'] = idempotency_key
        last: errors.RequestError | None = None
        may_have_run = False
        for attempt in range(MAX_TRIES):
            if last is not None:
                await anyio.sleep(FIRST_RETRY_SECONDS * 2**attempt)
            await self._refresh()
            address = self._addresses[attempt % len(self._addresses)]
            try:
                response = await self._peers.get(address).request(
                    method,
                    url,
                    headers=headers,
                    timeout=self._timeout_seconds,
                    **options,
                )
            except (httpx.ConnectError, httpx.ConnectTimeout):
                last = errors.NotRun('cannot connect', peer=address)
                self._refresh_at = 0.0
                continue
            except httpx.HTTPError as error:
                may_have_run = True
                last = errors.OutcomeUnknown(
                    f'no whole answer: {error}', peer=address
                )
                if not idempotent and not idempotency_key:
                    raise last from error
                continue
            outcome = response.headers.get('x-request-outcome')
            if outcome == 'complete':
                return response
            last = _read_error(response, address)
            may_have_run |= isinstance(last, errors.OutcomeUnknown)
            if not self._may_repeat(last, idempotency_key):
                raise last
        assert last is not None
        if may_have_run and isinstance(last, errors.NotRun):
            # Only the last try was refused; an earlier one may have run.
            raise errors.OutcomeUnknown(
                last.message, step=last.step, peer=last.peer
            )
        raise last

    def _may_repeat(self, error: errors.RequestError, key: str) -> bool:
        """Tell whether the same request may be sent once more."""
        if isinstance(error, errors.NotRun):
            return True
        # Under its key it does not run again; the repeat asks for the
        # answer of the run that may be going on.
        return bool(key) and isinstance(error, errors.OutcomeUnknown)

    async def _refresh(self) -> None:
        """Ask for the addresses again where their lifetime is over."""
        now = anyio.current_time()
        if now < self._refresh_at:
            return
        for address in [*self._addresses, *self._seeds]:
            try:
                response = await self._peers.get(address).get(
                    '/v1/addresses',
                    params={'data_center': self._data_center},
                    timeout=ADDRESS_TIMEOUT_SECONDS,
                )
                wire = msgspec.json.decode(
                    response.content, type=_WireAddresses
                )
            except (httpx.HTTPError, msgspec.MsgspecError):
                continue
            if wire.addresses:
                self._addresses = wire.addresses
                self._refresh_at = now + wire.lifetime_seconds
                return


_KINDS: dict[str, type[errors.RequestError]] = {
    'NotRun': errors.NotRun,
    'OutcomeUnknown': errors.OutcomeUnknown,
    'PoisonRefused': errors.PoisonRefused,
    'RequestInvalid': errors.RequestInvalid,
    'StaleWeights': errors.StaleWeights,
}


def _read_error(response: httpx.Response, peer: str) -> errors.RequestError:
    try:
        body = response.json()['error']
        kind = _KINDS.get(body['type'], errors.OutcomeUnknown)
        return kind(
            body['message'],
            step=body['step'],
            peer=peer,
            retry_after_seconds=body['retry_after_seconds'],
        )
    except (ValueError, KeyError, TypeError):
        return errors.OutcomeUnknown(
            f'answered {response.status_code}', peer=peer
        )
