"""Which streams another process than the believed one may have begun."""

import unittest

from cicadapier._internal.decisions import stream_beginnings
from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import ids

UPSTREAM = ids.UpstreamId("u")
OLD = ids.Incarnation("u@1")
NEW = ids.Incarnation("u@2")


def origin(request):
    stream = stream_origins.StreamId("press", ids.RequestId(request))
    return stream_origins.Origin(stream, ids.PoolId("models"), "v1")


class BeginningsTest(unittest.TestCase):
    def setUp(self):
        self.beginnings = stream_beginnings.Beginnings()
        for number in range(3):
            self.beginnings.add(origin(f"q{number}"), UPSTREAM, OLD, float(number))

    def _doubted(self, incarnation=NEW, software="v2", certain_until=0.0, upstream=UPSTREAM):
        found = self.beginnings.doubt(upstream, incarnation, software, certain_until)
        self.assertTrue(all(one.doubted for one in found))
        return [one.stream.request for one in found]

    def test_streams_that_began_since_the_directory_was_certain_are_doubted(self):
        self.assertEqual(self._doubted(), ["q0", "q1", "q2"])
        self.assertEqual(self._doubted(certain_until=1.5), ["q2"])

    def test_the_same_process_or_software_or_another_upstream_raises_no_doubt(self):
        self.assertEqual(self._doubted(incarnation=OLD), [])
        self.assertEqual(self._doubted(software="v1"), [])
        self.assertEqual(self._doubted(upstream=ids.UpstreamId("other")), [])

    def test_what_is_remembered_is_bounded(self):
        late = 3.0 + stream_origins.STREAM_LIFE_S
        self.assertIn(origin("q0").stream, self.beginnings)
        for number in range(stream_beginnings.MAX_PER_UPSTREAM + 5):
            self.beginnings.add(origin(f"r{number}"), ids.UpstreamId("other"), OLD, late)
        self.assertNotIn(origin("q0").stream, self.beginnings)
        self.assertEqual(self._doubted(), [])
        found = self._doubted(upstream=ids.UpstreamId("other"))
        self.assertEqual(len(found), stream_beginnings.MAX_PER_UPSTREAM)


if __name__ == "__main__":
    unittest.main()
