"""Scopes in which accounts share cached parts of prompts.

Load pattern: many accounts share long prompts, and an operator isolates one of them. What its
requests have cached until then lies in the scope that all accounts shared. The shared scope is
therefore named after the accounts that are isolated: with another set of them, it is another scope.
Whatever lies in one was cached for an account outside its set.
"""

import collections.abc
import dataclasses
import hashlib

from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

_SHARED = "shared"
_ISOLATED = "own"
_DIGEST_BYTES = 8
_NO_ACCOUNT = ids.AccountId("")


@dataclasses.dataclass(frozen=True, slots=True)
class CacheScope:
    """A scope in which cached parts are shared.

    Attributes:
        name: Its name, the same on all routers with the same set of isolated accounts.
        owner: The account that shares its parts with no other; empty if others share the scope.
    """

    name: str
    owner: ids.AccountId = _NO_ACCOUNT

    @property
    def prefix_account(self) -> ids.AccountId:
        """The account in whose place the scope stands in the identity of prefixes.

        It is empty as long as no account is isolated.
        """
        if self.owner or self.name == _SHARED:
            return self.owner
        return ids.AccountId(self.name)


class CacheScopes:
    """The scopes of a configuration."""

    def __init__(self) -> None:
        self._content: configuration.Configuration | None = None
        self._shared = CacheScope(_SHARED)

    def find(
        self, content: configuration.Configuration, account: ids.AccountId | None
    ) -> CacheScope:
        """Returns the scope of an account's requests; None stands for public requests."""
        if content is not self._content:
            self._shared = CacheScope(_shared_name(content.accounts))
            self._content = content
        if account is not None and content.accounts[account].isolated:
            return CacheScope(f"{_ISOLATED}/{account}", account)
        return self._shared


def _shared_name(
    accounts: collections.abc.Mapping[ids.AccountId, configuration.Account],
) -> str:
    isolated = sorted(account for account, spec in accounts.items() if spec.isolated)
    if not isolated:
        return _SHARED
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for account in isolated:
        raw = account.encode()
        digest.update(len(raw).to_bytes(4, "big"))
        digest.update(raw)
    return f"{_SHARED}/{digest.hexdigest()}"
