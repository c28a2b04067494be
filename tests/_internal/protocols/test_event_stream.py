"""Events are cut whole, however their bytes arrive."""

import unittest

import hypothesis
from hypothesis import strategies as st

from cicadapier._internal.protocols import event_stream

FUZZ = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)


class SplitterTest(unittest.TestCase):
    @FUZZ
    @hypothesis.given(
        st.lists(st.sampled_from([b"\n\n", b"\r\n\r\n"]), max_size=8), st.integers(1, 7)
    )
    def test_no_byte_is_lost_and_no_event_is_cut(self, ends, size):
        parts = [b"id: %d\ndata: piece" % number + end for number, end in enumerate(ends, start=1)]
        data = b"".join(parts) + b"id: 99\nda"
        splitter = event_stream.Splitter()
        events = []
        for start in range(0, len(data), size):
            events += splitter.feed(data[start : start + size])
        self.assertEqual([event.raw for event in events], parts)
        self.assertEqual([event.number for event in events], list(range(1, len(parts) + 1)))
        self.assertEqual(splitter.rest, b"id: 99\nda")

    def test_an_event_without_a_number_says_so(self):
        found = event_stream.Splitter().feed(b"data: x\n\nid: seven\n\n")
        self.assertEqual([event.number for event in found], [None, None])

    def test_an_overlong_event_is_noticed(self):
        splitter = event_stream.Splitter()
        splitter.feed(b"x" * (event_stream.MAX_EVENT_BYTES + 1))
        self.assertTrue(splitter.is_overlong)


if __name__ == "__main__":
    unittest.main()
