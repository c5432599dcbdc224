import anyio
import httpx
import pytest
import starlette.applications
import starlette.responses
import starlette.routing
import trustme

from swiftjunction import errors
from swiftjunction import web

pytestmark = pytest.mark.anyio


def write_files(folder, authority):
    authority.cert_pem.write_to_path(str(folder / 'authority.pem'))
    issued = authority.issue_cert('127.0.0.1')
    issued.private_key_pem.write_to_path(str(folder / 'key.pem'))
    issued.cert_chain_pems[0].write_to_path(str(folder / 'certificate.pem'))
    return web.TlsFiles(
        str(folder / 'certificate.pem'),
        str(folder / 'key.pem'),
        str(folder / 'authority.pem'),
    )


async def answer(request):
    return starlette.responses.PlainTextResponse('here')


APP = starlette.applications.Starlette(
    routes=[starlette.routing.Route('/', answer)]
)


async def fetch(address, context):
    peers = web.PeerClients(context)
    try:
        return (await peers.get(address).get('/')).text
    finally:
        await peers.close()


async def test_a_replaced_certificate_serves_new_connections(tmp_path):
    files = write_files(tmp_path, trustme.CA())
    contexts = web.TlsContexts(files)
    listener = web.open_listener('127.0.0.1', 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, APP, contexts.server)
        old = web.create_client_context(files.authority)
        assert await fetch(listener.address, old) == 'here'
        assert await fetch(listener.address, contexts.client) == 'here'
        assert not contexts.refresh()
        write_files(tmp_path, trustme.CA())
        assert contexts.refresh()
        with pytest.raises(httpx.ConnectError):
            await fetch(listener.address, old)
        assert await fetch(listener.address, contexts.client) == 'here'
        tasks.cancel_scope.cancel()


async def test_half_written_files_leave_the_old_certificate_in_use(tmp_path):
    files = write_files(tmp_path, trustme.CA())
    contexts = web.TlsContexts(files)
    (tmp_path / 'certificate.pem').write_text('-----BEGIN')
    assert not contexts.refresh()
    write_files(tmp_path, trustme.CA())
    assert contexts.refresh()


async def test_a_missing_file_is_a_settings_error(tmp_path):
    files = web.TlsFiles('/nowhere.pem', '/nowhere.pem', '/nowhere.pem')
    with pytest.raises(errors.SettingsError, match='cannot be used'):
        web.TlsContexts(files)
