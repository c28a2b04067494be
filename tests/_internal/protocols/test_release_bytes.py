"""What the release before, 8e9dfa5, sends and writes is the same as what this one does.

A router of that release may run beside one of this release, before and after it.
"""

import unittest

import msgspec

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.protocols import peers_pb2
from cicadapier._internal.services import cluster_service

# Bytes that 8e9dfa5 has written for the digest and the entry below.
DIGEST_BYTES = bytes.fromhex("0a0a0a04766d2d3110031807")
ENTRY_BYTES = b'{"vm":"vm-1","address":"10.0.0.1:7000","generation":3}'

DIGEST = peer_codec.Digest(ids.VmId("vm-1"), 3, ids.ConfigNumber(7))
ENTRY = cluster_service.RouterEntry("vm-1", "10.0.0.1:7000", 3)


class ReleaseBytesTest(unittest.TestCase):
    def test_digest_names_the_configuration_in_the_same_field(self):
        message = peers_pb2.Datagram.FromString(DIGEST_BYTES)
        self.assertEqual(peer_codec.decode_message(message), DIGEST)
        self.assertEqual(peer_codec.encode_message(DIGEST).SerializeToString(), DIGEST_BYTES)

    def test_entry_that_is_written_again_is_the_same(self):
        self.assertEqual(msgspec.json.decode(ENTRY_BYTES, type=cluster_service.RouterEntry), ENTRY)
        self.assertEqual(msgspec.json.encode(ENTRY), ENTRY_BYTES)


if __name__ == "__main__":
    unittest.main()
