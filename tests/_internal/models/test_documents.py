"""Tests of settings files and configurations: each fault is reported with its path and line."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies as st

from cicadapier._internal.models import configuration_parser
from cicadapier._internal.models import documents
from cicadapier._internal.models import exceptions
from cicadapier._internal.models import schema
from cicadapier._internal.models import settings
from tests._internal.models import test_addresses


def faults_of(raw):
    """Returns the description of each fault in a configuration, by path."""
    try:
        configuration_parser.parse(raw)
    except exceptions.InvalidDocumentError as exc:
        return {fault.path: fault.expected for fault in exc.faults}
    return {}


class ConfigurationTest(unittest.TestCase):
    def test_references_and_duplicates_are_checked(self):
        upstream = {"address": "127.0.0.1:1", "failure_domain": "d"}
        found = faults_of(
            {
                "accounts": {"a": {"pools": ["nowhere"], "key_hashes": ["short"]}},
                "pools": {
                    "p": {"kind": "model", "models": {"m": {}}, "upstreams": {"u": upstream}},
                    "q": {"kind": "model", "models": {"m": {}}, "upstreams": {"u": upstream}},
                    "r": {"kind": "service", "keep": "p", "models": {"n": {}}},
                },
            }
        )
        self.assertEqual(
            set(found),
            {
                "accounts.a.pools[0]",
                "accounts.a.key_hashes[0]",
                "pools.q.upstreams.u",
                "pools.q.models.m",
                "pools.r.keep",
                "pools.r.models",
            },
        )

    def test_types_bounds_and_unknown_keys_are_checked(self):
        found = faults_of(
            {"accounts": {"a": {"weight": "heavy", "limits": {"streams": 0}, "colour": 1}}}
        )
        self.assertEqual(
            set(found), {"accounts.a.weight", "accounts.a.limits.streams", "accounts.a.colour"}
        )

    def test_address_that_is_none_is_a_fault(self):
        for address in test_addresses.ODD_ADDRESSES:
            with self.subTest(address[:30]):
                upstream = {"address": address, "failure_domain": "d"}
                found = faults_of(
                    {"pools": {"p": {"kind": "service", "upstreams": {"u": upstream}}}}
                )
                self.assertEqual(set(found), {"pools.p.upstreams.u.address"})

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(st.sampled_from(["accounts", "pools", "x", "kind"]), inner)
            ),
            max_leaves=12,
        )
    )
    def test_any_document_is_accepted_or_its_faults_are_listed(self, raw):
        try:
            value = configuration_parser.parse(raw)
        except exceptions.InvalidDocumentError as exc:
            self.assertTrue(exc.faults)
        else:
            self.assertEqual(configuration_parser.parse(schema.to_plain(value)), value)


class SettingsTest(unittest.TestCase):
    def _load(self, text):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "s.yaml"
            path.write_text(text)
            return settings.load(path)

    def _first_fault(self, text):
        with self.assertRaises(exceptions.InvalidDocumentError) as caught:
            self._load(text)
        return caught.exception.faults[0]

    def test_omitted_settings_have_defaults(self):
        self.assertEqual(self._load("vm: a\nfailure_domain: b\n").listen.callers, "127.0.0.1:8080")

    def test_fault_has_the_line_of_its_value(self):
        fault = self._first_fault("vm: a\nfailure_domain: b\nlisten:\n  callers: 8080\n")
        self.assertEqual((fault.path, fault.line), ("listen.callers", 4))

    def test_missing_key_is_reported(self):
        self.assertEqual(self._first_fault("vm: a\n").path, "failure_domain")

    def test_duplicate_key_is_reported(self):
        self.assertIn("duplicate", self._first_fault("vm: a\nvm: b\nfailure_domain: c\n").expected)

    def test_operator_token_is_required_unless_operators_use_loopback(self):
        text = "vm: a\nfailure_domain: b\nlisten: {operators: '10.0.0.1:1'}\n"
        self.assertEqual(self._first_fault(text).path, "operator_token")

    def test_address_that_is_none_is_reported(self):
        for address in ("10.0.0.1:²", "10.0.0.1:65536", "10.0.0.1", "a b:1"):
            text = f"vm: a\nfailure_domain: b\nlisten: {{callers: '{address}'}}\n"
            self.assertEqual(self._first_fault(text).path, "listen.callers")

    def test_invalid_yaml_and_python_objects_are_rejected(self):
        self.assertIn("YAML", self._first_fault("vm: [a\n").expected)
        with self.assertRaises(exceptions.InvalidDocumentError):
            documents.Document("a: !!python/object:os.system {}")

    def test_value_that_contains_itself_is_a_fault(self):
        for text in ("a: &x\n  b: *x\n", "&x [*x]\n", "a: &x [1, {b: [*x]}]\n", "&x ? *x\n: 1\n"):
            with self.subTest(text), self.assertRaises(exceptions.InvalidDocumentError):
                documents.Document(text)

    def test_deep_document_is_invalid(self):
        for text in ("[" * 5000 + "]" * 5000, "{a: " * 5000 + "1" + "}" * 5000, "[" * 5000):
            with self.subTest(text[:5]), self.assertRaises(exceptions.InvalidDocumentError):
                documents.Document(text)

    def test_document_of_many_aliases_is_read_in_time(self):
        lines = ["a0: &a0 [1]"]
        lines += [f"a{i}: &a{i} [{', '.join([f'*a{i - 1}'] * 10)}]" for i in range(1, 30)]
        self.assertEqual(len(documents.Document("\n".join(lines)).value), 30)

    def test_line_of_a_value_below_an_alias_is_that_of_the_alias(self):
        document = documents.Document("a: &x\n  b: {c: 1}\nd: *x\n")
        self.assertEqual(document.value["d"], {"b": {"c": 1}})
        fault = exceptions.Fault("d.b.c", "another value")
        found = document.add_lines(exceptions.InvalidDocumentError([fault]))
        self.assertEqual(found.faults[0].line, 3)


if __name__ == "__main__":
    unittest.main()
