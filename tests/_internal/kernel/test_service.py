"""Tests of mailboxes, of finding services by name and of the order of shutdown."""

import unittest

import trio

from cicadapier._internal.kernel import exceptions
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from tests import support


class RecordingService(service.Service):
    """Service that logs its start and its drain."""

    def __init__(self, name, log):
        self.name = service.ServiceName(name)
        self._log = log

    async def run(self, kernel, task_status):
        self._log.append(f"start {self.name}")
        task_status.started()
        await trio.sleep_forever()

    async def drain(self):
        self._log.append(f"drain {self.name}")


class KernelTest(unittest.TestCase):
    def test_services_drain_in_reverse_order_of_start(self):
        log = []

        async def main():
            kernel = service.Kernel()
            for name in ("one", "two"):
                kernel.register(RecordingService(name, log))
            async with trio.open_nursery() as nursery:
                await nursery.start(kernel.run, 5.0)
                kernel.stop()

        support.run(main)
        self.assertEqual(log, ["start one", "start two", "drain two", "drain one"])

    def test_unknown_service_name_raises_an_error(self):
        with self.assertRaises(exceptions.UnknownServiceError):
            service.Kernel().find(service.ServiceName("nobody"))


class MailboxTest(unittest.TestCase):
    def test_full_or_closed_mailbox_rejects_messages(self):
        async def main():
            box = mailbox.Mailbox(1)
            box.send("a")
            with self.assertRaises(exceptions.MailboxFullError):
                box.send("b")
            self.assertFalse(box.try_send("b"))
            self.assertEqual(await box.receive(), "a")
            self.assertIsNone(await box.receive_until(trio.current_time() + 1))
            box.close()
            with self.assertRaises(exceptions.MailboxClosedError):
                box.send("c")

        support.run(main)


if __name__ == "__main__":
    unittest.main()
