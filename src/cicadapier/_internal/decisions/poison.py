"""Detection of poison: requests and prompt parts that crash each upstream that answers them.

The evidence comes from all routers. A part that is blamed for crashes is blocked on all of them, as
is a request that crashed two upstreams, until output shows that it is sound, an operator lifts the
block, or the evidence expires.
"""

import collections
import collections.abc
import dataclasses
import hashlib
import math

from cicadapier._internal.decisions import crash_causes
from cicadapier._internal.models import ids

CRASH_EVIDENCE_S = 600.0
MAX_CRASHES = 256  # The oldest that no blocked part explains are dropped first.
MAX_LOST_REQUESTS = 32  # In one crash.
MAX_PARTS = 16  # In the evidence against one request.
MAX_SOUND = 256
MAX_OUTPUTS = 16_384  # The parts and requests with the oldest output are forgotten first.
GOSSIP_S = 15.0  # Older evidence is sent to peers only if it counts against a blocked part.
GOSSIPED_PER_PART = 8
# A blocked part may be tried again by one request after this time, and at most the longer time,
# which doubles with each crash beyond the limit.
TRIAL_PAUSE_S = 30.0
MAX_TRIAL_PAUSE_S = 480.0
TRIAL_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """A request as the detector knows it.

    Attributes:
        fingerprint: Identity of the whole request.
        parts: Shared parts of its prompt, in order.
    """

    fingerprint: ids.Fingerprint
    parts: tuple[ids.PartId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Evidence against a request that had produced no output when its upstream crashed.

    Attributes:
        fingerprint: Identity of the request.
        upstream: The upstream.
        incarnation: The incarnation that crashed.
        parts: Shared parts of the prompt, in order, at most `MAX_PARTS`.
        answering: Whether the answer had begun.
        ran_s: Time from sending the request until the crash was noticed.
    """

    fingerprint: ids.Fingerprint
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation
    parts: tuple[ids.PartId, ...] = ()
    answering: bool = False
    ran_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """A crash, as routers tell each other.

    Attributes:
        crash: The crash.
        age_s: Time since it was noticed.
    """

    crash: Crash
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SoundCause:
    """A part or request that has produced output since a crash, as routers tell each other.

    Attributes:
        cause: The part or the request.
        age_s: Time since the output.
    """

    cause: crash_causes.Cause
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """Why a request must not be run.

    Attributes:
        part: The part that crashes upstreams; None if the whole request is blocked.
        crashes: Number of crashes that the part explains.
        retry_after_s: Time until the part may be tried again.
    """

    part: ids.PartId | None = None
    crashes: int = 0
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class BlockChange:
    """A part was blocked, or is no longer blocked.

    Attributes:
        verdict: The verdict on the part.
        blocked: Whether it is blocked now.
    """

    verdict: crash_causes.Verdict
    blocked: bool


_CrashId = tuple[ids.UpstreamId, ids.Incarnation]


class PoisonDetector:
    """Keeps the evidence of all routers and derives from it what is blocked."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[_CrashId, crash_causes.CrashRecord] = (
            collections.OrderedDict()
        )
        self._outputs: collections.OrderedDict[crash_causes.Cause, float] = (
            collections.OrderedDict()
        )
        # Time of the last crash of each suspect, and the suspects that were sound afterwards.
        self._last_crashes: dict[crash_causes.Cause, float] = {}
        self._sound: collections.OrderedDict[crash_causes.Cause, float] = collections.OrderedDict()
        self._diagnosis = crash_causes.Diagnosis()
        self._is_outdated = False
        self._expires_at = math.inf  # No evidence expires before this time.
        self._reported: dict[ids.PartId, crash_causes.Verdict] = {}
        self._trials: dict[ids.PartId, float] = {}
        self._vm = ids.VmId("")
        self._routers: frozenset[ids.VmId] = frozenset()

    def __len__(self) -> int:
        return len(self._records)

    def set_routers(self, vm: ids.VmId, others: frozenset[ids.VmId]) -> None:
        """Sets this router and the others that it reaches; one of them tries a blocked part."""
        self._vm = vm
        self._routers = others

    def record_crash(self, evidence: Evidence, now: float) -> bool:
        """Records evidence from this router or a peer; returns whether it was new."""
        if not 0.0 <= evidence.age_s < CRASH_EVIDENCE_S:
            return False
        crash = evidence.crash
        crashed_at = now - evidence.age_s
        crash_id = (crash.upstream, crash.incarnation)
        record = self._records.setdefault(crash_id, crash_causes.CrashRecord(crashed_at))
        former = record.lost_requests.get(crash.fingerprint)
        is_full = former is None and len(record.lost_requests) >= MAX_LOST_REQUESTS
        if is_full or (former and (former.answering or not crash.answering)):
            return False
        record.at = min(record.at, crashed_at)
        self._expires_at = min(self._expires_at, record.at + CRASH_EVIDENCE_S)
        record.lost_requests[crash.fingerprint] = crash_causes.LostRequest(
            crash.fingerprint, crash.parts[:MAX_PARTS], crash.answering, crashed_at - crash.ran_s
        )
        causes: tuple[crash_causes.Cause, ...] = (crash.fingerprint, *crash.parts[:MAX_PARTS])
        for cause in causes:
            self._last_crashes[cause] = max(record.at, self._last_crashes.get(cause, -math.inf))
        self._is_outdated = True
        self._drop_oldest(now)
        return True

    def record_output(self, subject: Subject, now: float) -> None:
        """Records that a request produced output."""
        if subject.fingerprint in self._last_crashes:
            self._record_sound(subject.fingerprint, now)
        for part in subject.parts:
            self._record_sound(part, now)

    def record_sound(self, sound: SoundCause, now: float) -> None:
        """Records the output that a peer reports."""
        if 0.0 <= sound.age_s < CRASH_EVIDENCE_S:
            self._record_sound(sound.cause, now - sound.age_s)

    def choose_parts(self, parts: tuple[ids.PartId, ...]) -> tuple[ids.PartId, ...]:
        """Returns the parts of a prompt that evidence names, at most `MAX_PARTS`, in order.

        Of more, those whose last output is longest ago are chosen, if any; the first ones of them
        are in most requests.
        """
        if len(parts) <= MAX_PARTS:
            return parts
        by_output = sorted(parts, key=lambda part: self._outputs.get(part, -math.inf))
        chosen = set(by_output[:MAX_PARTS])
        return tuple(part for part in parts if part in chosen)

    def is_suspect(self, fingerprint: ids.Fingerprint, now: float) -> bool:
        """Returns whether a request may have crashed an upstream recently."""
        return self._diagnose(now).requests.get(fingerprint, 0.0) > 0

    def find_block(self, subject: Subject, now: float) -> Block | None:
        """Returns why a request must not be run, or None if it may run."""
        if not self._records:
            return None
        diagnosis = self._diagnose(now)
        for part in subject.parts:
            verdict = diagnosis.parts.get(part)
            if verdict is not None:
                retry_after_s = max(0.0, _next_trial_at(verdict) - now)
                return Block(part, verdict.crashes, retry_after_s)
        if diagnosis.requests.get(subject.fingerprint, 0.0) >= crash_causes.REQUEST_LIMIT:
            return Block()
        return None

    def begin_trial(self, block: Block, now: float) -> bool:
        """Returns whether a request with a blocked part may run after all, to try the part.

        One of the routers that reach each other tries a part, with one request at a time.
        """
        verdict = self._diagnose(now).parts.get(block.part) if block.part else None
        if verdict is None or now < _next_trial_at(verdict):
            return False
        if now < self._trials.get(verdict.part, -math.inf) or not self._owns(verdict.part):
            return False
        self._trials[verdict.part] = now + TRIAL_TIMEOUT_S
        return True

    def lift(self, part: ids.PartId, now: float) -> bool:
        """Lifts the block of a part, as an operator asks; returns whether it was blocked.

        The crashes count against no other part of the same requests either.
        """
        if part not in self._diagnose(now).parts:
            return False
        for record in self._records.values():
            for lost in record.lost_requests.values():
                if part in lost.parts:
                    self.record_output(Subject(lost.fingerprint, lost.parts), now)
        return True

    def verdicts(self, now: float) -> list[crash_causes.Verdict]:
        """Returns the verdicts on the blocked parts."""
        return list(self._diagnose(now).parts.values())

    def take_changes(self, now: float) -> list[BlockChange]:
        """Returns which parts were blocked or freed since the last call."""
        if not self._records and not self._reported:
            return []
        current = self._diagnose(now).parts
        changes = [
            BlockChange(verdict, False)
            for part, verdict in self._reported.items()
            if part not in current
        ]
        changes.extend(
            BlockChange(verdict, True)
            for part, verdict in current.items()
            if part not in self._reported
        )
        self._reported = dict(current)
        self._trials = {part: until for part, until in self._trials.items() if part in current}
        return changes

    def recent_evidence(self, limit: int, now: float) -> list[Evidence]:
        """Returns at most `limit` pieces of evidence, first those against blocked parts."""
        blocked = self._diagnose(now).parts
        counts: collections.Counter[ids.PartId] = collections.Counter()
        lasting: list[Evidence] = []
        recent: list[Evidence] = []
        for crash_id in reversed(self._records):
            record = self._records[crash_id]
            for lost in record.suspects:
                evidence = _to_evidence(crash_id, record, lost, now)
                blamed = [part for part in lost.parts if part in blocked]
                if any(counts[part] < GOSSIPED_PER_PART for part in blamed):
                    counts.update(blamed)
                    lasting.append(evidence)
                elif evidence.age_s < GOSSIP_S:
                    recent.append(evidence)
        return [*lasting, *recent][:limit]

    def recent_sound(self, limit: int, now: float) -> list[SoundCause]:
        """Returns at most `limit` causes that were suspects and have produced output since."""
        newest = [(cause, at) for cause, at in reversed(self._sound.items()) if now - at < GOSSIP_S]
        return [SoundCause(cause, now - at) for cause, at in newest[:limit]]

    def _record_sound(self, cause: crash_causes.Cause, at: float) -> None:
        former = self._outputs.get(cause, -math.inf)
        if at <= former:
            return
        self._outputs[cause] = at
        self._outputs.move_to_end(cause)
        if len(self._outputs) > MAX_OUTPUTS:
            self._outputs.popitem(last=False)
        if former >= self._last_crashes.get(cause, -math.inf):
            return
        self._is_outdated = True
        self._sound[cause] = at
        self._sound.move_to_end(cause)
        if len(self._sound) > MAX_SOUND:
            self._sound.popitem(last=False)

    def _diagnose(self, now: float) -> crash_causes.Diagnosis:
        if self._records and self._drop_expired(now):
            self._is_outdated = True
        if self._is_outdated:
            self._diagnosis = crash_causes.diagnose(self._records.values(), self._outputs)
            self._is_outdated = False
        return self._diagnosis

    def _drop_expired(self, now: float) -> bool:
        if now < self._expires_at:
            return False
        expired = [k for k, r in self._records.items() if r.at <= now - CRASH_EVIDENCE_S]
        for crash_id in expired:
            del self._records[crash_id]
        self._forget_causes()
        oldest = min((record.at for record in self._records.values()), default=math.inf)
        self._expires_at = oldest + CRASH_EVIDENCE_S
        return True

    def _drop_oldest(self, now: float) -> None:
        if len(self._records) <= MAX_CRASHES:
            return
        blocked = self._diagnose(now).parts.keys()
        for crash_id, record in self._records.items():
            if not any(blocked & set(lost.parts) for lost in record.suspects):
                del self._records[crash_id]
                break
        else:
            self._records.popitem(last=False)
        self._forget_causes()
        self._is_outdated = True

    def _forget_causes(self) -> None:
        """Forgets the suspects of dropped crashes."""
        kept = {
            cause
            for record in self._records.values()
            for lost in record.lost_requests.values()
            for cause in (lost.fingerprint, *lost.parts)
        }
        self._last_crashes = {c: at for c, at in self._last_crashes.items() if c in kept}

    def _owns(self, part: ids.PartId) -> bool:
        """Returns whether this router comes first for a part by rendezvous hashing."""
        return max({self._vm, *self._routers}, key=lambda vm: _rank(vm, part)) == self._vm


def _next_trial_at(verdict: crash_causes.Verdict) -> float:
    doublings = max(0, int(verdict.score - crash_causes.PART_LIMIT))
    pause_s = min(MAX_TRIAL_PAUSE_S, TRIAL_PAUSE_S * 2.0 ** min(doublings, 10))
    return verdict.last_crash_at + pause_s


def _to_evidence(
    crash_id: _CrashId,
    record: crash_causes.CrashRecord,
    lost: crash_causes.LostRequest,
    now: float,
) -> Evidence:
    upstream, incarnation = crash_id
    crash = Crash(
        lost.fingerprint,
        upstream,
        incarnation,
        lost.parts,
        lost.answering,
        record.at - lost.sent_at,
    )
    return Evidence(crash, now - record.at)


def _rank(vm: ids.VmId, part: ids.PartId) -> bytes:
    return hashlib.blake2b(f"{vm}/{part}".encode(), digest_size=8).digest()
