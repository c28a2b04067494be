"""Which weights a request may begin on after newer ones have been named."""

import dataclasses
import enum
import math

from cicadapier._internal.models import ids

# Share of the bound after which nothing begins on older weights; the rest covers the time that
# the name took to get here and the request takes to get to the upstream.
_BARRED_SHARE = 0.8
# Share of the bound within which a request must begin, by the estimate of its wait.
_BEGIN_SHARE = 0.9


class Standing(enum.Enum):
    """How weights compare with those that were named."""

    CURRENT = "current"
    OUTDATED = "outdated"
    BARRED = "barred"


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    version: int
    set_at: float


class TargetWeights:
    """Newest weights version that was named for each model."""

    def __init__(self, limit_s: float) -> None:
        self._barred_after_s = limit_s * _BARRED_SHARE
        self._begin_within_s = limit_s * _BEGIN_SHARE
        self._targets: dict[ids.ModelId, list[_Target]] = {}

    def set_target(self, model: ids.ModelId, version: int, now: float) -> bool:
        """Records a version; returns whether it is newer than all before."""
        known = self._targets.setdefault(model, [])
        if known and version <= known[-1].version:
            return False
        known.append(_Target(version, now))
        # Of the versions that have barred all before them, only the newest still matters.
        while len(known) > 1 and now - known[1].set_at >= self._barred_after_s:
            known.pop(0)
        return True

    def newest(self, model: ids.ModelId) -> int | None:
        """Returns the newest version of a model, None where none was named."""
        known = self._targets.get(model)
        return known[-1].version if known else None

    def standing(
        self, model: ids.ModelId, version: str | None, now: float, wait_s: float = 0.0
    ) -> Standing:
        """Returns how a version that an upstream serves compares; unknown counts as current.

        Args:
            model: The model.
            version: Weights version that the upstream serves.
            now: Present time.
            wait_s: Expected wait of a request there until it begins.
        """
        newer_at = self._newer_set_at(model, version)
        if newer_at is None:
            return Standing.CURRENT
        age_s = now - newer_at
        barred = age_s >= self._barred_after_s or age_s + wait_s >= self._begin_within_s
        return Standing.BARRED if barred else Standing.OUTDATED

    def time_left_s(self, model: ids.ModelId, version: str | None, now: float) -> float:
        """Returns for how long requests may begin on a version, infinite without a newer one."""
        newer_at = self._newer_set_at(model, version)
        if newer_at is None:
            return math.inf
        return self._barred_after_s - (now - newer_at)

    def begin_by(self, model: ids.ModelId, version: str | None, now: float) -> float:
        """Returns until when a request that is sent now may begin on a version.

        Newer weights that are named while it waits leave it at least that long.
        """
        newer_at = self._newer_set_at(model, version)
        return (now if newer_at is None else newer_at) + self._begin_within_s

    def _newer_set_at(self, model: ids.ModelId, version: str | None) -> float | None:
        """Returns when the first version newer than this one was named, None without any."""
        known = self._targets.get(model)
        if not known or version is None or not version.isdigit():
            return None
        newer = [target for target in known if target.version > int(version)]
        return newer[0].set_at if newer else None
