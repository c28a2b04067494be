"""Updates between the routers of a large fleet."""

import unittest

import trio

from cicadapier._internal.decisions import cadence
from cicadapier._internal.services import names
from tests import support

ROUTERS = 9
DELIVERY_S = 0.1
TEXT = "the style sheet asks for plain lines. " * 60


def _known_pieces(router):
    """Returns the number of pieces that a router has placed or that peers report as placed."""
    decisions = router.kernel.find(names.TRAFFIC)._traffic
    return sum(len(getattr(state.policy, "piece_rates", ())) for state in decisions.pools.values())


class DomainUpdatesTest(unittest.TestCase):
    def test_placements_reach_only_the_same_domain_at_once_in_a_large_fleet(self):
        self.assertFalse(cadence.gossip_rounds(ROUTERS).shares_traffic)

        async def check(world):
            await trio.sleep(30.0)
            routers = [running.router for running in world.routers.values()]
            domains = [running.cfg.failure_domain for running in world.routers.values()]
            reply = await support.Caller(world, router=0).complete(TEXT)
            self.assertEqual(reply.status, 200)
            await trio.sleep(DELIVERY_S)
            self.assertGreater(_known_pieces(routers[0]), 0)
            for router, domain in zip(routers[1:], domains[1:], strict=True):
                with self.subTest(domain=domain):
                    is_local = domain == domains[0]
                    self.assertEqual(
                        _known_pieces(router), _known_pieces(routers[0]) if is_local else 0
                    )

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT, routers=ROUTERS)
