"""Whether a router can send load orders to the engines of a pool at all.

Load pattern: a router loses its links to the upstreams, or to some of them, while it reaches the
store. The order lease needs the store alone, so such a router could keep it and all engines would
stay on old weights. It hands the lease over instead; another router may reach the engines.
"""

import collections.abc
import math

from cicadapier._internal.models import ids

MEMORY_S = 3.0  # An attempt to reach an engine tells nothing about its link after that.
HELD_BACK_S = 6.0  # Others go before an engine that got no request through, for that long.
RETRY_AFTER_S = 0.6  # An engine that was not reached is left alone for that long.
# Failed attempts at the only engine that remains count as a lost link after that, as the engine may
# have restarted. Where others remain, their links are checked at once.
SINGLE_ENGINE_DOUBT_S = 1.2
MAX_CHECKED = 2  # Engines whose links are checked because another one was not reached.


class OrderLinks:
    """Links of this router to the engines of one pool, judged by its attempts to send orders."""

    def __init__(self) -> None:
        self._reached_at: dict[ids.UpstreamId, float] = {}
        self._unreached_since: dict[ids.UpstreamId, float] = {}
        self._unreached_at: dict[ids.UpstreamId, float] = {}
        self._checked_at: dict[ids.UpstreamId, float] = {}
        self._held_back_at: dict[ids.UpstreamId, float] = {}

    def record_reached(self, engine: ids.UpstreamId, now: float) -> None:
        """Records that an order could be sent to an engine."""
        self._reached_at[engine] = now
        self._unreached_since.pop(engine, None)
        self._unreached_at.pop(engine, None)

    def record_unreached(self, engine: ids.UpstreamId, now: float) -> None:
        """Records that no connection to an engine could be opened, or that it sent no report."""
        self._reached_at.pop(engine, None)
        self._unreached_since.setdefault(engine, now)
        self._unreached_at[engine] = now

    def record_held_back(self, engine: ids.UpstreamId, now: float) -> None:
        """Records that the limit of an engine let no request through in time."""
        self._held_back_at[engine] = now

    def held_back(self, now: float) -> frozenset[ids.UpstreamId]:
        """Returns the engines whose limits held a request back lately."""
        return frozenset(e for e, at in self._held_back_at.items() if now - at < HELD_BACK_S)

    def unreached(self, now: float) -> frozenset[ids.UpstreamId]:
        """Returns the engines that were not reached when they were last tried."""
        self._forget_old_attempts(now)
        return frozenset(self._unreached_at)

    def may_try(self, engine: ids.UpstreamId, now: float) -> bool:
        """Returns whether an engine may be tried again if it was not reached."""
        return now - self._unreached_at.get(engine, -math.inf) >= RETRY_AFTER_S

    def are_lost(self, outdated: collections.abc.Iterable[ids.UpstreamId], now: float) -> bool:
        """Returns whether this router reaches none of the engines that it tried lately.

        Args:
            outdated: Engines that remain to be updated.
            now: Current time.
        """
        self._forget_old_attempts(now)
        remaining = set(outdated)
        if remaining & self._reached_at.keys():
            return False
        failed = remaining & self._unreached_at.keys()
        if len(failed) != 1:
            return bool(failed)
        is_only_one = failed == remaining
        return is_only_one and now - self._unreached_since[failed.pop()] >= SINGLE_ENGINE_DOUBT_S

    def engines_to_check(
        self, outdated: collections.abc.Iterable[ids.UpstreamId], now: float
    ) -> list[ids.UpstreamId]:
        """Returns engines whose links are to be checked now, because another one is not reached.

        Args:
            outdated: Engines that remain to be updated.
            now: Current time.
        """
        self._forget_old_attempts(now)
        remaining = set(outdated)
        tried = self._reached_at.keys() | self._unreached_at.keys() | self._checked_at.keys()
        if remaining & self._reached_at.keys() or not remaining & self._unreached_at.keys():
            return []
        chosen = sorted(remaining - tried)[: MAX_CHECKED - len(remaining & self._checked_at.keys())]
        self._checked_at.update(dict.fromkeys(chosen, now))
        return chosen

    def forget(self) -> None:
        """Forgets all attempts."""
        self._held_back_at.clear()
        self._checked_at.clear()
        self._reached_at.clear()
        self._unreached_since.clear()
        self._unreached_at.clear()

    def _forget_old_attempts(self, now: float) -> None:
        for attempts in (self._reached_at, self._checked_at):
            for engine in [e for e, at in attempts.items() if now - at >= MEMORY_S]:
                del attempts[engine]
        for engine in [e for e, at in self._unreached_at.items() if now - at >= MEMORY_S]:
            del self._unreached_at[engine]
            del self._unreached_since[engine]
        for engine in self._held_back_at.keys() - self.held_back(now):
            del self._held_back_at[engine]
