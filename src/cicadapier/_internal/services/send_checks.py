"""Checks immediately before a forwarded request is sent to an upstream."""

from cicadapier._internal.decisions import routing
from cicadapier._internal.models import outcomes
from cicadapier._internal.services import attempt_errors
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import forwarded_plan
from cicadapier._internal.services import forwarded_progress

CONFIGURATION_CHANGED_RETRY_S = 0.05  # Retry delay if the request no longer matches its route.


class SendChecks:
    """Checks that the decisions on one request still hold."""

    def __init__(
        self,
        dependencies: forwarded_plan.Dependencies,
        plan: forwarded_plan.Plan,
        progress: forwarded_progress.AnswerProgress,
    ) -> None:
        self._dependencies = dependencies
        self._plan = plan
        self._progress = progress

    def check_admission(self) -> None:
        """Checks that the configuration still allows the request.

        Raises:
            RefusedError: It does not.
        """
        admission = self._dependencies.admit(self._plan.forwarded)
        route_pools = {share.pool for share in admission.route.pools}
        still_admitted = (
            admission.account == self._plan.admission.account and self._plan.pool in route_pools
        )
        if not still_admitted:
            message = "the configuration changed while the request was queued"
            raise exceptions.RefusedError(
                outcomes.Refusal(
                    outcomes.RefusalCode.NO_UPSTREAM,
                    message,
                    retry_after_s=CONFIGURATION_CHANGED_RETRY_S,
                )
            )

    def check_upstream(self, placed: routing.Placed) -> None:
        """Checks that the upstream may receive the request now, and counts the send.

        Raises:
            AttemptFailedError: It may not.
            RefusedError: The stream must not go on at any upstream.
        """
        upstream = placed.choice.estimate.upstream
        if not self._dependencies.directory.may_send(upstream, placed.incarnation):
            raise attempt_errors.AttemptFailedError(outcomes.NotSent("the upstream is leaving"))
        if self._progress.software is not None:
            self._check_origin()
        if not self._progress.can_continue_at(placed):
            reason = "the upstream has another software version than the one that began the stream"
            raise attempt_errors.AttemptFailedError(outcomes.NotSent(reason, withheld=True))
        if not placed.granted and self._dependencies.directory.limits.requires_grant(
            upstream, placed.incarnation
        ):
            reason = "the upstream limits the requests of all routers"
            raise attempt_errors.AttemptFailedError(outcomes.NotSent(reason, withheld=True))
        self._dependencies.directory.limits.count_send(upstream, "attempt")

    def _check_origin(self) -> None:
        """Refuses to go on with a stream that another software version may have begun.

        Raises:
            RefusedError: The upstream that began it had started again with other software.
        """
        if self._dependencies.origins.is_doubted(self._plan.stream):
            message = "the upstream that began this stream may have had other software"
            raise exceptions.RefusedError(
                outcomes.Refusal(
                    outcomes.RefusalCode.ORIGIN_UNKNOWN, message, outcomes.Effect.UNKNOWN
                )
            )
