"""Bounds of rules that change in the settings of a router that runs."""

import dataclasses
import math
import unittest
from unittest import mock

import trio

from cicadapier._internal.assembly import forwarding as forwarding_assembly
from cicadapier._internal.decisions import target_weights
from cicadapier._internal.models import configuration
from cicadapier._internal.models import settings
from cicadapier._internal.services import names
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_store
from tests import forwarding_world

SHORTER_MS = 1000.0
FORMER_MS = 5000.0


def _reload(world, **bounds):
    kernel = world.routers[0].kernel
    changed = dataclasses.replace(kernel.settings.forwarding, **bounds)
    kernel.reload(dataclasses.replace(kernel.settings, forwarding=changed))


class ChangedBoundsTest(unittest.TestCase):
    """Guards against bounds that a router keeps to as they were at its start (issue 66)."""

    def test_keys_are_refused_by_the_shorter_time_once_the_store_is_silent(self):
        async def check(world):
            _reload(world, revoke_ms=SHORTER_MS)
            await trio.sleep(1.0)
            world.store.faults.add(forwarding_store.StoreFault.SILENT)
            await trio.sleep(SHORTER_MS / 1000)
            self.assertEqual((await world.send("POST", "desk", "/order/")).status, 503)
            _reload(world, revoke_ms=FORMER_MS)
            self.assertEqual((await world.send("POST", "desk", "/order/")).status, 200)

        forwarding_world.run_in_world(check)

    def test_shorter_time_refuses_nobody_while_the_store_answers(self):
        async def check(world):
            await trio.sleep(1.3)  # The query under way was sent long ago.
            _reload(world, revoke_ms=SHORTER_MS)
            await trio.sleep(0.1)
            for _ in range(40):
                self.assertEqual((await world.send("POST", "desk", "/order/")).status, 200)
                await trio.sleep(0.05)

        forwarding_world.run_in_world(check)

    def test_budgets_of_retries_and_quotas_follow(self):
        async def check(world):
            kernel = world.routers[0].kernel
            quotas = kernel.find(names.ACCOUNT_QUOTAS)
            quota = configuration.AccountQuota(10.0)
            self.assertEqual(quotas.window_total(quota), 100.0)
            budget = settings.RetryBudget(0.0, 5.0)
            _reload(world, retries=budget, quotas=settings.AccountQuotas(window_s=20.0))
            self.assertEqual(quotas.window_total(quota), 200.0)
            self.assertEqual(world.routers[0].callers._services.retry_budget._settings, budget)

        forwarding_world.run_in_world(check)

    def test_withdrawals_are_looked_for_by_the_changed_time(self):
        async def check(world):
            directory = world.routers[0].kernel.find(names.UPSTREAMS)
            before = directory._watch._watch_options.batch_pause_s
            _reload(world, drain_ms=SHORTER_MS)
            self.assertEqual(directory._watch._watch_options.batch_pause_s, before / 2)

        forwarding_world.run_in_world(check)

    def test_older_weights_expire_by_the_changed_time(self):
        async def check(world):
            weights = world.routers[0].kernel.find(names.TRAFFIC)._traffic.target_weights
            model = forwarding_deployment.MODEL
            _reload(world, weights_ms=math.inf)
            weights.set_target(model, 9, trio.current_time())
            later = trio.current_time() + SHORTER_MS / 1000
            outdated, expired = (
                target_weights.VersionStatus.OUTDATED,
                target_weights.VersionStatus.EXPIRED,
            )
            self.assertIs(weights.status(model, "1", later), outdated)
            _reload(world, weights_ms=SHORTER_MS)
            self.assertIs(weights.status(model, "1", later), expired)

        forwarding_world.run_in_world(check)


class ChangeDuringStartTest(unittest.TestCase):
    def test_settings_that_change_before_the_services_run_are_in_force(self):
        # Guards against a SIGHUP during the start that only some of the services hear of.
        budget = settings.RetryBudget(0.05, 5.0)
        assemble = forwarding_assembly.assemble

        def assemble_and_reload(cfg, forwarding, dependencies):
            router = assemble(cfg, forwarding, dependencies)
            changed = dataclasses.replace(forwarding, retries=budget, grace_s=20.0)
            router.kernel.reload(dataclasses.replace(cfg, forwarding=changed))
            return router

        async def check(world):
            with mock.patch.object(forwarding_assembly, "assemble", assemble_and_reload):
                await world.start_router(0)
            router = world.routers[0]
            self.assertEqual(router.callers._services.retry_budget._settings, budget)
            router.kernel.stop()
            ends_at = router.kernel.stop_times.latest_end
            self.assertAlmostEqual(ends_at - trio.current_time(), 20.0 - settings.KILL_MARGIN_S)

        forwarding_world.run_in_world(check, routers=0)


if __name__ == "__main__":
    unittest.main()
