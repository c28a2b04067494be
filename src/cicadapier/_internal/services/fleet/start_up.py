"""Asks peers, as a router starts, what it has to know before it sends to upstreams."""

import collections.abc
import random

import trio

from cicadapier._internal.decisions.fleet import peer_inquiry
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import peer_codec

# Requests go on after this time, which counts from the first one, if the routers are not known.
MAX_WAIT_S = 1.0

AskPeer = collections.abc.Callable[
    [ids.Address], collections.abc.Awaitable[peer_codec.Digest | None]
]


class StartUp:
    """Inquiry of one router, and the requests that wait for its end.

    Attributes:
        is_informed: Whether a peer that knows has answered.
    """

    def __init__(self, ask: AskPeer, rng: random.Random) -> None:
        """Creates it; nothing is asked before the peers are known.

        Args:
            ask: Asks a peer and applies its answer; returns None without one.
            rng: Source of the order in which peers are asked.
        """
        self._ask = ask
        self._rng = rng
        self._peers: list[ids.Address] = []
        self._peers_known = trio.Event()
        self._ended = trio.Event()
        self._waits_until: float | None = None
        self.is_informed = False

    def set_peers(self, peers: list[ids.Address]) -> None:
        """Sets the peers that may be asked."""
        self._peers = peers
        self._peers_known.set()

    async def wait(self) -> None:
        """Waits until the inquiry has ended, but not beyond `MAX_WAIT_S` after the first call."""
        if self._waits_until is None:
            self._waits_until = trio.current_time() + MAX_WAIT_S
        with trio.move_on_at(self._waits_until):
            await self._ended.wait()

    async def run(self) -> bool:
        """Asks peers; returns whether one that knows has answered."""
        await self._peers_known.wait()
        inquiry = peer_inquiry.PeerInquiry(self._rng)
        while peers := inquiry.next_peers(self._peers, trio.current_time()):
            with trio.move_on_at(inquiry.ends_at):
                async with trio.open_nursery() as nursery:
                    for address in peers:
                        nursery.start_soon(self._ask_one, address, inquiry, nursery.cancel_scope)
            if inquiry.is_over:
                break
            await trio.sleep(peer_inquiry.PAUSE_S)
        self.is_informed = inquiry.is_informed
        self._ended.set()
        return inquiry.is_informed

    async def _ask_one(
        self, address: ids.Address, inquiry: peer_inquiry.PeerInquiry, scope: trio.CancelScope
    ) -> None:
        """Asks one peer; ends the scope of all that are asked once its answer suffices."""
        answer = await self._ask(address)
        if answer is None:
            return
        inquiry.record_answer(is_starting(answer))
        if inquiry.is_over:
            scope.cancel()


def is_starting(digest: peer_codec.Digest) -> bool:
    """Returns whether the sender of a digest has just started."""
    own = (heartbeat for heartbeat in digest.heartbeats if heartbeat.vm == digest.sender)
    return max((heartbeat.counter for heartbeat in own), default=0) <= peer_inquiry.STARTING_ROUNDS
