"""Tests forwarded requests end to end against a simulation of the users' platform."""

import dataclasses
import unittest

import trio

from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.standins import forwarding_deployment
from cicadapier._internal.standins import forwarding_store
from cicadapier._internal.standins import forwarding_upstream
from tests import forwarding_world

Fault = forwarding_upstream.UpstreamFault
StoreFault = forwarding_store.StoreFault


class ForwardingTest(unittest.TestCase):
    """Forwarded headers and bodies, refusals, and the choice of the route."""

    def test_method_target_and_body_reach_the_upstream_unchanged(self):
        async def check(world):
            reply = await world.send(
                "POST", "desk", "/look/a%20b?x=%2F&y", b"\x00body", request="q"
            )
            self.assertEqual((reply.status, reply.body), (200, b"answer to \x00body"))
            self.assertEqual(reply.headers["x-server-stamp"], "proof-of-q")
            run = world.runs_for("q")[0]
            self.assertEqual((run.target, run.body), ("/look/a%20b?x=%2F&y", b"\x00body"))
            self.assertEqual(run.headers["host"], "desk")
            self.assertEqual(run.headers["x-tenant"], "press")
            self.assertNotIn("authorization", run.headers)
            self.assertLessEqual(int(run.headers["x-deadline-ms"]), 3000)
            self.assertEqual(run.headers["x-expect-instance"], run.upstream)

        forwarding_world.run_in_world(check)

    def test_headers_reserved_for_the_router_are_dropped_from_requests(self):
        async def check(world):
            forged = [
                (b"x-tenant", b"somebody"),
                (b"x-kv-hold", b"h"),
                (b"kv-from", b"10.0.0.1:80/x"),
                (b"x-cache-salt", b"mine"),
                (b"x-expect-version", b"7"),
            ]
            await world.ask(request="q", extra=forged)
            run = world.runs_for("q")[0]
            self.assertEqual(run.headers["x-tenant"], "press")
            self.assertNotIn("x-kv-hold", run.headers)
            self.assertNotIn("kv-from", run.headers)
            self.assertNotIn("mine", run.headers["x-cache-salt"])
            self.assertEqual(run.headers["x-expect-version"], "1")

        forwarding_world.run_in_world(check)

    def test_unknown_hosts_keys_and_missing_ids_are_refused(self):
        async def check(world):
            self.assertEqual((await world.send("GET", "nobody", "/look/")).status, 404)
            self.assertEqual((await world.send("GET", "desk", "/look/", key="bad")).status, 401)
            self.assertEqual((await world.send("GET", "desk", "/look/", key="")).status, 401)
            self.assertEqual((await world.send("GET", "desk", "/open/", key="")).status, 200)
            self.assertEqual((await world.send("GET", "desk", "/look/", request="")).status, 400)

        forwarding_world.run_in_world(check)

    def test_isolated_accounts_share_no_cache_scope(self):
        async def check(world):
            await world.ask(request="one", key="key-1")
            await world.ask(request="two", key="key-3")
            scopes = [world.runs_for(r)[0].headers["x-cache-salt"] for r in ("one", "two")]
            self.assertNotEqual(*scopes)

        forwarding_world.run_in_world(check)

    def test_route_with_the_longest_prefix_is_chosen(self):
        async def check(world):
            found = forwarding_deployment.routes()
            engines = [configuration.PoolShare(forwarding_deployment.ENGINES)]
            found[ids.RouteId("deep")] = dataclasses.replace(
                found["look"], prefix="/look/deep/", pools=engines
            )
            world.configure(found)
            await trio.sleep(0.2)
            await world.send("GET", "desk", "/look/deep/x", request="q")
            self.assertTrue(world.runs_for("q")[0].upstream.startswith("engine"))

        forwarding_world.run_in_world(check)


