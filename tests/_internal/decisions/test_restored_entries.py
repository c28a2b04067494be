"""The directory is restored from an older copy."""

import dataclasses
import unittest

from cicadapier._internal.decisions import directory
from cicadapier._internal.decisions import restored_entries
from cicadapier._internal.models import directory_entries
from cicadapier._internal.models import ids

MODEL = ids.ModelId("verse")
RESTORED_AT = 100.0


def _entry(name="a", start=1, leaving=False, weights="1"):
    return directory_entries.Registration(
        ids.UpstreamId(name),
        ids.PoolId("pool"),
        ids.Address("10.0.0.1:8000"),
        ids.FailureDomainId("here"),
        ids.Incarnation(f"{name}@{start}"),
        4,
        leaving,
        {MODEL: weights},
    )


class RestoredDirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()

    def _restore(self, *copy, at=RESTORED_AT):
        self.directory.begin_epoch(at)
        return self.directory.replace_all(copy, at)

    def _ids(self):
        return {item.upstream for item in self.directory.registrations()}

    def test_list_before_any_restore_is_believed(self):
        self.directory.put(_entry(leaving=True))
        self.assertIsNone(self.directory.replace_all([_entry()], 1.0))
        self.assertFalse(self.directory.find("a").leaving)

    def test_upstream_that_two_restores_lack_is_retained_from_the_second(self):
        self.directory.put(_entry())
        self._restore()
        self._restore(at=RESTORED_AT + 1.0)
        self.directory.expire(RESTORED_AT + directory.REREGISTRATION_GRACE_S + 0.1)
        self.assertEqual(self._ids(), {"a"})
        self.directory.expire(RESTORED_AT + 1.0 + directory.REREGISTRATION_GRACE_S)
        self.assertEqual(self._ids(), set())

    def test_upstream_that_a_list_lacked_is_doubted_as_one_that_was_removed(self):
        self.directory.put(_entry())
        self.directory.replace_all([], 1.0)
        self.assertEqual(self._restore(_entry()).doubted, {"a"})

    def test_upstream_whose_grace_is_over_is_doubted_in_the_next_epoch(self):
        self.directory.put(_entry())
        self._restore()
        self.directory.expire(RESTORED_AT + directory.REREGISTRATION_GRACE_S)
        difference = self._restore(_entry(), at=RESTORED_AT + 20.0)
        self.assertEqual(difference.doubted, {"a"})

    def test_entry_that_is_written_again_ends_all_doubt(self):
        self.directory.put(_entry())
        self.directory.remove("a", 1.0)
        difference = self._restore(_entry())
        self.assertEqual(difference.doubted, {"a"})
        self.assertEqual(self._ids(), set())
        self.directory.put(_entry())
        self.assertEqual(self._ids(), {"a"})
        self.assertIsNone(self.directory.next_expiry())

    def test_doubt_ends_by_itself_and_is_not_renewed_by_the_next_list(self):
        self.directory.put(_entry())
        self.directory.remove("a", 1.0)
        self._restore(_entry())
        end = RESTORED_AT + restored_entries.REMOVED_DOUBT_S
        self.assertEqual(self.directory.next_expiry(), end)
        self.directory.replace_all([_entry()], end + 1.0)
        self.assertEqual(self._ids(), {"a"})

    def test_removal_in_the_new_epoch_ends_a_doubted_entry(self):
        self.directory.put(_entry())
        self.directory.remove("a", 1.0)
        self._restore(_entry())
        self.directory.remove("a", RESTORED_AT + 1.0)
        self.assertFalse(self.directory.expire(RESTORED_AT + 60.0))
        self.assertEqual(self._ids(), set())

    def test_another_process_of_an_upstream_that_left_is_used(self):
        self.directory.put(_entry(leaving=True))
        self._restore(_entry(start=2))
        self.assertFalse(self.directory.find("a").leaving)

    def test_former_process_is_ignored_and_the_present_one_dropped_after_the_grace(self):
        self.directory.put(_entry())
        self.directory.put(_entry(start=2))
        difference = self._restore(_entry())
        self.assertEqual(difference.replaced, {"a"})
        self.assertEqual(self.directory.find("a").incarnation, "a@2")
        self.directory.expire(RESTORED_AT + directory.REREGISTRATION_GRACE_S)
        self.assertEqual(self._ids(), set())

    def test_odd_entry_of_the_copy_drops_what_was_doubted(self):
        self.directory.put(_entry())
        self.directory.remove("a", 1.0)
        self._restore(_entry())
        self.directory.put(directory_entries.UnreadableEntry("a", "odd"))
        self.assertFalse(self.directory.expire(RESTORED_AT + 60.0))


class MergedWeightsTest(unittest.TestCase):
    def _merged(self, listed, known, start=1):
        entry = restored_entries.merge_weights(
            _entry(weights=listed), _entry(weights=known, start=start)
        )
        return entry.weights[MODEL]

    def test_newer_weights_of_the_same_process_stand(self):
        self.assertEqual(self._merged("3", "10"), "10")
        self.assertEqual(self._merged("10", "3"), "10")
        self.assertEqual(self._merged("3", "10", start=2), "3")

    def test_weights_that_are_no_numbers_are_taken_from_the_list(self):
        self.assertEqual(self._merged("3", "x" * 40), "3")
        self.assertEqual(self._merged("odd", "10"), "odd")
        self.assertEqual(restored_entries.merge_weights(_entry(), None), _entry())

    def test_model_that_is_only_known_is_not_added(self):
        listed = dataclasses.replace(_entry(), weights={})
        self.assertEqual(restored_entries.merge_weights(listed, _entry()).weights, {})


class PastProcessesTest(unittest.TestCase):
    def test_memory_is_bounded_and_forgets_the_oldest(self):
        past = restored_entries.PastProcesses()
        for number in range(2 * restored_entries.MAX_PAST):
            past.record_entry(_entry(start=number, leaving=True), None)
            past.record_removal(_entry(start=number))
        self.assertFalse(past.is_leaving(_entry(start=0)))
        self.assertFalse(past.is_removed(_entry(start=0)))
        self.assertTrue(past.is_leaving(_entry(start=2 * restored_entries.MAX_PAST - 1)))


if __name__ == "__main__":
    unittest.main()
