"""Background tasks that fail."""

import logging

import anyio
import pytest

from swiftjunction import errors
from swiftjunction import supervision
from swiftjunction.supervision import _supervisor
from swiftjunction import telemetry

pytestmark = pytest.mark.anyio


class FailingTask:
    """Raises each of the given errors in turn, then runs on."""

    def __init__(self, *failures):
        self.failures = list(failures)
        self.runs_on = anyio.Event()

    async def run(self):
        if self.failures:
            raise self.failures.pop(0)
        self.runs_on.set()
        await anyio.sleep_forever()


async def run_until_it_runs_on(supervisor, task):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(supervisor.run, 'servers', task.run)
        with anyio.fail_after(5):
            await task.runs_on.wait()
        tasks.cancel_scope.cancel()


class TestRestartedTasks:
    async def test_a_failed_task_runs_again(self):
        task = FailingTask(
            RecursionError('deep'), ExceptionGroup('two', [OverflowError()])
        )
        await run_until_it_runs_on(
            supervision.Supervisor(telemetry.Metrics()), task
        )
        assert task.failures == []

    async def test_a_failed_task_is_named_in_logs_and_metrics(self, caplog):
        metrics = telemetry.Metrics()
        with caplog.at_level(logging.ERROR):
            await run_until_it_runs_on(
                supervision.Supervisor(metrics),
                FailingTask(RecursionError('deep')),
            )
        (record,) = caplog.records
        assert record.task == 'servers'
        assert record.exc_info[0] is RecursionError
        assert (
            'swiftjunction_task_failures_total{task="servers"} 1.0'
            in metrics.render().decode()
        )

    async def test_the_other_tasks_go_on(self):
        supervisor = supervision.Supervisor(telemetry.Metrics())
        other = FailingTask()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(supervisor.run, 'other', other.run)
            await other.runs_on.wait()
            await run_until_it_runs_on(
                supervisor, FailingTask(ValueError('odd'))
            )
            assert not tasks.cancel_scope.cancel_called
            tasks.cancel_scope.cancel()

    async def test_the_delay_grows_up_to_its_maximum(self, monkeypatch):
        delays = []

        async def sleep(seconds):
            delays.append(seconds)

        monkeypatch.setattr(_supervisor.anyio, 'sleep', sleep)
        await run_until_it_runs_on(
            supervision.Supervisor(telemetry.Metrics()),
            FailingTask(*(ValueError() for _ in range(7))),
        )
        assert delays == [0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0]

    @pytest.mark.parametrize(
        'error',
        [
            errors.LeaseLost('another VM holds it'),
            ExceptionGroup('tasks', [errors.LeaseLost('lost'), ValueError()]),
            errors.SettingsError(['ip is missing']),
            MemoryError(),
        ],
    )
    async def test_errors_that_end_a_task_on_purpose_are_raised(self, error):
        supervisor = supervision.Supervisor(telemetry.Metrics())
        with pytest.raises(type(error)):
            await supervisor.run('coordinator', FailingTask(error).run)


class TestFailingSeconds:
    async def test_it_counts_from_the_first_of_successive_failures(self):
        now = [100.0]
        supervisor = supervision.Supervisor(
            telemetry.Metrics(), lambda: now[0]
        )
        for seconds in (0.0, 1.0, 2.0):
            now[0] = 100.0 + seconds
            await run_until_it_runs_on(supervisor, FailingTask(ValueError()))
        assert supervisor.compute_failing_seconds('servers') == 2.0
        assert supervisor.summarize() == {'servers': 2.0}

    async def test_a_single_failure_does_not_count_as_failing(self):
        now = [100.0]
        supervisor = supervision.Supervisor(
            telemetry.Metrics(), lambda: now[0]
        )
        await run_until_it_runs_on(supervisor, FailingTask(ValueError()))
        now[0] += 2.0
        assert supervisor.compute_failing_seconds('servers') == 0.0

    async def test_a_task_that_has_run_long_enough_does_not_fail(self):
        now = [100.0]
        supervisor = supervision.Supervisor(
            telemetry.Metrics(), lambda: now[0]
        )
        for _ in range(2):
            await run_until_it_runs_on(supervisor, FailingTask(ValueError()))
            now[0] += 1.0
        now[0] += _supervisor.STABLE_SECONDS
        assert supervisor.compute_failing_seconds('servers') == 0.0
        assert supervisor.summarize() == {}


async def test_an_essential_task_ends_the_process_with_its_error():
    supervisor = supervision.Supervisor(telemetry.Metrics())
    with pytest.raises(ValueError):
        await supervisor.run_essential(
            'caller listener', FailingTask(ValueError()).run
        )


async def test_the_failure_of_one_item_is_logged_with_the_item(caplog):
    supervisor = supervision.Supervisor(telemetry.Metrics())
    with caplog.at_level(logging.ERROR):
        await supervisor.run_isolated(
            'sample', FailingTask(UnicodeError()).run, request_id='a1'
        )
    (record,) = caplog.records
    assert (record.task, record.request_id) == ('sample', 'a1')
