"""Faults of the links between single routers and the upstreams."""

import collections.abc

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.standins import faults
from cicadapier._internal.standins import router_links

POLL_S = 0.05  # Interval at which a cut checks whether its fault has ended.
LINK_FAULTS = {
    faults.FaultKind.LINKS_HANG: router_links.LinkFault.HANG,
    faults.FaultKind.LINKS_RESET: router_links.LinkFault.RESET,
    faults.FaultKind.LINKS_REFUSED: router_links.LinkFault.REFUSE_NEW,
}


class LinkFaults:
    """Cuts links of routers as long as faults are in force.

    Attributes:
        links: Links of the routers, by VM.
    """

    def __init__(
        self,
        active_faults: faults.ActiveFaults,
        list_addresses: collections.abc.Callable[[str], list[ids.Address]],
    ) -> None:
        """Creates an instance without links.

        Args:
            active_faults: Faults in force.
            list_addresses: Returns the current addresses of the upstreams with an id, or of all
                upstreams for `faults.ANY`.
        """
        self.links: dict[str, router_links.RouterLinks] = {}
        self._active_faults = active_faults
        self._list_addresses = list_addresses

    def cut(self, fault: faults.Fault, nursery: trio.Nursery) -> None:
        """Cuts the links that a fault names until it ends.

        Args:
            fault: The fault; its kind is one of `LINK_FAULTS`.
            nursery: Nursery for the task that ends the cut.
        """
        vm, _, upstream = fault.target.partition("|")
        addresses = router_links.LiveAddresses(lambda: self._list_addresses(upstream or faults.ANY))
        for name, links in self.links.items():
            if vm in (faults.ANY, name):
                cut = links.cut(LINK_FAULTS[fault.kind], addresses)
                nursery.start_soon(self._heal_later, links, cut, fault)

    async def _heal_later(
        self, links: router_links.RouterLinks, cut: router_links.Cut, fault: faults.Fault
    ) -> None:
        while fault in self._active_faults.active():
            await trio.sleep(POLL_S)
        links.heal(cut)
