"""Performance targets of the users' deployments.

Each target is measured with several seeds and evaluated by the worst result. "The bound" in the
name of a target is the result of the clairvoyant policy on the same trace.
"""

import collections.abc
import dataclasses
import functools
import math
import random
import time

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import placement
from cicadapier._internal.decisions import prefix
from cicadapier._internal.experiments import policies
from cicadapier._internal.experiments import replay
from cicadapier._internal.experiments import replay_faults
from cicadapier._internal.experiments import replay_report
from cicadapier._internal.experiments import workloads
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.standins import deployments

SEEDS = range(5)
LARKSPUR = deployments.DeploymentName.LARKSPUR
ANDINO = deployments.DeploymentName.ANDINO
OURS = policies.PolicyName.OURS
CLAIRVOYANT = policies.PolicyName.CLAIRVOYANT
FAULT_AT_S = 30.0  # Time of the fault or shift in a trace.
ARRIVAL_INTERVAL_S = 0.2  # Interval of the requests that measure a placement decision.
INTERACTIVE = configuration.ServiceClass.INTERACTIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Result of one run.

    Attributes:
        seed: Seed of the run.
        value: Measured value.
    """

    seed: int
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Target for a measured value.

    Attributes:
        name: Description of the measured value.
        bound: Required value.
        at_least: Whether the value must be at least the bound; otherwise it must be at most the
            bound.
        measure: Function that returns the value for a seed.
    """

    name: str
    bound: float
    at_least: bool
    measure: collections.abc.Callable[[int], float]

    def is_met_by(self, value: float) -> bool:
        """Returns whether a value meets the target; NaN does not."""
        if math.isnan(value):
            return False
        return value >= self.bound if self.at_least else value <= self.bound

    def worst(self, measurements: collections.abc.Iterable[Measurement]) -> Measurement:
        """Returns the worst of the measurements."""
        ordered = sorted(measurements, key=lambda m: (math.isnan(m.value), m.value))
        return ordered[0] if self.at_least and not math.isnan(ordered[0].value) else ordered[-1]


@functools.lru_cache(maxsize=64)
def _run(
    name: deployments.DeploymentName,
    seed: int,
    policy: policies.PolicyName,
    options: workloads.WorkloadOptions = workloads.WorkloadOptions(),  # noqa: B008 - a frozen value
    faults: tuple[replay_faults.ReplayFault, ...] = (),
    limit: tuple[ids.AccountId, float] | None = None,
) -> replay_report.Report:
    limits = {limit[0]: configuration.Limits(limit[1], 1e9, 4096)} if limit else {}
    plan = replay.Plan(deployments.BY_NAME[name], policy, seed, faults=faults, limits=limits)
    return replay.Replay(plan, workloads.make_trace(name, seed, options)).run()


def _hit_rate_ratio(seed: int) -> float:
    clairvoyant = _run(LARKSPUR, seed, CLAIRVOYANT).hit_rate()
    return _run(LARKSPUR, seed, OURS).hit_rate() / clairvoyant


def _wasted_share(seed: int) -> float:
    return _run(LARKSPUR, seed, OURS).wasted_share()


def _p99_ratio(seed: int) -> float:
    clairvoyant = _run(ANDINO, seed, CLAIRVOYANT).first_token_s(0.99, INTERACTIVE)
    return _run(ANDINO, seed, OURS).first_token_s(0.99, INTERACTIVE) / clairvoyant


def _first_token_p95(seed: int) -> float:
    return _run(ANDINO, seed, OURS).first_token_s(0.95, INTERACTIVE)


def _step_p95(seed: int) -> float:
    steps = [_run(name, seed, OURS).step_s(0.95) for name in (LARKSPUR, ANDINO)]
    return max(steps)


def _clairvoyant_load_distance(seed: int) -> float:
    """Returns the largest distance of the clairvoyant policy's utilization from 70 %.

    Both workloads are measured.
    """
    loads = [_run(name, seed, CLAIRVOYANT).utilization() for name in (LARKSPUR, ANDINO)]
    return max(abs(load - 0.7) for load in loads)


def _restart_hit_rate_ratio(seed: int) -> float:
    kind = replay_faults.ReplayFaultKind.RESTART_ROUTERS
    report = _run(LARKSPUR, seed, OURS, faults=(replay_faults.ReplayFault(FAULT_AT_S, kind),))
    before = report.hit_rate(replay_report.TimeWindow(FAULT_AT_S - 10, FAULT_AT_S))
    after = report.hit_rate(replay_report.TimeWindow(FAULT_AT_S, FAULT_AT_S + 5))
    return after / before


def _crash_report(seed: int, policy: policies.PolicyName = OURS) -> replay_report.Report:
    crashed_engine = f"{deployments.ANDINO.model_pool}-{seed % 5 + 1}"
    fault = replay_faults.ReplayFault(
        FAULT_AT_S, replay_faults.ReplayFaultKind.CRASH, crashed_engine
    )
    options = workloads.WorkloadOptions(load=0.9)
    return _run(ANDINO, seed, policy, options, (fault,))


