"""Limit on the number of metric series per client account.

An account gets a label of its own if it is one of the first, or once it is among the largest by
number of requests; all others share one label.
"""

from cicadapier._internal.models import ids

OTHER_ACCOUNTS = ids.AccountId("other")
# This many accounts get a label unconditionally. Each further one needs a share of 1 /
# LARGE_ACCOUNTS of the requests counted for accounts without a label.
LARGE_ACCOUNTS = 32
MAX_LABELS = 2 * LARGE_ACCOUNTS
_MIN_REQUESTS = 8  # Fewer requests never make an account large.


class AccountLabels:
    """Assigns the metric label of each account."""

    def __init__(self) -> None:
        self._labeled: set[ids.AccountId] = set()
        self._counts: dict[ids.AccountId, int] = {}
        self._total = 0

    def label(self, account: ids.AccountId) -> ids.AccountId:
        """Counts a request of an account and returns its label."""
        if account in self._labeled:
            return account
        self._total += 1
        count = self._counts.get(account, 0) + 1
        self._counts[account] = count
        is_large = count >= _MIN_REQUESTS and count * LARGE_ACCOUNTS >= self._total
        if (is_large or len(self._labeled) < LARGE_ACCOUNTS) and len(self._labeled) < MAX_LABELS:
            self._labeled.add(account)
            self._counts.pop(account)
            return account
        if len(self._counts) > 8 * LARGE_ACCOUNTS:
            self._decrement_counts()
        return OTHER_ACCOUNTS

    def _decrement_counts(self) -> None:
        # Lossy counting (Manku and Motwani, 2002): accounts with small counts are dropped.
        self._counts = {a: n - 1 for a, n in self._counts.items() if n > 1}
