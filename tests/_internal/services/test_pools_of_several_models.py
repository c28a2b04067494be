"""Weights of pools that serve several models are loaded by any router."""

import unittest

import trio

from cicadapier._internal.models import configuration
from cicadapier._internal.platform import server_formats
from cicadapier._internal.standins import forwarding_deployment
from tests import forwarding_world

MAX_AGE_S = 8.0  # Default of `forwarding.weights_ms`.
OTHER_MODEL = "other-model"


def _serve_another_model(world):
    """Declares and names another model, whose weights are in place, before the one of the world."""
    models = {
        OTHER_MODEL: configuration.Model(""),
        forwarding_deployment.MODEL: configuration.Model(""),
    }
    world.pools[forwarding_deployment.ENGINES] = configuration.Pool(
        configuration.PoolKind.MODEL, models=models, run_backups=True
    )
    world.configure(forwarding_deployment.routes())
    target = server_formats.encode_target_version(OTHER_MODEL, 1)
    world.store.put("versions", OTHER_MODEL, target)


class PoolOfSeveralModelsTest(unittest.TestCase):
    def test_holder_that_stops_is_replaced(self):
        async def check(world):
            _serve_another_model(world)
            await trio.sleep(0.5)
            world.set_target_weights(2)
            await trio.sleep(MAX_AGE_S)
            engines = [u for n, u in world.upstreams.items() if n.startswith("engine")]
            self.assertEqual([engine.weights for engine in engines], [2, 2, 2])
            holder = engines[0].orders[-1][1].holder
            world.stop(holder)
            await trio.sleep(1.0)
            world.set_target_weights(3)
            await trio.sleep(MAX_AGE_S)
            self.assertEqual([engine.weights for engine in engines], [3, 3, 3])

        forwarding_world.run_in_world(check, routers=3)


if __name__ == "__main__":
    unittest.main()
