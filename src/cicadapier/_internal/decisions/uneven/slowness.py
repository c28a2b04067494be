"""How long work takes at each upstream of a pool at present, from what their answers state.

Load pattern: upstreams share their machines with others. Some machines are slower than others for
long, any of them is much slower for a fraction of a second, and which ones changes. A router learns
of an upstream only through answers to its own requests, in a large fleet once in many seconds. The
last figure therefore counts for a moment only; what is kept is an average, which drifts to the
usual of the pool without news, so that an upstream that was slow is tried again.

Slownesses are ratios to the usual speed of a machine: 1.0 as usual, 2.0 twice as long. They are
averaged by their logarithms, so that half and twice the usual cancel out.
"""

import dataclasses
import hashlib
import math
import statistics

from cicadapier._internal.models import ids

SMOOTHING_S = 3.0  # Time in which news replaces an average but for 1/e.
MIN_NEWS_WEIGHT = 0.2
MAX_NEWS_WEIGHT = 0.5  # A single figure may be that of a moment.
MOMENT_S = 0.25  # Time in which the difference of the last figure from the average falls to 1/e.
MAX_REQUESTS = 1_000_000  # More requests at one upstream cannot be true.
MAX_TOLD_AGE_S = 1.0  # Older news is not told to other routers.
MAX_NEWS_AGE_S = 2.0  # Older news of other routers is ignored.
MIN_NEWS_INTERVAL_S = 0.05  # News of other routers that is newer by less is a repeat.
FADING_S = 10.0  # Time in which the difference from the pool's usual falls to 1/e without news.
# A fast upstream may get this multiple of its share of the prompts by speed. At an equal share of
# the time, requests wait longer at the slow ones, so more than the share by speed is right.
FAST_SHARE = 2.0
MIN_SLOWNESS = 1 / 16
MAX_SLOWNESS = 16.0
# Relative slowness in steps of half an octave. Routers hear different figures at different times;
# rounded ones differ seldom, so that routers still agree on the upstream for a prompt.
_STEPS_PER_OCTAVE = 2
_FIRST_STEP = 2  # Smaller differences count as none.


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """How long work takes at an upstream, as it has told one router.

    Attributes:
        slowness: The slowness.
        age_s: Time since the answer that stated it.
        requests: Number of requests there that the answer stated; -1 if unknown.
    """

    slowness: float
    age_s: float
    requests: int = -1


def make_news(slowness: float, age_s: float, requests: int = -1) -> News | None:
    """Returns the news of another router, or None if there is none or it cannot be true."""
    if not 0 < slowness < math.inf or not 0 <= age_s <= MAX_NEWS_AGE_S:
        return None
    return News(slowness, age_s, requests if requests <= MAX_REQUESTS else -1)


@dataclasses.dataclass(slots=True)
class _Average:
    """Logarithm of a slowness, averaged, the last figure and its time."""

    log: float
    last_log: float
    at: float


