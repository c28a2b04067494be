"""Answers of the store without end, many at once, on real sockets: their sum is bounded."""

import random
import tracemalloc
import unittest

import trio

from cicadapier._internal.models import settings
from cicadapier._internal.platform import objects
from cicadapier._internal.protocols import transport
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import platform_service
from tests._internal.services import test_endless_answers

CALLS = 12
# What may be held, the oldest answer beyond that, which is joined, and the rest.
MAX_MEMORY_BYTES = 4 * 16 * 2**20


class EndlessStoreAnswersTest(unittest.TestCase):
    def test_sum_of_answers_of_the_store_without_end_is_bounded(self):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        failures = []

        async def get(client):
            try:
                await client.get("kind", "a")
            except exceptions.PlatformUnavailableError:
                failures.append("unavailable")

        async def main():
            store = test_endless_answers.EndlessUpstream(
                test_endless_answers.ANSWERS["a body in chunks"]
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(store.run)
                client = platform_service.PlatformService(
                    settings.Platform([store.address], timeout_s=4.0),
                    transport.TcpNetwork(),
                    random.Random(0),
                    objects.ObjectFormat(),
                )
                tracemalloc.reset_peak()
                async with trio.open_nursery() as calls:
                    for _ in range(CALLS):
                        calls.start_soon(get, client)
                self.peak = tracemalloc.get_traced_memory()[1]
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(len(failures), CALLS)
        self.assertLess(self.peak, MAX_MEMORY_BYTES)


if __name__ == "__main__":
    unittest.main()
