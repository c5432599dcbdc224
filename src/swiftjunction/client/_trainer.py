"""The client of trainers: yields each sample of a step exactly once."""

import collections.abc

import anyio
import httpx
import msgspec

from swiftjunction.client import _base
from swiftjunction import decoding
from swiftjunction import errors

SAMPLES_WAIT_SECONDS = 1.5
RETRY_DELAY_SECONDS = 0.2
# Time without a response after which another process is called.
REQUEST_TIMEOUT_SECONDS = 3.5
CONNECT_TIMEOUT_SECONDS = 1.0
OUTCOME_HEADER = 'x-request-outcome'


_TIMEOUT = httpx.Timeout(
    REQUEST_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
)


class DeliveredSample(msgspec.Struct, frozen=True):
    """One sample of a step.

    Attributes
    ----------
    index : int
        Number of the sample in the step, counted over all of its groups.
    sequence : int
        Sequence number, in the order of delivery.
    segments : list of list of int
        Weight version, first token and token count of each segment.
    """

    index: int
    group_index: int
    text: str
    segments: list[list[int]]
    sequence: int
    score: float | None = None


class _WireSamplePage(msgspec.Struct):
    start: int
    samples: list[DeliveredSample]
    cursor: int
    total: int
    done: bool


class TrainerClient(_base.BaseClient):
    """Submits steps and fetches their samples.

    Parameters
    ----------
    trainer : str
        Name of the trainer.
    seeds : list of str
        ``ip:port`` of rollout processes; any of them may be called.
    authority : str
        File of CA certificates that verify the rollout processes; if empty,
        they are called over plain HTTP.
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
        trainer, resumes the open step.

        Parameters
        ----------
        cursor : int
            Sequence number of the last sample that the trainer has. A trainer
            that saves it with its own state gets each sample exactly once even
            if it restarts. Without it, the step resumes after the last sample
            that the trainer is known to have received.

        Raises
        ------
        StepIncomplete
            If the step reached its deadline or was cancelled before all of
            its samples were delivered.
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
                params={
                    'cursor': cursor,
                    'wait_seconds': SAMPLES_WAIT_SECONDS,
                },
            )
            if response.status_code == httpx.codes.GONE:
                if response.headers.get(OUTCOME_HEADER) == 'complete':
                    return
                break
            page = decoding.decode_json(response.content, _WireSamplePage)
            if page.start > cursor:
                # Samples acknowledged before a restart are not sent again.
                received += page.start - cursor
                cursor = page.start
            for sample in page.samples:
                # A repeated call may return samples already received.
                if sample.sequence > cursor:
                    cursor = sample.sequence
                    received += 1
                    yield sample
            if page.done:
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
        """Call the owner of the step, and follow redirects to a new owner.

        Transient failures are retried without limit.
        """
        failure_count = 0
        while True:
            response = await self._send(method, url, options)
            if response is None or _is_aborted(response):
                failure_count += 1
                self._owner = self._seeds[failure_count % len(self._seeds)]
                await anyio.sleep(RETRY_DELAY_SECONDS)
            elif response.status_code == httpx.codes.TEMPORARY_REDIRECT:
                self._owner = response.headers['x-step-owner']
                method = 'GET' if method == 'POST' else method
                url = self._resolve_redirect(url, options)
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

    def _resolve_redirect(self, url: str, options: dict[str, object]) -> str:
        """Return the URL to call at the new owner.

        A submission becomes a GET of the step, without a request body.
        """
        spec = options.pop('json', None)
        if not isinstance(spec, dict):
            return url
        return f'/v1/steps/{spec["trainer"]}.{spec["step"]}'

    async def _send(
        self, method: str, url: str, options: dict
    ) -> httpx.Response | None:
        try:
            return await self._clients.get(self._owner).request(
                method, url, timeout=_TIMEOUT, **options
            )
        except httpx.HTTPError:
            return None


def _is_aborted(response: httpx.Response) -> bool:
    """Return whether the process aborted the call, for example on shutdown.

    Calls of a trainer are idempotent, so they are retried at another process.
    """
    return (
        response.is_server_error
        and response.status_code != httpx.codes.SERVICE_UNAVAILABLE
    )
