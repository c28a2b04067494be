"""Formats of the users' platform: names are decoded once, and foreign input breaks nothing."""

import unittest

import hypothesis
from hypothesis import strategies as st

from cicadapier._internal.decisions import rollout
from cicadapier._internal.models import configuration
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import exceptions as model_exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.platform import documents
from cicadapier._internal.platform import engine_calls
from cicadapier._internal.platform import objects
from cicadapier._internal.platform import requests
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import forwarding
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import store_format

FUZZ = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["service", "address", "zone", "state", "slots", "models", "version"]),
            inner,
            max_size=6,
        )
    ),
    max_leaves=10,
)


def stored(name, spec):
    return store_format.StoredObject(name, "7", spec)


def asked(*headers, method="POST", target="/a/b?c"):
    found = [(b"host", b"Desk.example:80"), (b"x-request-id", b"q"), *headers]
    return http_server.Request(method, target, found, b"body")


class RequestFormatTest(unittest.TestCase):
    def setUp(self):
        self.spelling = requests.RequestFormat()

    def test_a_request_is_read_into_typed_fields(self):
        found = self.spelling.read_request(
            asked(
                (b"authorization", b"Token  secret"),
                (b"x-deadline-ms", b"1500"),
                (b"last-event-id", b"3"),
                (b"x-model", b"m"),
                (b"x-token-counts", b"1460, 80"),
                (b"x-prompt-prefix", b"5c:800, 91:410,e4:250"),
            )
        )
        self.assertEqual(
            (found.host, found.key, found.time_left_s), ("desk.example", "secret", 1.5)
        )
        self.assertEqual(found.resume_after, 3)
        self.assertEqual((found.work.prompt_tokens, found.work.output_tokens), (1460, 80))
        self.assertEqual([part.tokens for part in found.work.parts], [800, 410, 250])

    def test_unreadable_values_count_as_absent(self):
        found = self.spelling.read_request(
            asked(
                (b"x-deadline-ms", b"soon"),
                (b"authorization", b"Bearer x"),
                (b"last-event-id", b"-1"),
                (b"x-model", b"m"),
                (b"x-token-counts", b"many"),
                (b"x-prompt-prefix", b"5c:800,broken,e4:250"),
            )
        )
        self.assertIsNone(found.time_left_s)
        self.assertEqual(found.key, "")
        self.assertIsNone(found.resume_after)
        self.assertEqual([part.tokens for part in found.work.parts], [800])

    def test_a_request_without_id_is_refused(self):
        req = http_server.Request("GET", "/", [(b"host", b"x")], b"")
        with self.assertRaises(exceptions.BadRequestError):
            self.spelling.read_request(req)

    def test_the_time_that_is_left_is_passed_on_and_hop_headers_are_not(self):
        found = self.spelling.read_request(
            asked((b"connection", b"close, x-private"), (b"x-private", b"1"), (b"accept", b"*/*"))
        )
        head = self.spelling.make_request_head(
            found, forwarding.Instructions(ids.UpstreamId("i-1"), None, 0.7349)
        )
        named = dict(head.headers)
        self.assertEqual(named[b"x-deadline-ms"], b"734")
        self.assertEqual(named[b"accept"], b"*/*")
        self.assertNotIn(b"x-private", named)
        self.assertNotIn(b"x-tenant", named)
        self.assertEqual(head.target, "/a/b?c")

    def test_only_a_proved_answer_in_plain_is_genuine(self):
        def facts(status, *headers):
            return self.spelling.read_answer(http_client.ResponseHead(status, list(headers)))

        proof = (b"x-server-stamp", b"s")
        named = (b"x-request-id", b"q")
        self.assertTrue(facts(200, proof, named).genuine)
        self.assertFalse(facts(200, named).genuine)
        self.assertFalse(facts(200, proof).genuine)
        self.assertFalse(facts(200, proof, named, (b"content-encoding", b"gzip")).genuine)
        self.assertTrue(facts(503, (b"x-not-executed", b"1")).not_run)
        self.assertTrue(facts(421).not_run)
        self.assertFalse(facts(503).not_run)
        load = facts(200, (b"x-server-load", b"3,1,8")).load
        self.assertEqual((load.running, load.waiting, load.slots), (3, 1, 8))
        self.assertEqual(facts(200, (b"keep-alive", b"timeout=5")).idle_s, 5.0)

    def test_a_promise_is_given_only_where_nothing_ran(self):
        for code in outcomes.RefusalCode:
            for effect in (outcomes.Effect.UNKNOWN, outcomes.Effect.FAILED):
                refusal = outcomes.Refusal(code, "", effect)
                self.assertNotIn(self.spelling.choose_refusal_status(refusal), (408, 421, 429, 503))
        held = outcomes.Refusal(outcomes.RefusalCode.POISON, "")
        self.assertEqual(self.spelling.choose_refusal_status(held), 503)


