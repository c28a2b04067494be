"""Retry times for callers that are refused because no upstream has free capacity.

In a burst many callers are refused at the same moment. With the same retry time, they would all
retry at once and cause the next burst; jitter spreads them out.
"""

import hashlib

from cicadapier._internal.models import ids

MIN_RETRY_AFTER_S = 0.4  # About the time that requests which fill the engines need to end.
JITTER_SHARE = 0.5


def jittered_s(wait_s: float, request: ids.RequestId) -> float:
    """Returns the time after which a caller should retry.

    Args:
        wait_s: Expected wait for free capacity.
        request: Id of the refused request, from which its position within the jitter is derived.
    """
    digest = hashlib.blake2b(request.encode(), digest_size=8).digest()
    position = int.from_bytes(digest, "big") / 2**64
    return max(wait_s, MIN_RETRY_AFTER_S) * (1 - JITTER_SHARE / 2 + JITTER_SHARE * position)
