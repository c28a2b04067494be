"""Tests of a settings file that changes while the process runs."""

import pathlib
import tempfile
import unittest

from structlog import testing

from cicadapier._internal.cli import settings_file
from cicadapier._internal.models import exceptions

TEXT = "vm: vm-1\nfailure_domain: here\ndrain_s: 5\n"
CHANGED = TEXT.replace("5", "9")


class SettingsFileTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "router.yaml"
        self.path.write_text(TEXT)
        self.file = settings_file.SettingsFile(str(self.path))
        self.assertEqual(self.file.load().drain_s, 5.0)

    def test_unchanged_file_is_no_news(self):
        self.assertIsNone(self.file.check())
        self.assertFalse(self.file.is_unsettled)

    def test_change_counts_once_two_reads_agree(self):
        self.path.write_text(CHANGED)
        self.assertIsNone(self.file.check())
        self.assertTrue(self.file.is_unsettled)
        self.assertEqual(self.file.check().drain_s, 9.0)
        self.assertIsNone(self.file.check())

    def test_file_that_is_being_written(self):
        # Its first part alone is valid, and would mean the default of what is missing.
        self.path.write_text(CHANGED[: CHANGED.index("drain_s")])
        self.assertIsNone(self.file.check())
        self.path.write_text(CHANGED)
        self.assertIsNone(self.file.check())
        self.assertEqual(self.file.check().drain_s, 9.0)

    def test_change_that_is_taken_back(self):
        self.path.write_text(CHANGED)
        self.assertIsNone(self.file.check())
        self.path.write_text(TEXT)
        self.assertIsNone(self.file.check())
        self.assertFalse(self.file.is_unsettled)

    def test_invalid_or_missing_file_is_logged_once(self):
        with testing.capture_logs() as logged:
            self.path.write_text("vm: [")
            for _ in range(4):
                self.assertIsNone(self.file.check())
            self.assertEqual(len(logged), 1)
            self.path.unlink()
            for _ in range(4):
                self.assertIsNone(self.file.check())
            self.assertEqual(len(logged), 2)
        self.path.write_text(CHANGED)
        self.assertIsNone(self.file.check())
        self.assertEqual(self.file.check().drain_s, 9.0)

    def test_signal_counts_at_once(self):
        self.path.write_text(CHANGED)
        self.assertEqual(self.file.reload().drain_s, 9.0)
        self.assertIsNone(self.file.check())
        self.path.write_text("vm: [")
        self.assertIsNone(self.file.reload())

    def test_load_raises(self):
        self.path.unlink()
        with self.assertRaises(exceptions.InvalidDocumentError):
            self.file.load()


if __name__ == "__main__":
    unittest.main()
