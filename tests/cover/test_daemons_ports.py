import pytest

from swiftjunction import daemons
from swiftjunction import errors
from swiftjunction import settings
from swiftjunction import web

PLATFORM = settings.PlatformSettings(*['http://127.0.0.1:1'] * 3)


@pytest.mark.anyio
async def test_the_error_for_a_port_in_use_names_its_setting_and_value():
    listener = web.open_listener('127.0.0.1', 0)
    port = int(listener.address.split(':')[1])
    config = settings.Settings(
        settings.VmSettings('entry-1', '127.0.0.1', 'dc-1', 'r'),
        PLATFORM,
        settings.EntrySettings(port),
    )
    with pytest.raises(errors.SettingsError, match=f'entry.port = {port}: '):
        daemons.EntryDaemon(config)
