"""Faults that can be injected into the stand-ins."""

import dataclasses
import enum
import math
import re

import trio


class FaultKind(enum.Enum):
    """Kinds of faults; `KIND_HELP` describes each."""

    CRASH = "crash"
    PAUSE = "pause"
    DRIBBLE = "dribble"
    SLOW = "slow"
    SILENT = "silent"
    EVENTS_LATE = "events-late"
    EVENTS_LOST = "events-lost"
    LOAD_LAG = "load-lag"
    CROSSED = "crossed"
    LATE = "late"
    LEAVING = "leaving"
    PLATFORM_OUTAGE = "platform-outage"
    PLATFORM_SLOW = "platform-slow"
    PLATFORM_ANSWER_LOST = "platform-answer-lost"
    PARTITION = "partition"
    LINKS_HANG = "links-hang"
    LINKS_RESET = "links-reset"
    LINKS_REFUSED = "links-refused"
    POISON = "poison"


KIND_HELP = {
    FaultKind.CRASH: "upstream TARGET crashes and restarts with empty state",
    FaultKind.PAUSE: "upstream TARGET stops making progress",
    FaultKind.DRIBBLE: "streams of TARGET send a byte now and then, but no token",
    FaultKind.SLOW: "upstream TARGET runs at 1/amount of its speed (default 10)",
    FaultKind.SILENT: "open connections to TARGET become silent; new ones work",
    FaultKind.EVENTS_LATE: "cache events of TARGET are amount seconds late (default 10)",
    FaultKind.EVENTS_LOST: "the share amount of the cache events of TARGET is lost (default 0.5)",
    FaultKind.LOAD_LAG: "load reports of TARGET are amount seconds old (default 5)",
    FaultKind.CROSSED: "TARGET sends the answer to another request",
    FaultKind.LATE: "TARGET answers amount seconds late (default 5)",
    FaultKind.LEAVING: "upstream TARGET is being withdrawn",
    FaultKind.PLATFORM_OUTAGE: "the platform does not answer",
    FaultKind.PLATFORM_SLOW: "the platform answers amount seconds late (default 1)",
    FaultKind.PLATFORM_ANSWER_LOST: "writes take effect and their answers are lost",
    FaultKind.PARTITION: "A|B: failure domains, or one of them and 'platform', are partitioned",
    FaultKind.LINKS_HANG: "router TARGET, or A|B: router A and upstream B, exchange nothing",
    FaultKind.LINKS_RESET: "router TARGET's connections to upstreams, or A|B, break; no new ones",
    FaultKind.LINKS_REFUSED: "router TARGET's new connections to upstreams, or A|B, are refused",
    FaultKind.POISON: "a prompt that contains TARGET crashes every engine that runs it",
}

DEFAULT_AMOUNTS = {
    FaultKind.SLOW: 10.0,
    FaultKind.EVENTS_LATE: 10.0,
    FaultKind.EVENTS_LOST: 0.5,
    FaultKind.LOAD_LAG: 5.0,
    FaultKind.LATE: 5.0,
    FaultKind.PLATFORM_SLOW: 1.0,
}

ANY = "*"
_SEPARATORS = re.compile(r"[|,:/\s]+")


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """An injected fault.

    Attributes:
        kind: Kind of the fault.
        target: Affected upstream, failure domains or prompt text, depending on the kind; `*`
            for all.
        until: Time on trio's clock at which it ends.
        amount: Strength, in the unit of the kind.
    """

    kind: FaultKind
    target: str
    until: float
    amount: float


class ActiveFaults:
    """The faults in force.

    It also records when connections were silenced, because they stay silent after the fault ends.
    """

    def __init__(self) -> None:
        self._faults: list[Fault] = []
        self._silenced_at: dict[str, float] = {}

    def add(
        self,
        kind: FaultKind,
        target: str = ANY,
        seconds: float = math.inf,
        amount: float | None = None,
    ) -> Fault:
        """Injects a fault.

        Args:
            kind: Kind of the fault.
            target: Affected target; `*` for all.
            seconds: Duration.
            amount: Strength; None for the default of the kind.
        """
        now = trio.current_time()
        strength = DEFAULT_AMOUNTS.get(kind, 1.0) if amount is None else amount
        fault = Fault(kind, target or ANY, now + seconds, strength)
        self._faults.append(fault)
        if kind is FaultKind.SILENT:
            self._silenced_at[fault.target] = now
        return fault

    def clear(self, kind: FaultKind | None = None, target: str = ANY) -> None:
        """Ends the faults of a kind and of a target; without arguments, ends all faults.

        Connections that are silenced stay silent.
        """
        self._faults = [
            fault
            for fault in self._faults
            if (kind and fault.kind is not kind) or target not in (ANY, fault.target)
        ]

    def active(self) -> list[Fault]:
        """Returns the faults in force."""
        now = trio.current_time()
        self._faults = [fault for fault in self._faults if fault.until > now]
        return list(self._faults)

    def find(self, kind: FaultKind, target: str = ANY) -> Fault | None:
        """Returns the newest fault of a kind that affects a target, or None."""
        matches = [f for f in self.active() if f.kind is kind and f.target in (ANY, target)]
        return matches[-1] if matches else None

    def amount(self, kind: FaultKind, target: str, default: float) -> float:
        """Returns the strength of a fault, or the default if no such fault is in force."""
        fault = self.find(kind, target)
        return fault.amount if fault else default

    def is_poison_prompt(self, text: str) -> bool:
        """Returns whether a prompt crashes the engines that run it."""
        return any(f.kind is FaultKind.POISON and f.target in text for f in self.active())

    def is_partitioned(self, domain: str, other_domain: str) -> bool:
        """Returns whether two failure domains, or one of them and the platform, are partitioned.

        A partition fault that names one failure domain cuts it off from all others.
        """
        if domain == other_domain:
            return False
        for fault in self.active():
            if fault.kind is FaultKind.PARTITION:
                partitioned = set(_SEPARATORS.split(fault.target.strip()))
                if {domain, other_domain} <= partitioned or (
                    len(partitioned) == 1 and (domain in partitioned or other_domain in partitioned)
                ):
                    return True
        return False

    def is_silenced(self, target: str, opened_at: float) -> bool:
        """Returns whether a connection to a target is permanently silent.

        Args:
            target: Name of the upstream.
            opened_at: Time at which the connection was opened. Only connections that were open
                when the fault was injected are silent; newer ones work.
        """
        silenced_at = max(
            self._silenced_at.get(target, -math.inf), self._silenced_at.get(ANY, -math.inf)
        )
        return opened_at <= silenced_at
