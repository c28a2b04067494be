"""Routers whose process stood still as new weights were named know how old the news may be."""

import unittest

import trio

from cicadapier._internal.standins import forwarding_deployment
from tests import forwarding_world
from tests._internal.services import test_old_weights

MAX_AGE_S = 8.0  # Default of `forwarding.weights_ms`.


class HeldUpTargetTest(unittest.TestCase):
    def _begin_late(self, stood_still_s, asked_after_s):
        """Returns the ages at which requests begin on old weights.

        The router's process stands still from the naming of new weights on. All clocks of the
        world stand still as well, except the router's clock of the time since its VM booted.

        Args:
            stood_still_s: Time for which it stands still.
            asked_after_s: Time from then until the requests.
        """
        ages = []

        async def check(world):
            test_old_weights.refuse_load_orders(world)
            named_at = trio.current_time()
            world.set_target_weights(2)
            world.suspended_s[0] = stood_still_s
            await trio.sleep(asked_after_s - 0.1)
            world.configure(forwarding_deployment.routes())  # The router hears of the store again.
            await trio.sleep(0.1)
            for number in range(3):
                await world.ask(request=f"q{number}")
            old = [run for run in world.runs if run.request.startswith("q")]
            ages.extend(stood_still_s + run.at - named_at for run in old)

        forwarding_world.run_in_world(check)
        return ages

    def test_news_that_was_held_up_is_as_old_as_the_time_for_which_it_was(self):
        for stood_still_s in (2.0, 3.0, 4.0):
            with self.subTest(stood_still_s):
                ages = self._begin_late(stood_still_s, 5.5)
                self.assertEqual([age for age in ages if age > MAX_AGE_S], [])
                # Three seconds later, the router counts as in touch again.
                ages = self._begin_late(stood_still_s, 3.1 + max(0.0, 2.0 - stood_still_s))
                self.assertEqual([age for age in ages if age > MAX_AGE_S], [])


if __name__ == "__main__":
    unittest.main()
