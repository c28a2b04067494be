"""Plants known bugs, one at a time, and expects the tests to catch each: `make mutants`."""

import concurrent.futures
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = "src/cicadapier/_internal"
LIMIT_S = 240
DECISIONS = "tests._internal.decisions"
SERVICES = "tests._internal.services"
FORWARDING = f"{SERVICES}.test_forwarding_service"
EXCHANGE = f"{SERVICES}.test_forwarded_exchange"
CHANGES = f"{SERVICES}.test_changes_under_way"


@dataclasses.dataclass(frozen=True)
class Mutant:
    """A bug and the tests that must catch it."""

    name: str
    file: str
    old: str
    new: str
    tests: str


MUTANTS = [
    Mutant(
        "retry a call that may have run",
        "decisions/retries.py",
        "if self._nature.repeatable and continues and",
        "if continues and",
        f"{SERVICES}.test_service_calls.OnceOnlyTest",
    ),
    Mutant(
        "say not run where the outcome is unknown",
        "decisions/retries.py",
        "outcomes.Effect.UNKNOWN,",
        "outcomes.Effect.NOT_RUN,",
        f"{SERVICES}.test_service_calls.OnceOnlyTest",
    ),
    Mutant(
        "ignore the incarnation",
        "decisions/belief.py",
        "if cache and cache.incarnation == incarnation:",
        "if cache:",
        f"{DECISIONS}.test_observations",
    ),
    Mutant(
        "revive a dead incarnation by its late events",
        "decisions/belief.py",
        "return cache if cache and cache.incarnation == incarnation else None",
        "return cache",
        f"{DECISIONS}.test_observations",
    ),
    Mutant(
        "take another request's answer",
        "services/attempts.py",
        "if named is not None and named != self._call.request:",
        "if False:",
        f"{SERVICES}.test_service_calls.OnceOnlyTest",
    ),
    Mutant(
        "take a lower configuration number",
        "services/configuration_service.py",
        "if document.number <= self.current.number:",
        "if document.number == self.current.number:",
        f"{SERVICES}.test_togetherness.ConfigurationTest",
    ),
    Mutant(
        "accept a stale patch",
        "decisions/patches.py",
        "if against != number:",
        "if against > number:",
        f"{SERVICES}.test_togetherness.ConfigurationTest",
    ),
    Mutant(
        "write the head whatever its version",
        "protocols/native_store_format.py",
        '"resourceVersion": old.version}, "spec": spec}',
        '"resourceVersion": ""}, "spec": spec}',
        f"{SERVICES}.test_togetherness.ConfigurationTest",
    ),
    Mutant(
        "give orders after the lease",
        "decisions/leases.py",
        "if now >= self._asked_at + self._terms.valid_s:",
        "if False:",
        f"{DECISIONS}.test_agreements.LeasesTest",
    ),
    Mutant(
        "take over a lease without waiting out its orders",
        "decisions/leases.py",
        "return max(now + self._terms.takeover_wait_s, self._others_until)",
        "return now",
        f"{DECISIONS}.test_agreements.LeasesTest",
    ),
    Mutant(
        "run a call whose claim another holds",
        "decisions/claims.py",
        "if claim.nonce == self._nonce:",
        "if True:",
        f"{DECISIONS}.test_agreements.ClaimsTest",
    ),
    Mutant(
        "answer another request under a used key",
        "decisions/claims.py",
        "if claim.fingerprint != self._fingerprint:",
        "if False:",
        f"{SERVICES}.test_service_calls.OnceOnlyTest",
    ),
    Mutant(
        "share cached prefixes between accounts",
        "decisions/prefix.py",
        "for part in (scope.account, scope.model,",
        "for part in (scope.model,",
        f"{DECISIONS}.test_placement.PrefixTest",
    ),
    Mutant(
        "starve batch",
        "decisions/fairqueue.py",
        "or self._since_batch >= BATCH_TURN - 1",
        "or False",
        f"{DECISIONS}.test_limits_and_queues.FairQueueTest",
    ),
    Mutant(
        "spend the whole limit on every router",
        "decisions/limits.py",
        "fair = 1.0 / self._routers",
        "fair = 1.0",
        f"{DECISIONS}.test_limits_and_queues.AccountLimitsTest",
    ),
    Mutant(
        "let a poison request run on",
        "decisions/poison.py",
        "CRASHES_TO_HOLD = 2",
        "CRASHES_TO_HOLD = 99",
        "tests.test_traces.TracesTest.test_poison_through_another_domain",
    ),
    Mutant(
        "keep evidence from the peers",
        "services/request_context.py",
        "await self.peers.announce_crash(crash)",
        "pass",
        f"{SERVICES}.test_togetherness.UpstreamsTest"
        ".test_evidence_reaches_the_peers_before_the_caller_has_its_answer",
    ),
    Mutant(
        "give new work to a leaving upstream",
        "decisions/health.py",
        "if record.said_leaving or record.listed_leaving:",
        "if False:",
        f"{SERVICES}.test_togetherness.UpstreamsTest"
        ".test_leaving_upstream_gets_no_new_work_after_three_seconds",
    ),
    Mutant(
        "continue an answer at the wrong offset",
        "services/model_requests.py",
        'body["resume_from"] = self._progress.offset',
        'body["resume_from"] = self._progress.offset - 1',
        f"{SERVICES}.test_model_requests.FailuresTest",
    ),
    Mutant(
        "end a stream in silence where the upstream does",
        "services/model_requests.py",
        "if not done or not self._progress.finished:",
        "if False:",
        f"{SERVICES}.test_model_requests.EarlyEndTest",
    ),
    Mutant(
        "place on other weights",
        "decisions/members.py",
        "return self.versions.get(weights.model, weights.version) == weights.version",
        "return True",
        f"{DECISIONS}.test_placement",
    ),
    Mutant(
        "leave while streams are open",
        "services/request_listener.py",
        "while self.busy or trio.current_time()",
        "while trio.current_time()",
        f"{SERVICES}.test_togetherness.RestartTest.test_drain_cuts_none_of_200_streams",
    ),
    Mutant(
        "revive a router by an old heartbeat",
        "decisions/membership.py",
        "if known is None or heartbeat.newer_than(known.heartbeat):",
        "if True:",
        f"{DECISIONS}.test_agreements.MembershipTest",
    ),
    Mutant(
        "use a kept connection for a call that may not be repeated",
        "services/service_calls.py",
        "fresh=not plan.repeatable,",
        "fresh=False,",
        f"{SERVICES}.test_service_calls.OnceOnlyTest"
        ".test_silent_kept_connections_do_not_make_an_order_unknown",
    ),
    Mutant(
        "trust keys without proof",
        "decisions/freshness.py",
        "return self.age_s(now) < self._limit_s",
        "return True",
        f"{FORWARDING}.ConfigurationTest",
    ),
    Mutant(
        "count the proof from the answer",
        "services/watched_configuration.py",
        "self._proof.proved(asked_at)",
        "self._proof.proved(self._clock())",
        f"{SERVICES}.test_watched_configuration",
    ),
    Mutant(
        "let a configuration fall back",
        "services/watched_configuration.py",
        "if found.number <= self.current.number:",
        "if False:",
        f"{FORWARDING}.ConfigurationTest",
    ),
    Mutant(
        "order right after another holder",
        "decisions/leases.py",
        "self._others_until = now + self._terms.valid_s + self._terms.quiet_s",
        "self._others_until = now",
        f"{DECISIONS}.test_forwarding_decisions.QuickLeaseTest",
    ),
    Mutant(
        "forget the quiet time of a holder that never ordered",
        "decisions/leases.py",
        "self._others_until = max(self._others_until, now + lease.quiet_s)",
        "pass",
        f"{DECISIONS}.test_forwarding_decisions.QuickLeaseTest",
    ),
    Mutant(
        "send an unanswered order under a new count",
        "decisions/rollout.py",
        "self._orders = max(report.orders, self._orders or 0)",
        "self._orders = report.orders + 1",
        f"{DECISIONS}.test_forwarding_decisions.OrderingTest",
    ),
    Mutant(
        "begin on weights that are too old",
        "decisions/named_weights.py",
        "return Standing.BARRED",
        "return Standing.OUTDATED",
        f"{DECISIONS}.test_forwarding_decisions.NamedWeightsTest",
    ),
    Mutant(
        "keep a removed upstream",
        "decisions/directory.py",
        "if registration is None or registration.leaving or self._back_at is None:",
        "if registration is None:",
        f"{DECISIONS}.test_forwarding_decisions.DirectoryTest",
    ),
    Mutant(
        "relay events out of order",
        "services/forwarded_progress.py",
        "if self.last_event is not None and event.number != self.last_event + 1:",
        "if False:",
        f"{EXCHANGE}.WholeAnswersTest",
    ),
    Mutant(
        "relay half an event",
        "services/forwarded_exchange.py",
        "if splitter.rest:",
        "if False:",
        f"{EXCHANGE}.WholeAnswersTest",
    ),
    Mutant(
        "promise that a sent request has not run",
        "services/forwarded_exchange.py",
        "if under_way or self._sequence.maybe_ran:",
        "if False:",
        f"{EXCHANGE}.OnceTest",
    ),
    Mutant(
        "take an answer without proof",
        "services/forwarded_exchange.py",
        "if not attempt.facts.genuine:",
        "if False:",
        f"{EXCHANGE}.WholeAnswersTest",
    ),
    Mutant(
        "send to an upstream that is leaving",
        "decisions/members.py",
        "if self.barred or self.loading or self.spec.leaving:",
        "if self.barred or self.loading:",
        f"{DECISIONS}.test_traffic",
    ),
    Mutant(
        "share cached parts with isolated accounts",
        "services/forwarded_requests.py",
        "owner = account if account and spec and spec.isolated else",
        "owner = account if False else",
        f"{FORWARDING}.PassingOnTest",
    ),
    Mutant(
        "spend the retry budget on every router",
        "decisions/retries.py",
        "self._terms.slack / self._routers",
        "self._terms.slack",
        f"{DECISIONS}.test_limits_and_queues.RetriesTest",
    ),
    Mutant(
        "forget the wait at an engine whose weights may soon not be used",
        "decisions/named_weights.py",
        "or age_s + wait_s >= self._begin_within_s",
        "",
        f"{DECISIONS}.test_traffic",
    ),
    Mutant(
        "begin requests after the drain",
        "services/request_listener.py",
        "if self._drained:",
        "if False:",
        f"{FORWARDING}.LeavingTest",
    ),
    Mutant(
        "go on with a run beside an engine that can be reached",
        "services/forwarded_exchange.py",
        "if not isinstance(outcome, outcomes.Broken) or not outcome.unreachable:",
        "if not isinstance(outcome, outcomes.Broken):",
        f"{EXCHANGE}.LostEngineTest",
    ),
    Mutant(
        "go on with a run that may have made its engine crash",
        "services/forwarded_progress.py",
        "self.placed is None or not self.relayed or self.weights_changed",
        "self.placed is None or self.weights_changed",
        f"{EXCHANGE}.LostEngineTest",
    ),
    Mutant(
        "go on with a run whose weights have changed",
        "services/forwarded_progress.py",
        "self.placed is None or not self.relayed or self.weights_changed",
        "self.placed is None or not self.relayed",
        f"{EXCHANGE}.LostEngineTest",
    ),
    Mutant(
        "begin a run anew where its backup is gone",
        "decisions/retries.py",
        "if settled and self._take_repeat(now):",
        "if self._take_repeat(now):",
        f"{EXCHANGE}.LostEngineTest",
    ),
    Mutant(
        "use a backup of other weights",
        "decisions/backups.py",
        "return all(held.versions.get(weights.model) == weights.version for held in holders)",
        "return True",
        f"{DECISIONS}.test_backups",
    ),
    Mutant(
        "back a run up at an engine with other weights",
        "decisions/backups.py",
        "member.usable and member.versions.get(model) == version",
        "member.usable",
        f"{DECISIONS}.test_backups",
    ),
    Mutant(
        "admit by a comparison of weights that is out of date",
        "decisions/placer.py",
        "pool_weights.compare(state, self.named, entry.model, now)",
        "pass",
        f"{DECISIONS}.test_traffic",
    ),
    Mutant(
        "begin another run beside a silent one that may run once",
        "decisions/retries.py",
        "return self._nature.repeatable and exact and left",
        "return exact and left",
        f"{SERVICES}.test_silent_answers.OnceTest",
    ),
    Mutant(
        "begin another run beside a silent one without a repeat",
        "decisions/retries.py",
        "return self._attempts + 1 < MAX_ATTEMPTS and self._budget.spend(self._pool, now)",
        "return self._attempts + 1 < MAX_ATTEMPTS",
        f"{SERVICES}.test_silent_answers",
    ),
    Mutant(
        "begin the run that relieves a silent one where that is",
        "decisions/placer.py",
        "exclude = {*active.tried, active.attempt.choice.upstream}",
        "exclude = {*active.tried}",
        f"{SERVICES}.test_silent_answers",
    ),
    Mutant(
        "lose the place of a relief that is not needed",
        "services/relief.py",
        "if taken is None:",
        "if False:",
        f"{SERVICES}.test_silent_answers",
    ),
    Mutant(
        "take no notice of a lease write that the watch shows",
        "services/order_lease.py",
        "if self._pending and lease == self._pending.proposal:",
        "if False:",
        f"{SERVICES}.test_weights_service",
    ),
    Mutant(
        "ask the configuration before a second run",
        "services/forwarded_exchange.py",
        "if not self._sequence.maybe_ran:\n            # An",
        "if True:\n            # An",
        f"{CHANGES}.PhasesTest.test_a_stream_that_is_run_again_goes_on_to_its_end",
    ),
    Mutant(
        "drop a pool under its requests",
        "decisions/traffic.py",
        "cfg.content.pools.keys() - used",
        "cfg.content.pools.keys()",
        f"{DECISIONS}.test_traffic.ChangedPoolsTest",
    ),
    Mutant(
        "keep the bounds of a connection's start",
        "protocols/http_server.py",
        "        self._limits = self._read_limits()\n        return",
        "        return",
        "tests._internal.protocols.test_http_server",
    ),
    Mutant(
        "cut what has no answer as the router ends",
        "services/forwarding_service.py",
        "self._requests.end_waits()",
        "pass",
        f"{CHANGES}.StopTest",
    ),
    Mutant(
        "fill slots of engines whose memory is taken",
        "decisions/room.py",
        "return taken + tokens <= RUNNING_SHARE * capacity_tokens",
        "return True",
        f"{DECISIONS}.test_room",
    ),
    Mutant(
        "take engines that are not heard of for empty",
        "decisions/placer.py",
        "others = typical.others(now) if state.spec.memory_tokens else 0.0",
        "others = 0.0",
        f"{DECISIONS}.test_room",
    ),
    Mutant(
        "send to an upstream that says it leaves",
        "decisions/directory.py",
        "return dataclasses.replace(item, leaving=True)",
        "return item",
        f"{SERVICES}.test_withdrawals",
    ),
    Mutant(
        "send to an upstream that wants nothing",
        "decisions/members.py",
        "if now < self.paused_until:",
        "if False:",
        f"{DECISIONS}.test_traffic",
    ),
    Mutant(
        "come back from a pause with all work at once",
        "decisions/members.py",
        "return not self.returning or self.load.in_flight == 0",
        "return True",
        f"{SERVICES}.test_withdrawals",
    ),
    Mutant(
        "count a byte now and then as progress",
        "decisions/pace.py",
        "if self._since >= MIN_PROGRESS_BYTES:",
        "if True:",
        f"{DECISIONS}.test_pace",
    ),
    Mutant(
        "let an attempt begin on weights that are too old",
        "services/forwarded_exchange.py",
        "with trio.move_on_at(placed.begin_by):",
        "with trio.move_on_at(1e99):",
        f"{SERVICES}.test_old_weights",
    ),
    Mutant(
        "tell all refused callers the same time",
        "decisions/returns.py",
        "SPREAD_SHARE * position)",
        "0.0)",
        f"{DECISIONS}.test_room",
    ),
    Mutant(
        "tell the first routers of a large failure domain alone",
        "decisions/cadence.py",
        "self._turn = (self._turn + count) % len(domain) if domain else 0",
        "self._turn = 0",
        f"{DECISIONS}.test_cadence",
    ),
]


