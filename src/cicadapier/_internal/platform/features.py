"""Features of the product that the users' platform asks for, from its names for them."""

from cicadapier._internal.models import settings

_ACCOUNTS = "tenants"
_SCARCITY = "pressure"


def asks_for_keys(cfg: settings.Forwarding) -> bool:
    """Returns whether requests have to carry a key whatever the configuration says of accounts.

    A router that starts after the last account was removed must decide as one that saw it, so the
    answer does not rest on earlier configurations.
    """
    return _ACCOUNTS in cfg.platform_features


def orders_by_urgency(cfg: settings.Forwarding) -> bool:
    """Returns whether requests are ordered by urgency while room is short.

    The operator's setting goes before what the platform asks for.
    """
    if cfg.scarcity.enabled is not None:
        return cfg.scarcity.enabled
    return _SCARCITY in cfg.platform_features
