"""Target weights versions, and how long requests may start on older ones.

Operators set a target version for each model. From then on, requests may start on an older version
only for a bounded time.
"""

import dataclasses
import enum
import math

from cicadapier._internal.decisions import weights_versions
from cicadapier._internal.models import ids

# Share of the maximum age within which a request must start on older weights, including its
# estimated wait. The rest covers the time until this router learned the target, the time for a
# request to reach the upstream, and an upstream that is silent for a second before it goes on.
_EXPIRY_SHARE = 0.8
# Share of the maximum age after which a request that has not started is given up.
_GIVE_UP_SHARE = 0.85


class VersionStatus(enum.Enum):
    """Status of a weights version relative to the target versions."""

    CURRENT = "current"
    OUTDATED = "outdated"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    version: int
    set_at: float


class TargetWeights:
    """Target weights versions of each model, with the times at which they were set."""

    def __init__(self, max_age_s: float) -> None:
        self._targets: dict[ids.ModelId, list[_Target]] = {}
        self.set_max_age(max_age_s)

    def set_max_age(self, max_age_s: float) -> None:
        """Sets the time after which no request starts on older weights, in seconds."""
        self._expires_after_s = max_age_s * _EXPIRY_SHARE
        self._give_up_after_s = max_age_s * _GIVE_UP_SHARE

    def set_target(self, model: ids.ModelId, version: int, now: float) -> bool:
        """Records a target version; returns whether it is newer than all earlier ones."""
        known = self._targets.setdefault(model, [])
        if known and version <= known[-1].version:
            return False
        known.append(_Target(version, now))
        # Of the targets that have made all older versions expire, only the newest is still needed.
        while len(known) > 1 and now - known[1].set_at >= self._expires_after_s:
            known.pop(0)
        return True

    def add_age(self, age_s: float) -> None:
        """Makes all targets older, by time that the clock of their times has not counted."""
        for model, known in self._targets.items():
            self._targets[model] = [_Target(item.version, item.set_at - age_s) for item in known]

    def newest(self, model: ids.ModelId) -> int | None:
        """Returns the newest target version of a model, or None if none was set."""
        known = self._targets.get(model)
        return known[-1].version if known else None

    def status(
        self, model: ids.ModelId, version: str | None, now: float, wait_s: float = 0.0
    ) -> VersionStatus:
        """Returns the status of a served version; an unknown version counts as current.

        Args:
            model: The model.
            version: Weights version that the upstream serves.
            now: Current time.
            wait_s: Estimated time until a request that is sent now starts there.
        """
        newer_at = self._newer_set_at(model, version)
        if newer_at is None:
            return VersionStatus.CURRENT
        expired = now - newer_at + wait_s >= self._expires_after_s
        return VersionStatus.EXPIRED if expired else VersionStatus.OUTDATED

    def remaining_s(self, model: ids.ModelId, version: str | None, now: float) -> float:
        """Returns how long requests may still start on a version; infinite without a newer one."""
        newer_at = self._newer_set_at(model, version)
        if newer_at is None:
            return math.inf
        return self._expires_after_s - (now - newer_at)

    def start_deadline(self, model: ids.ModelId, version: str | None, now: float) -> float:
        """Returns the time by which a request that is sent now has to start on a version.

        A newer target that is set while the request waits does not make this deadline earlier.
        """
        newer_at = self._newer_set_at(model, version)
        return (now if newer_at is None else newer_at) + self._give_up_after_s

    def _newer_set_at(self, model: ids.ModelId, version: str | None) -> float | None:
        """Returns when the first target newer than this version was set, or None."""
        known = self._targets.get(model)
        number = weights_versions.number_of(version)
        if not known or number is None:
            return None
        newer = [target for target in known if target.version > number]
        return newer[0].set_at if newer else None
