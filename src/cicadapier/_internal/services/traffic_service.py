"""Service that makes the traffic decisions of the router, one message at a time."""

import collections.abc
import math
from typing import Protocol

import structlog
import trio

from cicadapier._internal.decisions import health
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import peer_updates
from cicadapier._internal.decisions import placement
from cicadapier._internal.decisions import quotas
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import traffic
from cicadapier._internal.kernel import mailbox
from cicadapier._internal.kernel import service
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.services import names
from cicadapier._internal.services import rejection_messages
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import traffic_messages
from cicadapier._internal.services.scarcity import shortage_reporter
from cicadapier._internal.services.uneven import slowness_report

_log = structlog.get_logger()

MAX_POLL_INTERVAL_S = 0.25
MIN_SUSPENSION_S = 0.05  # Shorter differences between the clocks are ignored until they add up.
MAX_DIGEST_CRASHES = 64
MAX_DIGEST_SOUND = 32
MAX_DIGEST_ACCOUNTS = 256


class ExportSink(Protocol):
    """Interface of the service that exports cached pieces."""

    mailbox: "mailbox.Mailbox[routing.Export]"


class PeerNotifier(Protocol):
    """Interface of the service that sends updates to the peers."""

    def schedule_update(self, urgent: bool) -> None:
        """Schedules an update to the peers, or sends it at once if it is urgent."""


class DemandSink(Protocol):
    """Interface of the service that requests grants."""

    def set_demands(self, demands: dict[ids.UpstreamId, quotas.Demand]) -> None:
        """Sets the demand for grants for each rate-limited upstream."""


