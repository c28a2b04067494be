"""Load orders reach an engine only while the lease of its pool covers it."""

import unittest

import trio

from cicadapier._internal.decisions import order_links
from cicadapier._internal.decisions import rollout
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import ids
from cicadapier._internal.services import engine_orders

POOL = ids.PoolId("engines")
MODEL = ids.ModelId("verse")
INCARNATION = ids.Incarnation("engine@1")
ENGINE = rollout.Engine(ids.UpstreamId("engine"), INCARNATION, 1, 0)


class _Directory:
    """Directory with one engine, of a pool that a test chooses."""

    def __init__(self, pool):
        self._pool = pool

    def find(self, upstream):
        address = ids.Address("10.0.0.1:80")
        domain = ids.FailureDomainId("here")
        return directory_entries.Registration(
            upstream, self._pool, address, domain, INCARNATION, 8, False, {MODEL: "1"}
        )


class MovedEngineTest(unittest.TestCase):
    def test_engine_that_has_moved_to_another_pool_gets_no_order(self):
        orders = engine_orders.EngineOrders(
            ids.VmId("vm"), None, None, _Directory(ids.PoolId("other")), None, trio.current_time
        )
        target = engine_orders.Target(POOL, MODEL, 2)
        permit = engine_orders.OrderPermit(1, lambda: None)

        async def main():
            return await orders.update_engine(
                target, ENGINE, lambda: permit, order_links.OrderLinks()
            )

        self.assertIs(trio.run(main), rollout.Step.GIVE_UP)


if __name__ == "__main__":
    unittest.main()
