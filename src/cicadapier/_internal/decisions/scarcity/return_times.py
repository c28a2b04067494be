"""Times at which refused callers are told to come back.

In a burst many callers are refused at once, and some come back at once whatever they are told. If
the others came back together they would be refused again. Each is given its own time, at the rate
at which there is room for them.
"""

import hashlib

from cicadapier._internal.decisions import retry_after
from cicadapier._internal.models import ids

JITTER_SHARE = 0.25


class ReturnTimes:
    """Return times that were given to the refused callers of one pool."""

    def __init__(self) -> None:
        self._next_at = 0.0

    def assign_s(
        self,
        wait_s: float,
        interval_s: float,
        max_s: float,
        request: ids.RequestId,
        now: float,
    ) -> float:
        """Returns the delay after which a caller should come back.

        Args:
            wait_s: Expected wait for room.
            interval_s: Time between two requests that begin.
            max_s: Longest delay after which the caller still has time for an answer.
            request: Id of the refused request, from which its jitter is derived.
            now: Current time.
        """
        position = _position(request)
        earliest_s = max(wait_s, retry_after.MIN_RETRY_AFTER_S)
        if earliest_s >= max_s:
            return max_s * (1 - JITTER_SHARE * position)
        delay_s = max(earliest_s, self._next_at - now)
        if delay_s > max_s:
            # There is no free time left that it could wait for, so it takes any of them.
            return earliest_s + position * (max_s - earliest_s)
        self._next_at = now + delay_s + interval_s
        return min(max_s, delay_s + JITTER_SHARE * position * interval_s)


def _position(request: ids.RequestId) -> float:
    """Returns a number from 0 to 1 that is as good as random."""
    digest = hashlib.blake2b(request.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64
