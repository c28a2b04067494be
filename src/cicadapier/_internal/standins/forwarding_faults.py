"""Faults of a deployment with forwarded routes that operators of the demo can inject."""

import collections.abc

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.standins import fault_server
from cicadapier._internal.standins import faults
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import link_faults


class ForwardingFaults(fault_server.FaultTarget):
    """Cuts links of the routers of a deployment."""

    def __init__(
        self, deployment: forwarding_deployment.ForwardingDeployment, nursery: trio.Nursery
    ) -> None:
        """Creates an instance for the routers that have been started.

        Args:
            deployment: The deployment.
            nursery: Nursery for the tasks that end faults.
        """
        self.active_faults = faults.ActiveFaults()
        self._deployment = deployment
        self._nursery = nursery
        self._link_faults = link_faults.LinkFaults(self.active_faults, self._list_addresses)
        for index, links in deployment.links.items():
            self._link_faults.links[f"vm-{index}"] = links

    @property
    def kinds(self) -> collections.abc.Collection[faults.FaultKind]:
        """See `fault_server.FaultTarget.kinds`."""
        return link_faults.LINK_FAULTS

    @property
    def upstream_names(self) -> list[str]:
        """See `fault_server.FaultTarget.upstream_names`."""
        return sorted(self._deployment.upstreams)

    def inject(
        self, kind: faults.FaultKind, target: str, seconds: float, amount: float | None
    ) -> None:
        """See `fault_server.FaultTarget.inject`."""
        fault = self.active_faults.add(kind, target, seconds, amount)
        self._link_faults.cut(fault, self._nursery)

    def list_runs(self) -> list[object]:
        """See `fault_server.FaultTarget.list_runs`."""
        return [
            {"request": run.request, "upstream": run.upstream, "target": run.target, "at": run.at}
            for run in self._deployment.runs
        ]

    def _list_addresses(self, upstream: str) -> list[ids.Address]:
        return [
            server.entry.address
            for name, server in self._deployment.upstreams.items()
            if upstream in (faults.ANY, name)
        ]
