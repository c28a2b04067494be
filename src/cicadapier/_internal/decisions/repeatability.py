"""Whether a call to a plain service may be run more than once."""

from cicadapier._internal.models import configuration

# RFC 9110, section 9.2.2.
_IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"))


def is_repeatable(pool: configuration.Pool, method: str, path: str) -> bool:
    """Returns whether a call may be run more than once.

    Args:
        pool: Configuration of the service. The first matching rule applies; where none matches,
            calls with an idempotent method may be repeated.
        method: HTTP method in upper case.
        path: Path relative to the pool, with a leading slash and without the query.
    """
    for rule in pool.repeat_rules:
        if rule.method in ("*", method) and _matches(rule.path, path):
            return rule.repeatable
    return method in _IDEMPOTENT_METHODS


def _matches(prefix: str, path: str) -> bool:
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(f"{trimmed}/") or trimmed == ""
