"""A process that runs the stand-ins of a settings file."""

import collections.abc

import anyio
import anyio.abc

from swiftjunction import objectstore
from swiftjunction.standins import _engine_app
from swiftjunction.standins import _faults
from swiftjunction.standins import _hosting
from swiftjunction.standins import _objects
from swiftjunction.standins import _schedule
from swiftjunction.standins import _service
from swiftjunction.standins import _settings
from swiftjunction.standins import _vms
from swiftjunction.standins import _weights
from swiftjunction import web


class StandinDaemon:
    """Serves some or all stand-ins of a deployment in one process.

    Parameters
    ----------
    settings : StandinSettings
        Describes all stand-ins of the deployment.
    only : set of str
        Names of the stand-ins to run: ``objects``, ``vms``, ``weights`` or
        the name of an engine or a server. If empty, all of them run.
    schedule : FaultSchedule
        Faults to inject, each at its time.
    """

    def __init__(
        self,
        settings: _settings.StandinSettings,
        only: set[str],
        schedule: _schedule.FaultSchedule,
    ) -> None:
        self._settings = settings
        self._only = only
        self._schedule = schedule
        self._faults: dict[str, _faults.FaultSwitches] = {}
        self._stop_requested = anyio.Event()
        self._weights = web.create_client(
            f'http://{settings.ip}:{settings.weights_port}'
        )

    def stop(self) -> None:
        """Request the end of :meth:`run`."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Serve until :meth:`stop` is called."""
        async with anyio.create_task_group() as tasks:
            self._start_platform_services(tasks)
            for engine in self._settings.engines:
                self._start_engine(tasks, engine)
            for server in self._settings.services:
                if self._is_selected(server.name):
                    self._serve(
                        tasks,
                        server.name,
                        server.port,
                        _service.ServiceStandin(server.name),
                    )
            tasks.start_soon(
                _schedule.run_schedule, self._schedule, self._faults
            )
            await self._stop_requested.wait()
            tasks.cancel_scope.cancel()

    def _is_selected(self, name: str) -> bool:
        return not self._only or name in self._only

    def _start_platform_services(self, tasks: anyio.abc.TaskGroup) -> None:
        settings = self._settings
        if self._is_selected('objects'):
            objects = _objects.ObjectStoreStandin()
            self._serve(tasks, 'objects', settings.objects_port, objects)
        if self._is_selected('weights'):
            weights = _weights.WeightStoreStandin()
            self._serve(tasks, 'weights', settings.weights_port, weights)
        if self._is_selected('vms'):
            vms = _vms.VmListStandin()
            for vm in self._list_vms():
                vms.put(vm)
            self._serve(tasks, 'vms', settings.vms_port, vms)

    def _start_engine(
        self,
        tasks: anyio.abc.TaskGroup,
        settings: _settings.EngineStandinSettings,
    ) -> None:
        if not self._is_selected(settings.name):
            return
        engine = _engine_app.EngineStandin(
            settings.name,
            settings.model,
            self._weights,
            checks_fencing=settings.checks_fencing,
        )
        self._serve(tasks, settings.name, settings.port, engine)
        tasks.start_soon(engine.run)

    def _serve(
        self,
        tasks: anyio.abc.TaskGroup,
        name: str,
        port: int,
        standin: _hosting.Standin,
    ) -> None:
        listener = web.open_listener(self._settings.ip, port)
        self._faults[name] = standin.faults
        tasks.start_soon(_hosting.serve, listener, standin)

    def _list_vms(self) -> collections.abc.Iterator[objectstore.Vm]:
        settings = self._settings
        yield from settings.vms
        for engine in settings.engines:
            yield objectstore.Vm(
                engine.name,
                f'{settings.ip}:{engine.port}',
                engine.model,
                engine.data_center,
                settings.region,
            )
        for server in settings.services:
            yield objectstore.Vm(
                server.name,
                f'{settings.ip}:{server.port}',
                server.service,
                server.data_center,
                settings.region,
            )
