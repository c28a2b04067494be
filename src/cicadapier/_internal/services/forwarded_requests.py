"""Handles forwarded requests, from the choice of the route to the relayed answer.

Method, target and body of a request are forwarded unchanged. Admission, placement, retries and
attempts are the same as for requests to the product's own interface.
"""

import dataclasses
import hashlib
import itertools

import structlog
import trio

from cicadapier._internal.decisions import backups
from cicadapier._internal.decisions import cache_scopes
from cicadapier._internal.decisions import event_numbering
from cicadapier._internal.decisions import prefix
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import stopping
from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.decisions.scarcity import urgency
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.protocols import exceptions as protocol_exceptions
from cicadapier._internal.protocols import forwarding
from cicadapier._internal.protocols import http_server
from cicadapier._internal.services import cluster_service
from cicadapier._internal.services import directory_service
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import forwarded_exchange
from cicadapier._internal.services import forwarded_plan
from cicadapier._internal.services import origins_service
from cicadapier._internal.services import request_context
from cicadapier._internal.services import request_listener
from cicadapier._internal.services import telemetry_service
from cicadapier._internal.services import watched_configuration
from cicadapier._internal.services.account_quotas import account_quotas_service
from cicadapier._internal.services.account_quotas import request_quota
from cicadapier._internal.services.slow_readers import stream_output

NOT_READY_RETRY_S = 0.5
# Of the caller's remaining time; callers do not retry later than that.
MAX_RETRY_AFTER_SHARE = 1 / 3
MAX_QUEUE_SHARE = 0.5  # Of the route's objective; a longer wait for a slot is not worthwhile.
_PUBLIC_ACCOUNT_SPEC = configuration.Account(limits=configuration.Limits(1e9, 1e15, 1_000_000_000))
# Callers that hold no event may name it as their last one, where events are numbered from 1.
NO_EVENT = 0
MAX_SHARED_PARTS = 64  # Later parts of a prompt are not checked for crashes of upstreams.

_log = structlog.get_logger()