class ConfigurationTest(unittest.TestCase):
    """Changes of the configuration, and a store that does not answer."""

    def test_revoked_key_is_refused(self):
        async def check(world):
            world.keys[forwarding_deployment.ACCOUNT].remove("key-1")
            world.configure(forwarding_deployment.routes())
            await trio.sleep(0.3)
            self.assertEqual((await world.send("GET", "desk", "/look/")).status, 401)
            other = await world.send("GET", "desk", "/look/", key="key-2")
            self.assertEqual(other.status, 200)

        forwarding_world.run_in_world(check)

    def test_requests_with_a_key_are_refused_as_not_run_once_the_proof_is_too_old(self):
        for fault in (StoreFault.SILENT, StoreFault.REFUSES, StoreFault.BUSY):
            with self.subTest(fault):

                async def check(world, fault=fault):
                    world.store.faults.add(fault)
                    await trio.sleep(0.1)
                    world.keys[forwarding_deployment.ACCOUNT].remove("key-1")
                    world.configure(forwarding_deployment.routes())
                    await trio.sleep(4.9)
                    reply = await world.send("GET", "desk", "/look/", request="q")
                    self.assertEqual((reply.status, world.runs_for("q")), (503, []))
                    self.assertEqual(await world.readiness_status(), 503)
                    public = await world.send("GET", "desk", "/open/", key="")
                    self.assertEqual(public.status, 200)
                    world.store.faults.clear()
                    await trio.sleep(3.0)
                    self.assertEqual((await world.send("GET", "desk", "/look/")).status, 401)
                    self.assertEqual(await world.readiness_status(), 200)

                forwarding_world.run_in_world(check)

    def test_older_configuration_is_ignored(self):
        async def check(world):
            world.configure(forwarding_deployment.routes(), number=9)
            await trio.sleep(0.2)
            world.configure({}, number=5)
            await trio.sleep(0.2)
            self.assertEqual((await world.send("GET", "desk", "/look/")).status, 200)

        forwarding_world.run_in_world(check)

    def test_configuration_is_listed_again_after_the_store_loses_its_history(self):
        async def check(world):
            world.store.drop_history()
            world.configure({}, number=9)
            world.store.drop_history()
            await trio.sleep(1.5)
            self.assertEqual((await world.send("GET", "desk", "/look/")).status, 404)

        forwarding_world.run_in_world(check)

    def test_router_without_configuration_is_not_ready(self):
        async def check(world):
            world.store.faults.add(StoreFault.SILENT)
            await world.start_router(1)
            await trio.sleep(0.5)
            reply = await world.send("GET", "desk", "/look/", router=1)
            self.assertEqual((reply.status, await world.readiness_status(1)), (503, 503))
            world.store.faults.clear()
            await trio.sleep(3.0)
            reply = await world.send("GET", "desk", "/look/", router=1)
            self.assertEqual((reply.status, await world.readiness_status(1)), (200, 200))

        forwarding_world.run_in_world(check)

    def test_router_cut_off_from_the_store_refuses_while_the_others_serve(self):
        for fault in (StoreFault.SILENT, StoreFault.REFUSES, StoreFault.BUSY):
            with self.subTest(fault):

                async def check(world, fault=fault):
                    world.store_endpoints[0].faults.add(fault)
                    await trio.sleep(5.0)
                    away = await world.send("GET", "desk", "/look/", request="away")
                    served = await world.send("GET", "desk", "/look/", router=1)
                    self.assertEqual((away.status, served.status), (503, 200))
                    self.assertEqual(world.runs_for("away"), [])
                    self.assertEqual(
                        (await world.readiness_status(0), await world.readiness_status(1)),
                        (503, 200),
                    )
                    world.store_endpoints[0].faults.clear()
                    await trio.sleep(3.0)
                    back = await world.send("GET", "desk", "/look/")
                    self.assertEqual((back.status, await world.readiness_status(0)), (200, 200))

                forwarding_world.run_in_world(check, routers=2)


class DrainTest(unittest.TestCase):
    """Upstreams and routers that are leaving."""

    def test_leaving_upstream_gets_no_new_requests(self):
        async def check(world):
            world.mark_leaving("desk-0")
            world.unregister("engine-0")
            await trio.sleep(0.1)
            for number in range(8):
                await world.send("GET", "desk", "/look/", request=f"q{number}")
                await world.ask(request=f"s{number}", parts=f"p{number}:500,z:9")
            used = {run.upstream for run in world.runs}
            self.assertEqual(used, {"desk-1", "engine-1", "engine-2"})

        forwarding_world.run_in_world(check)

    def test_another_upstream_at_a_known_address_does_not_run_the_request(self):
        async def check(world):
            entry = world.upstreams["desk-0"].entry
            renamed = dataclasses.replace(entry, upstream=ids.UpstreamId("somebody"))
            world.upstreams["desk-0"].entry = renamed
            for number in range(6):
                reply = await world.send("POST", "desk", "/order/", request=f"q{number}")
                self.assertEqual(reply.status, 200)
                self.assertEqual(world.runs_for(f"q{number}")[0].upstream, "desk-1")

        forwarding_world.run_in_world(check)

    def test_drained_router_starts_no_request_while_its_other_services_stop(self):
        async def check(world):
            forwarding_world.inject_fault(world, "desk", Fault.SILENT)
            world.routers[0].kernel.stop()
            await trio.sleep(1.0)
            # The silent store delays the removal of the router's entry, so that the router keeps
            # running after its drain.
            world.store.faults.add(StoreFault.SILENT)
            await trio.sleep(1.9)
            reply = await world.send("POST", "desk", "/order/", request="q")
            self.assertEqual((reply.status, world.runs_for("q")), (503, []))

        forwarding_world.run_in_world(check)

    def test_stopping_router_finishes_open_streams_and_still_serves_new_requests(self):
        async def check(world):
            for upstream in world.upstreams.values():
                upstream.events = 150
            replies = []

            async def ask(**options):
                replies.append(await world.ask(**options))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.1)
                world.routers[0].kernel.stop()
                await trio.sleep(0.1)
                self.assertEqual(await world.readiness_status(), 503)
                early = await world.send("GET", "desk", "/look/")
                self.assertEqual(early.status, 200)
                self.assertEqual(early.headers["connection"], "close")
            self.assertEqual(replies[0].numbers[-1], 150)
            self.assertFalse(replies[0].broken)

        forwarding_world.run_in_world(check)


if __name__ == "__main__":
    unittest.main()
