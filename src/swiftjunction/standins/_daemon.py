"""Runs some or all stand-ins of a file in one process."""

import collections.abc

import anyio
import anyio.abc

from swiftjunction import objectstore
from swiftjunction.standins import _engine_app
from swiftjunction.standins import _faults
from swiftjunction.standins import _hosting
from swiftjunction.standins import _objects
from swiftjunction.standins import _plan
from swiftjunction.standins import _schedule
from swiftjunction.standins import _service
from swiftjunction.standins import _vms
from swiftjunction.standins import _weights
from swiftjunction import web


class StandinDaemon:
    """Stand-ins as one process.

    Parameters
    ----------
    plan : StandinPlan
        All stand-ins.
    only : set of str
        Names to run: ``objects``, ``vms``, ``weights``, or of an engine or a
        server; all where it is empty.
    schedule : FaultSchedule
        Faults to switch at set times.
    """

    def __init__(
        self,
        plan: _plan.StandinPlan,
        only: set[str],
        schedule: _schedule.FaultSchedule,
    ) -> None:
        self._plan = plan
        self._only = only
        self._schedule = schedule
        self._faults: dict[str, _faults.FaultSwitches] = {}
        self._stopping = anyio.Event()
        self._weights = web.create_client(
            f'http://{plan.ip}:{plan.weights_port}'
        )

    def stop(self) -> None:
        """Stop serving."""
        self._stopping.set()

    async def run(self) -> None:
        """Serve until stopped."""
        async with anyio.create_task_group() as tasks:
            self._start_platform(tasks)
            for engine in self._plan.engines:
                self._start_engine(tasks, engine)
            for server in self._plan.services:
                if self._runs(server.name):
                    self._serve(
                        tasks,
                        server.name,
                        server.port,
                        _service.ServiceStandin(server.name),
                    )
            tasks.start_soon(
                _schedule.run_schedule, self._schedule, self._faults
            )
            await self._stopping.wait()
            tasks.cancel_scope.cancel()

    def _runs(self, name: str) -> bool:
        return not self._only or name in self._only

    def _start_platform(self, tasks: anyio.abc.TaskGroup) -> None:
        plan = self._plan
        if self._runs('objects'):
            objects = _objects.ObjectStoreStandin()
            self._serve(tasks, 'objects', plan.objects_port, objects)
        if self._runs('weights'):
            weights = _weights.WeightStoreStandin()
            self._serve(tasks, 'weights', plan.weights_port, weights)
        if self._runs('vms'):
            vms = _vms.VmListStandin()
            for vm in self._list_vms():
                vms.put(vm)
            self._serve(tasks, 'vms', plan.vms_port, vms)

    def _start_engine(
        self, tasks: anyio.abc.TaskGroup, plan: _plan.EnginePlan
    ) -> None:
        if not self._runs(plan.name):
            return
        engine = _engine_app.EngineStandin(
            plan.name,
            plan.model,
            self._weights,
            checks_fencing=plan.checks_fencing,
        )
        self._serve(tasks, plan.name, plan.port, engine)
        tasks.start_soon(engine.run)

    def _serve(
        self,
        tasks: anyio.abc.TaskGroup,
        name: str,
        port: int,
        standin: _hosting.Standin,
    ) -> None:
        listener = web.open_listener(self._plan.ip, port)
        self._faults[name] = standin.faults
        tasks.start_soon(_hosting.host, listener, standin)

    def _list_vms(self) -> collections.abc.Iterator[objectstore.Vm]:
        plan = self._plan
        yield from plan.vms
        for engine in plan.engines:
            yield objectstore.Vm(
                engine.name,
                f'{plan.ip}:{engine.port}',
                engine.model,
                engine.data_center,
                plan.region,
            )
        for server in plan.services:
            yield objectstore.Vm(
                server.name,
                f'{plan.ip}:{server.port}',
                server.service,
                server.data_center,
                plan.region,
            )