class ForwardedRequests:
    """Handles forwarded requests of one router.

    Attributes:
        grace: Time that is left to finish requests.
    """

    def __init__(
        self,
        services: request_context.Services,
        wire_format: forwarding.ForwardingFormat,
        watched_cfg: watched_configuration.WatchedConfiguration,
        directory: directory_service.DirectoryService,
        cluster: cluster_service.ClusterService,
        origins: origins_service.OriginsService,
        account_quotas: account_quotas_service.AccountQuotasService,
        secret: bytes,
        orders_by_urgency: bool = False,
        make_output: stream_output.MakeOutput = stream_output.DirectOutput,
    ) -> None:
        self._services = services
        self._cache_scopes = cache_scopes.CacheScopes()
        self._wire_format = wire_format
        self._configuration = watched_cfg
        self._directory = directory
        self._cluster = cluster
        self._origins = origins
        self._account_quotas = account_quotas
        self._secret = secret
        self._orders_by_urgency = orders_by_urgency
        self._make_output = make_output
        self._request_numbers = itertools.count()
        self._open_exchanges: set[forwarded_exchange.Exchange] = set()
        self._run_times = stopping.RunTimes()
        self._numbering = event_numbering.EventNumbering()
        self.grace = stopping.Grace()

    async def handle(self, req: http_server.Request, responder: http_server.Responder) -> None:
        """Answers one request.

        Args:
            req: The request.
            responder: Sends the answer.

        Raises:
            RefusedError: The request is refused and no answer has begun.
            ConnectionLostError: The answer broke off. The connection must be closed, as this is the
                only way to signal it to the caller.
        """
        forwarded = self._read_request(req)
        try:
            admission = self.admit(forwarded)
            await self._services.peers.wait_until_informed()
            origin = await self._find_origin(admission, forwarded)
            plan = self._make_plan(admission, forwarded, origin)
            self._require_time(plan)
            if plan.quota is not None:
                await plan.quota.reserve()
            self._services.retry_budget.set_routers(len(self._cluster.routers()))
            await self._run_exchange(plan, responder)
        except exceptions.RefusedError as exc:
            refusal = _bound_retry_after(exc.refusal, forwarded)
            _log.info(
                "request_refused",
                request=forwarded.request,
                code=refusal.code.value,
                reason=refusal.message,
                effect=refusal.effect.value,
                status=int(self._wire_format.choose_refusal_status(refusal)),
                retry_after_s=refusal.retry_after_s,
                config=self._configuration.current.number,
                proof_age_s=round(self._configuration.proof_age_s, 3),
            )
            raise exceptions.RefusedError(refusal) from exc

    async def _run_exchange(
        self, plan: forwarded_plan.Plan, responder: http_server.Responder
    ) -> None:
        exchange = forwarded_exchange.Exchange(self._make_dependencies(), plan, responder)
        self._open_exchanges.add(exchange)
        try:
            await exchange.run()
        finally:
            self._open_exchanges.remove(exchange)
            if plan.quota is not None:
                plan.quota.close()

    def expire_unanswered(self) -> None:
        """Refuses all requests whose answer has not begun, as if their deadlines had passed.

        Each refusal states whether its request may have run.
        """
        for exchange in self._open_exchanges:
            exchange.expire_if_unanswered()

    def _make_dependencies(self) -> forwarded_plan.Dependencies:
        return forwarded_plan.Dependencies(
            self._services,
            self._wire_format,
            self._directory,
            self._configuration,
            self._origins,
            self.admit,
            self._require_time,
            self._run_times.record,
            self._make_output,
            self._numbering,
        )

    def _require_time(self, plan: forwarded_plan.Plan) -> None:
        """Refuses a request that would not end before this router stops.

        Raises:
            RefusedError: The request must not begin.
        """
        route = plan.admission.route
        is_stream = route.kind is configuration.RouteKind.STREAM
        needed_s = self._run_times.needed_s(plan.admission.route_id)
        if not self.grace.may_begin(needed_s, is_stream, plan.deadline, trio.current_time()):
            raise _refused_error(outcomes.RefusalCode.DRAINING, "this router is stopping", 0.0)

    def _read_request(self, req: http_server.Request) -> forwarding.ForwardedRequest:
        try:
            return self._wire_format.read_request(req)
        except protocol_exceptions.BadRequestError as exc:
            refusal = request_listener.refusal_of(exc)
            raise exceptions.RefusedError(refusal) from exc

    def admit(self, forwarded: forwarding.ForwardedRequest) -> forwarded_plan.Admission:
        """Checks a request against the current configuration.

        Raises:
            RefusedError: The configuration does not allow the request, or this router cannot be
                sure that its configuration is current.
        """
        if not self._configuration.ready.is_set():
            raise _refused_error(
                outcomes.RefusalCode.NOT_READY,
                "this router has no configuration yet",
                NOT_READY_RETRY_S,
            )
        cfg = self._configuration.current
        route_id = cfg.find_route(forwarded.host, forwarded.raw.path)
        if route_id is None:
            self._require_proof()
            raise _refused_error(
                outcomes.RefusalCode.NOT_FOUND, "no route matches this host and path"
            )
        route = cfg.content.routes[route_id]
        if route.public:
            return forwarded_plan.Admission(cfg, route_id, route, None)
        self._require_proof()
        digest = hashlib.sha256(forwarded.key.encode()).hexdigest()
        account = cfg.accounts_by_key_hash.get(digest) if forwarded.key else None
        if account is None and cfg.key_policy is configuration.KeyPolicy.REQUIRED:
            raise _refused_error(
                outcomes.RefusalCode.INVALID_KEY, "the API key is missing or unknown"
            )
        return forwarded_plan.Admission(cfg, route_id, route, account)

    def _require_proof(self) -> None:
        """Refuses the request if a newer configuration may exist that decides otherwise.

        Raises:
            RefusedError: The configuration was not proved to be the newest recently enough.
        """
        if not self._configuration.has_fresh_proof:
            age_s = self._configuration.proof_age_s
            message = f"the configuration has not been confirmed to be the newest for {age_s:.1f} s"
            raise _refused_error(
                outcomes.RefusalCode.STALE_CONFIGURATION, message, NOT_READY_RETRY_S
            )

    async def _find_origin(
        self, admission: forwarded_plan.Admission, forwarded: forwarding.ForwardedRequest
    ) -> stream_origins.Origin | None:
        """Returns where the stream began that a request takes up; None if it takes up none.

        Raises:
            RefusedError: It is not certain which software version began the stream, or what the
                request says of it cannot be read.
        """
        route = admission.route
        if route.kind is not configuration.RouteKind.STREAM:
            return None
        if not forwarded.is_resumption_readable:
            raise _refused_error(
                outcomes.RefusalCode.INVALID_REQUEST,
                "the last event or the stream to take up is named more than once or cannot be read",
            )
        if not _takes_up_stream(forwarded):
            return None
        stream = _stream_id(admission, forwarded.resumes) if forwarded.resumes else None
        pool = _choose_pool(route, forwarded.resumes or forwarded.request)
        life_s = stream_origins.stream_life_s(route.timeout_s, forwarded.time_left_s)
        origin = await self._origins.find_origin(stream, pool, life_s)
        if self._holds_no_event(forwarded, stream):
            return None  # Any origin was only assumed, as nobody knows the stream.
        if origin is None:
            raise _refused_error(
                outcomes.RefusalCode.ORIGIN_UNKNOWN,
                "it is not known which software version of the upstreams began this stream; "
                "request it anew",
            )
        if origin.pool not in {share.pool for share in route.pools}:
            # The route has moved to other pools; one of them may have the same software.
            return dataclasses.replace(origin, pool=pool)
        return origin

    def _holds_no_event(
        self, forwarded: forwarding.ForwardedRequest, stream: stream_origins.StreamId | None
    ) -> bool:
        """Returns whether a caller names a stream that nobody knows, and holds nothing of it."""
        if stream is None or forwarded.resume_after != NO_EVENT:
            return False
        return self._origins.is_without_events(stream, NO_EVENT)

    def _make_plan(
        self,
        admission: forwarded_plan.Admission,
        forwarded: forwarding.ForwardedRequest,
        origin: stream_origins.Origin | None,
    ) -> forwarded_plan.Plan:
        route = admission.route
        timeout_s = route.timeout_s
        if forwarded.time_left_s is not None:
            timeout_s = min(timeout_s, forwarded.time_left_s)
        pool_id = origin.pool if origin else _choose_pool(route, forwarded.request)
        number = next(self._request_numbers)
        request = ids.RequestId(f"{forwarded.request}#{number}")
        cache_scope = self._cache_scopes.find(admission.cfg.content, admission.account)
        prompt = self._make_prompt(cache_scope, forwarded.work)
        request_spec = routing.RequestSpec(
            request,
            _public_account(admission) if admission.account is None else admission.account,
            pool_id,
            prompt,
            forwarded.work.output_tokens if forwarded.work else 0,
            _fingerprint(pool_id, admission, forwarded.raw),
            model=forwarded.work.model if forwarded.work else None,
            max_wait_s=min(timeout_s, MAX_QUEUE_SHARE * route.objective_s),
            default_account=_PUBLIC_ACCOUNT_SPEC if admission.account is None else None,
            needs_backup=_is_backed_up(admission, pool_id, forwarded.work),
            parts=self._shared_parts(cache_scope, forwarded.work),
            software=origin.software if origin else None,
        )
        if self._orders_by_urgency:
            request_spec = _add_urgency(request_spec, admission, forwarded)
        attributes = self._services.telemetry.attributes(
            telemetry_service.Caller(request_spec.account, configuration.ServiceClass.INTERACTIVE)
        )
        return forwarded_plan.Plan(
            forwarded,
            admission,
            pool_id,
            request_spec,
            cache_scope.name if forwarded.work else "",
            _stream_id(admission, (forwarded.resumes if origin else None) or forwarded.request),
            forwarded.raw.began_at + timeout_s,
            attributes,
            self._find_quota(admission, forwarded),
            request_spec.urgency if self._orders_by_urgency else None,
        )

    def _find_quota(
        self, admission: forwarded_plan.Admission, forwarded: forwarding.ForwardedRequest
    ) -> request_quota.RequestQuota | None:
        account = admission.account
        if account is None:
            return None
        quota = admission.cfg.content.accounts[account].quota
        if quota is None:
            return None
        return request_quota.RequestQuota(
            self._account_quotas, account, quota, forwarded.request, forwarded.stated_tokens
        )

    def _make_prompt(
        self, cache_scope: cache_scopes.CacheScope, work: forwarding.ModelWork | None
    ) -> prefix.Prompt:
        """Returns the prompt for the placement."""
        if work is None:
            return prefix.EMPTY_PROMPT
        scope = prefix.Scope(cache_scope.prefix_account, work.model, "", "")
        root = prefix.root_id(self._secret, scope)
        return prefix.prompt_from_parts(root, work.parts, work.prompt_tokens)

    @staticmethod
    def _shared_parts(
        cache_scope: cache_scopes.CacheScope, work: forwarding.ModelWork | None
    ) -> tuple[ids.PartId, ...]:
        """Returns the ids of the prompt's parts but the last, which no other request shares."""
        if work is None:
            return ()
        owner = cache_scope.owner
        return tuple(
            prefix.part_id(owner, work.model, part) for part in work.parts[:-1][:MAX_SHARED_PARTS]
        )