def _crash_p99_growth(seed: int) -> float:
    """Returns p99 from 5 s after an engine crash, divided by p99 before the crash.

    Neither window includes a cold start.
    """
    report = _crash_report(seed)
    before = report.first_token_s(0.99, INTERACTIVE, replay_report.TimeWindow(10, FAULT_AT_S))
    after = replay_report.TimeWindow(FAULT_AT_S + 5, FAULT_AT_S + 20)
    return report.first_token_s(0.99, INTERACTIVE, after) / before


def _crash_p99_ratio(seed: int) -> float:
    """Returns p99 from 5 s after an engine crash, divided by the clairvoyant policy's."""
    after = replay_report.TimeWindow(FAULT_AT_S + 5, FAULT_AT_S + 20)
    clairvoyant = _crash_report(seed, CLAIRVOYANT).first_token_s(0.99, INTERACTIVE, after)
    return _crash_report(seed).first_token_s(0.99, INTERACTIVE, after) / clairvoyant


def _crash_lost_requests(seed: int) -> float:
    report = _crash_report(seed)
    return report.refusals() + report.unfinished()


def _shift_report(seed: int) -> replay_report.Report:
    return _run(ANDINO, seed, OURS, workloads.WorkloadOptions(shift_at_s=FAULT_AT_S))


def _shift_imbalance(seed: int) -> float:
    """Returns the imbalance of the upstreams from 3 s after the shift.

    It is the number of prompt tokens that the busiest upstream has computed, divided by the mean.
    """
    records = _shift_report(seed).select(
        window=replay_report.TimeWindow(FAULT_AT_S + 3, FAULT_AT_S + 23)
    )
    tokens_by_upstream: dict[ids.UpstreamId, int] = {}
    for record in records:
        if record.upstream:
            tokens = record.computed_tokens
            tokens_by_upstream[record.upstream] = (
                tokens_by_upstream.get(record.upstream, 0) + tokens
            )
    return max(tokens_by_upstream.values()) / (
        sum(tokens_by_upstream.values()) / deployments.ANDINO.engines
    )


def _shift_hit_rate_ratio(seed: int) -> float:
    report = _shift_report(seed)
    before = report.hit_rate(replay_report.TimeWindow(FAULT_AT_S - 10, FAULT_AT_S))
    after = report.hit_rate(replay_report.TimeWindow(FAULT_AT_S + 5, FAULT_AT_S + 15))
    return after / before


# The account that exceeds its limit in a flood, and the limit in requests per second.
FLOOD_ACCOUNT = ids.AccountId("cooperatives")
FLOOD_LIMIT_PER_S = 10.0


def _flood_options(flooding: bool) -> workloads.WorkloadOptions:
    if not flooding:
        return workloads.WorkloadOptions(load=0.8)
    return workloads.WorkloadOptions(
        load=0.8,
        flood_account=FLOOD_ACCOUNT,
        flood_rate_per_s=20 * FLOOD_LIMIT_PER_S,
        flood_from_s=10.0,
    )


def _flood_report(seed: int, flooding: bool) -> replay_report.Report:
    return _run(
        ANDINO, seed, OURS, _flood_options(flooding), (), (FLOOD_ACCOUNT, FLOOD_LIMIT_PER_S)
    )


def _flood_p99_ratio(seed: int) -> float:
    """Returns the p99 of the other accounts during a flood, divided by their p99 without it."""
    window = replay_report.TimeWindow(15.0, 60.0)
    p99_values = []
    for flooding in (True, False):
        records = list(_flood_report(seed, flooding).select(INTERACTIVE, window))
        first_token_times = [
            r.first_token_s
            for r in records
            if r.account != FLOOD_ACCOUNT and r.first_token_s is not None
        ]
        p99_values.append(replay_report.quantile(first_token_times, 0.99))
    return p99_values[0] / p99_values[1]


def _flood_limit_deviation(seed: int) -> float:
    """Returns the relative distance of the flooding account's admitted rate from its limit."""
    window = replay_report.TimeWindow(20.0, 60.0)
    records = _flood_report(seed, flooding=True).select(window=window, account=FLOOD_ACCOUNT)
    admitted = sum(1 for record in records if record.first_token_s is not None)
    return abs(admitted / 40.0 / FLOOD_LIMIT_PER_S - 1.0)


def _isolation_refused_share(seed: int) -> float:
    """Returns the share of requests that are refused while a failure domain is isolated."""
    isolated_domain = deployments.ANDINO.domains[seed % 3]
    kind = replay_faults.ReplayFaultKind.CUT_DOMAIN
    fault = replay_faults.ReplayFault(FAULT_AT_S, kind, isolated_domain, 15.0)
    report = _run(ANDINO, seed, OURS, workloads.WorkloadOptions(load=0.4), (fault,))
    window = replay_report.TimeWindow(FAULT_AT_S, FAULT_AT_S + 15)
    return report.refusals(window) / max(1, len(report.select(window=window)))


