"""Base class of services, and the kernel that runs them."""

import abc
import enum
from typing import Any
from typing import NewType

import structlog
import trio

from cicadapier._internal.kernel import exceptions
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

    Attributes:
        started: Set once every service has started.
    """

    def __init__(self) -> None:
        self._services: dict[ServiceName, Service] = {}
        self._stop = trio.Event()
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
        """Passes changed settings to all services."""
        for service in self._services.values():
            service.reload(cfg)

    def listen_addresses(self) -> dict[str, ids.Address]:
        """Returns the address of each service that listens, by service name."""
        found: dict[str, ids.Address] = {}
        for name, service in self._services.items():
            if service.listen_address is not None:
                found[name] = service.listen_address
        return found

    def stop(self) -> None:
        """Requests a graceful shutdown."""
        self._stop.set()

    @property
    def is_stopping(self) -> bool:
        """Whether a graceful shutdown has been requested."""
        return self._stop.is_set()

    async def run(
        self,
        drain_s: float,
        task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs all services until `stop` is called, then drains them.

        Args:
            drain_s: Maximum time for draining all services together, in seconds.
            task_status: Signalled once every service has started.
        """
        async with trio.open_nursery() as nursery:
            for service in self._services.values():
                await nursery.start(self._run_service, service)
            task_status.started()
            self.started.set()
            await self._stop.wait()
            with trio.move_on_after(drain_s) as scope:
                for service in reversed(list(self._services.values())):
                    await service.drain()
            if scope.cancelled_caught:
                _log.warning("drain_timeout", drain_s=drain_s)
            nursery.cancel_scope.cancel()

    async def _run_service(
        self, service: Service, task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED
    ) -> None:
        try:
            service.state = ServiceState.RUNNING
            await service.run(self, task_status)
        finally:
            service.state = ServiceState.STOPPED