def _takes_up_stream(forwarded: forwarding.ForwardedRequest) -> bool:
    """Returns whether a request goes on with a stream, whose version then matters.

    A caller that holds events names their stream; without one, `NO_EVENT` stands for none.
    """
    if forwarded.resume_after is None:
        return False
    return forwarded.resume_after != NO_EVENT or forwarded.resumes is not None


def _stream_id(
    admission: forwarded_plan.Admission, request: ids.RequestId
) -> stream_origins.StreamId:
    return stream_origins.StreamId(admission.account or "", request)


def _choose_pool(route: configuration.Route, request: ids.RequestId) -> ids.PoolId:
    """Returns one of the route's pools, chosen by a hash of the request id and by their shares."""
    if len(route.pools) == 1:
        return route.pools[0].pool
    total = sum(share.weight for share in route.pools)
    digest = hashlib.blake2b(request.encode(), digest_size=8).digest()
    position = int.from_bytes(digest, "big") / 2**64 * total
    for share in route.pools:
        position -= share.weight
        if position < 0:
            return share.pool
    return route.pools[-1].pool


def _is_backed_up(
    admission: forwarded_plan.Admission,
    pool: ids.PoolId,
    work: forwarding.ModelWork | None,
) -> bool:
    """Returns whether the memory of a run is backed up.

    This is done only for long streams that cannot be resumed by another run.
    """
    route = admission.route
    if work is None or route.kind is not configuration.RouteKind.STREAM or route.resumable:
        return False
    spec = admission.cfg.content.pools.get(pool)
    if spec is None or not spec.run_backups:
        return False
    return backups.is_worthwhile(work.prompt_tokens, work.output_tokens)


