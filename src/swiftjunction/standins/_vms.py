"""A stand-in for the VM list of the platform."""

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
    """List of VMs, which can be served with a lag.

    Faults
    ------
    crashed : seconds for which connections are refused.
    outage : if not 0, reading the list fails with 503.
    lag_seconds : age of the list that is returned, in seconds.
    """

    def __init__(self) -> None:
        self.faults = _faults.FaultSwitches('crashed', 'outage', 'lag_seconds')
        self._vms: dict[str, objectstore.Vm] = {}
        self._history: collections.deque[
            tuple[float, list[objectstore.Vm]]
        ] = collections.deque(maxlen=1000)

    def put(self, vm: objectstore.Vm) -> None:
        """Add or replace a VM."""
        self._vms[vm.name] = vm
        self._history.append((anyio.current_time(), list(self._vms.values())))

    def set_state(self, name: str, state: str) -> None:
        """Change the state of a VM."""
        self.put(msgspec.structs.replace(self._vms[name], state=state))

    def remove(self, name: str) -> None:
        """Remove a VM from the list."""
        del self._vms[name]
        self._history.append((anyio.current_time(), list(self._vms.values())))

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
        latest_time = anyio.current_time() - self.faults.get('lag_seconds')
        listed: list[objectstore.Vm] = []
        for time, vms in self._history:
            if time <= latest_time:
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
