"""A stand-in for the platform's VM list."""

import collections

import anyio
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import objectstore
from swiftjunction.standins import _faults
from swiftjunction import web


class VmListStandin:
    """VMs as of some time ago.

    Faults
    ------
    crashed : the process is gone for so many seconds.
    outage : every call is refused with 503.
    lag_seconds : how old the list that is answered is.
    """

    def __init__(self) -> None:
        self.faults = _faults.FaultSwitches('crashed', 'outage', 'lag_seconds')
        self._vms: dict[str, objectstore.Vm] = {}
        self._past: collections.deque[tuple[float, list[objectstore.Vm]]] = (
            collections.deque(maxlen=1000)
        )

    def put(self, vm: objectstore.Vm) -> None:
        """Add or change a VM."""
        self._vms[vm.name] = vm
        self._past.append((anyio.current_time(), list(self._vms.values())))

    def set_state(self, name: str, state: str) -> None:
        """Change the state of a VM."""
        self.put(msgspec.structs.replace(self._vms[name], state=state))

    def remove(self, name: str) -> None:
        """Take a VM off the list."""
        del self._vms[name]
        self._past.append((anyio.current_time(), list(self._vms.values())))

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        return starlette.applications.Starlette(
            routes=[
                starlette.routing.Route('/vms', self._list),
                starlette.routing.Route(
                    '/vms/{name}', self._change, methods=['PUT', 'DELETE']
                ),
                self.faults.make_route(),
            ]
        )

    async def _list(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        if self.faults.get('outage'):
            return web.respond_json({'error': 'outage'}, status=503)
        limit = anyio.current_time() - self.faults.get('lag_seconds')
        listed: list[objectstore.Vm] = []
        for time, vms in self._past:
            if time <= limit:
                listed = vms
        return web.respond_json(listed)

    async def _change(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        name = request.path_params['name']
        if request.method == 'DELETE':
            if name not in self._vms:
                return web.respond_json({'error': 'missing'}, status=404)
            self.remove(name)
            return web.respond_json({})
        vm = msgspec.json.decode(await request.body(), type=objectstore.Vm)
        self.put(vm)
        return web.respond_json(vm)
