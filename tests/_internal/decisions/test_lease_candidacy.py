"""Routers try to take the order lease in turns."""

import unittest

from cicadapier._internal.decisions import lease_candidacy

NEVER = -float("inf")


def _vacancy(last_holder=None, hand_overs=0, changed_at=NEVER):
    return lease_candidacy.Vacancy("engines", 10.0, last_holder, hand_overs, changed_at)


class LeaseCandidacyTest(unittest.TestCase):
    def _attempts(self, routers, vacancy):
        return sorted(
            lease_candidacy.earliest_attempt(vm, routers, vacancy, NEVER) for vm in routers
        )

    def test_last_holder_goes_first(self):
        routers = [f"vm-{i}" for i in range(4)]
        vacancy = _vacancy("vm-2")
        attempts = {
            vm: lease_candidacy.earliest_attempt(vm, routers, vacancy, NEVER) for vm in routers
        }
        self.assertEqual(attempts.pop("vm-2"), 10.0)
        self.assertGreaterEqual(
            min(attempts.values()), 10.0 + lease_candidacy.LAST_HOLDER_HEAD_START_S
        )

    def test_nobody_waits_for_a_holder_that_has_handed_the_lease_over(self):
        routers = [f"vm-{i}" for i in range(4)]
        vacancy = _vacancy("vm-9", 1, 11.0)
        self.assertEqual(self._attempts(routers, vacancy)[0], 11.0)
        self.assertLess(self._attempts(routers, vacancy)[-1], 11.2)

    def test_router_that_has_handed_the_lease_over_leaves_it_to_the_others(self):
        routers = [f"vm-{i}" for i in range(4)]
        for last_holder in ("vm-2", "vm-9"):
            earliest = lease_candidacy.earliest_attempt(
                "vm-2", routers, _vacancy(last_holder, 1, 11.0), 11.0
            )
            self.assertEqual(earliest, 11.0 + lease_candidacy.HANDED_OVER_PAUSE_S)

    def test_lease_that_nobody_can_use_is_taken_less_and_less_often(self):
        routers = [f"vm-{i}" for i in range(24)]
        waits = [
            self._attempts(routers, _vacancy("vm-99", count, 11.0))[0] - 11.0
            for count in range(1, 9)
        ]
        self.assertEqual(waits, sorted(waits))
        self.assertLess(waits[3], 0.5)
        self.assertEqual(round(waits[-1], 6), lease_candidacy.MAX_BACKOFF_S)

    def test_routers_that_cannot_use_the_lease_keep_no_other_router_from_it(self):
        hold_s = 0.65  # From taking the lease until it is handed over.
        for count in (8, 24, 77):
            routers = [f"vm-{i}" for i in range(count)]
            handed_over_at = dict.fromkeys(routers, NEVER)
            vacancy = _vacancy("vm-99", 0, 10.0)
            for number in range(24):
                attempts = {
                    vm: lease_candidacy.earliest_attempt(vm, routers, vacancy, at)
                    for vm, at in handed_over_at.items()
                }
                holder = min(attempts, key=attempts.get)
                handed_over_at[holder] = attempts[holder] + hold_s
                vacancy = _vacancy(holder, number + 1, handed_over_at[holder])
            tried = [vm for vm, at in handed_over_at.items() if at > NEVER]
            self.assertGreaterEqual(len(tried), min(count, 12) * 3 // 4, count)

    def test_routers_take_turns_again_in_a_rollout_long_after_a_hand_over(self):
        routers = [f"vm-{i}" for i in range(24)]
        vacancy = lease_candidacy.Vacancy("engines", 100.0, "vm-99", 1, 11.0)
        attempts = self._attempts(routers, vacancy)
        self.assertEqual(attempts[0], 100.0)
        self.assertEqual(attempts.count(100.0), 1)

    def test_turns_make_no_router_wait_longer_than_one_rank_after_the_other_would(self):
        for count in (4, 8, 24, 77):
            for last_holder in (None, "vm-99"):
                attempts = self._attempts([f"vm-{i}" for i in range(count)], _vacancy(last_holder))
                head_start_s = lease_candidacy.LAST_HOLDER_HEAD_START_S if last_holder else 0.0
                for rank, attempt in enumerate(attempts):
                    latest = 10.0 + head_start_s + lease_candidacy.TURN_S * rank
                    self.assertLessEqual(attempt, latest + 1e-9, (count, last_holder, rank))

    def test_large_fleet_has_tried_within_few_turns(self):
        for count in (24, 77, 300):
            attempts = self._attempts([f"vm-{i}" for i in range(count)], _vacancy())
            self.assertEqual(attempts.count(10.0), 1)
            self.assertLessEqual(attempts[-1], 10.0 + 9 * lease_candidacy.TURN_S)


if __name__ == "__main__":
    unittest.main()
