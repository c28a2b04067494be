"""Reads configuration documents and finds their faults."""

import collections.abc
import dataclasses
import typing
from typing import Any

from cicadapier._internal.models import addresses
from cicadapier._internal.models import configuration
from cicadapier._internal.models import exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import schema


def parse(raw: object) -> configuration.Configuration:
    """Converts and checks a configuration document.

    Raises:
        InvalidDocumentError: The document is invalid; the error lists every fault.
    """
    return Parser().parse(raw)


class Parser:
    """Parser for successive versions of a configuration document.

    A change usually affects few of many accounts, so accounts whose raw document is the same object
    as in the previous version are not converted again.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _ConvertedAccount] = {}

    def parse(self, raw: object) -> configuration.Configuration:
        """Converts and checks the next version of the document.

        Raises:
            InvalidDocumentError: The document is invalid; the error lists every fault.
        """
        unchanged: dict[str, configuration.Account] = {}
        remaining = raw
        if isinstance(raw, dict) and isinstance(raw.get("accounts"), dict):
            unchanged = self._unchanged_accounts(raw["accounts"])
            accounts = {k: v for k, v in raw["accounts"].items() if k not in unchanged}
            remaining = {**raw, "accounts": accounts}
        value = schema.convert(configuration.Configuration, remaining)
        if unchanged:
            raw_accounts = typing.cast("dict[str, object]", typing.cast(Any, raw)["accounts"])
            merged = {
                ids.AccountId(k): unchanged.get(k) or value.accounts[ids.AccountId(k)]
                for k in raw_accounts
            }
            value = dataclasses.replace(value, accounts=merged)
        faults = list(_find_faults(value))
        if faults:
            raise exceptions.InvalidDocumentError(faults)
        self._store_accounts(raw, value)
        return value

    def _unchanged_accounts(self, accounts: dict[str, object]) -> dict[str, configuration.Account]:
        """Returns the accounts whose raw document is the same object as before."""
        found = {}
        for name, raw in accounts.items():
            converted = self._accounts.get(name)
            if converted and converted.raw is raw:
                found[name] = converted.value
        return found

    def _store_accounts(self, raw: object, value: configuration.Configuration) -> None:
        accounts = typing.cast(Any, raw).get("accounts", {})
        self._accounts = {
            name: _ConvertedAccount(accounts[name], account)
            for name, account in value.accounts.items()
        }


@dataclasses.dataclass(frozen=True, slots=True)
class _ConvertedAccount:
    """An account and the raw document that it was converted from."""

    raw: object
    value: configuration.Account


def _find_faults(value: configuration.Configuration) -> collections.abc.Iterator[exceptions.Fault]:
    """Yields the faults that the schema cannot express, such as references to unknown pools."""
    yield from _find_account_faults(value)
    yield from _find_pool_faults(value)
    yield from _find_route_faults(value)


def _find_route_faults(
    value: configuration.Configuration,
) -> collections.abc.Iterator[exceptions.Fault]:
    for route_id, route in value.routes.items():
        path = f"routes.{route_id}"
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield exceptions.Fault(f"{path}.prefix", "expected a path that begins and ends with /")
        if len(route.pools) == 0:
            yield exceptions.Fault(f"{path}.pools", "expected at least one pool")
        for i, share in enumerate(route.pools):
            if share.pool not in value.pools:
                yield exceptions.Fault(f"{path}.pools[{i}]", f"unknown pool {share.pool!r}")


def _find_account_faults(
    value: configuration.Configuration,
) -> collections.abc.Iterator[exceptions.Fault]:
    owners: dict[str, str] = {}
    for account_id, account in value.accounts.items():
        path = f"accounts.{account_id}"
        for i, pool_id in enumerate(account.pools):
            if pool_id not in value.pools:
                yield exceptions.Fault(f"{path}.pools[{i}]", f"unknown pool {pool_id!r}")
        for i, digest in enumerate(account.key_hashes):
            fault_path = f"{path}.key_hashes[{i}]"
            if len(digest) != 64 or set(digest) - set("0123456789abcdef"):
                yield exceptions.Fault(
                    fault_path, "expected a SHA-256 digest in lower-case hexadecimal"
                )
            if digest in owners:
                yield exceptions.Fault(
                    fault_path, f"duplicate key; account {owners[digest]!r} already has it"
                )
            owners[digest] = account_id


def _find_pool_faults(
    value: configuration.Configuration,
) -> collections.abc.Iterator[exceptions.Fault]:
    upstream_pools: dict[str, str] = {}
    model_pools: dict[str, str] = {}
    for pool_id, pool in value.pools.items():
        path = f"pools.{pool_id}"
        yield from _find_kind_faults(value, pool, path)
        for upstream_id, upstream in pool.upstreams.items():
            fault_path = f"{path}.upstreams.{upstream_id}"
            if upstream_id in upstream_pools:
                other = upstream_pools[upstream_id]
                yield exceptions.Fault(fault_path, f"duplicate id; pool {other!r} already has it")
            upstream_pools[upstream_id] = pool_id
            if not addresses.is_address(upstream.address):
                yield exceptions.Fault(f"{fault_path}.address", "expected IP:port")
        for model_id in pool.models:
            if model_id in model_pools:
                other = model_pools[model_id]
                yield exceptions.Fault(
                    f"{path}.models.{model_id}",
                    f"duplicate model; pool {other!r} already serves it",
                )
            model_pools[model_id] = pool_id


def _find_kind_faults(
    value: configuration.Configuration, pool: configuration.Pool, path: str
) -> collections.abc.Iterator[exceptions.Fault]:
    """Yields faults of fields that only some kinds of pools may have or refer to."""
    if len(pool.models) > 0 and pool.kind is not configuration.PoolKind.MODEL:
        yield exceptions.Fault(f"{path}.models", "only a pool of kind model can serve models")
    if pool.keep is None:
        return
    keep = value.pools.get(pool.keep)
    if keep is None:
        yield exceptions.Fault(f"{path}.keep", f"unknown pool {pool.keep!r}")
    elif keep.kind is not configuration.PoolKind.KEEP:
        yield exceptions.Fault(f"{path}.keep", f"pool {pool.keep!r} is not of kind keep")
