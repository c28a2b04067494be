"""Detection of poison requests, which crash each upstream that runs them.

A request that was running on an upstream when it crashed is a suspect. A suspect of two crashes is
blocked on all routers. A suspect that completes is cleared.
"""

import collections
import dataclasses

from cicadapier._internal.models import ids

CRASHES_TO_BLOCK = 2
CRASH_EVIDENCE_S = 600.0
MAX_SUSPECTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Evidence against a request: a crash of an upstream's incarnation that was running it."""

    fingerprint: ids.Fingerprint
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation


class PoisonDetector:
    """Counts the crashes of upstreams for each suspect."""

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[ids.Fingerprint, dict[Crash, float]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._crashes)

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Records evidence from this router or a peer; returns whether it was new."""
        evidence = self._crashes.setdefault(crash.fingerprint, {})
        self._crashes.move_to_end(crash.fingerprint)
        known = crash in evidence
        evidence.setdefault(crash, now)
        while len(self._crashes) > MAX_SUSPECTS:
            self._crashes.popitem(last=False)
        return not known

    def clear(self, fingerprint: ids.Fingerprint) -> bool:
        """Drops the evidence against a request that completed; returns whether there was any."""
        return self._crashes.pop(fingerprint, None) is not None

    def is_suspect(self, fingerprint: ids.Fingerprint, now: float) -> bool:
        """Returns whether a request was running on an upstream that crashed recently."""
        return self._count(fingerprint, now) > 0

    def is_blocked(self, fingerprint: ids.Fingerprint, now: float) -> bool:
        """Returns whether a request must not be run."""
        return self._count(fingerprint, now) >= CRASHES_TO_BLOCK

    def recent_crashes(self, limit: int, now: float) -> list[Crash]:
        """Returns at most `limit` crashes, those of the latest suspects first."""
        newest: list[Crash] = []
        for fingerprint in reversed(self._crashes):
            self._expire(fingerprint, now)
            newest.extend(self._crashes[fingerprint])
            if len(newest) >= limit:
                break
        return newest[:limit]

    def _count(self, fingerprint: ids.Fingerprint, now: float) -> int:
        if fingerprint not in self._crashes:
            return 0
        self._expire(fingerprint, now)
        return len(self._crashes[fingerprint])

    def _expire(self, fingerprint: ids.Fingerprint, now: float) -> None:
        evidence = self._crashes[fingerprint]
        for crash in [c for c, at in evidence.items() if at < now - CRASH_EVIDENCE_S]:
            del evidence[crash]
