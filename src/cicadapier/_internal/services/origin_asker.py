"""Asks other routers where streams began."""

import itertools
import random

import trio

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import ids
from cicadapier._internal.services import origin_questions
from cicadapier._internal.services import peers_service

# Datagrams may be lost, so the routers that have not answered are asked again after these times.
ASK_WAITS_S = (0.04, 0.06, 0.1)
_NUMBER_BITS = 48


class OriginAsker:
    """Sends questions to other routers and matches their answers."""

    def __init__(self, rng: random.Random) -> None:
        """Creates it.

        Args:
            rng: Source of the first question's number, so that a router that restarts does not take
                answers to its former self for its own.
        """
        self._questions: dict[int, origin_questions.Question] = {}
        self._numbers = itertools.count(rng.getrandbits(_NUMBER_BITS))

    def start(self, peers: peers_service.PeersService) -> None:
        """Sets the service that sends questions, before anything is asked."""
        self._peers = peers

    async def ask(
        self,
        stream: stream_origins.StreamId,
        addresses: dict[ids.VmId, ids.Address],
        wants_seen: bool,
        process: stream_origins.Process | None = None,
    ) -> origin_questions.Question:
        """Asks routers for a stream until one names its origin or all answer.

        Args:
            stream: The stream.
            addresses: The routers.
            wants_seen: Whether their directories shall confirm what they have seen.
            process: Process of which they shall say whether it has been replaced.
        """
        question = origin_questions.Question(stream, len(addresses))
        number = next(self._numbers)
        query = stream_origins.OriginQuery(number, self._peers.address, stream, wants_seen, process)
        self._questions[number] = question
        try:
            for wait_s in ASK_WAITS_S:
                waiting = [addresses[vm] for vm in addresses if vm not in question.seen]
                if question.is_answered or not waiting:
                    break
                await self._peers.send_datagram(waiting, query)
                with trio.move_on_after(wait_s):
                    await question.wait()
        finally:
            del self._questions[number]
        return question

    def handle_answer(self, answer: stream_origins.OriginAnswer) -> None:
        """Adds an answer to its question, unless that is over."""
        question = self._questions.get(answer.number)
        if question is not None:
            question.add(answer)
