import logging

import pytest

from swiftjunction import daemons
from swiftjunction import settings

PLATFORM = settings.PlatformSettings(*['http://127.0.0.1:1'] * 3)


@pytest.mark.anyio
async def test_a_failed_task_is_named_before_the_process_ends(
    monkeypatch, caplog
):
    async def fail(self):
        raise RecursionError('too deep')

    monkeypatch.setattr(daemons.EntryDaemon, '_monitor_overload', fail)
    daemon = daemons.EntryDaemon(
        settings.Settings(
            settings.VmSettings('entry-1', '127.0.0.1', 'dc-1', 'r'),
            PLATFORM,
            settings.EntrySettings(0),
        )
    )
    with caplog.at_level(logging.ERROR), pytest.raises(ExceptionGroup):
        await daemon.run()
    assert [record.task for record in caplog.records] == [
        'test_a_failed_task_is_named_before_the_process_ends.<locals>.fail'
    ]
