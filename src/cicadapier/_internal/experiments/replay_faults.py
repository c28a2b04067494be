"""Faults that are injected into a replay."""

import collections.abc
import dataclasses
import enum
import os
import pathlib
from typing import TYPE_CHECKING

import yaml

from cicadapier._internal.models import ids
from cicadapier._internal.models import schema

if TYPE_CHECKING:
    from cicadapier._internal.experiments import replay


class ReplayFaultKind(enum.Enum):
    """Kinds of faults that a replay can inject."""

    CRASH = "crash"
    RESTART_ROUTERS = "restart-routers"
    CUT_DOMAIN = "cut-domain"
    KEEP_LOST = "keep-lost"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayFault:
    """One fault.

    Attributes:
        at: Time from the start of the trace, in seconds.
        kind: Kind of the fault.
        target: Affected upstream or failure domain.
        seconds: Duration of the fault; not used by router restarts and loss of the keep.
    """

    at: float
    kind: ReplayFaultKind
    target: str = ""
    seconds: float = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class _FaultFile:
    """Content of a file of faults."""

    faults: list[ReplayFault]


class Partitions:
    """Failure domains that are isolated from all others by a network partition."""

    def __init__(self) -> None:
        self._isolated: set[str] = set()

    def isolate(self, domain: str) -> None:
        """Isolates a failure domain."""
        self._isolated.add(domain)

    def rejoin(self, domain: str) -> None:
        """Ends the isolation of a failure domain."""
        self._isolated.discard(domain)

    def separates(self, one: str, other: str) -> bool:
        """Returns whether two failure domains cannot reach each other."""
        return one != other and (one in self._isolated or other in self._isolated)


def read(path: str | os.PathLike[str]) -> tuple[ReplayFault, ...]:
    """Reads a file of faults (YAML).

    Raises:
        InvalidDocumentError: The content of the file does not match the format.
    """
    raw = yaml.safe_load(pathlib.Path(path).read_text(encoding="utf-8"))
    return tuple(schema.convert(_FaultFile, raw).faults)


def inject(active_replay: "replay.Replay", fault: ReplayFault) -> None:
    """Injects a fault into a replay and schedules its end."""
    actions: dict[ReplayFaultKind, collections.abc.Callable[[], None]] = {
        ReplayFaultKind.CRASH: lambda: active_replay.crash_engine(
            ids.UpstreamId(fault.target), fault.seconds
        ),
        ReplayFaultKind.RESTART_ROUTERS: lambda: _restart_routers(active_replay),
        ReplayFaultKind.CUT_DOMAIN: lambda: _isolate_domain(active_replay, fault),
        ReplayFaultKind.KEEP_LOST: active_replay.keep.clear,
    }
    actions[fault.kind]()


def _restart_routers(active_replay: "replay.Replay") -> None:
    for index in range(len(active_replay.routers)):
        active_replay.restart_router(index)


def _isolate_domain(active_replay: "replay.Replay", fault: ReplayFault) -> None:
    active_replay.partitions.isolate(fault.target)
    active_replay.schedule(
        active_replay.now + fault.seconds, lambda: active_replay.partitions.rejoin(fault.target)
    )
