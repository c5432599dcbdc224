"""Operators: they publish versions, change settings and watch both."""

import time

import anyio
import httpx
import numpy

from bench import deployment
from bench import plan
from bench import results
from bench import versions

IN_FORCE_SECONDS = 6.0
# Which a process takes until it serves.
START_SECONDS = 2.0
POLL_SECONDS = 0.5
SETUP_TRIES = 40


class Operators:
    """Drives the conductors as operators do.

    Attributes
    ----------
    started : float
        When the load began, on the monotonic clock.
    """

    def __init__(
        self,
        experiment: plan.Experiment,
        fleet: deployment.Deployment,
        recorder: results.Recorder,
        published: versions.Published,
        seed: int,
    ) -> None:
        self.started = 0.0
        self._experiment = experiment
        self._fleet = fleet
        self._recorder = recorder
        self._published = published
        self._rng = numpy.random.default_rng([seed, 3])
        self._accepted: list[tuple[float, int]] = []
        self._seen: dict[tuple[str, int], int] = {}
        self._late: set[tuple[str, int]] = set()

    @property
    def team(self) -> str:
        """Return the team whose settings are changed."""
        return self._experiment.deployment

    async def set_up(self) -> None:
        """Set the team's paths and publish the first version."""
        fleet, team = self._fleet, self.team
        paths = {
            team: {
                'freshness_versions': self._experiment.freshness_versions,
                'timeout_seconds': 15.0,
                'checks_fencing': True,
            },
            f'{team}/answers': {'model': fleet.model},
            f'{team}/samples': {
                'model': fleet.model,
                'request_class': 'samples',
                'timeout_seconds': 60.0,
            },
            f'{team}/lookups': {'service': fleet.service},
            f'{team}/scorer': {
                'service': 'scorer',
                'request_class': 'internal',
            },
        }
        for _ in range(SETUP_TRIES):
            if await self._change(paths) == 'accepted':
                break
            await anyio.sleep(0.25)
        for _ in range(SETUP_TRIES):
            await self._publish()
            if self._published.newest(0.0):
                return
            await anyio.sleep(0.25)
        raise RuntimeError('the deployment took no settings or no version')

    async def publish_often(self) -> None:
        """Publish a version every few seconds until cancelled."""
        while True:
            await anyio.sleep(self._experiment.publish_every_seconds)
            await self._publish()

    async def change_often(self) -> None:
        """Change a setting every few seconds until cancelled."""
        while True:
            await anyio.sleep(self._experiment.configure_every_seconds)
            await self._change_once()

    async def race(self, operators: int) -> None:
        """Change the settings from several operators at once."""
        outcomes: list[str] = []

        async def change() -> None:
            outcomes.append(await self._change_once())

        async with anyio.create_task_group() as tasks:
            for _ in range(operators):
                tasks.start_soon(change)
        self._recorder.promises['one of racing edits is accepted'].note(
            outcomes.count('accepted') <= 1, f'{outcomes}'
        )

    async def _change_once(self) -> str:
        path = f'{self.team}/spare-{self._rng.integers(3)}'
        seconds = round(float(self._rng.uniform(1, 60)), 3)
        return await self._change({path: {'timeout_seconds': seconds}})

    async def _call(
        self, method: str, url: str, body: object = None
    ) -> httpx.Response | None:
        addresses = self._fleet.addresses('conductor')
        address = addresses[int(self._rng.integers(len(addresses)))]
        try:
            return await self._fleet.client.request(
                method, f'http://{address}{url}', json=body
            )
        except httpx.HTTPError:
            return None

    async def _change(self, paths: dict[str, dict]) -> str:
        url = f'/v1/configuration/{self.team}'
        found = await self._call('GET', url)
        if found is None or not found.is_success:
            return 'refused'
        change = {
            'version': found.json()['version'],
            'author': 'bench',
            'paths': paths,
        }
        answer = await self._call('POST', url, change)
        if answer is None:
            return 'unknown'
        outcome = answer.json()['outcome']
        self._recorder.outcomes['configuration'][outcome] += 1
        if outcome == 'accepted':
            version = answer.json()['version']
            self._accepted.append((time.monotonic(), version))
        return outcome

    async def _publish(self) -> None:
        url = f'/v1/weights/{self._fleet.model}/versions'
        answer = await self._call('POST', url)
        accepted = answer is not None and answer.is_success
        outcome = 'accepted' if accepted else 'refused'
        self._recorder.outcomes['publication'][outcome] += 1
        if answer is not None and accepted:
            version = answer.json()['version']
            self._published.note(version)
            at = round(time.monotonic() - self.started, 2)
            self._recorder.events.append(
                results.Event(at, f'version {version}')
            )

    async def watch_configuration(self) -> None:
        """Check what is in force on each process until cancelled."""
        while True:
            await anyio.sleep(POLL_SECONDS)
            for kind in ('entry', 'rollout', 'conductor'):
                for vm in self._fleet.vm_names():
                    await self._check_process(vm, kind)

    async def _check_process(self, vm: str, kind: str) -> None:
        name = f'{vm}/{kind}'
        program = self._fleet.programs[name]
        asked = time.monotonic()
        address = self._fleet.address(vm, kind)
        try:
            response = await self._fleet.client.get(
                f'http://{address}/dump', timeout=1.0
            )
            found = response.json()['configuration'].get(self.team, 0)
        except (httpx.HTTPError, ValueError, KeyError):
            return
        run = (name, program.pid)
        seen = self._seen.get(run, 0)
        self._recorder.promises['settings never revert'].note(
            found >= seen, f'{name} went from {seen} to {found}'
        )
        self._seen[run] = max(found, seen)
        since = program.started_at + START_SECONDS
        limit = asked - IN_FORCE_SECONDS
        due = 0
        if since <= limit:
            due = max((v for t, v in self._accepted if t <= limit), default=0)
        late = found < due
        # One case for each process and version, however often it is polled.
        case = (name, due)
        if case in self._late:
            return
        self._late.add(case)
        self._recorder.promises['settings in force within 6 s'].note(
            not late, f'{name} has {found}, accepted {due}'
        )
