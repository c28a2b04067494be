"""Which settings a running router takes over when its settings file changes.

Each setting stands in one of the two sets. docs/operators/settings.md gives the reasons.
"""

import dataclasses
from typing import Any

from cicadapier._internal.models import settings

# Taken over at run time, by their dotted paths. A path also covers all settings below it.
LIVE = frozenset(
    {
        "drain_s",
        "forwarding.grace_s",
        "forwarding.revoke_ms",
        "forwarding.drain_ms",
        "forwarding.weights_ms",
        "forwarding.retries",
        "forwarding.quotas",
    }
)
WAITS_FOR_START = frozenset(
    {
        "vm",
        "failure_domain",
        "listen",
        "tls",
        "platform",
        "peers",
        "operator_token",
        "cache_secret",
        "log_level",
        "otlp_endpoint",
        "caller_limits",
        "forwarding.readiness_path",
        "forwarding.order_lease_ms",
        "forwarding.engines",
        "forwarding.scarcity",
        "forwarding.platform_features",
        "forwarding.fleet",
        "forwarding.slow_readers",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What a changed settings file means for a running router.

    Attributes:
        settings: Settings in force from now on.
        waiting: Dotted paths of the settings whose new values wait for a start.
    """

    settings: settings.Settings
    waiting: tuple[str, ...]


def take_over(current: settings.Settings, new: settings.Settings) -> Change:
    """Returns the settings that are in force once a changed file has been read.

    Args:
        current: Settings in force.
        new: Settings of the file.
    """
    waiting: list[str] = []
    merged = _merge(current, new, "", waiting)
    return Change(merged, tuple(waiting))


def _merge(current: Any, new: Any, prefix: str, waiting: list[str]) -> Any:
    """Returns `current` with the live settings of `new`; adds the paths of the others."""
    changes = {}
    for field in dataclasses.fields(current):
        path = f"{prefix}{field.name}"
        before, after = getattr(current, field.name), getattr(new, field.name)
        if before == after:
            continue
        if path in LIVE:
            changes[field.name] = after
        elif path not in WAITS_FOR_START and before is not None and after is not None:
            changes[field.name] = _merge(before, after, f"{path}.", waiting)
        else:
            waiting.append(path)
    return dataclasses.replace(current, **changes)
