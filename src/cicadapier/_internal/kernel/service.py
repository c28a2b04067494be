"""Base class of services, and the kernel that runs them."""

import abc
import enum
from typing import Any
from typing import NewType

import structlog
import trio

from cicadapier._internal.kernel import exceptions
from cicadapier._internal.kernel import stop_times
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings

ServiceName = NewType("ServiceName", str)

_log = structlog.get_logger()


class ServiceState(enum.Enum):
    """Stage in the life cycle of a service."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPED = "stopped"


class Service(abc.ABC):
    """Long-running task that owns its sockets and its state.

    Attributes:
        name: Name under which other services find it.
        state: Current stage in its life cycle.
    """

    name: ServiceName
    state = ServiceState.STARTING

    @abc.abstractmethod
    async def run(self, kernel: "Kernel", task_status: "trio.TaskStatus[None]") -> None:
        """Runs until it is cancelled; calls `task_status.started()` once it can be used."""

    async def drain(self) -> None:
        """Finishes accepted work; called once on shutdown, in reverse order of start."""
        return

    def reload(self, cfg: settings.Settings) -> None:
        """Applies those of the changed settings that may change at run time."""
        return

    @property
    def listen_address(self) -> ids.Address | None:
        """Address that it listens on, or None if it does not listen."""
        return None


class Kernel:
    """Starts services in order, finds them by name and stops them in reverse order.

    It holds the settings in force: what may change at run time is asked of it, or taken over by
    `Service.reload`.

    Attributes:
        settings: Settings in force.
        stop_times: Until when the process may run.
        started: Set once every service has started.
    """

    def __init__(self, cfg: settings.Settings) -> None:
        self._services: dict[ServiceName, Service] = {}
        self._stop = trio.Event()
        self._drain_scope = trio.CancelScope()
        self.settings = cfg
        self.stop_times = stop_times.StopTimes(cfg.stop_limit_s)
        self.started = trio.Event()

    def register(self, service: Service) -> None:
        """Adds a service; services start in the order of their registration."""
        self._services[service.name] = service

    def find(self, name: ServiceName) -> Any:
        """Returns a service by its name.

        Raises:
            UnknownServiceError: No service has this name.
        """
        try:
            return self._services[name]
        except KeyError as exc:
            raise exceptions.UnknownServiceError(f"no service named {name!r}") from exc

    def reload(self, cfg: settings.Settings) -> None:
        """Takes over changed settings and passes them to all services."""
        self.settings = cfg
        self.stop_times.set_limit(cfg.stop_limit_s)
        self._drain_scope.deadline = self.stop_times.latest_end
        for service in self._services.values():
            service.reload(cfg)

    def listen_addresses(self) -> dict[str, ids.Address]:
        """Returns the address of each service that listens, by service name."""
        found: dict[str, ids.Address] = {}
        for name, service in self._services.items():
            if service.listen_address is not None:
                found[name] = service.listen_address
        return found

    def stop(self, asked_at: float | None = None) -> None:
        """Requests a graceful shutdown; further calls change nothing.

        Args:
            asked_at: Time of the stop signal, on trio's clock; now by default.
        """
        self.stop_times.stop(trio.current_time() if asked_at is None else asked_at)
        self._drain_scope.deadline = self.stop_times.latest_end
        self._stop.set()

    @property
    def is_stopping(self) -> bool:
        """Whether a graceful shutdown has been requested."""
        return self._stop.is_set()

    async def run(
        self,
        task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs all services until `stop` is called, then drains them until `stop_times` at most.

        Args:
            task_status: Signalled once every service has started.
        """
        async with trio.open_nursery() as nursery:
            for service in self._services.values():
                await nursery.start(self._run_service, service)
            task_status.started()
            self.started.set()
            await self._stop.wait()
            with self._drain_scope:
                for service in reversed(list(self._services.values())):
                    await service.drain()
            if self._drain_scope.cancelled_caught:
                _log.warning("drain_timeout", limit_s=self.settings.stop_limit_s)
            nursery.cancel_scope.cancel()

    async def _run_service(
        self, service: Service, task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED
    ) -> None:
        try:
            service.state = ServiceState.RUNNING
            await service.run(self, task_status)
        finally:
            service.state = ServiceState.STOPPED
