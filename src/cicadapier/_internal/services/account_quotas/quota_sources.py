"""Where the quotas of accounts are declared, and which routers keep them."""

import abc

from cicadapier._internal.decisions.account_quotas import known_routers
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import configuration_source
from cicadapier._internal.services import names
from cicadapier._internal.services import peers_service

LIMIT_BURST_S = 1.0
LIMIT_ALLOWANCE = settings.AccountQuotas(window_s=10.0, overage=0.1)
_SEPARATOR = "/"


class QuotaSource(abc.ABC):
    """Declared quotas and the routers that share them."""

    @abc.abstractmethod
    def start(self, kernel: service.Kernel) -> None:
        """Finds the services that it asks."""

    @abc.abstractmethod
    def find_quota(self, name: ids.AccountId) -> configuration.AccountQuota | None:
        """Returns the quota of a name that routers send each other, None if it has none."""

    @abc.abstractmethod
    def routers(self, now: float) -> dict[ids.VmId, ids.Address]:
        """Returns all routers, with this one; the same object until they change.

        Args:
            now: Current time.

        Returns:
            The peer address of each router; empty while they are not known.
        """


class DeclaredQuotas(QuotaSource):
    """Quotas of forwarded requests, and the routers that the store lists."""

    def start(self, kernel: service.Kernel) -> None:
        """See `QuotaSource.start`."""
        self._cluster: cluster_service.ClusterService = kernel.find(names.CLUSTER)
        self._configuration: configuration_source.ConfigurationSource = kernel.find(
            names.CONFIGURATION
        )

    def find_quota(self, name: ids.AccountId) -> configuration.AccountQuota | None:
        """See `QuotaSource.find_quota`."""
        spec = self._configuration.current.content.accounts.get(name)
        return spec.quota if spec else None

    def routers(self, now: float) -> dict[ids.VmId, ids.Address]:
        """See `QuotaSource.routers`."""
        return self._cluster.addresses()


class DeclaredLimits(QuotaSource):
    """Rate limits of the native interface, and the routers that gossip has told of."""

    def __init__(self) -> None:
        self._known = known_routers.KnownRouters()

    def start(self, kernel: service.Kernel) -> None:
        """See `QuotaSource.start`."""
        self._peers: peers_service.PeersService = kernel.find(names.PEERS)
        self._configuration: configuration_source.ConfigurationSource = kernel.find(
            names.CONFIGURATION
        )

    def find_quota(self, name: ids.AccountId) -> configuration.AccountQuota | None:
        """See `QuotaSource.find_quota`."""
        account, _, unit = name.rpartition(_SEPARATOR)
        spec = self._configuration.current.content.accounts.get(ids.AccountId(account))
        if spec is None or unit not in {item.value for item in configuration.QuotaUnit}:
            return None
        return quota_of_limit(spec.limits, configuration.QuotaUnit(unit))

    def routers(self, now: float) -> dict[ids.VmId, ids.Address]:
        """See `QuotaSource.routers`."""
        heard_of = self._peers.serving_routers()
        is_complete = self._peers.was_told_of_all
        return self._known.update(heard_of, self._peers.expects_others, now, is_complete)


def limit_name(account: ids.AccountId, unit: configuration.QuotaUnit) -> ids.AccountId:
    """Returns the name by which routers ask each other for a limit of the native interface."""
    return ids.AccountId(f"{account}{_SEPARATOR}{unit.value}")


def quota_of_limit(
    limits: configuration.Limits, unit: configuration.QuotaUnit
) -> configuration.AccountQuota:
    """Returns a rate limit of the native interface as a quota."""
    is_tokens = unit is configuration.QuotaUnit.TOKENS
    rate_per_s = limits.tokens_per_s if is_tokens else limits.requests_per_s
    return configuration.AccountQuota(rate_per_s, max(1.0, rate_per_s * LIMIT_BURST_S), unit)
