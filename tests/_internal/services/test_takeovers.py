"""A run is given up for what has been taken, and what takes over is never dropped for nothing."""

import unittest

import trio

from cicadapier._internal.standins import users_upstream
from tests import forwarding_world

Fault = users_upstream.UpstreamFault
WHOLE = [1, 2, 3, 4, 5, 6]
LONG = {"path": "/long/x", "output_tokens": 200}  # A stream whose run is backed up.


async def ask_and(made, change, after_s=0.2, **options):
    """Returns what a caller gets for a stream, after a change meanwhile."""
    replies = []

    async def ask():
        replies.append(await made.ask(request="q", time_left_ms=5000, **options))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(after_s)
        change(made.upstreams[made.runs_of("q")[0].upstream])
    return replies[0]


class BackupTest(unittest.TestCase):
    def test_a_run_is_not_given_up_for_a_backup_that_cannot_be_reached(self):
        async def check(made):
            forwarding_world.strike(made, "engine", Fault.STALLS)

            def hide(engine):
                for upstream in made.upstreams.values():
                    made.network.hide(upstream.entry.address)

            reply = await ask_and(made, hide, **LONG)
            self.assertFalse(reply.broken)
            self.assertEqual(reply.numbers, WHOLE)

        forwarding_world.in_world(check)


if __name__ == "__main__":
    unittest.main()
