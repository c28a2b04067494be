"""Bugs to plant in what routers believe, are granted or blame: its identity or its age is lost."""

from tests import planted_bug

MUTANTS = [
    planted_bug.Mutant(
        "keep a limit that an engine's reports no longer name",
        "services/known_limits.py",
        "elif self._named_in_reports.get(upstream) != incarnation:",
        "else:",
        "tests.test_forwarding_fuzz.LimitedEngineTest",
    ),
    planted_bug.Mutant(
        "order an engine that may read an order of the last holder late",
        "services/weights_service.py",
        "if upstream not in state.unread and state.links.may_try(upstream, now)",
        "if state.links.may_try(upstream, now)",
        f"{planted_bug.SERVICES}.test_cut_order_holder.KilledOrderHolderTest",
    ),
    planted_bug.Mutant(
        "go on with a stream at a process that nobody has confirmed",
        "services/origins_service.py",
        "may_go_on = not question.is_replaced and finding in _MAY_GO_ON",
        "may_go_on = not question.is_replaced",
        f"{planted_bug.SERVICES}.test_routers_out_of_step.SilentStoreTest",
    ),
    planted_bug.Mutant(
        "do not read the record of versions",
        "services/origins_service.py",
        "if not self._history.is_observing:",
        "if True:",
        f"{planted_bug.SERVICES}.test_version_record.TakenUpTest",
    ),
    planted_bug.Mutant(
        "believe a record of versions that the store lost and brought back older",
        "services/version_record_objects.py",
        "if epoch != item.version.epoch:",
        "if False:",
        f"{planted_bug.SERVICES}.test_version_record",
    ),
    planted_bug.Mutant(
        "begin a record of versions though others have begun streams",
        "services/cluster_service.py",
        "while not self._objects and not self._is_draining:",
        "while not self._is_draining:",
        f"{planted_bug.SERVICES}.test_version_record.TakenUpTest",
    ),
    planted_bug.Mutant(
        "take the number 0 of an event for none",
        "services/forwarded_requests.py",
        "    if forwarded.resume_after is None:\n        return False\n",
        "    if not forwarded.resume_after:\n        return False\n",
        f"{planted_bug.SERVICES}.test_last_event_numbers.BehindEventZeroTest",
    ),
    planted_bug.Mutant(
        "begin a stream for callers whose last event cannot be read",
        "services/forwarded_requests.py",
        "if not forwarded.is_resumption_readable:",
        "if False:",
        f"{planted_bug.SERVICES}.test_last_event_numbers.RowsTest",
    ),
    planted_bug.Mutant(
        "count the life of a grant from its arrival",
        "decisions/grant_ages.py",
        "return max(0.0, quotas.GRANT_LIFETIME_S - age_s)",
        "return quotas.GRANT_LIFETIME_S",
        f"{planted_bug.SERVICES}.test_held_up_grants",
    ),
    planted_bug.Mutant(
        "believe each refusal of the store on a kept connection",
        "services/platform_service.py",
        "is_doubtful = conn.is_reused and answer.status in _REFUSALS",
        "is_doubtful = False",
        f"{planted_bug.SERVICES}.test_platform_service.RepeatedRefusalTest",
    ),
    planted_bug.Mutant(
        "release the lease as if no order were unanswered",
        "decisions/leases.py",
        "max([now, *self._unanswered_orders.values()]) + self._timing.quiet_s - now",
        "self._timing.quiet_s",
        f"{planted_bug.SERVICES}.test_release_amid_orders",
    ),
    planted_bug.Mutant(
        "blame a shared part for what a later one explains as well",
        "decisions/crash_causes.py",
        "    found = _last_that_explains_all(found, charges, outputs)\n",
        "",
        f"{planted_bug.DECISIONS}.test_poison.PartTest",
    ),
    planted_bug.Mutant(
        "share cached prompt parts with isolated accounts",
        "decisions/cache_scopes.py",
        "if account and spec and spec.isolated:",
        "if False:",
        f"{planted_bug.FORWARDING_SERVICE}.ForwardingTest",
    ),
    planted_bug.Mutant(
        "go on using parts that an account cached before it was isolated",
        "decisions/cache_scopes.py",
        "if not isolated:",
        "if True:",
        f"{planted_bug.SERVICES}.test_isolated_accounts",
    ),
]
