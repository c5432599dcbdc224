"""Runs the edge role; its new connections to servers can be cut.

The processes of a deployment share one network, in which a proxy cannot tell
whose connection it gets.
"""

import _signal
import json
import os
import pathlib
import runpy

if __name__ == '__main__':
    # Before the imports that take long, as the edge process does.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import anyio

EDGE_SCRIPT = 'src/swiftjunction/platform/__main__.py'
# Path of a file that exists while the VM is cut off from the servers that it
# names: ``{"addresses": [...], "refuses": true}``.
CUT_FILE_VARIABLE = 'SWIFTJUNCTION_SOAK_CUT'


def read_cut(path: pathlib.Path) -> dict | None:
    """Return what the file says; None while there is none."""
    try:
        return json.loads(path.read_text())
    except FileNotFoundError:
        return None


def install_cut(path: pathlib.Path) -> None:
    """Have new connections hang, or be refused, as the file says."""
    connect_tcp = anyio.connect_tcp

    async def connect(remote_host, remote_port, **options):
        cut = read_cut(path)
        address = f'{remote_host}:{remote_port}'
        if cut is not None and address in cut['addresses']:
            if cut['refuses']:
                raise ConnectionRefusedError('cut off')
            await anyio.sleep_forever()
        return await connect_tcp(remote_host, remote_port, **options)

    anyio.connect_tcp = connect


if __name__ == '__main__':
    install_cut(pathlib.Path(os.environ[CUT_FILE_VARIABLE]))
    runpy.run_path(EDGE_SCRIPT, run_name='__main__')
