"""The client of trainers: draws each sample of a step once."""

import collections.abc

import anyio
import httpx
import msgspec

from swiftjunction.client import _base
from swiftjunction import errors

DRAW_WAIT_SECONDS = 1.5
RETRY_SECONDS = 0.2
# What an owner that is cut off costs a draw before another one is asked.
REQUEST_TIMEOUT_SECONDS = 3.5
CONNECT_TIMEOUT_SECONDS = 1.0
OUTCOME_HEADER = 'x-request-outcome'


_TIMEOUT = httpx.Timeout(
    REQUEST_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
)


class DeliveredSample(msgspec.Struct, frozen=True):
    """One sample as drawn.

    Attributes
    ----------
    index : int
        Its place in the step's groups, counted through.
    sequence : int
        Its place in the order of delivery.
    segments : list of list of int
        Version, first token and number of tokens of each segment.
    """

    index: int
    group_index: int
    text: str
    segments: list[list[int]]
    sequence: int
    score: float | None = None


class _WireDraw(msgspec.Struct):
    start: int
    samples: list[DeliveredSample]
    cursor: int
    total: int
    done: bool


class TrainerClient(_base.BaseClient):
    """Submits steps and draws their samples.

    Parameters
    ----------
    trainer : str
        The trainer's name.
    seeds : list of str
        ``ip:port`` of rollout processes.
    authority : str
        A file of the certificates that they are checked against; they are
        called over TLS where it is given.
    """

    __slots__ = ('_owner', '_trainer')

    def __init__(
        self, trainer: str, seeds: list[str], *, authority: str = ''
    ) -> None:
        super().__init__(seeds, authority)
        self._trainer = trainer
        self._owner = seeds[0]

    async def run_step(
        self,
        step: str,
        path: str,
        groups: list[dict],
        *,
        scorer: str = '',
        deadline_seconds: float = 780.0,
        cursor: int = 0,
    ) -> collections.abc.AsyncIterator[DeliveredSample]:
        """Submit a step and yield each of its samples once.

        Submitting the same step again, for example after a restart of the
        trainer, goes on with the step that is open.

        Parameters
        ----------
        cursor : int
            The sequence number of the last sample that the trainer has. One
            that keeps it with its own state gets each sample once over its
            restarts too; without it, the step goes on after the last sample
            that its owner knows to have arrived.

        Raises
        ------
        StepIncomplete
            If the step ended, by its deadline or a cancel, before all of its
            samples were handed over.
        """
        total = sum(group['samples'] for group in groups)
        spec = {
            'trainer': self._trainer,
            'step': step,
            'path': path,
            'groups': groups,
            'scorer': scorer,
            'deadline_seconds': deadline_seconds,
        }
        await self._call('POST', '/v1/steps', json=spec)
        step_id = f'{self._trainer}.{step}'
        received = cursor
        while True:
            response = await self._call(
                'GET',
                f'/v1/steps/{step_id}/samples',
                params={'cursor': cursor, 'wait_seconds': DRAW_WAIT_SECONDS},
            )
            if response.status_code == httpx.codes.GONE:
                if response.headers.get(OUTCOME_HEADER) == 'complete':
                    return
                break
            draw = msgspec.json.decode(response.content, type=_WireDraw)
            if draw.start > cursor:
                # What was acknowledged before a restart is not drawn again.
                received += draw.start - cursor
                cursor = draw.start
            for sample in draw.samples:
                # A draw that was repeated may begin with what is here.
                if sample.sequence > cursor:
                    cursor = sample.sequence
                    received += 1
                    yield sample
            if draw.done:
                break
        if received < total:
            raise errors.StepIncomplete(
                f'step {step_id} ended with {received} of {total} samples',
                step='draw',
                peer=self._owner,
            )

    async def _call(
        self, method: str, url: str, **options: object
    ) -> httpx.Response:
        """Call the step's owner, looking for it where it moved."""
        tries = 0
        while True:
            response = await self._try(method, url, options)
            if response is None or _is_dying(response):
                tries += 1
                self._owner = self._seeds[tries % len(self._seeds)]
                await anyio.sleep(RETRY_SECONDS)
            elif response.status_code == httpx.codes.TEMPORARY_REDIRECT:
                self._owner = response.headers['x-step-owner']
                method = 'GET' if method == 'POST' else method
                url = self._follow(url, options)
            elif response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
                await anyio.sleep(float(response.headers['retry-after']))
            elif response.is_success or (
                response.status_code == httpx.codes.GONE
            ):
                return response
            else:
                raise errors.RequestInvalid(
                    response.text[:500], step='call', peer=self._owner
                )

    def _follow(self, url: str, options: dict[str, object]) -> str:
        spec = options.pop('json', None)
        if not isinstance(spec, dict):
            return url
        return f'/v1/steps/{spec["trainer"]}.{spec["step"]}'

    async def _try(
        self, method: str, url: str, options: dict
    ) -> httpx.Response | None:
        try:
            return await self._peers.get(self._owner).request(
                method, url, timeout=_TIMEOUT, **options
            )
        except httpx.HTTPError:
            return None


def _is_dying(response: httpx.Response) -> bool:
    """Tell whether a process broke off its answer, as it does on its end.

    Each call of a trainer may be repeated, so it goes to another process.
    """
    return (
        response.is_server_error
        and response.status_code != httpx.codes.SERVICE_UNAVAILABLE
    )
