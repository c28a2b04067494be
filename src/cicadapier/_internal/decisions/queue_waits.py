"""Waits of requests in the queue of a pool, and refusals of those that would wait too long.

In a burst, a request that would time out in the queue is refused as it arrives, not later.
"""

from cicadapier._internal.decisions import fair_queue
from cicadapier._internal.decisions import observations
from cicadapier._internal.decisions import refusals
from cicadapier._internal.decisions import retry_after
from cicadapier._internal.decisions import routing
from cicadapier._internal.models import configuration
from cicadapier._internal.models import outcomes


def max_wait_s(
    spec: configuration.Pool, account: configuration.Account, request_spec: routing.RequestSpec
) -> float:
    """Returns how long a request may wait in the queue of its pool."""
    if request_spec.max_wait_s is not None:
        return request_spec.max_wait_s
    if account.service_class is configuration.ServiceClass.BATCH:
        return spec.timeouts.batch_queue_s
    return spec.timeouts.queue_s


def refuse_long_wait(
    state: observations.PoolState,
    account: configuration.Account,
    request_spec: routing.RequestSpec,
    now: float,
) -> routing.Refused | None:
    """Refuses a request that would time out in the fair queue, now instead of later."""
    if not isinstance(state.queue, fair_queue.FairQueue):
        return None
    wait_s = state.queue.expected_wait_s(account.service_class, request_spec.account, now)
    if not len(state.queue) or wait_s <= max_wait_s(state.spec, account, request_spec):
        return None
    if state.may_pass(request_spec):
        return None
    message = f"the expected queue wait of {wait_s:.1f} s exceeds the timeout"
    retry_after_s = retry_after.jittered_s(wait_s, request_spec.request)
    return refusals.refuse(
        request_spec, outcomes.RefusalCode.OVERLOADED, message, retry_after_s=retry_after_s
    )


def return_after_s(
    state: observations.PoolState,
    request_spec: routing.RequestSpec,
    service_class: configuration.ServiceClass,
    now: float,
) -> float:
    """Returns the delay after which the caller of a request that timed out should come back."""
    if isinstance(state.queue, fair_queue.FairQueue):
        wait_s = state.queue.expected_wait_s(service_class, request_spec.account, now)
        return retry_after.jittered_s(wait_s, request_spec.request)
    assert state.scarcity is not None
    return state.scarcity.return_after_s(request_spec, now)
