"""Decoding of order leases from objects in the store."""

import msgspec
import structlog

from cicadapier._internal.decisions import leases
from cicadapier._internal.protocols import store_format

_log = structlog.get_logger()


def read_lease(stored: store_format.StoredObject | None) -> leases.LeaseObject | None:
    """Returns the lease that an object holds; None if there is none or it cannot be read."""
    if stored is None:
        return None
    try:
        return msgspec.convert(stored.spec, leases.LeaseObject)
    except msgspec.ValidationError as exc:
        _log.info("lease_unreadable", entry=stored.name, reason=str(exc))
        return None