class TrafficService(service.Service):
    """Owns the state of the traffic decisions, which changes only through messages.

    Attributes:
        mailbox: Messages to the service.
    """

    name = names.TRAFFIC

    def __init__(
        self,
        failure_domain: ids.FailureDomainId,
        max_weights_age_s: float = math.inf,
        clock: collections.abc.Callable[[], float] = trio.current_time,
        orders_by_urgency: bool = False,
    ) -> None:
        """Creates the service.

        Args:
            failure_domain: Failure domain of this router.
            max_weights_age_s: Time after which no request starts on weights older than the target.
            clock: Clock in seconds that also advances while the VM is suspended.
            orders_by_urgency: Whether requests are ordered by urgency while room is short.
        """
        self._clock = clock
        self._suspended_s = 0.0
        self.mailbox: mailbox.Mailbox[traffic_messages.Message] = mailbox.Mailbox()
        self._traffic = traffic.Traffic(
            failure_domain,
            max_weights_age_s=max_weights_age_s,
            orders_by_urgency=orders_by_urgency,
        )
        self._shortage_reporter = shortage_reporter.ShortageReporter()
        self._kernel: service.Kernel | None = None
        self._pending_replies: dict[ids.RequestId, mailbox.Reply[routing.Decision]] = {}
        self._sent_work = peer_updates.SentWorkLog()
        self._slowness_report = slowness_report.SlownessReport()
        self._demands: dict[ids.UpstreamId, quotas.Demand] = {}
        self._logged_states: dict[ids.UpstreamId, health.UpstreamState] = {}
        self._handlers = self._make_handlers()

    def _make_handlers(self) -> dict[type, collections.abc.Callable[..., None]]:
        """Returns the handler of each type of message."""
        return {
            traffic_messages.Admit: self._admit,
            traffic_messages.Retry: self._retry,
            traffic_messages.PlaceHedge: self._place_hedge,
            traffic_messages.HedgeEnded: self._hedge_ended,
            traffic_messages.FailOver: self._fail_over,
            traffic_messages.ReportSilence: self._report_silence,
            traffic_messages.FirstTokenReceived: self._first_token_received,
            traffic_messages.OutputBegan: self._output_began,
            traffic_messages.AttemptEnded: self._attempt_ended,
            traffic_messages.RequestEnded: self._request_ended,
            traffic_messages.ConfigurationChanged: self._configuration_changed,
            traffic_messages.LoadReported: self._load_reported,
            traffic_messages.StatusReported: self._status_reported,
            traffic_messages.TargetVersionSet: self._target_version_set,
            traffic_messages.WeightsReported: self._weights_reported,
            traffic_messages.WeightsLoading: self._weights_loading,
            traffic_messages.UpstreamPaused: self._upstream_paused,
            rejection_messages.BrittleUpstreamRejected: self._brittle_upstream_rejected,
            rejection_messages.BrittlenessEnded: self._brittleness_ended,
            traffic_messages.LimitChanged: self._limit_changed,
            traffic_messages.GrantsReceived: self._grants_received,
            traffic_messages.UseGrant: self._use_grant,
            traffic_messages.GetEngines: self._get_engines,
            traffic_messages.ProbeFailed: self._probe_failed,
            traffic_messages.CacheChanged: self._cache_changed,
            traffic_messages.CacheSnapshot: self._cache_snapshot,
            traffic_messages.UpstreamListed: self._upstream_listed,
            traffic_messages.PeerTraffic: self._peer_traffic,
            traffic_messages.PeerAccountUse: self._peer_account_use,
            traffic_messages.PeerCrashes: self._peer_crashes,
            traffic_messages.RoutersChanged: self._routers_changed,
            traffic_messages.GetBlockedParts: self._get_blocked_parts,
            traffic_messages.LiftBlock: self._lift_block,
            traffic_messages.PiecesExported: self._pieces_exported,
            traffic_messages.Explain: self._explain,
            traffic_messages.GetDigest: self._get_digest,
            traffic_messages.GetStatus: self._get_status,
        }

    def reload(self, cfg: settings.Settings) -> None:
        """See `service.Service.reload`."""
        if cfg.forwarding:
            self._traffic.target_weights.set_max_age(cfg.forwarding.weights_ms / 1000)

    async def run(self, kernel: service.Kernel, task_status: "trio.TaskStatus[None]") -> None:
        """See `service.Service.run`."""
        self._kernel = kernel
        self._slowness_report.start(kernel)
        self._suspended_s = self._clock() - trio.current_time()
        task_status.started()
        while True:
            now = trio.current_time()
            deadline = now + MAX_POLL_INTERVAL_S
            next_deadline = self._traffic.next_deadline()
            if next_deadline is not None:
                deadline = min(deadline, next_deadline)
            message = await self.mailbox.receive_until(deadline)
            now = trio.current_time()
            self._notice_suspension(now)
            if message is not None:
                self._handlers[type(message)](message, now)
            if self._pending_replies:
                self._deliver(self._traffic.poll(now), now)
            self._update_demands(now)
            self._report_blocks(now)
            self._shortage_reporter.report(self._traffic.pools, kernel.find(names.TELEMETRY), now)

    def _notice_suspension(self, now: float) -> None:
        """Adds the time for which the VM was suspended, which trio's clock does not count."""
        suspended_s = self._clock() - now
        missed_s = suspended_s - self._suspended_s
        if missed_s >= MIN_SUSPENSION_S:
            self._suspended_s = suspended_s
            self._traffic.target_weights.add_age(missed_s)
            _log.info("vm_was_suspended", suspended_s=round(missed_s, 2))

    def _admit(self, message: traffic_messages.Admit, now: float) -> None:
        decision = self._traffic.admit(message.request_spec, now)
        self._pending_replies[message.request_spec.request] = message.reply
        if decision is not None:
            self._deliver([decision], now)

    def _retry(self, message: traffic_messages.Retry, now: float) -> None:
        self._pending_replies[message.request] = message.reply
        if message.continues:
            self._deliver([self._traffic.continue_run(message.request, now)], now)
            return
        decision = self._traffic.retry(message.request, now)
        if decision is not None:
            self._deliver([decision], now)

    def _fail_over(self, message: traffic_messages.FailOver, now: float) -> None:
        failover = self._traffic.attempts.fail_over(message.request, now)
        if failover is not None:
            self._notify_peers(self._sent_work.record(self._traffic, failover.placed, now))
        message.reply.set(failover)

    def _place_hedge(self, message: traffic_messages.PlaceHedge, now: float) -> None:
        placed = self._traffic.attempts.place_hedge(message.request, now)
        if placed is not None:
            self._notify_peers(self._sent_work.record(self._traffic, placed, now))
        message.reply.set(placed)

    def _hedge_ended(self, message: traffic_messages.HedgeEnded, now: float) -> None:
        attempts = self._traffic.attempts
        if message.former is not None:
            message.reply.set(attempts.hedge_won(message.request, message.former, now))
        else:
            message.reply.set(attempts.hedge_ended(message.request, message.outcome, now))

    def _report_silence(self, message: traffic_messages.ReportSilence, now: float) -> None:
        self._traffic.attempts.report_silence(message.request, now)

    def _deliver(self, decisions: list[routing.Decision], now: float) -> None:
        """Sends decisions to the requests that wait for them, and placements to the peers."""
        for decision in decisions:
            if isinstance(decision, routing.Placed):
                self._notify_peers(self._sent_work.record(self._traffic, decision, now))
                spec = self._traffic.request_spec(decision.request)
                state = self._traffic.pools.get(spec.pool) if spec else None
                self._slowness_report.record_placed(decision, state)
            reply = self._pending_replies.pop(decision.request, None)
            if reply:
                reply.set(decision)

    def _notify_peers(self, urgent: bool) -> None:
        if self._kernel:
            peers: PeerNotifier = self._kernel.find(names.PEERS)
            peers.schedule_update(urgent)

    def _first_token_received(
        self, message: traffic_messages.FirstTokenReceived, now: float
    ) -> None:
        export = self._traffic.record_first_token(message.request, message.first, now)
        if export and self._kernel:
            exports: ExportSink = self._kernel.find(names.EXPORTS)
            exports.mailbox.try_send(export)

    def _output_began(self, message: traffic_messages.OutputBegan, now: float) -> None:
        self._traffic.record_output(message.request, now)

    def _attempt_ended(self, message: traffic_messages.AttemptEnded, now: float) -> None:
        message.reply.set(
            self._traffic.attempts.attempt_ended(message.request, message.outcome, now)
        )

    def _request_ended(self, message: traffic_messages.RequestEnded, now: float) -> None:
        self._pending_replies.pop(message.request, None)
        self._traffic.end_request(message.request, message.ran, now)
        if self._traffic.has_queued():
            self._deliver(self._traffic.poll(now), now)

    def _configuration_changed(
        self, message: traffic_messages.ConfigurationChanged, now: float
    ) -> None:
        self._traffic.configure(message.cfg, now)
        known = {u for pool in message.cfg.content.pools.values() for u in pool.upstreams}
        self._logged_states = {u: state for u, state in self._logged_states.items() if u in known}
        self._sent_work.retain_upstreams(known)
        self._slowness_report.retain(known)

    def _load_reported(self, message: traffic_messages.LoadReported, now: float) -> None:
        self._traffic.observations.record_load_report(
            message.pool,
            message.upstream,
            message.incarnation,
            message.leaving,
            message.report,
            now,
            message.versions,
        )
        self._log_state_change(message.pool, message.upstream, now)

    def _status_reported(self, message: traffic_messages.StatusReported, now: float) -> None:
        recorder = self._traffic.observations
        if message.weights is not None:
            weights = message.weights
            recorder.record_weights_version(
                message.pool, message.upstream, weights.model, weights.version
            )
        if message.load is not None:
            recorder.record_stated_load(message.pool, message.upstream, message.load, now)
            state = self._traffic.pools.get(message.pool)
            self._slowness_report.record_stated(message.upstream, message.load, state, now)

    def _target_version_set(self, message: traffic_messages.TargetVersionSet, now: float) -> None:
        if self._traffic.target_weights.set_target(
            message.model, message.version, now - message.age_s
        ):
            _log.info(
                "weights_named",
                model=message.model,
                version=message.version,
                age_s=round(message.age_s, 2),
            )

    def _weights_reported(self, message: traffic_messages.WeightsReported, now: float) -> None:
        self._traffic.observations.record_weights_version(
            message.pool, message.upstream, message.model, message.version
        )

    def _weights_loading(self, message: traffic_messages.WeightsLoading, now: float) -> None:
        self._traffic.observations.record_loading(message.pool, message.upstream, message.until)

    def _upstream_paused(self, message: traffic_messages.UpstreamPaused, now: float) -> None:
        self._traffic.observations.record_pause(message.pool, message.upstream, message.until)

    def _brittle_upstream_rejected(
        self, message: rejection_messages.BrittleUpstreamRejected, now: float
    ) -> None:
        self._traffic.observations.record_rejection(
            message.pool, message.upstream, message.interval_s, now
        )

    def _brittleness_ended(self, message: rejection_messages.BrittlenessEnded, now: float) -> None:
        self._traffic.observations.record_robust(message.pool, message.upstream)

    def _limit_changed(self, message: traffic_messages.LimitChanged, now: float) -> None:
        recorder = self._traffic.observations
        recorder.record_rate_limited(
            message.pool, message.upstream, message.limited, now, message.resume_at
        )

    def _grants_received(self, message: traffic_messages.GrantsReceived, now: float) -> None:
        recorder = self._traffic.observations
        recorder.add_grants(message.pool, message.upstream, message.count, message.until)

    def _use_grant(self, message: traffic_messages.UseGrant, now: float) -> None:
        used = self._traffic.observations.use_grant(message.pool, message.upstream, now)
        message.reply.set(used)

    def _update_demands(self, now: float) -> None:
        """Passes the demand for grants to the service that requests them, if it has changed."""
        demands = self._traffic.grant_demands(now)
        if demands == self._demands or self._kernel is None:
            return
        self._demands = demands
        sink: DemandSink = self._kernel.find(names.QUOTAS)
        sink.set_demands(demands)

    def _get_engines(self, message: traffic_messages.GetEngines, now: float) -> None:
        message.reply.set(self._traffic.engines(message.pool, message.model, now))

    def _probe_failed(self, message: traffic_messages.ProbeFailed, now: float) -> None:
        self._traffic.observations.record_probe_failure(
            message.pool, message.upstream, message.certain, now
        )
        self._log_state_change(message.pool, message.upstream, now)

    def _log_state_change(self, pool: ids.PoolId, upstream: ids.UpstreamId, now: float) -> None:
        if pool not in self._traffic.pools:
            return
        current = self._traffic.upstream_state(pool, upstream, now)
        if self._logged_states.get(upstream, health.UpstreamState.ACTIVE) is not current:
            _log.info("upstream_state", upstream=upstream, pool=pool, state=current.value)
        self._logged_states[upstream] = current

    def _cache_changed(self, message: traffic_messages.CacheChanged, now: float) -> None:
        message.reply.set(
            self._traffic.observations.apply_cache_event(
                message.pool, message.upstream, message.event, now
            )
        )

    def _cache_snapshot(self, message: traffic_messages.CacheSnapshot, now: float) -> None:
        self._traffic.observations.apply_cache_snapshot(
            message.pool,
            message.upstream,
            message.incarnation,
            message.sequence,
            message.pieces,
            now,
        )

    def _upstream_listed(self, message: traffic_messages.UpstreamListed, now: float) -> None:
        self._traffic.observations.record_listing(message.pool, message.upstream, message.leaving)
        self._log_state_change(message.pool, message.upstream, now)

    def _peer_traffic(self, message: traffic_messages.PeerTraffic, now: float) -> None:
        recorder = self._traffic.observations
        for work in message.delta.sends:
            recorder.record_peer_work(
                work.pool, work.upstream, work.tokens, work.interactive_tokens, now
            )
        for placed in message.delta.placed:
            recorder.record_peer_prompt(placed.pool, placed.upstream, placed.pieces, now)

        for heard in message.delta.heard:
            if heard.news is not None:
                recorder.record_peer_news(heard.pool, heard.upstream, heard.news, now)

    def _peer_account_use(self, message: traffic_messages.PeerAccountUse, now: float) -> None:
        self._traffic.limits.set_routers(message.routers)
        self._traffic.limits.set_remote_use(message.use)

    def _peer_crashes(self, message: traffic_messages.PeerCrashes, now: float) -> None:
        for sound in message.sound:
            self._traffic.poison.record_sound(sound, now)
        for evidence in message.crashes:
            self._traffic.poison.record_crash(evidence, now)

    def _routers_changed(self, message: traffic_messages.RoutersChanged, now: float) -> None:
        self._traffic.poison.set_routers(message.vm, message.routers)

    def _get_blocked_parts(self, message: traffic_messages.GetBlockedParts, now: float) -> None:
        message.reply.set(self._traffic.poison.verdicts(now))

    def _lift_block(self, message: traffic_messages.LiftBlock, now: float) -> None:
        message.reply.set(self._traffic.poison.lift(message.part, now))

    def _report_blocks(self, now: float) -> None:
        """Logs and counts the parts that were blocked or freed."""
        for change in self._traffic.poison.take_changes(now):
            event = "part_blocked" if change.blocked else "part_freed"
            verdict = change.verdict
            _log.info(
                event,
                part=verdict.part,
                crashes=verdict.crashes,
                score=round(verdict.score, 2),
                last_crash_s=round(now - verdict.last_crash_at, 2),
                ruled_out=verdict.ruled_out,
            )
            if self._kernel:
                telemetry: telemetry_service.TelemetryService = self._kernel.find(names.TELEMETRY)
                telemetry.count_event(event)

    def _pieces_exported(self, message: traffic_messages.PiecesExported, now: float) -> None:
        self._traffic.observations.record_export(message.pool, message.pieces)

    def _explain(self, message: traffic_messages.Explain, now: float) -> None:
        message.reply.set(self._traffic.explain(message.request_spec, now))

    def _get_digest(self, message: traffic_messages.GetDigest, now: float) -> None:
        use = self._traffic.limits.local_use(now)
        if len(use) > MAX_DIGEST_ACCOUNTS:
            busiest = sorted(use, key=lambda a: use[a].demand_per_s, reverse=True)
            use = {account: use[account] for account in busiest[:MAX_DIGEST_ACCOUNTS]}
        message.reply.set(
            traffic_messages.Digest(
                self._sent_work.sends(self._traffic, now),
                tuple(self._sent_work.placed),
                use,
                tuple(self._traffic.poison.recent_evidence(MAX_DIGEST_CRASHES, now)),
                tuple(self._traffic.poison.recent_sound(MAX_DIGEST_SOUND, now)),
            )
        )

    def _get_status(self, message: traffic_messages.GetStatus, now: float) -> None:
        upstreams = []
        queued = {}
        for pool_id, state in self._traffic.pools.items():
            queued[pool_id] = len(state.queue)
            for upstream in state.policy.members:
                upstreams.append(self._upstream_status(pool_id, state, upstream, now))
        active = self._traffic.active_requests
        message.reply.set(traffic_messages.Status(active, queued, tuple(upstreams)))

    def _upstream_status(
        self,
        pool_id: ids.PoolId,
        state: observations.PoolState,
        upstream: ids.UpstreamId,
        now: float,
    ) -> traffic_messages.UpstreamStatus:
        member = state.policy.members[upstream]
        current = self._traffic.upstream_state(pool_id, upstream, now)
        if member.spec.leaving:
            current = health.UpstreamState.LEAVING
        cached = 0
        if isinstance(state.policy, placement.PrefixPlacement):
            cached = state.policy.cache_index.size_of(upstream)
        return traffic_messages.UpstreamStatus(
            pool_id,
            upstream,
            member.spec.address,
            member.spec.failure_domain,
            current,
            state.health.incarnation(upstream),
            member.load.running(),
            member.load.backlog_tokens(configuration.ServiceClass.BATCH, now),
            cached,
        )
