"""Reports what upstreams announce in the heads of their answers to forwarded requests."""

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import routing
from cicadapier._internal.decisions import withdrawals
from cicadapier._internal.decisions.uneven import stated_load
from cicadapier._internal.protocols import answers
from cicadapier._internal.services import forwarded_plan
from cicadapier._internal.services import traffic_messages


def report(
    dependencies: forwarded_plan.Dependencies,
    plan: forwarded_plan.Plan,
    placed: routing.Placed,
    facts: answers.AnswerFacts,
) -> None:
    """Reports the state that an upstream announces to the services that track it.

    Args:
        dependencies: Objects that all exchanges share.
        plan: The request.
        placed: Placement of the attempt that received the answer.
        facts: Metadata of the answer.
    """
    upstream = placed.choice.estimate.upstream
    if facts.upstream not in (None, upstream):
        return
    if facts.leaving:
        withdrawal = withdrawals.Withdrawal(upstream, placed.incarnation)
        dependencies.directory.record_withdrawal(withdrawal, "answer")
    if facts.pause is not None:
        pool = plan.pool
        dependencies.directory.record_pause(pool, upstream, facts.pause.asked_s)
    if facts.rate_limit is not None or (facts.genuine and not facts.not_run):
        # Without a limit, only a genuine answer of the upstream shows that it has lifted its
        # limit; refusals and answers of others need not repeat the limit.
        limit = facts.rate_limit
        dependencies.directory.limits.record_announcement(
            upstream, placed.incarnation, limit, "answer"
        )
    dependencies.directory.record_rejection(plan.pool, upstream, placed.incarnation, facts)
    weights = None
    if facts.weights is not None and plan.request_spec.model is not None:
        weights = members.Weights(plan.request_spec.model, facts.weights)
    if weights is None and facts.load is None:
        return
    load = None
    if facts.load is not None:
        load = stated_load.StatedLoad(
            facts.load.requests, facts.load.slowness, facts.load.is_odd, facts.load.quoted
        )
    dependencies.services.traffic.mailbox.try_send(
        traffic_messages.StatusReported(plan.pool, upstream, load, weights)
    )
