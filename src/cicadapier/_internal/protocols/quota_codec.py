"""Conversion of limit notices, grant requests and grants to and from protocol buffers."""

import math

from cicadapier._internal.decisions import quotas
from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import peers_pb2

MAX_REQUESTED_UPSTREAMS = 256  # In one grant request.
MAX_GRANTS = 1024  # For one upstream, of each kind of demand.


def encode_limit_notice(notice: rate_limits.LimitNotice) -> peers_pb2.RateLimit:
    """Returns the wire form of a limit notice."""
    return peers_pb2.RateLimit(
        upstream=notice.upstream,
        incarnation=notice.incarnation,
        per_s=notice.per_s or 0.0,
        lifted=notice.per_s is None,
        age_s=notice.age_s,
    )


def decode_limit_notice(message: peers_pb2.RateLimit) -> rate_limits.LimitNotice:
    """Returns the limit notice of a wire message."""
    return rate_limits.LimitNotice(
        ids.UpstreamId(message.upstream),
        ids.Incarnation(message.incarnation),
        None if message.lifted else message.per_s,
        message.age_s,
    )


def encode_grant_request(request: quotas.GrantRequest) -> peers_pb2.GrantRequest:
    """Returns the wire form of a grant request, cut to the bounds."""
    return peers_pb2.GrantRequest(
        sender=request.sender,
        reply_to=request.reply_to,
        wanted=[_encode_upstream_demand(item) for item in request.wanted[:MAX_REQUESTED_UPSTREAMS]],
        number=request.number,
    )


def decode_grant_request(message: peers_pb2.GrantRequest) -> quotas.GrantRequest:
    """Returns the grant request of a wire message; what exceeds the bounds is ignored."""
    return quotas.GrantRequest(
        ids.VmId(message.sender),
        ids.Address(message.reply_to),
        tuple(_decode_upstream_demand(item) for item in message.wanted[:MAX_REQUESTED_UPSTREAMS]),
        message.number,
    )


def encode_grant(grant: quotas.Grant) -> peers_pb2.Grant:
    """Returns the wire form of a grant; a count above the bound is reduced to it."""
    return peers_pb2.Grant(
        issuer=grant.issuer,
        limit=encode_limit_notice(grant.limit),
        count=min(grant.count, MAX_GRANTS),
        number=grant.number,
        waited_s=grant.waited_s,
    )


def decode_grant(message: peers_pb2.Grant) -> quotas.Grant:
    """Returns the grant of a wire message; a wait that makes no sense counts as none."""
    waited_s = message.waited_s if math.isfinite(message.waited_s) else 0.0
    return quotas.Grant(
        ids.VmId(message.issuer),
        decode_limit_notice(message.limit),
        min(message.count, MAX_GRANTS),
        message.number,
        max(0.0, waited_s),
    )


def _encode_upstream_demand(item: quotas.UpstreamDemand) -> peers_pb2.WantedGrants:
    return peers_pb2.WantedGrants(
        limit=encode_limit_notice(item.limit),
        control=min(item.demand.control, MAX_GRANTS),
        waiting=min(item.demand.waiting, MAX_GRANTS),
        spare=min(item.demand.prefetch, MAX_GRANTS),  # Wire name of the prefetch demand.
    )


def _decode_upstream_demand(message: peers_pb2.WantedGrants) -> quotas.UpstreamDemand:
    demand = quotas.Demand(
        min(message.control, MAX_GRANTS),
        min(message.waiting, MAX_GRANTS),
        min(message.spare, MAX_GRANTS),
    )
    return quotas.UpstreamDemand(decode_limit_notice(message.limit), demand)
