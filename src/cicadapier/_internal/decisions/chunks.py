"""Splitting of a configuration document into objects below the platform's size limit.

Accounts are distributed over buckets by a hash of their id, and each pool is a separate chunk, so
that a change rewrites only the chunks that it affects. The head object lists the chunks.
"""

import collections.abc
import hashlib
from typing import Any

ACCOUNTS_PER_BUCKET = 128
MAX_BUCKETS = 1024


def split(document: collections.abc.Mapping[str, Any]) -> dict[str, dict[str, Any]]:
    """Splits a document into chunks by key."""
    chunks: dict[str, dict[str, Any]] = {}
    accounts = document.get("accounts", {})
    buckets = _bucket_count(len(accounts))
    for account_id, account in accounts.items():
        key = f"accounts/{buckets}/{_bucket(account_id, buckets)}"
        chunks.setdefault(key, {"accounts": {}})["accounts"][account_id] = account
    for pool_id, pool in document.get("pools", {}).items():
        chunks[f"pools/{pool_id}"] = {"pools": {pool_id: pool}}
    return chunks


def join(chunks: collections.abc.Iterable[collections.abc.Mapping[str, Any]]) -> dict[str, Any]:
    """Returns the document that consists of the given chunks."""
    document: dict[str, Any] = {"accounts": {}, "pools": {}}
    for chunk in chunks:
        for section, content in chunk.items():
            document[section].update(content)
    return document


def _bucket_count(accounts: int) -> int:
    count = 1
    while count * ACCOUNTS_PER_BUCKET < accounts and count < MAX_BUCKETS:
        count *= 2
    return count


def _bucket(account_id: str, buckets: int) -> int:
    digest = hashlib.blake2b(account_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % buckets
