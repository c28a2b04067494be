"""Builds the calls that the attempts at a forwarded request send."""

import trio

from cicadapier._internal.decisions import routing
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import forwarding
from cicadapier._internal.services import forwarded_plan
from cicadapier._internal.services import forwarded_progress
from cicadapier._internal.services import upstream_call

CONNECT_TIMEOUT_S = 0.4


class CallBuilder:
    """Builds the calls of one request."""

    def __init__(
        self,
        dependencies: forwarded_plan.Dependencies,
        plan: forwarded_plan.Plan,
        progress: forwarded_progress.AnswerProgress,
    ) -> None:
        self._dependencies = dependencies
        self._plan = plan
        self._progress = progress

    def build(
        self, placed: routing.Placed, address: ids.Address, new_connection: bool
    ) -> upstream_call.Call:
        """Returns the call that one attempt sends.

        Args:
            placed: Placement of the attempt.
            address: Address of the chosen upstream.
            new_connection: Whether to open a new connection instead of reusing an idle one.
        """
        forwarded = self._plan.forwarded
        remaining_s = self._plan.deadline - trio.current_time()
        cache_scope = self._plan.cache_scope
        instructions = forwarding.Instructions(
            placed.choice.estimate.upstream,
            self._plan.admission.account,
            remaining_s,
            # The scope includes the weights version, so that cached parts that were computed with
            # other weights are never found.
            f"{cache_scope}/{placed.weights or ''}" if cache_scope else "",
            placed.weights,
            self._progress.last_event_number,
            self._import_address(placed),
            self._keep_address(placed),
            self._address_of(placed.backup),
            address if placed.continues else None,
            self._plan.urgency,
        )
        head = self._dependencies.wire_format.make_request_head(forwarded, instructions)
        return upstream_call.Call(
            forwarded.request,
            address,
            placed.incarnation,
            head,
            forwarded.raw.body,
            min(CONNECT_TIMEOUT_S, remaining_s),
            remaining_s,
            self._dependencies.wire_format,
            placed.choice.estimate.upstream,
            placed.weights,
            new_connection=new_connection,
        )

    def _import_address(self, placed: routing.Placed) -> ids.Address | None:
        """Returns where the upstream can import prompt parts that it lacks or has evicted.

        Engines and a busy keep (the external KV cache store) evict parts within seconds. If there
        is a keep, an engine is therefore preferred to it only if it has used the parts just now.
        """
        keep_address = self._keep_address(placed)
        estimate = placed.choice.estimate
        source = estimate.source if keep_address is None else estimate.reliable_source
        if placed.weights is None:
            return keep_address
        return self._address_of(source) or keep_address

    def _address_of(self, upstream: ids.UpstreamId | None) -> ids.Address | None:
        registration = self._dependencies.directory.find(upstream) if upstream else None
        return registration.address if registration else None

    def _keep_address(self, placed: routing.Placed) -> ids.Address | None:
        if not self._plan.request_spec.prompt.pieces or placed.weights is None:
            return None
        return self._plan.admission.cfg.keep_address
