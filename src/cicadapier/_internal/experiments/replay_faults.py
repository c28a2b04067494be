"""Faults of a replay."""

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
    """Kinds of faults that a replay knows."""

    CRASH = "crash"
    RESTART_ROUTERS = "restart-routers"
    CUT_DOMAIN = "cut-domain"
    KEEP_LOST = "keep-lost"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayFault:
    """One fault.

    Attributes:
        at: Time in the trace, in seconds.
        kind: Its kind.
        target: Upstream or failure domain that it strikes.
        seconds: How long it lasts.
    """

    at: float
    kind: ReplayFaultKind
    target: str = ""
    seconds: float = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class _File:
    faults: list[ReplayFault]


class Cuts:
    """Failure domains that are cut off from all else."""

    def __init__(self) -> None:
        self._cut: set[str] = set()

    def add(self, domain: str) -> None:
        """Cuts off a failure domain."""
        self._cut.add(domain)

    def remove(self, domain: str) -> None:
        """Heals a cut."""
        self._cut.discard(domain)

    def parted(self, one: str, other: str) -> bool:
        """Returns whether two failure domains have lost each other."""
        return one != other and (one in self._cut or other in self._cut)


def read(path: str | os.PathLike[str]) -> tuple[ReplayFault, ...]:
    """Reads a file of faults (YAML).

    Raises:
        InvalidDocumentError: The file is not of the format.
    """
    raw = yaml.safe_load(pathlib.Path(path).read_text(encoding="utf-8"))
    return tuple(schema.convert(_File, raw).faults)


def strike(running: "replay.Replay", fault: ReplayFault) -> None:
    """Puts a fault in force and plans its end."""
    actions: dict[ReplayFaultKind, collections.abc.Callable[[], None]] = {
        ReplayFaultKind.CRASH: lambda: running.crash_engine(
            ids.UpstreamId(fault.target), fault.seconds
        ),
        ReplayFaultKind.RESTART_ROUTERS: lambda: _restart(running),
        ReplayFaultKind.CUT_DOMAIN: lambda: _cut(running, fault),
        ReplayFaultKind.KEEP_LOST: running.keep.clear,
    }
    actions[fault.kind]()


def _restart(running: "replay.Replay") -> None:
    for index in range(len(running.routers)):
        running.restart_router(index)


def _cut(running: "replay.Replay", fault: ReplayFault) -> None:
    running.cuts.add(fault.target)
    running.at(running.now + fault.seconds, lambda: running.cuts.remove(fault.target))
