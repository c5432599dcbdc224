import os
import signal

import anyio
import pytest

from swiftjunction.platform import _signals
from tests import platform_deployment


@pytest.mark.anyio
async def test_a_vm_that_accepts_connections_ends_in_order_at_sigterm(
    tmp_path, monkeypatch
):
    # A process whose listeners are open counts as running, so a signal must
    # not terminate it even if the task that handles signals has not begun.
    class Opened(Exception):
        pass

    def check_and_stop(settings):
        assert signal.getsignal(signal.SIGTERM) is not signal.SIG_DFL
        raise Opened

    monkeypatch.setattr(
        platform_deployment._program._listening,
        'open_listener',
        check_and_stop,
    )
    deployment = platform_deployment.PlatformDeployment(tmp_path)
    deployment.store_address = '127.0.0.1:1'
    path = deployment.write_settings('vm-1')
    program = platform_deployment._program.EdgeProgram(path, metrics_port=0)
    with pytest.raises(Opened):
        await program.run()


@pytest.mark.anyio
async def test_a_signal_before_its_handler_runs_is_not_lost():
    stopped = anyio.Event()
    reloads = []
    with _signals.receive() as signals:
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                _signals.handle,
                signals,
                lambda: reloads.append(1),
                stopped.set,
            )
            with anyio.fail_after(5):
                await stopped.wait()
            tasks.cancel_scope.cancel()
    assert reloads == [1]
