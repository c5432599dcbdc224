"""Confirmations of the configuration among real VMs in one process."""

import anyio
import msgspec
import pytest

from swiftjunction import coordination
from swiftjunction import objectstore
from swiftjunction.platform import _program
from tests.cover import test_coordination
from tests import platform_deployment

pytestmark = pytest.mark.anyio

VMS = ('vm-1', 'vm-2', 'vm-3')
MAX_AGE_SECONDS = 3.95
YOUNG_SECONDS = 2.0
# Refuses connections.
UNREACHABLE = '127.0.0.1:1'


class Deployment(platform_deployment.PlatformDeployment):
    """VMs with strict revocation and one organisation."""

    def __init__(self, folder):
        super().__init__(
            folder,
            settings=('bounds.strict_revoke=true', 'bounds.revoke_ms=5000'),
            config={
                **platform_deployment.make_config(),
                'tenants': [{'name': 'org-1', 'api_keys': ['key-1']}],
            },
        )

    def get_age(self, vm):
        return self.programs[vm]._confirmer.age_seconds

    async def wait_for_ages(self, is_met, *vms, seconds=5):
        with anyio.fail_after(seconds):
            while not all(is_met(self.get_age(vm)) for vm in vms):
                await anyio.sleep(0.02)

    async def wait_for_peers(self):
        with anyio.fail_after(5):
            while not all(
                len([*program._members.list_statuses()]) == len(VMS) - 1
                for program in self.programs.values()
            ):
                await anyio.sleep(0.02)

    def restart_cut_off(self, vm):
        """Run a VM anew, at the same addresses, without the store."""
        path = self._folder / f'{vm}.conf'
        text = path.read_text().replace(self.store_address, UNREACHABLE)
        path.write_text(text)
        program = _program.EdgeProgram(path, metrics_port=0)
        self.programs[vm] = program
        self.scopes[vm] = anyio.CancelScope()
        self._tasks.start_soon(self._run_vm, program, self.scopes[vm])

    def cut(self, vm):
        self.programs[vm]._direct.address = UNREACHABLE


def is_young(age_seconds):
    return age_seconds < YOUNG_SECONDS


@pytest.mark.parametrize('cut', VMS)
async def test_a_vm_cut_off_from_the_store_goes_on_by_its_peers(tmp_path, cut):
    deployment = Deployment(tmp_path)
    async with deployment.run(VMS):
        await deployment.wait_for_peers()
        await deployment.wait_for_ages(is_young, *VMS)
        deployment.cut(cut)
        for _ in range(60):
            await anyio.sleep(0.1)
            for vm in VMS:
                assert deployment.get_age(vm) < YOUNG_SECONDS + 1


async def test_a_vm_that_restarts_cut_off_learns_all_from_its_peers(tmp_path):
    deployment = Deployment(tmp_path)
    async with deployment.run(VMS):
        await deployment.wait_for_peers()
        deployment.kill_vm('vm-2')
        await anyio.sleep(0.5)
        deployment.restart_cut_off('vm-2')
        await deployment.wait_until_ready('vm-2')
        await deployment.wait_for_ages(is_young, 'vm-2')


async def test_confirmations_become_old_while_the_store_is_down(tmp_path):
    deployment = Deployment(tmp_path)
    async with deployment.run(VMS):
        await deployment.wait_for_ages(is_young, *VMS)
        deployment.store.faults.set('down', 1)
        await deployment.wait_for_ages(
            lambda age: age > MAX_AGE_SECONDS, *VMS, seconds=6
        )
        deployment.store.faults.set('down', 0)
        await deployment.wait_for_ages(is_young, *VMS, seconds=2)


async def test_no_vm_confirms_a_configuration_without_organisations(tmp_path):
    deployment = platform_deployment.PlatformDeployment(
        tmp_path, settings=('bounds.strict_revoke=true',)
    )
    async with deployment.run(VMS):
        await anyio.sleep(2)
        for program in deployment.programs.values():
            status = program._status_source.build()
            assert status.configuration_age_seconds is None


def test_a_late_list_does_not_bring_back_an_older_object():
    # A peer would take the old object for the newest of this revision.
    feed_sync = coordination.FeedSync(None, None, None)
    feed = feed_sync.add(
        'config/', objectstore.CallbackListener(lambda found: None)
    )
    newest = objectstore.Object('config/main', 9, b'newest')
    older = objectstore.Object('config/main', 5, b'older')
    feed.replace([newest])
    feed.mark_current(9)
    feed.replace([older])
    feed.mark_current(5)
    assert feed.copy_since(-1).changed == [newest]
    feed.change(older)
    assert feed.copy_since(-1).changed == [newest]


def test_a_status_of_the_former_build_confirms_nothing():
    feed_sync = coordination.FeedSync(None, None, None)
    feed = feed_sync.add(
        'config/', objectstore.CallbackListener(lambda found: None)
    )
    feed.mark_current(1)
    confirmation = coordination.FeedConfirmation(feed_sync)
    former = {
        'name': 'b',
        'run': '1',
        'state': 'live',
        'revisions': {'config/': 1},
        'ages': {'config/': 0.0},
    }
    status = msgspec.convert(former, coordination.MemberStatus)
    confirmation.record_status(status, confirmation.clock())
    assert confirmation.state_age() is None


@pytest.mark.parametrize('age_seconds', [-1.0, float('nan'), float('inf')])
def test_an_impossible_age_confirms_nothing(age_seconds):
    feed_sync = coordination.FeedSync(None, None, None)
    feed = feed_sync.add(
        'config/', objectstore.CallbackListener(lambda found: None)
    )
    feed.mark_current(1)
    confirmation = coordination.FeedConfirmation(feed_sync)
    confirmation.record_status(
        test_coordination.make_status(
            'b',
            revisions={'config/': 1},
            configuration_age_seconds=age_seconds,
        ),
        confirmation.clock(),
    )
    assert confirmation.state_age() is None


def test_ages_in_statuses_are_rounded_up():
    now = [10.0]
    confirmation = coordination.FeedConfirmation(
        coordination.FeedSync(None, None, None), clock=lambda: now[0]
    )
    confirmation.record(10.0)
    now[0] = 10.25001
    assert confirmation.state_age() == 0.251