def survives(mutant: Mutant) -> bool:
    """Plants a bug in a copy of the tree; returns whether the tests pass all the same."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        shutil.copytree(ROOT / "src", copy / "src")
        shutil.copytree(ROOT / "tests", copy / "tests")
        path = copy / PACKAGE / mutant.file
        text = path.read_text()
        if mutant.old not in text:
            raise ValueError(f"{mutant.name}: {mutant.old!r} is not in {mutant.file}")
        path.write_text(text.replace(mutant.old, mutant.new))
        command = [sys.executable, "-m", "unittest", "-q", "-f", mutant.tests]
        environment = {**os.environ, "PYTHONPATH": str(copy / "src"), "PYTHONSAFEPATH": ""}
        try:
            done = subprocess.run(
                command, cwd=copy, env=environment, capture_output=True, timeout=LIMIT_S
            )
        except subprocess.TimeoutExpired:
            # A run that no longer ends is a failed run.
            return False
        if b"Ran 0 tests" in done.stderr or b"_FailedTest" in done.stderr:
            raise ValueError(f"{mutant.name}: no such test: {mutant.tests}")
        return done.returncode == 0


def main() -> int:
    """Prints each mutant's fate; returns 1 where one survives. Arguments choose by name."""
    chosen = [m for m in MUTANTS if not sys.argv[1:] or any(a in m.name for a in sys.argv[1:])]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        fates = list(pool.map(survives, chosen))
    for mutant, alive in zip(chosen, fates, strict=True):
        print(f"{'SURVIVED' if alive else 'caught  '}  {mutant.name}")
    print(f"{fates.count(False)} of {len(fates)} caught")
    return 1 if any(fates) else 0


if __name__ == "__main__":
    sys.exit(main())
