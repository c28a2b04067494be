"""Documents of which some parts cannot be read."""

import contextlib
import time
import unittest

import hypothesis
from hypothesis import strategies as st
import msgspec

from cicadapier._internal.protocols import partial_json

FUZZ_SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
DEPTH = 50_000
UNREADABLE_VALUES = (
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    b"[" * 3000 + b"}" * 3000,
    b"1e999",
    b"-1.5e400",
    b"9" * 5000,
    b"NaN",
    b"tru",
    b"",
    b"1 2",
    b'"\xff\xfe"',
    b'"\\ud800"',
    b'"a\nb"',
    b'"\\x"',
    b'{"a" 1}',
    b'["],[",}',
)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)
# Bytes that occur in documents, so that many examples are almost valid.
ODD_BYTES = st.lists(
    st.sampled_from(
        [b"[", b"]", b"{", b"}", b",", b":", b'"', b"\\", b'"a"', b"1", b"e9", b" ", b"\n", b"\xff"]
    ),
    max_size=30,
).map(b"".join)
SPACE = st.sampled_from([b"", b" ", b"\n\t "])


class PartialJsonTest(unittest.TestCase):
    @FUZZ_SETTINGS
    @hypothesis.given(JSON_VALUES, st.integers(0, 5))
    def test_readable_document_is_read_as_by_the_decoder(self, value, levels):
        raw = msgspec.json.encode(value)
        self.assertEqual(partial_json.decode(raw, levels), msgspec.json.decode(raw))

    @FUZZ_SETTINGS
    @hypothesis.given(
        st.lists(JSON_VALUES, max_size=4),
        st.integers(0, 4),
        st.sampled_from(UNREADABLE_VALUES),
        SPACE,
    )
    def test_unreadable_item_of_an_array_costs_itself_alone(self, values, index, odd, space):
        encoded = [msgspec.json.encode(value) for value in values]
        index = min(index, len(values))
        encoded.insert(index, odd)
        hypothesis.assume(odd or len(encoded) > 1)
        raw = space + b"[" + (space + b"," + space).join(encoded) + space + b"]" + space
        found = partial_json.decode(raw, 1)
        self.assertIsInstance(found.pop(index), partial_json.Unreadable)
        self.assertEqual(found, [msgspec.json.decode(item) for item in encoded if item != odd])

    @FUZZ_SETTINGS
    @hypothesis.given(
        st.dictionaries(st.text(), JSON_VALUES, max_size=4),
        st.text(),
        st.sampled_from(UNREADABLE_VALUES),
        SPACE,
    )
    def test_unreadable_member_of_an_object_costs_itself_alone(self, values, name, odd, space):
        values.pop(name, None)
        members = [(key, msgspec.json.encode(value)) for key, value in values.items()]
        members.insert(len(members) // 2, (name, odd))
        encoded = [msgspec.json.encode(key) + space + b":" + value for key, value in members]
        raw = b"{" + space + (b"," + space).join(encoded) + b"}"
        found = partial_json.decode(raw, 1)
        self.assertIsInstance(found.pop(name), partial_json.Unreadable)
        self.assertEqual(found, msgspec.json.decode(msgspec.json.encode(values)))

    def test_part_below_the_levels_makes_the_part_around_it_unreadable(self):
        raw = b'{"items":[{"name":"a","spec":{"x":1e999,"y":1}},{"name":"b","spec":2}]}'
        items = partial_json.decode(raw, 3)["items"]
        self.assertEqual(items[0]["name"], "a")
        self.assertIsInstance(items[0]["spec"], partial_json.Unreadable)
        self.assertEqual(items[1], {"name": "b", "spec": 2})
        items = partial_json.decode(raw, 2)["items"]
        self.assertIsInstance(items[0], partial_json.Unreadable)
        self.assertEqual(items[1], {"name": "b", "spec": 2})
        self.assertIsInstance(partial_json.decode(raw, 0), partial_json.Unreadable)

    @FUZZ_SETTINGS
    @hypothesis.given(ODD_BYTES | st.binary(max_size=60), st.integers(0, 5))
    def test_no_bytes_raise_an_exception(self, raw, levels):
        found = partial_json.decode(raw, levels)
        with contextlib.suppress(msgspec.MsgspecError):
            self.assertEqual(found, msgspec.json.decode(raw))

    def test_document_whose_items_cannot_be_told_apart_is_unreadable(self):
        for raw in (b"", b"[1,", b'["a]', b"[1]]", b"[1}", b'{"a":[}', b"{1:2}", b'{"a":"\\"}'):
            with self.subTest(raw):
                self.assertIsInstance(partial_json.decode(raw, 4), partial_json.Unreadable)

    def test_time_grows_with_the_length_alone(self):
        size = 1_000_000
        for odd in (
            b"[" * size,
            b'["' + b'\\"' * (size // 2),
            b'{"a":' * (size // 5),
            b"[" + b'"",' * (size // 3) + b"1e999]",
            b"[" * 100 + b"\\" * size,
        ):
            with self.subTest(odd[:10]):
                started_at = time.process_time()
                partial_json.decode(odd, 4)
                self.assertLess(time.process_time() - started_at, 5.0)


if __name__ == "__main__":
    unittest.main()
