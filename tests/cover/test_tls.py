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


async def respond(request):
    return starlette.responses.PlainTextResponse('response')


APP = starlette.applications.Starlette(
    routes=[starlette.routing.Route('/', respond)]
)


async def fetch(address, context):
    clients = web.PeerClients(context)
    try:
        return (await clients.get(address).get('/')).text
    finally:
        await clients.close()


async def test_new_connections_use_a_replaced_certificate(tmp_path):
    files = write_files(tmp_path, trustme.CA())
    contexts = web.TlsContexts(files)
    listener = web.open_listener('127.0.0.1', 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, APP, contexts.server)
        old_context = web.create_client_context(files.authority)
        assert await fetch(listener.address, old_context) == 'response'
        assert await fetch(listener.address, contexts.client) == 'response'
        assert not contexts.refresh()
        write_files(tmp_path, trustme.CA())
        assert contexts.refresh()
        with pytest.raises(httpx.ConnectError):
            await fetch(listener.address, old_context)
        assert await fetch(listener.address, contexts.client) == 'response'
        tasks.cancel_scope.cancel()


async def test_partially_written_files_are_not_loaded(tmp_path):
    files = write_files(tmp_path, trustme.CA())
    contexts = web.TlsContexts(files)
    (tmp_path / 'certificate.pem').write_text('-----BEGIN')
    assert not contexts.refresh()
    write_files(tmp_path, trustme.CA())
    assert contexts.refresh()


async def test_a_missing_file_is_a_settings_error(tmp_path):
    files = web.TlsFiles('/nowhere.pem', '/nowhere.pem', '/nowhere.pem')
    with pytest.raises(errors.SettingsError, match='cannot load the files'):
        web.TlsContexts(files)