class DocumentFormatTest(unittest.TestCase):
    def setUp(self):
        self.shapes = documents.DocumentFormat()

    def test_a_registration_is_read(self):
        spec = {
            "service": "lm",
            "address": "10.0.0.9:8080",
            "zone": "north",
            "slots": 64,
            "state": "draining",
            "born": 17,
            "models": [{"name": "m", "version": 4, "adapters": []}],
            "unknown": 1,
        }
        found = self.shapes.read_registration(stored("i-1", spec))
        self.assertEqual(found.incarnation, "i-1@17")
        self.assertTrue(found.leaving)
        self.assertEqual(found.weights, {"m": "4"})

    @FUZZ
    @hypothesis.given(JSON)
    def test_foreign_entries_name_no_upstream_and_raise_nothing(self, spec):
        found = self.shapes.read_registration(stored("x", spec))
        if isinstance(found, directory_entries.Registration):
            self.assertIn(spec["state"], ("ready", "draining"))
        self.shapes.read_target_version(stored("x", spec))

    def test_states_and_addresses_that_are_not_known_are_unreadable(self):
        good = {"service": "s", "address": "10.0.0.1:1", "zone": "z", "slots": 1, "state": "ready"}
        self.assertIsInstance(
            self.shapes.read_registration(stored("x", good)), directory_entries.Registration
        )
        for change in ({"state": "odd"}, {"address": "nowhere"}, {"slots": "1"}):
            found = self.shapes.read_registration(stored("x", {**good, **change}))
            self.assertIsInstance(found, directory_entries.UnreadableEntry)

    def test_a_configuration_is_read(self):
        spec = {
            "version": 7,
            "routes": [
                {
                    "name": "r",
                    "hostname": "H.example",
                    "path_prefix": "/p/",
                    "kind": "streaming",
                    "timeout_ms": 5000,
                    "slo_ms": 600,
                    "traffic_split": [{"service": "a", "weight": 9}, {"service": "b", "weight": 1}],
                    "max_attempts": 2,
                    "resumable": True,
                    "gap_target_ms": 500,
                }
            ],
            "services": [
                {"name": "a", "engine": {"models": [{"name": "m"}], "kv_token_bytes": 163840}},
                {"name": "b"},
                {"name": "k", "kv_store_addr": "172.20.0.2:8781", "zone": "z"},
            ],
            "tenants": [{"name": "t", "api_keys": ["k1"], "priority": 1, "isolated": True}],
            "limits": {"max_header_bytes": 100, "idle_timeout_ms": 15000},
        }
        found = self.shapes.read_configuration(stored("main", spec))
        self.assertEqual(found.number, 7)
        self.assertEqual(found.find_route("h.example", "/p/x"), "r")
        self.assertIsNone(found.find_route("h.example", "/q/"))
        route = found.content.routes["r"]
        self.assertEqual((route.kind, route.objective_s), (configuration.RouteKind.STREAM, 0.6))
        self.assertEqual(found.keep_address, "172.20.0.2:8781")
        self.assertEqual(list(found.accounts_by_key_hash.values()), ["t"])
        self.assertEqual(found.content.caller_limits.header_bytes, 100)

    def test_a_configuration_of_another_shape_is_an_error(self):
        with self.assertRaises(model_exceptions.InvalidDocumentError):
            self.shapes.read_configuration(stored("main", {"routes": 1}))


class ObjectFormatTest(unittest.TestCase):
    def setUp(self):
        self.spelling = objects.ObjectFormat()

    def test_calls_are_spelled_as_the_store_takes_them(self):
        old = store_format.StoredObject("leader", "412", {})
        self.assertEqual(
            self.spelling.list_page("servers", "i-7").target, "/api/objects/servers?after=i-7"
        )
        watch = self.spelling.watch("servers", "530", 2.5)
        self.assertEqual(watch.target, "/api/objects/servers?watch=530&wait_ms=2500")
        watch = self.spelling.watch("servers", "530", 2.5, allow_stale=True)
        self.assertEqual(watch.target, "/api/objects/servers?watch=530&wait_ms=2500&allow_stale=1")
        put = self.spelling.replace("locks", old, {"a": 1})
        self.assertEqual((put.method, put.target), ("PUT", "/api/objects/locks/leader"))
        self.assertEqual(put.body["metadata"], {"name": "leader", "rev": 412})
        self.assertEqual(
            self.spelling.delete("locks", old).target, "/api/objects/locks/leader?rev=412"
        )

    def test_an_answer_older_than_its_question_takes_no_version_back(self):
        changes = self.spelling.read_changes(b'{"events": [], "as_of": 528}', "530")
        self.assertEqual(changes.version, "530")
        changes = self.spelling.read_changes(b'{"events": [], "as_of": 531}', "530")
        self.assertEqual(changes.version, "531")

    def test_a_list_goes_on_after_its_last_name(self):
        item = {"metadata": {"name": "b", "rev": 3}, "spec": {}}
        page = self.spelling.read_page({"items": [item], "has_more": True, "as_of": 9})
        self.assertEqual((page.continue_after, page.version), ("b", "9"))
        page = self.spelling.read_page({"items": [item], "has_more": False, "as_of": 9})
        self.assertEqual(page.continue_after, "")


class EngineCallFormatTest(unittest.TestCase):
    def test_replies_and_reports(self):
        calls = engine_calls.EngineCallFormat()
        body = b'{"models":[{"name":"m","version":3}],"busy":true,"seq":2,"queued":1,"active":5}'
        report = calls.read_report(body, ids.ModelId("m"))
        self.assertEqual(report, rollout.EngineReport(3, True, 2, 5, 1))
        self.assertIsNone(calls.read_report(body, ids.ModelId("other")))
        self.assertIsNone(calls.read_report(b"nonsense", ids.ModelId("m")))
        for status, reply in ((202, "accepted"), (200, "holds_already"), (409, "conflict")):
            head = http_client.ResponseHead(status, [])
            self.assertEqual(calls.read_reply(head).value, reply)
        self.assertIs(calls.read_reply(http_client.ResponseHead(500, [])), rollout.Reply.NONE)


if __name__ == "__main__":
    unittest.main()
