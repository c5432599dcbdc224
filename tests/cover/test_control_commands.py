import functools
import json

import anyio
import cleo.testers.command_tester
import pytest

from swiftjunction.commands import _configuration
from swiftjunction.commands import _keys
from swiftjunction.commands import _operator
from swiftjunction import demo
from swiftjunction import errors

pytestmark = pytest.mark.anyio

COMMANDS = {
    kind.name: kind
    for kind in (
        *_configuration.COMMANDS,
        *_keys.COMMANDS,
        _operator.DumpCommand,
    )
}


class Terminal:
    """Runs commands against a conductor, as an operator would."""

    def __init__(self, conductor):
        self.conductor = conductor

    async def run(self, name, arguments, key=''):
        tester = cleo.testers.command_tester.CommandTester(COMMANDS[name]())
        line = f'{arguments} --conductor {self.conductor}'
        if key:
            line += f' --key {key}'
        await anyio.to_thread.run_sync(functools.partial(tester.execute, line))
        return tester.io.fetch_output().strip()


async def wait_until_active(terminal, revision, key=''):
    with anyio.fail_after(10):
        while True:
            found = json.loads(
                await terminal.run('config where', 'fit --json', key)
            )
            revisions = [daemon['revision'] for daemon in found['daemons']]
            if revisions == [revision] * 6:
                return
            await anyio.sleep(0.1)


async def test_an_operator_changes_inspects_and_reverts_settings(tmp_path):
    options = demo.FleetOptions(vms=2, engines=1, services=0, scorers=0)
    fleet = demo.Fleet(options)
    async with fleet.run():
        address = fleet.conductors['entry-0'].listener.address
        terminal = Terminal(address)
        run = terminal.run
        assert 'revision 1' in await run(
            'config set', 'fit/advice model=fit freshness_versions=2'
        )
        fleet.objects.faults.set('lose_answers', 2)
        assert 'revision 2' in await run(
            'config set', 'fit/advice freshness_versions=3'
        )
        await wait_until_active(terminal, 2)
        assert "model = 'fit'" in await run('config get', 'fit')
        assert await run('config diff', 'fit') == (
            '- fit/advice freshness_versions = 2\n'
            '+ fit/advice freshness_versions = 3'
        )
        file = tmp_path / 'fit.toml'
        file.write_text('["fit"]\nshare = 2\n["fit/x"]\nservice = "s"\n')
        dry_run = await run('config apply', f'fit {file} --dry-run')
        assert "+ fit/x service = 's'" in dry_run
        assert 'revision 3' in await run('config apply', f'fit {file}')
        assert 'revision 4' in await run('config rollback', 'fit 2')
        history = json.loads(await run('config history', 'fit --json'))
        assert [e['revision'] for e in history['history']] == [4, 3, 2, 1]
        await wait_until_active(terminal, 4)
        await check_key_permissions(terminal, fleet)


async def check_key_permissions(terminal, fleet):
    key = await terminal.run('key issue', 'fit eva')
    with anyio.fail_after(10):
        while any(
            not daemon.table.get('keys/fit')
            for daemon in (*fleet.conductors.values(), *fleet.entries.values())
        ):
            await anyio.sleep(0.05)
    with pytest.raises(errors.SwiftjunctionError, match='needs a key'):
        await terminal.run('config set', 'fit/advice share=3')
    entry = fleet.entries['entry-1'].listener.address
    assert 'refused' in await terminal.run('dump', entry)
    assert 'traffic' in await terminal.run('dump', entry, key)
    await terminal.run('config set', 'fit/advice share=3', key)
    history = await terminal.run('config history', 'fit --limit 1', key)
    assert 'eva' in history


async def test_watch_shows_changes_that_become_active():
    options = demo.FleetOptions(vms=1, engines=1, services=0, scorers=0)
    fleet = demo.Fleet(options)
    async with fleet.run():
        terminal = Terminal(fleet.conductors['entry-0'].listener.address)
        outputs = []

        async def watch():
            outputs.append(
                await terminal.run('config watch', 'fit --changes 1')
            )

        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                # The watch starts from the revision that is active by then.
                await anyio.sleep(1.0)
                await terminal.run('config set', 'fit share=2')
        assert outputs == ['revision 1\n+ fit share = 2.0']
