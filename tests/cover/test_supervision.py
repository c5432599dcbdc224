"""Background tasks that fail."""

import logging

import pytest

from swiftjunction import supervision
from swiftjunction import telemetry


async def fail():
    raise RecursionError('too deep')


@pytest.mark.anyio
async def test_a_failed_task_is_named_in_logs_and_metrics(caplog):
    metrics = telemetry.Metrics()
    with caplog.at_level(logging.ERROR), pytest.raises(RecursionError):
        await supervision.Supervisor(metrics).run('servers', fail)
    (record,) = caplog.records
    assert record.task == 'servers'
    assert record.exc_info[0] is RecursionError
    assert (
        'swiftjunction_task_failures_total{task="servers"} 1.0'
        in metrics.render().decode()
    )
