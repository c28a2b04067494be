"""Tests of mailboxes, of finding services by name and of the order of shutdown."""

import dataclasses
import unittest

import trio

from cicadapier._internal.kernel import exceptions
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from tests import support

CFG = settings.Settings(ids.VmId("vm-1"), ids.FailureDomainId("here"), drain_s=5.0)


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


class EndlessService(service.Service):
    """Service whose drain never ends."""

    name = service.ServiceName("endless")

    async def run(self, kernel, task_status):
        task_status.started()
        await trio.sleep_forever()

    async def drain(self):
        await trio.sleep_forever()


class KernelTest(unittest.TestCase):
    def test_services_drain_in_reverse_order_of_start(self):
        log = []

        async def main():
            kernel = service.Kernel(CFG)
            for name in ("one", "two"):
                kernel.register(RecordingService(name, log))
            async with trio.open_nursery() as nursery:
                await nursery.start(kernel.run)
                kernel.stop()

        support.run(main)
        self.assertEqual(log, ["start one", "start two", "drain two", "drain one"])

    def test_drain_keeps_to_a_limit_that_changes_meanwhile(self):
        # Guards against a time to stop that is fixed at the start of the process (issue 66).
        for limits, expected_s in (((12.0,), 12.0), ((2.0,), 2.0), ((30.0, 12.0), 12.0)):
            with self.subTest(limits):
                self.assertAlmostEqual(self._drain(limits, ()), expected_s)
        self.assertAlmostEqual(self._drain((), (12.0,)), 12.0)
        self.assertAlmostEqual(self._drain((), (2.0,)), 5.0)

    def _drain(self, before, while_stopping):
        """Returns how long a drain without end may take."""
        took = []

        async def main():
            kernel = service.Kernel(CFG)
            kernel.register(EndlessService())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(kernel.run)
                await kernel.started.wait()
                for limit_s in before:
                    kernel.reload(dataclasses.replace(CFG, drain_s=limit_s))
                began_at = trio.current_time()
                kernel.stop()
                for limit_s in while_stopping:
                    await trio.sleep(1.0)
                    kernel.reload(dataclasses.replace(CFG, drain_s=limit_s))
            took.append(trio.current_time() - began_at)

        support.run(main)
        return took[0]

    def test_unknown_service_name_raises_an_error(self):
        with self.assertRaises(exceptions.UnknownServiceError):
            service.Kernel(CFG).find(service.ServiceName("nobody"))


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