def _add_urgency(
    request_spec: routing.RequestSpec,
    admission: forwarded_plan.Admission,
    forwarded: forwarding.ForwardedRequest,
) -> routing.RequestSpec:
    """Returns the request with what decides on its begin while room is short."""
    accounts = admission.cfg.content.accounts
    account = None if admission.account is None else accounts[admission.account]
    time_left_s = forwarded.time_left_s
    return dataclasses.replace(
        request_spec,
        urgency=urgency.effective(account.priority if account else None, admission.route.priority),
        objective_s=admission.route.objective_s,
        return_within_s=None if time_left_s is None else time_left_s * MAX_RETRY_AFTER_SHARE,
    )


def _public_account(admission: forwarded_plan.Admission) -> ids.AccountId:
    return ids.AccountId(f"route:{admission.route_id}")


def _fingerprint(
    pool: ids.PoolId, admission: forwarded_plan.Admission, req: http_server.Request
) -> ids.Fingerprint:
    digest = hashlib.blake2b(req.body, digest_size=16)
    for part in (pool, admission.account or "", req.method, req.target):
        digest.update(f"{len(part)}:{part}".encode())
    return ids.Fingerprint(digest.hexdigest())


def _refused_error(
    code: outcomes.RefusalCode, message: str, retry_after_s: float | None = None
) -> exceptions.RefusedError:
    return exceptions.RefusedError(
        outcomes.Refusal(code, message, outcomes.Effect.NOT_RUN, retry_after_s)
    )


def _bound_retry_after(
    refusal: outcomes.Refusal, forwarded: forwarding.ForwardedRequest
) -> outcomes.Refusal:
    """Limits the retry delay of a refusal to a share of the caller's remaining time."""
    if refusal.retry_after_s is None or forwarded.time_left_s is None:
        return refusal
    remaining_s = forwarded.raw.began_at + forwarded.time_left_s - trio.current_time()
    bounded_s = max(0.0, min(refusal.retry_after_s, remaining_s * MAX_RETRY_AFTER_SHARE))
    return dataclasses.replace(refusal, retry_after_s=bounded_s)
