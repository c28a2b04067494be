"""Which weights a request may begin on after newer ones have been named."""

import dataclasses
import enum
import math

from cicadapier._internal.models import ids

# Share of the bound after which nothing begins on older weights; the rest covers the time that
# the name took to get here and the request takes to get to the upstream.
_EXPIRY_SHARE = 0.8
# Share of the bound within which a request must begin, by the estimate of its wait.
_START_SHARE = 0.9


class VersionStatus(enum.Enum):
    """How weights compare with those that were named."""

    CURRENT = "current"
    OUTDATED = "outdated"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    version: int
    set_at: float


class TargetWeights:
    """Newest weights version that was named for each model."""

    def __init__(self, max_age_s: float) -> None:
        self._expires_after_s = max_age_s * _EXPIRY_SHARE
        self._start_within_s = max_age_s * _START_SHARE
        self._targets: dict[ids.ModelId, list[_Target]] = {}

    def set_target(self, model: ids.ModelId, version: int, now: float) -> bool:
        """Records a version; returns whether it is newer than all before."""
        known = self._targets.setdefault(model, [])
        if known and version <= known[-1].version:
            return False
        known.append(_Target(version, now))
        # Of the versions that have barred all before them, only the newest still matters.
        while len(known) > 1 and now - known[1].set_at >= self._expires_after_s:
            known.pop(0)
        return True

    def newest(self, model: ids.ModelId) -> int | None:
        """Returns the newest version of a model, None where none was named."""
        known = self._targets.get(model)
        return known[-1].version if known else None

    def status(
        self, model: ids.ModelId, version: str | None, now: float, wait_s: float = 0.0
    ) -> VersionStatus:
        """Returns how a version that an upstream serves compares; unknown counts as current.

        Args:
            model: The model.
            version: Weights version that the upstream serves.
            now: Present time.
            wait_s: Expected wait of a request there until it begins.
        """
        newer_at = self._newer_set_at(model, version)
        if newer_at is None:
            return VersionStatus.CURRENT
        age_s = now - newer_at
        expired = age_s >= self._expires_after_s or age_s + wait_s >= self._start_within_s
        return VersionStatus.EXPIRED if expired else VersionStatus.OUTDATED

    def remaining_s(self, model: ids.ModelId, version: str | None, now: float) -> float:
        """Returns for how long requests may begin on a version, infinite without a newer one."""
        newer_at = self._newer_set_at(model, version)
        if newer_at is None:
            return math.inf
        return self._expires_after_s - (now - newer_at)

    def start_deadline(self, model: ids.ModelId, version: str | None, now: float) -> float:
        """Returns until when a request that is sent now may begin on a version.

        Newer weights that are named while it waits leave it at least that long.
        """
        newer_at = self._newer_set_at(model, version)
        return (now if newer_at is None else newer_at) + self._start_within_s

    def _newer_set_at(self, model: ids.ModelId, version: str | None) -> float | None:
        """Returns when the first version newer than this one was named, None without any."""
        known = self._targets.get(model)
        if not known or version is None or not version.isdigit():
            return None
        newer = [target for target in known if target.version > int(version)]
        return newer[0].set_at if newer else None
