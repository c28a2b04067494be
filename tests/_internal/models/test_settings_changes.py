"""Tests of what a running router takes over from a changed settings file."""

import dataclasses
import pathlib
import typing
import unittest

from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.models import settings_changes

TABLE = pathlib.Path(__file__).parents[3] / "docs" / "operators" / "settings.md"


def _cfg(**changes):
    return settings.Settings(ids.VmId("vm-1"), ids.FailureDomainId("here"), **changes)


def _dataclass_of(hint):
    """Returns the dataclass in a type hint, also of an optional value; None if there is none."""
    candidates = (hint, *typing.get_args(hint))
    return next((item for item in candidates if dataclasses.is_dataclass(item)), None)


def _walk(kind, prefix=""):
    """Yields the dotted path of each setting, with the paths of the tables around it."""
    hints = typing.get_type_hints(kind)
    for field in dataclasses.fields(kind):
        path = f"{prefix}{field.name}"
        inner = _dataclass_of(hints[field.name])
        if inner is None:
            yield [path]
        else:
            for paths in _walk(inner, f"{path}."):
                yield [path, *paths]


class SettingsChangesTest(unittest.TestCase):
    def test_each_setting_is_in_one_list(self):
        # Guards against a setting of which nobody has decided what a change does (issue 66).
        for paths in _walk(settings.Settings):
            lists = [
                path
                for path in paths
                for known in (settings_changes.LIVE, settings_changes.WAITS_FOR_START)
                if path in known
            ]
            self.assertEqual(len(lists), 1, paths)

    def test_no_list_names_what_does_not_exist(self):
        existing = {path for paths in _walk(settings.Settings) for path in paths}
        self.assertLessEqual(settings_changes.LIVE, existing)
        self.assertLessEqual(settings_changes.WAITS_FOR_START, existing)

    def test_documented_table_says_the_same(self):
        documented = {}
        for line in TABLE.read_text().splitlines():
            cells = [cell.strip() for cell in line.split("|")]
            if len(cells) > 3 and cells[2] in ("taken over", "waits for a start"):
                for name in cells[1].replace("`", "").split(","):
                    documented[name.strip()] = cells[2]
        expected = dict.fromkeys(settings_changes.LIVE, "taken over")
        expected |= dict.fromkeys(settings_changes.WAITS_FOR_START, "waits for a start")
        self.assertEqual(documented, expected)

    def test_live_settings_are_taken_over_and_others_named(self):
        before = _cfg(forwarding=settings.Forwarding())
        after = _cfg(
            drain_s=5.0,
            cache_secret="new",
            forwarding=settings.Forwarding(grace_s=12.0, order_lease_ms=1.0),
        )
        change = settings_changes.take_over(before, after)
        expected = _cfg(drain_s=5.0, forwarding=settings.Forwarding(grace_s=12.0))
        self.assertEqual(change.settings, expected)
        self.assertEqual(change.waiting, ("cache_secret", "forwarding.order_lease_ms"))

    def test_the_interface_does_not_change_at_run_time(self):
        native, forwarding = _cfg(), _cfg(forwarding=settings.Forwarding(grace_s=1.0))
        for before, after in ((native, forwarding), (forwarding, native)):
            change = settings_changes.take_over(before, after)
            self.assertEqual(change, settings_changes.Change(before, ("forwarding",)))

    def test_nothing_changes_without_a_change(self):
        cfg = _cfg()
        self.assertEqual(settings_changes.take_over(cfg, _cfg()), settings_changes.Change(cfg, ()))


class StopLimitTest(unittest.TestCase):
    def test_margin_before_the_kill_remains(self):
        self.assertEqual(_cfg(drain_s=600.0).stop_limit_s, 600.0)
        self.assertEqual(_cfg(forwarding=settings.Forwarding(grace_s=12.0)).stop_limit_s, 11.7)
        self.assertEqual(_cfg(forwarding=settings.Forwarding(grace_s=0.1)).stop_limit_s, 0.0)


if __name__ == "__main__":
    unittest.main()
