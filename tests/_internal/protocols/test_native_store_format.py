"""The own store format reads answers of which some objects cannot be read."""

import unittest

from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import native_store_format
from cicadapier._internal.protocols import partial_json

DEEP = b"[" * 5000 + b"]" * 5000


class NativeStoreFormatTest(unittest.TestCase):
    def test_change_with_unreadable_content_costs_itself_alone(self):
        lines = [
            b'{"type":"ADDED","object":{"metadata":{"name":"a","resourceVersion":"3"},"spec":'
            + DEEP
            + b"}}",
            b'{"type":"DELETED","object":{"metadata":{"name":"b","resourceVersion":"4"}}}',
        ]
        store_format = native_store_format.NativeStoreFormat()
        changes = store_format.read_changes(
            b"\n".join(lines), store_versions.StoreVersion(None, "2")
        )
        self.assertEqual([change.object.name for change in changes.changes], ["a", "b"])
        self.assertIsInstance(changes.changes[0].object.spec, partial_json.Unreadable)
        self.assertEqual(changes.version, store_versions.StoreVersion(None, "4"))


if __name__ == "__main__":
    unittest.main()
