"""The last client account goes: no key is accepted, on routers that run and on those that start."""

import dataclasses
import unittest

from structlog import testing
import trio

from cicadapier._internal.models import configuration
from cicadapier._internal.platform import wire_headers
from cicadapier._internal.services import names
from cicadapier._internal.standins import forwarding_deployment
from tests import forwarding_world

KEYS = ("key-1", "never-a-key", "")
KNOWN_S = 0.5  # Until all routers know a change.
CONTRACT = "tenants"
REQUIRED = configuration.KeyPolicy.REQUIRED
NOT_ASKED = configuration.KeyPolicy.NOT_ASKED


def _features(world, *names):
    """Sets the contracts that routers which start from now on read in their settings."""
    world.forwarding_settings = dataclasses.replace(
        world.forwarding_settings, platform_features=list(names)
    )


async def _statuses(world, router, path="/order/"):
    """Returns the status of a request with each of the keys."""
    return [(await world.send("POST", "desk", path, key=key, router=router)).status for key in KEYS]


async def _play(world, contracts, changes):
    """Starts a router, makes changes and starts another; returns what both answer, in order."""
    _features(world, *contracts)
    await world.start_router(0)
    await trio.sleep(KNOWN_S)
    for change in changes:
        change(world)
        world.configure(forwarding_deployment.routes())
        await trio.sleep(KNOWN_S)
    await world.start_router(1)
    await trio.sleep(KNOWN_S)
    return [await _statuses(world, router) for router in (0, 1)]


def _empty(world):
    """Leaves an empty list of accounts."""
    world.accounts = {}
    world.key_policy = REQUIRED


def _missing(world):
    """Leaves the list of accounts out."""
    world.accounts = {}
    world.key_policy = NOT_ASKED


def _another(world):
    """Leaves another account."""
    world.accounts = {forwarding_deployment.ISOLATED_ACCOUNT: configuration.Account()}
    world.key_policy = REQUIRED


def _without_keys(world):
    """Leaves an account that has no keys."""
    world.accounts = {forwarding_deployment.ACCOUNT: configuration.Account()}
    world.keys = {}
    world.key_policy = REQUIRED


def _nothing(world):
    """Changes nothing but the number of the configuration."""
    del world


NONE, ALL = [401, 401, 401], [200, 200, 200]


class AccountsRemovedTest(unittest.TestCase):
    """Guards against an empty list of accounts that counts as none, so that any key works."""

    def _check(self, contracts, changes, expected):
        async def check(world):
            found = await _play(world, contracts, changes)
            self.assertEqual(found, [expected, expected])
            for run in world.runs:
                self.assertNotIn(wire_headers.AUTHORIZATION.decode(), run.headers)

        forwarding_world.run_in_world(check, routers=0)

    def test_only_account_is_removed(self):
        for contracts in ((CONTRACT,), ()):
            with self.subTest(contracts):
                self._check(contracts, (_empty,), NONE)
                self._check(contracts, (_empty, _nothing), NONE)

    def test_list_of_accounts_goes_where_the_contract_asks_for_keys(self):
        self._check((CONTRACT,), (_missing,), NONE)
        self._check((CONTRACT,), (_empty, _missing), NONE)

    def test_list_of_accounts_comes_back(self):
        self._check((CONTRACT,), (_missing, _another), NONE)
        self._check((), (_missing, _another), NONE)

    def test_account_without_keys(self):
        self._check((CONTRACT,), (_without_keys,), NONE)

    def test_deployment_without_accounts_is_served_without_a_key(self):
        # No contract asks for keys, and no configuration has accounts.
        self._check((), (_missing,), ALL)

    def test_key_is_refused_in_time_on_a_kept_connection(self):
        async def check(world):
            _empty(world)
            world.configure(forwarding_deployment.routes())
            await trio.sleep(KNOWN_S)
            world.keys = {forwarding_deployment.ACCOUNT: ["key-1"]}
            world.accounts = {forwarding_deployment.ACCOUNT: configuration.Account()}
            self.assertEqual(await _statuses(world, 0), NONE)
            world.configure(forwarding_deployment.routes())
            await trio.sleep(KNOWN_S)
            self.assertEqual(await _statuses(world, 0), [200, 401, 401])

        forwarding_world.run_in_world(check)

    def test_log_and_metrics_say_that_no_key_is_valid(self):
        for change, policy, required in ((_empty, "required", 1), (_missing, "not_asked", 0)):
            with self.subTest(policy):

                async def check(world, change=change, policy=policy, required=required):
                    with testing.capture_logs() as lines:
                        change(world)
                        world.configure(forwarding_deployment.routes())
                        await trio.sleep(KNOWN_S)
                    line = next(x for x in lines if x["event"] == "configuration_in_force")
                    self.assertEqual((line["keys"], line["valid_keys"]), (policy, 0))
                    self.assertEqual(line["log_level"], "warning")
                    telemetry = world.routers[0].kernel.find(names.TELEMETRY)
                    text = telemetry.exposition().decode()
                    self.assertRegex(text, rf"(?m)^cicadapier_keys_required.* {required}\.0$")
                    self.assertRegex(text, r"(?m)^cicadapier_valid_keys.* 0\.0$")

                forwarding_world.run_in_world(check)

    def test_public_routes_stay_open_and_name_no_account(self):
        async def check(world):
            _empty(world)
            world.configure(forwarding_deployment.routes())
            await trio.sleep(KNOWN_S)
            self.assertEqual(await _statuses(world, 0, "/open/"), ALL)

        forwarding_world.run_in_world(check)

    def test_account_that_a_caller_names_is_never_passed_on(self):
        async def check(world):
            for change in (_empty, _missing):
                change(world)
                world.configure(forwarding_deployment.routes())
                await trio.sleep(KNOWN_S)
                for path in ("/open/", "/order/"):
                    extra = [(wire_headers.ACCOUNT, b"tenant-1")]
                    await world.send("POST", "desk", path, extra=extra)
            self.assertEqual(len(world.runs), 3)
            for run in world.runs:
                self.assertNotIn(wire_headers.ACCOUNT.decode(), run.headers)

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
