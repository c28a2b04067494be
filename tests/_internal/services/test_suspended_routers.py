"""Routers that were suspended know how old the weights of their engines are."""

import unittest

import trio

from cicadapier._internal.standins import forwarding_deployment
from tests import forwarding_world
from tests._internal.services import test_old_weights

MAX_AGE_S = 8.0  # Default of `forwarding.weights_ms`.


def ages_of_late_requests(named_before_s, suspended_s, asked_after_s):
    """Returns the ages at which requests begin on old weights after a suspension.

    All clocks of the world stand still meanwhile, except the router's clock of the time since its
    VM booted.

    Args:
        named_before_s: Time from the naming of new weights until the suspension.
        suspended_s: Length of the suspension.
        asked_after_s: Time from its end until the requests.
    """
    ages = []

    async def check(world):
        test_old_weights.refuse_load_orders(world)
        named_at = trio.current_time()
        world.set_target_weights(2)
        if named_before_s:
            await trio.sleep(named_before_s)
        world.suspended_s[0] = suspended_s
        await trio.sleep(asked_after_s - 0.1)
        world.configure(forwarding_deployment.routes())  # The router hears of the store again.
        await trio.sleep(0.1)
        for number in range(3):
            await world.ask(request=f"q{number}")
        old = [run for run in world.runs if run.request.startswith("q")]
        ages.extend(suspended_s + run.at - named_at for run in old)

    forwarding_world.run_in_world(check)
    return ages


class SuspendedRouterTest(unittest.TestCase):
    def test_suspended_time_counts_towards_the_age_of_weights(self):
        for suspended_s in (2.0, 3.0, 5.0):
            with self.subTest(suspended_s):
                # Three seconds after the suspension, the router counts as in touch again.
                ages = ages_of_late_requests(1.0, suspended_s, 3.1)
                self.assertEqual([age for age in ages if age > MAX_AGE_S], [])

    def test_requests_begin_on_old_weights_while_their_age_allows_it(self):
        self.assertEqual(len(ages_of_late_requests(0.5, 2.0, 2.0)), 3)


if __name__ == "__main__":
    unittest.main()
