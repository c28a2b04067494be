"""Tests that event streams are split correctly, whatever the size of the received parts."""

import unittest

import hypothesis
from hypothesis import strategies as st

from cicadapier._internal.protocols import event_stream

FUZZ_SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)


class SplitterTest(unittest.TestCase):
    @FUZZ_SETTINGS
    @hypothesis.given(
        st.lists(st.sampled_from([b"\n\n", b"\r\n\r\n"]), max_size=8), st.integers(1, 7)
    )
    def test_events_are_complete_and_no_byte_is_lost(self, terminators, size):
        expected = [
            b"id: %d\ndata: piece" % number + terminator
            for number, terminator in enumerate(terminators, start=1)
        ]
        data = b"".join(expected) + b"id: 99\nda"
        splitter = event_stream.Splitter()
        events = []
        for start in range(0, len(data), size):
            events += splitter.feed(data[start : start + size])
        self.assertEqual([event.raw for event in events], expected)
        self.assertEqual([event.number for event in events], list(range(1, len(expected) + 1)))
        self.assertEqual(splitter.rest, b"id: 99\nda")

    def test_number_is_none_without_a_numeric_id(self):
        events = event_stream.Splitter().feed(b"data: x\n\nid: seven\n\n")
        self.assertEqual([event.number for event in events], [None, None])

    def test_events_that_run_into_each_other_are_malformed(self):
        for raw in (
            b"id: 3\ndata: pieHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
            b"id: 3\ndata: pieHTTP/1.1 500 Internal Server Error\r\n\r\n",
            b"id: 3\r\ndata: pieHTTP/1.1 500 x\r\nX-Request-Id: q\r\n\r\n",
            b"id: 3\nid: 1\ndata: x\n\n",
            b"id: 3\ndaid: 1\ndata: x\n\n",
            b"data: x\n\n",
        ):
            with self.subTest(raw):
                self.assertFalse(event_stream.Event(raw, 3).is_well_formed())

    def test_events_of_the_format_are_well_formed(self):
        for raw in (
            b"id: 3\ndata: HTTP/1.1 500 Internal Server Error\n\n",
            b"id: 3\r\ndata: x\r\ndata: y\r\n\r\n",
            b"id: 3\rdata: x\r\r",
            b": note\nevent: piece\nretry: 10\nid: 3\ndata\n\n",
        ):
            with self.subTest(raw):
                self.assertTrue(event_stream.Event(raw, 3).is_well_formed())
        changed = event_stream.Event(b"weights: 2\nid: 3\ndata: x\n\n", 3)
        self.assertTrue(changed.is_well_formed(frozenset((b"weights",))))

    def test_overlong_event_is_detected(self):
        splitter = event_stream.Splitter()
        splitter.feed(b"x" * (event_stream.MAX_EVENT_BYTES + 1))
        self.assertTrue(splitter.is_overlong)


if __name__ == "__main__":
    unittest.main()
