"""When callers that are refused for want of room are to come back.

It answers bursts that refuse many callers at the same moment: told the same time, they would come
back as one burst again.
"""

import hashlib

from cicadapier._internal.models import ids

MIN_RETRY_AFTER_S = 0.4  # Requests that fill the engines now need about so long to end.
JITTER_SHARE = 0.5


def jittered_s(wait_s: float, request: ids.RequestId) -> float:
    """Returns the time after which a caller is to come back.

    Args:
        wait_s: Expected wait for room.
        request: The refused request; requests differ in where they fall within the spread.
    """
    digest = hashlib.blake2b(request.encode(), digest_size=8).digest()
    position = int.from_bytes(digest, "big") / 2**64
    return max(wait_s, MIN_RETRY_AFTER_S) * (1 - JITTER_SHARE / 2 + JITTER_SHARE * position)
