"""Callers who take their broken streams up again, and engines of several software versions."""

import re

import trio

from cicadapier._internal.standins import forwarding_deployment

EVENTS = 40
EVENT_INTERVAL_S = 0.06
REGISTRATION_S = 1.2


async def add_engines(world, software, count):
    """Starts engines of a software version, and waits until all routers know them."""
    await start_engines(world, software, count)
    await trio.sleep(REGISTRATION_S)


async def start_engines(world, software, count):
    """Starts engines of a software version."""
    for number in range(count):
        await world.add_upstream(
            f"engine-{software}-{number}",
            forwarding_deployment.ENGINES,
            forwarding_deployment.MODEL,
            software,
        )
    use_long_answers(world)


def use_long_answers(world):
    """Makes all streams last long enough to be interrupted."""
    for upstream in world.upstreams.values():
        upstream.events = EVENTS
        upstream.event_interval_s = EVENT_INTERVAL_S


def engines(world, software):
    """Returns the names of the engines of a software version that run."""
    return [
        name
        for name, upstream in world.upstreams.items()
        if name.startswith("engine") and upstream.entry.software == software
        if not upstream.has_stopped
    ]


class StreamCallers:
    """Callers who take their broken streams up again at the next router.

    Attributes:
        next_router: Index of the router at which they do; None for the one after the last.
    """

    def __init__(self, world, tries=3):
        self.world = world
        self.replies = {}
        self.next_router = None
        self._tries = tries

    async def ask(self, count, router=0, every_s=0.01, **options):
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._follow, f"s{router}-{number}", router, options)
                await trio.sleep(every_s)

    async def _follow(self, name, router, options):
        replies = self.replies.setdefault(name, [])
        for attempt in range(self._tries):
            at = (router + attempt) % len(self.world.routers)
            if attempt and self.next_router is not None:
                at = self.next_router
            extra = self._resumption(name)
            request = f"{name}-{attempt}"
            reply = await self.world.ask(
                request=request, router=at, extra=extra, time_left_ms=5000, **options
            )
            replies.append(reply)
            if reply.status == 200 and not reply.broken:
                return
            await trio.sleep(0.3)

    def _resumption(self, name):
        numbers = [number for reply in self.replies[name] for number in self._numbers(reply)]
        if not numbers:
            return []
        first = next(i for i, reply in enumerate(self.replies[name]) if self._numbers(reply))
        return [
            (b"last-event-id", b"%d" % numbers[-1]),
            (b"resumes", f"{name}-{first}".encode()),
        ]

    def _numbers(self, reply):
        return reply.numbers if reply.status == 200 else []

    def mixed(self):
        """Returns the streams that hold events of more than one software version."""
        found = []
        for name, replies in self.replies.items():
            data = b"".join(reply.body for reply in replies if reply.status == 200)
            if len(set(re.findall(rb"of (\S+)", data))) > 1:
                found.append(name)
        return found

    def whole(self):
        """Returns the streams that their callers have got whole."""
        expected = self.world.event_numbers(EVENTS)
        return [
            name
            for name, replies in self.replies.items()
            if [n for reply in replies for n in self._numbers(reply)] == expected
        ]

    def taken_up(self):
        """Returns the streams that broke off and were taken up again."""
        return [
            name
            for name, replies in self.replies.items()
            if len(replies) > 1 and self._numbers(replies[0])
        ]

    def refused(self):
        """Returns the number of streams whose callers were refused as they took them up."""
        return sum(
            any(reply.status == 503 for reply in replies[1:]) for replies in self.replies.values()
        )
