"""Age of the grants that a router receives, counted from its own request.

A router that was suspended reads the grants of several seconds at once. Each issuer has paced them,
and the limit is exceeded if they are all used as new. A grant is therefore as old as the request
that it answers, less the time for which that request waited at the issuer.
"""

import collections
import collections.abc
import math

from cicadapier._internal.decisions import quotas
from cicadapier._internal.models import ids

MAX_REQUESTS = 4096  # The oldest are forgotten first; grants for them count as expired.


class GrantAges:
    """The times at which a router sent its requests for grants.

    The caller's clock has to advance while the VM is suspended.
    """

    def __init__(self) -> None:
        self._sent_at: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._last_sent_at: dict[ids.VmId, float] = {}
        self._last_number = quotas.NO_REQUEST

    def record_request(self, issuer: ids.VmId, now: float) -> int:
        """Records that a request is about to be sent; returns its number."""
        self._last_number += 1
        self._sent_at[self._last_number] = now
        if len(self._sent_at) > MAX_REQUESTS:
            self._sent_at.popitem(last=False)
        self._last_sent_at[issuer] = now
        return self._last_number

    def keep_only(self, issuers: collections.abc.Container[ids.VmId]) -> None:
        """Forgets the requests to all other issuers."""
        kept = {vm: at for vm, at in self._last_sent_at.items() if vm in issuers}
        self._last_sent_at = kept

    def remaining_s(self, grant: quotas.Grant, max_wait_s: float, now: float) -> float:
        """Returns the time for which a grant may still be used, at most its lifetime.

        Args:
            grant: The grant.
            max_wait_s: Longest time between two requests to an issuer. A grant that names no
                request, as those of the release before, may have waited for that long.
            now: Current time.
        """
        if grant.number == quotas.NO_REQUEST:
            sent_at = self._last_sent_at.get(grant.issuer, -math.inf)
            waited_s = max_wait_s
        else:
            sent_at = self._sent_at.get(grant.number, -math.inf)
            waited_s = grant.waited_s
        age_s = max(0.0, now - sent_at - waited_s)
        return max(0.0, quotas.GRANT_LIFETIME_S - age_s)
