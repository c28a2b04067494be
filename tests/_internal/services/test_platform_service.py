"""The client of the store follows the store's epoch."""

import random
import unittest

import trio

from cicadapier._internal.models import settings
from cicadapier._internal.platform import objects
from cicadapier._internal.protocols import http_server
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import platform_service
from cicadapier._internal.standins import faulty_network
from tests import support

ANY_PORT = "10.0.0.1:0"
OBJECT = {"metadata": {"name": "a", "rev": 7}, "spec": {}}


class EpochHandler(http_server.Handler):
    """Answers with the epoch that it named when it received the call.

    Attributes:
        epoch: Value of the epoch header; None for no header.
        delay_s: Time until the answer.
    """

    def __init__(self):
        self.epoch = b"1"
        self.delay_s = 0.0

    async def handle(self, req, responder):
        epoch = self.epoch
        await trio.sleep(self.delay_s)
        headers = [] if epoch is None else [(b"Store-Era", epoch)]
        await responder.send_json(OBJECT, headers=headers)


class StoreEpochTest(unittest.TestCase):
    def _run(self, check):
        async def main():
            network = faulty_network.MemoryNetwork(0)
            handler = EpochHandler()
            listener = http_server.Listener(network.serve, handler, settings.CallerLimits())
            async with trio.open_nursery() as nursery:
                address = await nursery.start(listener.run, ANY_PORT)
                client = platform_service.PlatformService(
                    settings.Platform([address]), network, random.Random(0), objects.ObjectFormat()
                )
                await check(handler, client)
                nursery.cancel_scope.cancel()

        support.run(main)

    def test_epoch_rises_with_the_answers(self):
        async def check(handler, client):
            self.assertIsNone(client.epoch)
            for epoch in (b"1", b"2", b"9"):
                handler.epoch = epoch
                await client.get("kind", "a")
                self.assertEqual(client.epoch, int(epoch))

        self._run(check)

    def test_unreadable_or_lower_epoch_changes_nothing(self):
        async def check(handler, client):
            handler.epoch = b"4"
            await client.get("kind", "a")
            for epoch in (None, b"", b"x", b"-1", b"1e3", b"9" * 5000, b"\xb2", b"3"):
                handler.epoch = epoch
                self.assertIsNotNone(await client.get("kind", "a"))
                self.assertEqual(client.epoch, 4)

        self._run(check)

    def test_answer_of_a_former_epoch_that_comes_late_is_not_used(self):
        async def check(handler, client):
            await client.get("kind", "a")
            handler.delay_s = 0.5
            failures = []

            async def get_late():
                try:
                    await client.get("kind", "a")
                except exceptions.PlatformUnavailableError as exc:
                    failures.append(exc)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(get_late)
                await trio.sleep(0.1)
                handler.delay_s = 0.0
                handler.epoch = b"2"
                await client.get("kind", "a")
            self.assertEqual(len(failures), 1)
            self.assertEqual(client.epoch, 2)

        self._run(check)


if __name__ == "__main__":
    unittest.main()