def warm_policy(
    upstreams: int, seed: int = 0, rounds: int = 400
) -> tuple[placement.PrefixPlacement, list[tuple[ids.PieceId, ...]]]:
    """Returns a policy with a filled cache index, and the prefixes of the requests it has sent.

    Requests arrive at a rate that keeps 16 upstreams at two thirds of their prefill capacity.
    """
    rng = random.Random(seed)
    domain = ids.FailureDomainId("here")
    pool = configuration.Pool(
        configuration.PoolKind.MODEL,
        {
            ids.UpstreamId(f"u{i}"): configuration.Upstream(ids.Address(f"h:{i + 1}"), domain)
            for i in range(upstreams)
        },
    )
    policy = placement.PrefixPlacement(pool, domain, 0.0)
    prefixes = [tuple(ids.PieceId(rng.randbytes(16)) for _ in range(10)) for _ in range(64)]
    upstream_names = list(pool.upstreams)
    for upstream in upstream_names:
        policy.cache_index.observe_incarnation(upstream, ids.Incarnation("1"))
    for number in range(rounds):
        _record_send(
            policy, prefixes[number % 64], rng.choice(upstream_names), number * ARRIVAL_INTERVAL_S
        )
    return policy, prefixes


def measure_decision_us(upstreams: int, seed: int = 0, rounds: int = 400) -> float:
    """Returns the processor time of a placement with a filled cache index, in microseconds."""
    policy, prefixes = warm_policy(upstreams, seed, rounds)
    processor_s = 0.0
    for number in range(rounds):
        now = (rounds + number) * ARRIVAL_INTERVAL_S
        request = ids.RequestId(str(number))
        prompt = prefix.uniform_prompt(prefixes[number % 64], 2048, 21_000)
        req = members.PlacementRequest(request, prompt, INTERACTIVE)
        start = time.process_time()
        choice = policy.choose(req, now)
        processor_s += time.process_time() - start
        # Without recorded sends the entries of the cache index would expire.
        if choice:
            policy.record_sent(req, choice.estimate, now)
    return processor_s / rounds * 1e6


def _record_send(
    policy: placement.PrefixPlacement,
    pieces: tuple[ids.PieceId, ...],
    upstream: ids.UpstreamId,
    now: float,
) -> None:
    prompt = prefix.uniform_prompt(pieces, 2048, 21_000)
    req = members.PlacementRequest(ids.RequestId("warm"), prompt, INTERACTIVE)
    policy.record_sent(req, members.Estimate(upstream, 0, 0, 0.0, 0.0, 0.0, 0.0), now)


TARGETS = (
    Target("larkspur hit rate over the bound's", 0.97, True, _hit_rate_ratio),
    Target("larkspur wasted share of prefilled tokens", 0.03, False, _wasted_share),
    Target("andino interactive p99 over the bound's", 1.2, False, _p99_ratio),
    Target("andino interactive p95 to first token, s", 0.34, False, _first_token_p95),
    Target("time between tokens, 95 in 100, s", 0.030, False, _step_p95),
    Target("distance of the bound's load from 70 %", 0.07, False, _clairvoyant_load_distance),
    Target("hit rate after all routers restart, over before", 0.95, True, _restart_hit_rate_ratio),
    Target(
        "interactive p99 5 s after an engine's loss, over before", 1.5, False, _crash_p99_growth
    ),
    Target(
        "interactive p99 5 s after an engine's loss, over the bound's",
        1.5,
        False,
        _crash_p99_ratio,
    ),
    Target("requests lost or refused by an engine's loss", 0.0, False, _crash_lost_requests),
    Target("busiest upstream 3 s after a shift, over the mean", 1.5, False, _shift_imbalance),
    Target("hit rate 5 s after a shift, over before", 0.97, True, _shift_hit_rate_ratio),
    Target("others' p99 in a flood, over without", 1.1, False, _flood_p99_ratio),
    Target("flooding account's distance from its limit", 0.05, False, _flood_limit_deviation),
    Target(
        "requests refused while a failure domain is cut off", 0.0, False, _isolation_refused_share
    ),
    Target(
        "decision at 16 upstreams, us", 100.0, False, functools.partial(measure_decision_us, 16)
    ),
    Target(
        "decision at 10,000 upstreams, us",
        300.0,
        False,
        functools.partial(measure_decision_us, 10_000),
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Worst measurement of a target."""

    target: Target
    worst: Measurement

    @property
    def met(self) -> bool:
        """Whether the target is met."""
        return self.target.is_met_by(self.worst.value)


def evaluate(
    seeds: collections.abc.Iterable[int] = SEEDS,
    targets: collections.abc.Sequence[Target] = TARGETS,
) -> collections.abc.Iterator[Verdict]:
    """Measures each target with all seeds and yields a verdict for each."""
    for target in targets:
        measurements = [Measurement(seed, target.measure(seed)) for seed in seeds]
        yield Verdict(target, target.worst(measurements))
