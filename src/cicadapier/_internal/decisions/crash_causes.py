"""Finds the prompt parts and the requests that crash upstreams.

Load pattern: requests that are all different but share one prompt part crash one engine after the
other, while sound requests share their other parts, and engines crash for other reasons as well.

A part is blamed by counting the crashes that only it explains. An upstream crashes as it begins an
answer, so a request that had produced output before a crash is no suspect, and output on a part
shows that no earlier crash was due to it. Upstreams that fail together are one piece of evidence:
a crash counts only if its request was sent after the previous crash that counted.
"""

import collections
import collections.abc
import dataclasses
import math

from cicadapier._internal.models import ids

# Crashes, weighed as below, after which a part or a whole request is blocked.
PART_LIMIT = 3.0
REQUEST_LIMIT = 1.5
ANSWERING_WEIGHT = 1.0  # The answer of the request had begun without any output.
SILENT_WEIGHT = 0.75
REPEAT_FACTOR = 0.5  # A second crash of the same request may be due to that request alone.
# Two answers that had begun on different upstreams show different crashes after this time.
MIN_SPACING_S = 0.25
MAX_HANDICAP = 2.0

Cause = ids.PartId | ids.Fingerprint


@dataclasses.dataclass(frozen=True, slots=True)
class LostRequest:
    """A request that had produced no output when its upstream crashed.

    Attributes:
        fingerprint: Identity of the request.
        parts: Shared parts of its prompt, in order.
        answering: Whether its answer had begun.
        sent_at: Time at which it was sent.
    """

    fingerprint: ids.Fingerprint
    parts: tuple[ids.PartId, ...]
    answering: bool
    sent_at: float


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """A crash of one incarnation of an upstream.

    Attributes:
        at: Time at which a router noticed it first.
        lost_requests: The requests that had produced no output.
    """

    at: float
    lost_requests: dict[ids.Fingerprint, LostRequest] = dataclasses.field(default_factory=dict)

    @property
    def suspects(self) -> list[LostRequest]:
        """The lost requests that may have caused the crash.

        If an answer had begun without output, the upstream crashed while it wrote that answer.
        """
        found = list(self.lost_requests.values())
        return [lost for lost in found if lost.answering] or found


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A part that crashes upstreams.

    Attributes:
        part: The part.
        score: Weighed number of crashes that count.
        crashes: Number of crashes that it explains.
        last_crash_at: Time of the last of them.
        ruled_out: Number of other parts that were on the same upstreams at these crashes.
    """

    part: ids.PartId
    score: float
    crashes: int
    last_crash_at: float
    ruled_out: int


@dataclasses.dataclass(frozen=True, slots=True)
class Diagnosis:
    """Result of the evidence.

    Attributes:
        parts: Parts that crash upstreams.
        requests: Weighed number of crashes of each request, without those that a part explains.
    """

    parts: dict[ids.PartId, Verdict] = dataclasses.field(default_factory=dict)
    requests: dict[ids.Fingerprint, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Charge:
    """The crashes that one part may have caused.

    Attributes:
        records: The crashes, each with the suspects that have the part.
        depth: Latest position of the part in a prompt.
    """

    records: list[tuple[CrashRecord, list[LostRequest]]] = dataclasses.field(default_factory=list)
    depth: int = 0


def diagnose(
    records: collections.abc.Iterable[CrashRecord], outputs: collections.abc.Mapping[Cause, float]
) -> Diagnosis:
    """Returns the parts and requests that are blamed for crashes.

    The part that explains most is blamed first, and the crashes that it explains no longer count
    against any other part or request.

    Args:
        records: The known crashes.
        outputs: Time of the last output on each part and of each request.
    """
    unexplained = sorted(records, key=lambda record: record.at)
    diagnosis = Diagnosis()
    while (verdict := _strongest(unexplained, outputs)) is not None:
        diagnosis.parts[verdict.part] = verdict
        unexplained = [
            record for record in unexplained if not _may_explain(verdict.part, record, outputs)
        ]
    for record in unexplained:
        for lost in record.suspects:
            if outputs.get(lost.fingerprint, -math.inf) < record.at:
                weight = ANSWERING_WEIGHT if lost.answering else SILENT_WEIGHT
                former = diagnosis.requests.get(lost.fingerprint, 0.0)
                diagnosis.requests[lost.fingerprint] = former + weight
    return diagnosis


def _may_explain(
    part: ids.PartId, record: CrashRecord, outputs: collections.abc.Mapping[Cause, float]
) -> bool:
    if outputs.get(part, -math.inf) >= record.at:
        return False
    return any(part in lost.parts for lost in record.suspects)


def _strongest(
    records: list[CrashRecord], outputs: collections.abc.Mapping[Cause, float]
) -> Verdict | None:
    """Returns the verdict on the part with the highest score, or None if none reaches the limit.

    Of parts with the same score, the last one of a prompt is blamed: it is in fewer requests. So is
    a later one that explains all the same crashes with a lower score.
    """
    charges = _charges(records, outputs)
    best: tuple[float, int] = (-math.inf, 0)
    found: ids.PartId | None = None
    for part, charge in charges.items():
        score = _score(charge, outputs.get(part, -math.inf))
        if score >= PART_LIMIT and (score, charge.depth) > best:
            best, found = (score, charge.depth), part
    if found is None:
        return None
    found = _last_that_explains_all(found, charges, outputs)
    score = _score(charges[found], outputs.get(found, -math.inf))
    explained = [record for record, _ in charges[found].records]
    beside = {part for record in explained for c in record.suspects for part in c.parts}
    return Verdict(found, score, len(explained), explained[-1].at, len(beside) - 1)


def _last_that_explains_all(
    part: ids.PartId,
    charges: dict[ids.PartId, _Charge],
    outputs: collections.abc.Mapping[Cause, float],
) -> ids.PartId:
    """Returns the last part that follows a part in a prompt at each of its crashes, or the part.

    Other requests beside, which have only the earlier part, may have raised its score. A later part
    that was sound more recently takes no blame from an earlier one.
    """
    sound_at = outputs.get(part, -math.inf)
    followers = {other for other in charges if outputs.get(other, -math.inf) <= sound_at}
    for _, suspects in charges[part].records:
        followers &= {other for lost in suspects for other in _parts_after(part, lost)}
    explained = _records_of(charges[part])
    found = [other for other in followers if explained <= _records_of(charges[other])]
    return max(found, key=lambda other: (charges[other].depth, other), default=part)


def _records_of(charge: _Charge) -> set[int]:
    """Returns the identities of the crashes of a charge."""
    return {id(record) for record, _ in charge.records}


def _parts_after(part: ids.PartId, lost: LostRequest) -> tuple[ids.PartId, ...]:
    return lost.parts[lost.parts.index(part) + 1 :]


def _charges(
    records: list[CrashRecord], outputs: collections.abc.Mapping[Cause, float]
) -> dict[ids.PartId, _Charge]:
    charges: dict[ids.PartId, _Charge] = collections.defaultdict(_Charge)
    for record in records:
        by_part: dict[ids.PartId, list[LostRequest]] = collections.defaultdict(list)
        for lost in record.suspects:
            for depth, part in enumerate(lost.parts):
                by_part[part].append(lost)
                charges[part].depth = max(charges[part].depth, depth)
        for part, lost_requests in by_part.items():
            if outputs.get(part, -math.inf) < record.at:
                charges[part].records.append((record, lost_requests))
    return {part: charge for part, charge in charges.items() if charge.records}


def _score(charge: _Charge, last_output_at: float) -> float:
    """Returns the weighed number of crashes of a part that count, less its handicap."""
    score = 0.0
    last_at = -math.inf
    crashes_of: collections.Counter[ids.Fingerprint] = collections.Counter()
    for record, lost_requests in charge.records:
        independent = [c for c in lost_requests if _is_independent(c, record.at, last_at)]
        if not independent:
            continue
        lost = min(independent, key=lambda c: (crashes_of[c.fingerprint], not c.answering))
        weight = ANSWERING_WEIGHT if lost.answering else SILENT_WEIGHT
        repeats = crashes_of[lost.fingerprint]
        if repeats <= 1:
            score += weight * REPEAT_FACTOR**repeats
        crashes_of[lost.fingerprint] += 1
        last_at = record.at
    first_at = charge.records[0][0].at
    return score - _handicap(first_at - last_output_at)


def _is_independent(lost: LostRequest, crashed_at: float, last_at: float) -> bool:
    if lost.sent_at > last_at:
        return True
    return lost.answering and crashed_at - last_at >= MIN_SPACING_S


def _handicap(sound_ago_s: float) -> float:
    """Returns how many more crashes it takes to blame a part that was sound a while ago.

    A part may start to crash upstreams at any time, but hardly just before the first crash. Ten
    times as long ago counts one crash less.
    """
    if sound_ago_s == math.inf:
        return 0.0
    return min(MAX_HANDICAP, max(0.0, MAX_HANDICAP - math.log10(max(1.0, sound_ago_s))))