class PoolSlowness:
    """Slowness of the upstreams of one pool, as one router knows it."""

    def __init__(self) -> None:
        self._averages: dict[ids.UpstreamId, _Average] = {}
        # Last figure that each upstream told this router, with its time in place of its age.
        self._own: dict[ids.UpstreamId, News] = {}
        self._usual_log: float | None = None  # None until it is needed again.

    @property
    def is_stated(self) -> bool:
        """Whether any upstream of the pool has stated its slowness."""
        return bool(self._averages)

    def observe(
        self, upstream: ids.UpstreamId, slowness: float, now: float, requests: int = -1
    ) -> None:
        """Records the slowness that an upstream states with an answer to this router.

        Args:
            upstream: The upstream.
            slowness: The slowness.
            now: Current time.
            requests: Number of requests there, for the peers; -1 if unknown.
        """
        self._own[upstream] = News(slowness, now, requests)
        self._add(upstream, slowness, now)

    def observe_peer(self, upstream: ids.UpstreamId, news: News, now: float) -> bool:
        """Records what an upstream has told another router, unless newer news is known.

        A message between routers may repeat what an earlier one said.

        Returns:
            Whether it was new.
        """
        average = self._averages.get(upstream)
        stated_at = now - news.age_s
        if average is not None and stated_at <= average.at + MIN_NEWS_INTERVAL_S:
            return False
        self._add(upstream, news.slowness, stated_at)
        return True

    def own_news(self, upstream: ids.UpstreamId, now: float) -> News | None:
        """Returns what an upstream has told this router, for its peers; None if it is too old."""
        own = self._own.get(upstream)
        age_s = max(0.0, now - own.age_s) if own else math.inf
        if own is None or age_s > MAX_TOLD_AGE_S:
            return None
        return News(own.slowness, age_s, own.requests)

    def _add(self, upstream: ids.UpstreamId, slowness: float, now: float) -> None:
        log = math.log(min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness)))
        average = self._averages.get(upstream)
        if average is None:
            self._averages[upstream] = _Average(log, log, now)
        else:
            age_s = max(0.0, now - average.at)
            weight = max(MIN_NEWS_WEIGHT, 1 - math.exp(-age_s / SMOOTHING_S))
            average.log += min(MAX_NEWS_WEIGHT, weight) * (log - average.log)
            average.last_log = log
            average.at = max(average.at, now)
        self._usual_log = None

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Discards what is known of an upstream, which has left or started again."""
        self._own.pop(upstream, None)
        if self._averages.pop(upstream, None):
            self._usual_log = None

    def usual(self) -> float:
        """Returns the median slowness of the upstreams; 1.0 if none was ever stated.

        A mean over all answers would count fast upstreams more often, as they answer more.
        """
        return math.exp(self._find_usual_log())

    def slowness(self, upstream: ids.UpstreamId, now: float) -> float:
        """Returns the estimated slowness of an upstream; 1.0 if none was ever stated."""
        return math.exp(self._find_usual_log() + self._faded_difference(upstream, now))

    def lasting(self, upstream: ids.UpstreamId, now: float) -> float:
        """Returns how many times as long as usual in the pool work takes, without the moment."""
        average = self._averages.get(upstream)
        if average is None:
            return 1.0
        fading = math.exp(-max(0.0, now - average.at) / FADING_S)
        return math.exp(fading * (average.log - self._find_usual_log()))

    def relative(self, upstream: ids.UpstreamId, now: float) -> float:
        """Returns how many times as long as usual in the pool work takes, in coarse steps."""
        steps = round(self._faded_difference(upstream, now) / math.log(2) * _STEPS_PER_OCTAVE)
        return 1.0 if abs(steps) < _FIRST_STEP else math.exp2(steps / _STEPS_PER_OCTAVE)

    def for_prompt(
        self, upstream: ids.UpstreamId, key: bytes, candidates: int, now: float
    ) -> float:
        """Returns the relative slowness of an upstream as it counts for one prompt.

        That an upstream is faster than usual counts for a part of all prompts only, which a hash
        selects: at most `FAST_SHARE` times its share by speed. Otherwise all routers would send it
        all new prompts. They select the same prompts, so they still agree on the upstream.

        Args:
            upstream: The upstream.
            key: Affinity key of the prompt.
            candidates: Number of upstreams of the pool.
            now: Current time.
        """
        relative = self.relative(upstream, now)
        if relative >= 1.0:
            return relative
        digest = hashlib.blake2b(b"speed" + key + upstream.encode(), digest_size=8).digest()
        fraction = int.from_bytes(digest, "big") / 256**8
        return relative if fraction * candidates < FAST_SHARE / relative - 1 else 1.0

    def least_relative(self) -> float:
        """Returns a lower bound of `relative` over all upstreams, at most 1.0."""
        if not self._averages:
            return 1.0
        least_log = min(min(a.log, a.last_log) for a in self._averages.values())
        rounding = 0.5 / _STEPS_PER_OCTAVE
        return min(1.0, math.exp(least_log - self._find_usual_log()) * math.exp2(-rounding))

    def _faded_difference(self, upstream: ids.UpstreamId, now: float) -> float:
        """Returns the logarithm of the slowness relative to the pool's usual, faded with age."""
        average = self._averages.get(upstream)
        if average is None:
            return 0.0
        age_s = max(0.0, now - average.at)
        moment = math.exp(-age_s / MOMENT_S) * (average.last_log - average.log)
        return moment + math.exp(-age_s / FADING_S) * (average.log - self._find_usual_log())

    def _find_usual_log(self) -> float:
        if self._usual_log is None:
            logs = [average.log for average in self._averages.values()]
            self._usual_log = statistics.median(logs) if logs else 0.0
        return self._usual_log
