"""Tests of the formats of the users' platform, also with input that is not valid."""

import unittest

import hypothesis
from hypothesis import strategies as st
import msgspec
from structlog import testing

from cicadapier._internal.decisions import rollout
from cicadapier._internal.decisions.scarcity import urgency
from cicadapier._internal.models import configuration
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import exceptions as model_exceptions
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.models import store_versions
from cicadapier._internal.platform import documents
from cicadapier._internal.platform import engine_calls
from cicadapier._internal.platform import objects
from cicadapier._internal.platform import requests
from cicadapier._internal.platform import server_formats
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import forwarding
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import store_format

FUZZ_SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)
JSON_VALUES = st.recursive(
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


def _version(revision, epoch=None):
    return store_versions.StoreVersion(epoch, str(revision))


def make_stored_object(name, spec):
    return store_format.StoredObject(name, _version(7), spec)


def make_request(*headers, method="POST", target="/a/b?c"):
    all_headers = [(b"host", b"Desk.example:80"), (b"x-request-id", b"q"), *headers]
    return http_server.Request(method, target, all_headers, b"body")


class RequestFormatTest(unittest.TestCase):
    def setUp(self):
        self.request_format = requests.RequestFormat()

    def test_request_is_parsed_into_typed_fields(self):
        request = self.request_format.read_request(
            make_request(
                (b"authorization", b"Token  secret"),
                (b"x-deadline-ms", b"1500"),
                (b"last-event-id", b"3"),
                (b"x-model", b"m"),
                (b"x-token-counts", b"1460, 80"),
                (b"x-prompt-prefix", b"5c:800, 91:410,e4:250"),
            )
        )
        self.assertEqual(
            (request.host, request.key, request.time_left_s), ("desk.example", "secret", 1.5)
        )
        self.assertEqual(request.resume_after, 3)
        self.assertEqual((request.work.prompt_tokens, request.work.output_tokens), (1460, 80))
        self.assertEqual([part.tokens for part in request.work.parts], [800, 410, 250])

    def test_unreadable_values_are_treated_as_absent(self):
        request = self.request_format.read_request(
            make_request(
                (b"x-deadline-ms", b"soon"),
                (b"authorization", b"Bearer x"),
                (b"last-event-id", b"-1"),
                (b"x-model", b"m"),
                (b"x-token-counts", b"many"),
                (b"x-prompt-prefix", b"5c:800,broken,e4:250"),
            )
        )
        self.assertIsNone(request.time_left_s)
        self.assertEqual(request.key, "")
        self.assertIsNone(request.resume_after)
        self.assertFalse(request.is_resumption_readable)
        self.assertEqual([part.tokens for part in request.work.parts], [800])

    def test_request_without_id_is_rejected(self):
        req = http_server.Request("GET", "/", [(b"host", b"x")], b"")
        with self.assertRaises(exceptions.BadRequestError):
            self.request_format.read_request(req)

    def test_upstreams_are_told_the_urgency_of_the_router_and_not_of_the_caller(self):
        request = self.request_format.read_request(make_request((b"x-request-priority", b"0")))
        for known, expected in ((None, None), (urgency.Urgency(2), b"2")):
            head = self.request_format.make_request_head(
                request, forwarding.Instructions(ids.UpstreamId("i-1"), None, 1.0, urgency=known)
            )
            self.assertEqual(dict(head.headers).get(b"x-request-priority"), expected)

    def test_remaining_time_is_forwarded_and_hop_by_hop_headers_are_removed(self):
        request = self.request_format.read_request(
            make_request(
                (b"connection", b"close, x-private"), (b"x-private", b"1"), (b"accept", b"*/*")
            )
        )
        head = self.request_format.make_request_head(
            request, forwarding.Instructions(ids.UpstreamId("i-1"), None, 0.7349)
        )
        sent_headers = dict(head.headers)
        self.assertEqual(sent_headers[b"x-deadline-ms"], b"734")
        self.assertEqual(sent_headers[b"accept"], b"*/*")
        self.assertNotIn(b"x-private", sent_headers)
        self.assertNotIn(b"x-tenant", sent_headers)
        self.assertEqual(head.target, "/a/b?c")

    def test_only_unencoded_answer_with_proof_is_genuine(self):
        def read_answer_facts(status, *headers):
            return self.request_format.read_answer(http_client.ResponseHead(status, list(headers)))

        proof = (b"x-server-stamp", b"s")
        request_id = (b"x-request-id", b"q")
        self.assertTrue(read_answer_facts(200, proof, request_id).genuine)
        self.assertFalse(read_answer_facts(200, request_id).genuine)
        self.assertFalse(read_answer_facts(200, proof).genuine)
        self.assertFalse(read_answer_facts(200, (proof[0], b""), request_id).genuine)
        self.assertFalse(read_answer_facts(200, proof, (request_id[0], b"")).genuine)
        self.assertFalse(
            read_answer_facts(200, proof, request_id, (b"content-encoding", b"gzip")).genuine
        )
        self.assertTrue(read_answer_facts(503, (b"x-not-executed", b"1")).not_run)
        self.assertTrue(read_answer_facts(421).not_run)
        self.assertFalse(read_answer_facts(503).not_run)
        load = read_answer_facts(200, (b"x-server-load", b"3,1,8")).load
        self.assertEqual((load.running, load.waiting, load.slots), (3, 1, 8))
        self.assertEqual(read_answer_facts(200, (b"keep-alive", b"timeout=5")).idle_s, 5.0)

    def test_not_run_statuses_are_sent_only_if_the_request_has_not_run(self):
        for code in outcomes.RefusalCode:
            for effect in (outcomes.Effect.UNKNOWN, outcomes.Effect.FAILED):
                refusal = outcomes.Refusal(code, "", effect)
                self.assertNotIn(
                    self.request_format.choose_refusal_status(refusal), (408, 421, 429, 503)
                )
        blocked = outcomes.Refusal(outcomes.RefusalCode.POISON, "")
        self.assertEqual(self.request_format.choose_refusal_status(blocked), 503)


class StatedTokensTest(unittest.TestCase):
    def read(self, *raw):
        headers = [(b"x-token-counts", value) for value in raw]
        return requests.RequestFormat().read_request(make_request(*headers)).stated_tokens

    def test_both_counts_are_added(self):
        self.assertEqual(self.read(b"1460, 80"), 1540)

    def test_odd_counts_are_none(self):
        self.assertIsNone(self.read())
        for raw in (
            b"",
            b"1460",
            b"1,2,3",
            b"-5,80",
            b"1e9,1",
            b"x,y",
            b"9" * 40 + b",1",
            b"\xb2,1",
        ):
            self.assertIsNone(self.read(raw))


class DocumentFormatTest(unittest.TestCase):
    def setUp(self):
        self.document_format = documents.DocumentFormat()

    def test_registration_is_read(self):
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
        registration = self.document_format.read_registration(make_stored_object("i-1", spec))
        self.assertEqual(registration.incarnation, "i-1@17")
        self.assertTrue(registration.leaving)
        self.assertEqual(registration.weights, {"m": "4"})

    @FUZZ_SETTINGS
    @hypothesis.given(JSON_VALUES)
    def test_arbitrary_entries_raise_no_exception(self, spec):
        entry = self.document_format.read_registration(make_stored_object("x", spec))
        if isinstance(entry, directory_entries.Registration):
            self.assertIn(spec["state"], ("ready", "draining"))
        self.document_format.read_target_version(make_stored_object("x", spec))

    def test_registration_with_an_invalid_value_is_unreadable(self):
        valid = {"service": "s", "address": "10.0.0.1:1", "zone": "z", "slots": 1, "state": "ready"}
        self.assertIsInstance(
            self.document_format.read_registration(make_stored_object("x", valid)),
            directory_entries.Registration,
        )
        for change in ({"state": "odd"}, {"address": "nowhere"}, {"slots": "1"}):
            entry = self.document_format.read_registration(
                make_stored_object("x", {**valid, **change})
            )
            self.assertIsInstance(entry, directory_entries.UnreadableEntry)

    def test_configuration_is_read(self):
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
        current = self.document_format.read_configuration(make_stored_object("main", spec))
        self.assertEqual(current.number, 7)
        self.assertEqual(current.find_route("h.example", "/p/x"), "r")
        self.assertIsNone(current.find_route("h.example", "/q/"))
        route = current.content.routes["r"]
        self.assertEqual((route.kind, route.objective_s), (configuration.RouteKind.STREAM, 0.6))
        self.assertEqual(current.keep_address, "172.20.0.2:8781")
        self.assertEqual(list(current.accounts_by_key_hash.values()), ["t"])
        self.assertEqual(current.content.caller_limits.header_bytes, 100)

    def read_quota(self, **fields):
        spec = {"version": 7, "tenants": [{"name": "t", **fields}]}
        current = self.document_format.read_configuration(make_stored_object("main", spec))
        return current.content.accounts["t"].quota

    def test_a_quota_is_read(self):
        unit = configuration.QuotaUnit
        quota = self.read_quota(unit="token_stream", uncached_tokens=200, rate_per_s=50, burst=70)
        self.assertEqual(quota, configuration.AccountQuota(50, 70, unit.TOKENS, 200))
        self.assertEqual(self.read_quota(rate_per_s=2.5).unit, unit.REQUESTS)
        for fields in ({}, {"rate_per_s": 0, "burst": 9}, {"rate_per_s": None}):
            self.assertIsNone(self.read_quota(**fields))

    def test_a_quota_that_makes_no_sense_limits_nothing_and_is_logged_once(self):
        with testing.capture_logs() as lines:
            for _ in range(3):
                self.assertIsNone(self.read_quota(rate_per_s=-1))
                self.assertIsNone(self.read_quota(rate_per_s=5, burst=-1))
        self.assertEqual(len(lines), 1)
        quota = self.read_quota(rate_per_s=1e300, burst=1e300)
        self.assertLessEqual(quota.rate_per_s, 2**53)

    def test_a_quota_of_the_wrong_type_does_not_spoil_the_configuration(self):
        with testing.capture_logs() as lines:
            for fields in ({"rate_per_s": "many"}, {"rate_per_s": 5, "burst": [1]}):
                self.assertIsNone(self.read_quota(**fields))
            quota = self.read_quota(rate_per_s=5, unit=7)
            self.assertIs(quota.unit, configuration.QuotaUnit.REQUESTS)
        self.assertEqual(len(lines), 2)

    def test_an_unknown_unit_counts_requests_and_is_logged_once(self):
        with testing.capture_logs() as lines:
            for _ in range(3):
                quota = self.read_quota(unit="bytes", rate_per_s=5)
                self.assertIs(quota.unit, configuration.QuotaUnit.REQUESTS)
        self.assertEqual(len(lines), 1)

    def test_a_quota_survives_the_format_of_the_stand_ins(self):
        quota = configuration.AccountQuota(50, 70, configuration.QuotaUnit.TOKENS, 200)
        account = configuration.Account(quota=quota)
        content = configuration.Configuration(accounts={ids.AccountId("t"): account})
        numbered = configuration.NumberedConfiguration(ids.ConfigNumber(3), content)
        spec = server_formats.encode_configuration(numbered, {})
        current = self.document_format.read_configuration(make_stored_object("main", spec))
        self.assertEqual(current.content.accounts["t"].quota, quota)

    def _read_policy(self, asks_for_keys, **fields):
        document_format = documents.DocumentFormat(asks_for_keys=asks_for_keys)
        item = make_stored_object("main", {"version": 3, **fields})
        return document_format.read_configuration(item).key_policy

    def test_empty_list_of_accounts_is_not_a_missing_one(self):
        required = configuration.KeyPolicy.REQUIRED
        for asks_for_keys in (False, True):
            self.assertIs(self._read_policy(asks_for_keys, tenants=[]), required)
            self.assertIs(self._read_policy(asks_for_keys, tenants=[{"name": "t"}]), required)
        self.assertIs(self._read_policy(True), required)
        self.assertIs(self._read_policy(False), configuration.KeyPolicy.NOT_ASKED)

    def test_null_list_of_accounts_is_invalid(self):
        for tenants in (None, [{"name": "t", "api_keys": None}]):
            with self.assertRaises(model_exceptions.InvalidDocumentError):
                self._read_policy(False, tenants=tenants)

    def test_policy_survives_the_format_of_the_stand_ins(self):
        for policy in configuration.KeyPolicy:
            numbered = configuration.NumberedConfiguration(
                ids.ConfigNumber(3), configuration.Configuration(), policy
            )
            spec = server_formats.encode_configuration(numbered, {})
            current = self.document_format.read_configuration(make_stored_object("main", spec))
            self.assertIs(current.key_policy, policy)

    def test_configuration_with_an_invalid_structure_raises_an_error(self):
        with self.assertRaises(model_exceptions.InvalidDocumentError):
            self.document_format.read_configuration(make_stored_object("main", {"routes": 1}))


class ObjectFormatTest(unittest.TestCase):
    def setUp(self):
        self.object_format = objects.ObjectFormat()

    def test_requests_have_the_format_of_the_store(self):
        old = store_format.StoredObject("leader", _version(412), {})
        self.assertEqual(
            self.object_format.list_page("servers", "i-7").target, "/api/objects/servers?after=i-7"
        )
        watch = self.object_format.watch("servers", _version(530), 2.5)
        self.assertEqual(watch.target, "/api/objects/servers?watch=530&wait_ms=2500")
        watch = self.object_format.watch("servers", _version(530), 2.5, allow_stale=True)
        self.assertEqual(watch.target, "/api/objects/servers?watch=530&wait_ms=2500&allow_stale=1")
        put = self.object_format.replace("locks", old, {"a": 1})
        self.assertEqual((put.method, put.target), ("PUT", "/api/objects/locks/leader"))
        self.assertEqual(put.body["metadata"], {"name": "leader", "rev": 412})
        self.assertEqual(
            self.object_format.delete("locks", old).target, "/api/objects/locks/leader?rev=412"
        )

    def test_stale_response_does_not_decrease_the_version(self):
        changes = self.object_format.read_changes(b'{"events": [], "as_of": 528}', _version(530))
        self.assertEqual(changes.version, _version(530))
        changes = self.object_format.read_changes(b'{"events": [], "as_of": 531}', _version(530))
        self.assertEqual(changes.version, _version(531))

    def test_list_continues_after_the_last_name_of_a_page(self):
        item = {"metadata": {"name": "b", "rev": 3}, "spec": {}}
        page = self.object_format.read_page({"items": [item], "has_more": True, "as_of": 9}, None)
        self.assertEqual((page.continue_after, page.version), ("b", _version(9)))
        page = self.object_format.read_page({"items": [item], "has_more": False, "as_of": 9}, None)
        self.assertEqual(page.continue_after, "")

    def test_list_continues_after_the_last_name_that_can_be_read(self):
        items = [{"metadata": {"name": "b", "rev": 3}}, {"metadata": {"rev": 4}}, 7]
        page = self.object_format.read_page({"items": items, "has_more": True, "as_of": 9}, None)
        self.assertEqual((page.continue_after, page.unnamed), ("b", 2))
        page = self.object_format.read_page(
            {"items": items[1:], "has_more": False, "as_of": 9}, None
        )
        self.assertEqual((page.continue_after, page.unnamed), ("", 2))
        with self.assertRaises(msgspec.ValidationError):
            self.object_format.read_page({"items": items[1:], "has_more": True, "as_of": 9}, None)

    def test_changes_whose_objects_cannot_be_read_cost_themselves_alone(self):
        deep = b"[" * 5000 + b"]" * 5000
        events = [
            b'{"object":{"metadata":{"name":"a","rev":3},"spec":' + deep + b'},"deleted":true}',
            b'{"object":{"metadata":' + deep + b"}}",
            b'{"object":' + deep + b"}",
            deep,
            b'{"object":{"metadata":{"name":"b","rev":4},"spec":{"slots":1e999}}}',
            b'{"object":{"metadata":{"name":"c","rev":5},"spec":1}}',
        ]
        body = b'{"events":[' + b",".join(events) + b'],"as_of":5}'
        changes = self.object_format.read_changes(body, _version(2))
        self.assertEqual((changes.version, changes.unnamed), (_version(5), 3))
        found = [(change.object.name, change.deleted) for change in changes.changes]
        self.assertEqual(found, [("a", True), ("b", False), ("c", False)])
        self.assertIsInstance(changes.changes[1].object.spec, partial_json.Unreadable)
        self.assertEqual(changes.changes[2].object.spec, 1)


class EngineCallFormatTest(unittest.TestCase):
    def test_replies_and_reports_are_read(self):
        call_format = engine_calls.EngineCallFormat()
        body = b'{"models":[{"name":"m","version":3}],"busy":true,"seq":2,"queued":1,"active":5}'
        report = call_format.read_report(body, ids.ModelId("m"))
        self.assertEqual(report, rollout.EngineReport(3, True, 2, 5, 1))
        self.assertIsNone(call_format.read_report(body, ids.ModelId("other")))
        self.assertIsNone(call_format.read_report(b"nonsense", ids.ModelId("m")))
        for status, reply in ((202, "accepted"), (200, "holds_already"), (409, "conflict")):
            head = http_client.ResponseHead(status, [])
            self.assertEqual(call_format.read_reply(head).value, reply)
        self.assertIs(call_format.read_reply(http_client.ResponseHead(500, [])), rollout.Reply.NONE)


if __name__ == "__main__":
    unittest.main()
