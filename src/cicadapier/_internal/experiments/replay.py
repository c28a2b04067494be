"""Replay of a trace through the routers' decisions and model engines, on a virtual clock.

The replay runs the decision code of the router and the engine model of the demonstration. Only the
transport of messages between them is replaced, by a queue of scheduled actions.
"""

import collections.abc
import dataclasses
import functools
import heapq
import math
import random

from cicadapier._internal.decisions import cadence
from cicadapier._internal.decisions import load
from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import peer_updates
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import traffic
from cicadapier._internal.experiments import policies
from cicadapier._internal.experiments import replay_faults
from cicadapier._internal.experiments import replay_gossip
from cicadapier._internal.experiments import replay_limits
from cicadapier._internal.experiments import replay_report
from cicadapier._internal.experiments import traces
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.services import peers_service
from cicadapier._internal.services import upstreams_service
from cicadapier._internal.standins import deployments
from cicadapier._internal.standins import engine_model
from cicadapier._internal.standins import keep_model

NETWORK_LATENCY_S = 0.002  # One way.
PROBE_INTERVAL_S = upstreams_service.PROBE_INTERVAL_S
GOSSIP_INTERVAL_S = cadence.SMALL_ROUND_S
MIN_GOSSIP_INTERVAL_S = peers_service.MIN_ROUND_S
EVENT_DELIVERY_INTERVAL_S = 0.1
EXPORT_DELAY_S = 0.1  # From the first token until its pieces are in the keep.
POLL_INTERVAL_S = 0.05
LOSS_DETECTION_S = 0.25  # Until a router detects that it has sent to an unreachable upstream.
DRAIN_S = 30.0  # Time to finish requests after the last arrival.


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a replay.

    Attributes:
        deployment: Deployment whose engines, accounts and failure domains are simulated.
        policy: Policy of all routers.
        seed: Seed of lost cache events and of the policies.
        routers: Number of routers; the clairvoyant policy always has one.
        spec: Speed and size of the engines.
        faults: Faults to inject, in order of time.
        limits: Limits of accounts that replace those of the deployment.
    """

    deployment: deployments.Deployment
    policy: policies.PolicyName = policies.PolicyName.OURS
    seed: int = 0
    routers: int = 4
    spec: engine_model.EngineSpec = dataclasses.field(default_factory=engine_model.EngineSpec)
    faults: tuple[replay_faults.ReplayFault, ...] = ()
    limits: dict[ids.AccountId, configuration.Limits] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Router:
    """State of one router.

    Attributes:
        index: Position of the router; it determines the failure domain and the seed.
        domain: Failure domain of the router.
        generation: Number that increases with each restart.
        traffic: Decisions of the router.
        sent_work: Log of the work that it has sent, for updates to its peers.
        update_merger: Merges the updates of its peers.
        last_event_sequences: Sequence number of the last cache event from each upstream.
    """

    index: int
    domain: ids.FailureDomainId
    generation: int
    traffic: traffic.Traffic
    sent_work: peer_updates.SentWorkLog = dataclasses.field(
        default_factory=peer_updates.SentWorkLog
    )
    update_merger: peer_updates.UpdateMerger = dataclasses.field(
        default_factory=peer_updates.UpdateMerger
    )
    last_event_sequences: dict[ids.UpstreamId, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _RunningRequest:
    """A request that has arrived and not ended.

    Attributes:
        router: Router that handles it.
        req: Request of the trace.
        record: Record of it in the report.
        upstream: Upstream of the current attempt; None without one.
        generated_tokens: Tokens that earlier attempts have generated; always 0, because a retry
            starts from the beginning.
    """

    router: _Router
    req: traces.TraceRequest
    record: replay_report.RequestRecord
    upstream: ids.UpstreamId | None = None
    generated_tokens: int = 0


class Replay:
    """Replay of one trace.

    Attributes:
        now: Current time on the virtual clock.
        keep: Model of the keep (external KV store).
        engines: Model of each engine.
        partitions: Failure domains that are isolated.
        routers: The routers.
        report: Measurements of the replay.
    """

    def __init__(self, plan: Plan, requests: list[traces.TraceRequest]) -> None:
        self._plan = plan
        self._requests = requests
        self._deployment = plan.deployment
        self._rng = random.Random(plan.seed)
        self._actions: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._counter = 0
        self.now = 0.0
        self.keep = keep_model.KeepModel()
        self.engines = {
            ids.UpstreamId(f"{self._deployment.model_pool}-{i + 1}"): engine_model.EngineModel(
                plan.spec, ids.Incarnation(f"{i + 1}-1"), 0.0, self.keep
            )
            for i in range(self._deployment.engines)
        }
        self.partitions = replay_faults.Partitions()
        self._down_engines: set[ids.UpstreamId] = set()
        self._gossip_scheduled = False
        self._gossiped_at = 0.0
        self._scheduled_wakes: dict[ids.UpstreamId, float] = {}
        self._running: dict[ids.RequestId, _RunningRequest] = {}
        self._cfg = self._make_configuration()
        count = 1 if plan.policy is policies.PolicyName.CLAIRVOYANT else plan.routers
        self.routers = [self._make_router(index) for index in range(count)]
        self._limits = replay_limits.ReplayLimits(count, self._are_in_touch)
        self.report = replay_report.Report(
            self._deployment, plan.spec, plan.policy.value, plan.seed
        )

    def run(self) -> replay_report.Report:
        """Replays the whole trace and returns the measurements."""
        for number, req in enumerate(self._requests):
            self.schedule(req.at, functools.partial(self._handle_arrival, number, req))
        for fault in self._plan.faults:
            self.schedule(fault.at, functools.partial(replay_faults.inject, self, fault))
        self._schedule_every(PROBE_INTERVAL_S, self._probe)
        self._schedule_every(EVENT_DELIVERY_INTERVAL_S, self._deliver_events)
        self._schedule_every(POLL_INTERVAL_S, self._poll)
        if self._plan.policy is not policies.PolicyName.NO_PEERS:
            self.schedule(0.0, self._gossip)
            self._schedule_every(GOSSIP_INTERVAL_S, self._gossip)
        end = self._requests[-1].at + DRAIN_S if self._requests else 0.0
        while self._actions and self._actions[0][0] <= end:
            self.now, _, action = heapq.heappop(self._actions)
            action()
        self.report.close(self._requests[-1].at if self._requests else 0.0, self.engines)
        return self.report

    def schedule(self, when: float, action: collections.abc.Callable[[], None]) -> None:
        """Schedules an action at a time on the virtual clock."""
        self._counter += 1
        heapq.heappush(self._actions, (when, self._counter, action))

    def restart_router(self, index: int) -> None:
        """Replaces a router by one without state.

        Requests in flight continue, but are unknown to the decisions of the new router.
        """
        old = self.routers[index]
        self.routers[index] = self._make_router(index)
        self._limits.restart(index, self.now)
        for running in self._running.values():
            if running.router is old:
                running.router = self.routers[index]

    def crash_engine(self, upstream: ids.UpstreamId, down_s: float) -> None:
        """Crashes an engine, which loses all its state; routers retry its requests.

        Args:
            upstream: Upstream id of the engine.
            down_s: Time for which the engine is unreachable.
        """
        engine = self.engines[upstream]
        self._advance(upstream)
        self._down_engines.add(upstream)
        self.report.record_crash(engine)
        engine.crash(ids.Incarnation(f"{engine.incarnation}+"), self.now)
        lost_requests = [request for request, r in self._running.items() if r.upstream == upstream]
        for request in lost_requests:
            self.schedule(
                self.now + NETWORK_LATENCY_S,
                functools.partial(self._handle_loss, request, upstream),
            )
        self.schedule(self.now + down_s, functools.partial(self._down_engines.discard, upstream))

    def _schedule_every(self, period_s: float, action: collections.abc.Callable[[], None]) -> None:
        def repeat() -> None:
            action()
            self.schedule(self.now + period_s, repeat)

        self.schedule(period_s, repeat)

    def _make_configuration(self) -> configuration.NumberedConfiguration:
        accounts = {
            item.account: configuration.Account(
                service_class=item.service_class,
                weight=item.weight,
                limits=self._plan.limits.get(item.account, item.limits),
            )
            for item in self._deployment.accounts
        }
        upstreams = {
            upstream: configuration.Upstream(
                ids.Address(f"127.0.0.1:{index + 1}"), self._deployment.domain(index)
            )
            for index, upstream in enumerate(self.engines)
        }
        pool = configuration.Pool(
            configuration.PoolKind.MODEL,
            upstreams,
            {self._deployment.model: configuration.Model()},
            self._deployment.keep_pool,
        )
        keep = configuration.Pool(configuration.PoolKind.KEEP)
        pools = {self._deployment.model_pool: pool, self._deployment.keep_pool: keep}
        content = configuration.Configuration(accounts, pools)
        return configuration.NumberedConfiguration(ids.ConfigNumber(1), content)

    def _make_router(self, index: int) -> _Router:
        domain = self._deployment.domain(index)
        true_state = policies.TrueState(self.engines, self.keep)
        seed = self._plan.seed * 100 + index
        router_traffic = traffic.Traffic(
            domain, policies.make_factory(self._plan.policy, seed, true_state)
        )
        router_traffic.configure(self._cfg, self.now)
        router_traffic.limits.set_routers(self._plan.routers)
        self._counter += 1
        router = _Router(index, domain, self._counter, router_traffic)
        for upstream in self.engines:
            self._report_load(router, upstream)
            self._resync(router, upstream)
        return router

    def can_reach(self, router: _Router, upstream: ids.UpstreamId) -> bool:
        """Returns whether a router can reach an upstream."""
        domain = (
            self._cfg.content.pools[self._deployment.model_pool].upstreams[upstream].failure_domain
        )
        return upstream not in self._down_engines and not self.partitions.separates(
            router.domain, domain
        )

    def _handle_arrival(self, number: int, req: traces.TraceRequest) -> None:
        router = self.routers[number % len(self.routers)]
        request = ids.RequestId(f"r{number}")
        prompt = prefix.uniform_prompt(req.pieces, self._plan.spec.piece_tokens, req.total_tokens)
        request_spec = routing.RequestSpec(
            request,
            req.account,
            self._deployment.model_pool,
            prompt,
            req.output_tokens,
            ids.Fingerprint(request),
        )
        record = self.report.record_arrival(req, router.index)
        self._running[request] = _RunningRequest(router, req, record)
        limits = self._cfg.content.accounts[req.account].limits
        if not self._limits.admit(
            router.index, req.account, limits, request_spec.memory_tokens, self.now
        ):
            message = "the account's limit is reached"
            record.record_refusal(
                outcomes.Refusal(outcomes.RefusalCode.RATE_LIMITED, message), self.now
            )
            del self._running[request]
            return
        decision = router.traffic.admit(request_spec, self.now)
        if decision is not None:
            self._apply_decision(decision)

    def _are_in_touch(self, one: int, other: int) -> bool:
        return not self.partitions.separates(self.routers[one].domain, self.routers[other].domain)

    def _apply_decision(self, decision: routing.Decision) -> None:
        running = self._running[decision.request]
        if isinstance(decision, routing.Refused):
            running.record.record_refusal(decision.refusal, self.now)
            running.router.traffic.end_request(decision.request, ran=False, now=self.now)
            del self._running[decision.request]
            return
        if running.router.sent_work.record(running.router.traffic, decision, self.now):
            self._schedule_gossip()
        upstream = decision.choice.estimate.upstream
        running.upstream = upstream
        running.record.upstream = upstream
        if not self.can_reach(running.router, upstream):
            self.schedule(
                self.now + LOSS_DETECTION_S,
                functools.partial(self._handle_loss, decision.request, upstream),
            )
            return
        submit = functools.partial(self._submit, decision, running)
        self.schedule(self.now + NETWORK_LATENCY_S, submit)

    def _submit(self, decision: routing.Placed, running: _RunningRequest) -> None:
        upstream = decision.choice.estimate.upstream
        if upstream in self._down_engines:
            self._handle_loss(decision.request, upstream)
            return
        self._advance(upstream)
        req = running.req
        priority = 0 if req.service_class is configuration.ServiceClass.INTERACTIVE else 1
        job = engine_model.Job(
            decision.request,
            req.pieces,
            req.total_tokens + running.generated_tokens,
            max(1, req.output_tokens - running.generated_tokens),
            priority,
            may_import=self._plan.policy not in policies.POLICIES_WITHOUT_KEEP,
        )
        self.engines[upstream].submit(job, self.now)
        self._schedule_wake(upstream)

    def _advance(self, upstream: ids.UpstreamId) -> None:
        for event in self.engines[upstream].advance(self.now):
            running = self._running.get(event.request)
            if running is None:
                continue
            if isinstance(event, engine_model.FirstToken):
                self._handle_first_token(running, event)
            else:
                self._handle_finish(running, event)

    def _schedule_wake(self, upstream: ids.UpstreamId) -> None:
        when = self.engines[upstream].next_event_at()
        if when < math.inf and self._scheduled_wakes.get(upstream) != when:
            self._scheduled_wakes[upstream] = when
            self.schedule(when, functools.partial(self._wake, upstream, when))

    def _wake(self, upstream: ids.UpstreamId, when: float) -> None:
        if self._scheduled_wakes.get(upstream) == when:
            del self._scheduled_wakes[upstream]
            self._advance(upstream)
            self._schedule_wake(upstream)

    def _handle_first_token(self, running: _RunningRequest, event: engine_model.FirstToken) -> None:
        self.report.record_first_token(
            running.record, running.req, event, self.now + NETWORK_LATENCY_S
        )
        cached = (event.cached_pieces + event.imported_pieces) * self._plan.spec.piece_tokens
        assert running.upstream
        incarnation = self.engines[running.upstream].incarnation
        export = running.router.traffic.record_first_token(
            event.request, members.FirstToken(incarnation, cached), self.now
        )
        if export:
            self.schedule(
                self.now + EXPORT_DELAY_S, functools.partial(self._export, running.router, export)
            )

    def _export(self, router: _Router, export: routing.Export) -> None:
        engine = self.engines[export.upstream]
        pieces = tuple(piece for piece in export.pieces if engine.has_cached(piece))
        self.keep.store(pieces)
        for peer in self.routers:
            if not self.partitions.separates(router.domain, peer.domain):
                peer.traffic.observations.record_export(export.pool, pieces)

    def _handle_finish(self, running: _RunningRequest, event: engine_model.Finished) -> None:
        running.record.record_finish(event.at, event.mean_step_s)
        router = running.router.traffic
        router.attempts.attempt_ended(event.request, outcomes.Complete(200), self.now)
        router.end_request(event.request, ran=True, now=self.now)
        del self._running[event.request]

    def _handle_loss(self, request: ids.RequestId, upstream: ids.UpstreamId) -> None:
        running = self._running.get(request)
        if running is None or running.upstream != upstream:
            # The loss has been handled already. For example, a request in transit to an engine that
            # crashes is reported lost by the crash and again when it arrives.
            return
        crashed = running.upstream in self._down_engines
        running.upstream = None
        outcome = outcomes.SentNoAnswer("lost", crashed)
        running.router.traffic.attempts.attempt_ended(request, outcome, self.now)
        running.record.retries += 1
        if running.router.traffic.request_spec(request) is None:
            running.record.record_refusal(None, self.now)
            del self._running[request]
            return
        decision = running.router.traffic.retry(request, self.now)
        if decision is not None:
            self._apply_decision(decision)

    def _poll(self) -> None:
        for router in self.routers:
            for decision in router.traffic.poll(self.now):
                self._apply_decision(decision)

    def _probe(self) -> None:
        for router in self.routers:
            for upstream in self.engines:
                if self.can_reach(router, upstream):
                    self._report_load(router, upstream)
                else:
                    router.traffic.observations.record_probe_failure(
                        self._deployment.model_pool, upstream, True, self.now
                    )

    def _report_load(self, router: _Router, upstream: ids.UpstreamId) -> None:
        engine = self.engines[upstream]
        observed = engine.load_at(self.now - self._plan.spec.load_lag_s)
        report = load.Report(
            observed.at,
            observed.queued_tokens,
            observed.queued_interactive_tokens,
            observed.running,
        )
        router.traffic.observations.record_load_report(
            self._deployment.model_pool, upstream, engine.incarnation, False, report, self.now
        )

    def _resync(self, router: _Router, upstream: ids.UpstreamId) -> None:
        engine = self.engines[upstream]
        sequence, pieces = engine.cache_snapshot()
        router.last_event_sequences[upstream] = sequence
        router.traffic.observations.apply_cache_snapshot(
            self._deployment.model_pool, upstream, engine.incarnation, sequence, pieces, self.now
        )

    def _deliver_events(self) -> None:
        spec = self._plan.spec
        for router in self.routers:
            for upstream, engine in self.engines.items():
                if not self.can_reach(router, upstream):
                    continue
                last_sequence = router.last_event_sequences.get(upstream, 0)
                for event in engine.events_after(last_sequence, self.now - spec.event_lag_s):
                    router.last_event_sequences[upstream] = event.sequence
                    if self._rng.random() < spec.event_loss:
                        continue
                    if not self._apply_cache_event(router, upstream, event):
                        self._resync(router, upstream)
                        break

    def _apply_cache_event(
        self, router: _Router, upstream: ids.UpstreamId, event: engine_model.CacheEvent
    ) -> bool:
        observed = observations.CacheEvent(
            self.engines[upstream].incarnation,
            event.sequence,
            event.kind is engine_model.CacheEventKind.STORED,
            event.pieces,
            self.now - event.at,
        )
        return router.traffic.observations.apply_cache_event(
            self._deployment.model_pool, upstream, observed, self.now
        )

    def _schedule_gossip(self) -> None:
        if self._plan.policy is policies.PolicyName.NO_PEERS or self._gossip_scheduled:
            return
        self._gossip_scheduled = True
        self.schedule(
            max(self.now + NETWORK_LATENCY_S, self._gossiped_at + MIN_GOSSIP_INTERVAL_S),
            self._gossip,
        )

    def _gossip(self) -> None:
        self._gossip_scheduled = False
        self._gossiped_at = self.now
        replay_gossip.exchange(self.routers, self.partitions, self.now)
