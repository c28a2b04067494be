"""Which links of this router to upstreams work, and whether its own links are lost as a whole.

Load pattern: a router loses its links to all upstreams or to some, while other routers reach them,
and gets them back seconds later. What a peer reaches and this router does not is a lost link, and
no evidence against the upstream. A lost link is tried again by a trickle of connections.
"""

import collections.abc
import dataclasses
import enum
import math

from cicadapier._internal.models import ids

# A slow connection that a peer opened faster proves a lost link only if it happens again, as a
# single packet may have been lost.
SLOW_CONNECTIONS = 2
# Links to that many upstreams that are lost, without a direct connection since, are all lost.
MIN_LOST_LINKS = 2
FLAP_WINDOW_S = 5.0  # A link that is lost again within it needs twice as many probes.
MAX_PROBES = 8
MAX_LINKS = 4096


class LinkChange(enum.Enum):
    """Change of what this router believes of its links.

    Attributes:
        LINK_LOST: The link to one upstream is lost.
        LINK_REGAINED: It works again.
        ALL_LOST: The links to all upstreams are lost.
        ALL_REGAINED: They work again.
    """

    LINK_LOST = "link_lost"
    LINK_REGAINED = "link_regained"
    ALL_LOST = "all_links_lost"
    ALL_REGAINED = "all_links_regained"


@dataclasses.dataclass(slots=True)
class _Link:
    """State of the link to one upstream.

    Attributes:
        is_lost: Whether connections are opened through peers.
        slow_connections: Connections in a row that a peer opened faster.
        lost_at: Time at which it was lost.
        regained_at: Time at which it last worked again.
        probes_needed: Direct connections in a row that prove that it works again.
        probes: Direct connections in a row since it was lost.
        probed_at: Time of the last probe.
    """

    is_lost: bool = False
    slow_connections: int = 0
    lost_at: float = -math.inf
    regained_at: float = -math.inf
    probes_needed: int = 1
    probes: int = 0
    probed_at: float = -math.inf


class LinkState:
    """Links of one router to upstreams.

    Attributes:
        all_lost: Whether the links to all upstreams are believed lost.
        last_direct_at: Time of the last direct connection to any upstream.
    """

    def __init__(self) -> None:
        self.all_lost = False
        self.last_direct_at = -math.inf
        self._links: dict[ids.Address, _Link] = {}
        self._reached: set[ids.Address] = set()

    def is_direct(self, address: ids.Address) -> bool:
        """Returns whether connections to an upstream are opened without a peer."""
        link = self._links.get(address)
        return not self.all_lost and (link is None or not link.is_lost)

    def lost_links(self) -> list[ids.Address]:
        """Returns the upstreams whose links are lost."""
        return sorted(address for address, link in self._links.items() if link.is_lost)

    def record_peer_only(
        self, address: ids.Address, is_certain: bool, now: float
    ) -> LinkChange | None:
        """Records that a peer reached an upstream that this router did not.

        Args:
            address: Address of the upstream.
            is_certain: Whether the direct connection failed; else it was only slower.
            now: Current time.
        """
        link = self._find(address)
        link.slow_connections += 1
        link.probes = 0
        if link.is_lost or not (is_certain or link.slow_connections >= SLOW_CONNECTIONS):
            return None
        is_flapping = now - link.regained_at < FLAP_WINDOW_S
        link.probes_needed = min(MAX_PROBES, 2 * link.probes_needed) if is_flapping else 1
        link.is_lost = True
        link.lost_at = now
        if not self.all_lost and self._are_all_lost():
            self.all_lost = True
            self._reached.clear()
            return LinkChange.ALL_LOST
        return LinkChange.LINK_LOST

    def record_direct(self, address: ids.Address, now: float) -> LinkChange | None:
        """Records that a direct connection to an upstream was opened."""
        self.last_direct_at = now
        link = self._links.get(address)
        regained = link is not None and self._prove(link, now)
        if not self.all_lost:
            return LinkChange.LINK_REGAINED if regained else None
        if link is None or not link.is_lost:
            self._reached.add(address)
        if len(self._reached) >= MIN_LOST_LINKS or not self.lost_links():
            self._regain_all(now)
            return LinkChange.ALL_REGAINED
        return LinkChange.LINK_REGAINED if regained else None

    def record_failed_probe(self, address: ids.Address) -> None:
        """Records that a direct connection, tried to see whether the link works, failed."""
        link = self._links.get(address)
        if link is not None:
            link.probes = 0
        self._reached.discard(address)

    def retain(
        self, addresses: collections.abc.Container[ids.Address], now: float
    ) -> LinkChange | None:
        """Forgets the links to upstreams that are no longer registered.

        Returns:
            The end of the loss of all links, if no lost link remains.
        """
        for address in [address for address in self._links if address not in addresses]:
            del self._links[address]
            self._reached.discard(address)
        if not self.all_lost or self.lost_links():
            return None
        self._regain_all(now)
        return LinkChange.ALL_REGAINED

    def next_probe(self, now: float) -> ids.Address | None:
        """Returns the upstream whose lost link is to be tried next, or None if none is lost."""
        lost = [item for item in self._links.items() if item[1].is_lost]
        if not lost:
            return None
        address, link = min(lost, key=lambda item: (item[1].probed_at, item[0]))
        link.probed_at = now
        return address

    def _find(self, address: ids.Address) -> _Link:
        link = self._links.get(address)
        if link is None:
            if len(self._links) >= MAX_LINKS:
                self._links.pop(next(iter(self._links)))
            link = self._links[address] = _Link()
        return link

    def _are_all_lost(self) -> bool:
        lost = [link.lost_at for link in self._links.values() if link.is_lost]
        return len(lost) >= MIN_LOST_LINKS and self.last_direct_at < sorted(lost)[-MIN_LOST_LINKS]

    def _prove(self, link: _Link, now: float) -> bool:
        """Counts a direct connection; returns whether it ends the loss of a link."""
        link.slow_connections = 0
        if not link.is_lost:
            return False
        link.probes += 1
        if link.probes < link.probes_needed:
            return False
        self._regain(link, now)
        return True

    def _regain_all(self, now: float) -> None:
        self.all_lost = False
        for link in self._links.values():
            if link.is_lost:
                self._regain(link, now)

    @staticmethod
    def _regain(link: _Link, now: float) -> None:
        link.is_lost = False
        link.regained_at = now
        link.probes = 0
