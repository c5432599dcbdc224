"""Load of operators: published versions and changed settings."""

import time

import anyio
import httpx
import numpy

from bench import deployments
from bench import experiment_file
from bench import results
from bench import versions

# Time within which an accepted version of the settings is active everywhere.
MAX_ACTIVATION_SECONDS = 6.0
# Time that a daemon needs from its start until it serves.
DAEMON_START_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.5
SETUP_ATTEMPTS = 40


class OperatorWorkload:
    """Publishes versions and changes settings through the conductors.

    Also polls the daemons to check that accepted settings become active in
    time and never revert.

    Attributes
    ----------
    load_started_at : float
        Start of the load on the monotonic clock, in seconds.
    """

    def __init__(
        self,
        experiment: experiment_file.Experiment,
        deployment: deployments.Deployment,
        recorder: results.Recorder,
        publication_log: versions.PublicationLog,
        seed: int,
    ) -> None:
        self.load_started_at = 0.0
        self._experiment = experiment
        self._deployment = deployment
        self._recorder = recorder
        self._publication_log = publication_log
        self._rng = numpy.random.default_rng([seed, 3])
        self._accepted_versions: list[tuple[float, int]] = []
        self._newest_seen: dict[tuple[str, int], int] = {}
        self._race_count = 0
        self._checked_cases: set[tuple[str, int]] = set()

    @property
    def team(self) -> str:
        """Return the team whose settings are changed."""
        return self._experiment.deployment

    async def set_up(self) -> None:
        """Configure the team's paths and publish the first version.

        Raises
        ------
        RuntimeError
            If no version is accepted; the logs of the run show why.
        """
        deployment, team = self._deployment, self.team
        paths = {
            team: {
                'freshness_versions': self._experiment.freshness_versions,
                'timeout_seconds': 15.0,
                'checks_fencing': True,
            },
            f'{team}/answers': {'model': deployment.model},
            f'{team}/samples': {
                'model': deployment.model,
                'request_class': 'samples',
                'timeout_seconds': 60.0,
            },
            f'{team}/lookups': {'service': deployment.service},
            f'{team}/scorer': {
                'service': 'scorer',
                'request_class': 'internal',
            },
        }
        for _ in range(SETUP_ATTEMPTS):
            if await self._change_settings(paths) == 'accepted':
                break
            await anyio.sleep(0.25)
        for _ in range(SETUP_ATTEMPTS):
            await self._publish_version()
            if self._publication_log.find_newest(0.0):
                return
            await anyio.sleep(0.25)
        raise RuntimeError(
            'the deployment accepted no settings or no weight version'
        )

    async def publish_periodically(self) -> None:
        """Publish versions at the experiment's interval until cancelled."""
        while True:
            await anyio.sleep(self._experiment.publish_every_seconds)
            await self._publish_version()

    async def change_settings_periodically(self) -> None:
        """Change settings at the experiment's interval until cancelled."""
        while True:
            await anyio.sleep(self._experiment.configure_every_seconds)
            await self._change_random_setting()

    async def race_edits(self, operator_count: int) -> None:
        """Change the settings concurrently and check that no edit is lost."""
        accepted: dict[str, dict] = {}
        self._race_count += 1

        async def change(number: int) -> None:
            path = f'{self.team}/race-{number}'
            edit = {'timeout_seconds': float(self._race_count)}
            if await self._change_settings({path: edit}) == 'accepted':
                accepted[path] = edit

        async with anyio.create_task_group() as tasks:
            for number in range(operator_count):
                tasks.start_soon(change, number)
        current = await self._call_conductor(
            'GET', f'/v1/configuration/{self.team}'
        )
        if current is None or not current.is_success:
            return
        current_paths = current.json()['subtree']['paths']
        for path, edit in accepted.items():
            self._recorder.invariants['no accepted edit is lost'].record(
                current_paths.get(path) == edit,
                f'{path}: {current_paths.get(path)}',
            )

    async def _change_random_setting(self) -> str:
        path = f'{self.team}/spare-{self._rng.integers(3)}'
        seconds = round(float(self._rng.uniform(1, 60)), 3)
        return await self._change_settings(
            {path: {'timeout_seconds': seconds}}
        )

    async def _call_conductor(
        self, method: str, url: str, body: object = None
    ) -> httpx.Response | None:
        addresses = self._deployment.list_addresses('conductor')
        address = addresses[int(self._rng.integers(len(addresses)))]
        try:
            return await self._deployment.client.request(
                method, f'http://{address}{url}', json=body
            )
        except httpx.HTTPError:
            return None

    async def _change_settings(self, paths: dict[str, dict]) -> str:
        url = f'/v1/configuration/{self.team}'
        current = await self._call_conductor('GET', url)
        if current is None or not current.is_success:
            return 'refused'
        change = {
            'version': current.json()['version'],
            'author': 'bench',
            'paths': paths,
        }
        response = await self._call_conductor('POST', url, change)
        if response is None:
            return 'unknown'
        outcome = response.json()['outcome']
        self._recorder.outcomes['configuration'][outcome] += 1
        if outcome == 'accepted':
            version = response.json()['version']
            self._accepted_versions.append((time.monotonic(), version))
        return outcome

    async def _publish_version(self) -> None:
        url = f'/v1/weights/{self._deployment.model}/versions'
        response = await self._call_conductor('POST', url)
        accepted = response is not None and response.is_success
        outcome = 'accepted' if accepted else 'refused'
        self._recorder.outcomes['publication'][outcome] += 1
        if response is not None and accepted:
            version = response.json()['version']
            self._publication_log.record(version)
            at_seconds = round(time.monotonic() - self.load_started_at, 2)
            self._recorder.events.append(
                results.Event(at_seconds, f'version {version}')
            )

    async def watch_configuration(self) -> None:
        """Check the active settings of each daemon until cancelled."""
        while True:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            for kind in ('entry', 'rollout', 'conductor'):
                for vm in self._deployment.list_vm_names():
                    await self._check_active_version(vm, kind)

    async def _check_active_version(self, vm: str, kind: str) -> None:
        name = f'{vm}/{kind}'
        program = self._deployment.programs[name]
        polled_at = time.monotonic()
        address = self._deployment.format_address(vm, kind)
        try:
            response = await self._deployment.client.get(
                f'http://{address}/dump', timeout=1.0
            )
            active_version = response.json()['configuration'].get(self.team, 0)
        except (httpx.HTTPError, ValueError, KeyError):
            return
        process_key = (name, program.pid)
        newest_seen = self._newest_seen.get(process_key, 0)
        self._recorder.invariants['settings never revert'].record(
            active_version >= newest_seen,
            f'{name} went from {newest_seen} to {active_version}',
        )
        self._newest_seen[process_key] = max(active_version, newest_seen)
        serving_since = program.started_at + DAEMON_START_SECONDS
        accepted_before = polled_at - MAX_ACTIVATION_SECONDS
        due_version = 0
        if serving_since <= accepted_before:
            due_version = max(
                (
                    v
                    for t, v in self._accepted_versions
                    if t <= accepted_before
                ),
                default=0,
            )
        is_late = active_version < due_version
        # Counts each pair of daemon and version once, not at every poll.
        case = (name, due_version)
        if case in self._checked_cases:
            return
        self._checked_cases.add(case)
        self._recorder.invariants['settings in force within 6 s'].record(
            not is_late, f'{name} has {active_version}, accepted {due_version}'
        )
