"""Refusals of requests that were not run."""

from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import routing
from cicadapier._internal.models import outcomes

DEFAULT_RETRY_AFTER_S = 1.0


def available_after_s(state: observations.PoolState, now: float) -> float:
    """Returns after how long a pool without an available upstream may have one again."""
    staying = [member for member in state.policy.members.values() if not member.spec.leaving]
    pauses = [member.paused_until - now for member in staying if member.paused_until > now]
    if pauses and len(pauses) == len(staying):
        return min(pauses)
    # The other upstreams may become available before any pause ends.
    return min([*pauses, DEFAULT_RETRY_AFTER_S])


def refuse_blocked(request_spec: routing.RequestSpec, block: poison.Block) -> routing.Refused:
    """Returns the refusal of a request that crashes upstreams."""
    message = (
        "this request was running on two upstreams when they crashed; "
        "it is blocked and was not run again"
    )
    if block.part is not None:
        message = (
            f"the part {block.part} of the prompt has crashed {block.crashes} upstreams; "
            "requests with it are blocked"
        )
    return refuse(request_spec, outcomes.RefusalCode.POISON, message, block.retry_after_s)


def refuse(
    request_spec: routing.RequestSpec,
    code: outcomes.RefusalCode,
    message: str,
    retry_after_s: float | None = None,
) -> routing.Refused:
    """Returns the refusal of a request that was not run."""
    refusal = outcomes.Refusal(code, message, outcomes.Effect.NOT_RUN, retry_after_s)
    return routing.Refused(request_spec.request, refusal)
