"""Conversion of messages about the origins of streams to and from protocol buffers."""

import math

from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import peers_pb2

MAX_ORIGINS = 64  # In one message.


def encode_notice(notice: stream_origins.OriginNotice) -> peers_pb2.OriginNotice:
    """Returns the wire form of a notice, cut to the bound."""
    return peers_pb2.OriginNotice(
        origins=[_encode_origin(origin) for origin in notice.origins[:MAX_ORIGINS]]
    )


def decode_notice(message: peers_pb2.OriginNotice) -> stream_origins.OriginNotice:
    """Returns the notice of a wire message; what exceeds the bound is ignored."""
    origins = tuple(_decode_origin(origin) for origin in message.origins[:MAX_ORIGINS])
    return stream_origins.OriginNotice(origins)


def encode_query(query: stream_origins.OriginQuery) -> peers_pb2.OriginQuery:
    """Returns the wire form of a query."""
    return peers_pb2.OriginQuery(
        number=query.number,
        reply_to=query.reply_to,
        account=query.stream.account,
        request=query.stream.request,
        wants_seen=query.wants_seen,
        process_upstream=query.process.upstream if query.process else "",
        process_incarnation=query.process.incarnation if query.process else "",
    )


def decode_query(message: peers_pb2.OriginQuery) -> stream_origins.OriginQuery:
    """Returns the query of a wire message."""
    stream = stream_origins.StreamId(message.account, ids.RequestId(message.request))
    return stream_origins.OriginQuery(
        message.number,
        ids.Address(message.reply_to),
        stream,
        message.wants_seen,
        _decode_process(message.process_upstream, message.process_incarnation),
    )


def encode_answer(answer: stream_origins.OriginAnswer) -> peers_pb2.OriginAnswer:
    """Returns the wire form of an answer."""
    return peers_pb2.OriginAnswer(
        number=answer.number,
        sender=answer.sender,
        origin=_encode_origin(answer.origin) if answer.origin else None,
        versions=sorted(answer.seen.versions),
        observed_s=max(0.0, answer.seen.observed_s),
        is_replaced=answer.is_replaced,
    )


def decode_answer(message: peers_pb2.OriginAnswer) -> stream_origins.OriginAnswer:
    """Returns the answer of a wire message."""
    origin = _decode_origin(message.origin) if message.HasField("origin") else None
    versions = frozenset(message.versions[: stream_origins.MAX_VERSIONS])
    observed_s = message.observed_s if math.isfinite(message.observed_s) else 0.0
    return stream_origins.OriginAnswer(
        message.number,
        ids.VmId(message.sender),
        origin,
        stream_origins.SeenVersions(versions, observed_s),
        message.is_replaced,
    )


def _encode_origin(origin: stream_origins.Origin) -> peers_pb2.Origin:
    # The release before reads no process, so it has to doubt what is not confirmed.
    message = peers_pb2.Origin(
        account=origin.stream.account,
        request=origin.stream.request,
        pool=origin.pool,
        software=origin.software,
        doubted=origin.doubted or origin.unconfirmed is not None,
    )
    if origin.unconfirmed is not None and not origin.doubted:
        message.unconfirmed_upstream = origin.unconfirmed.upstream
        message.unconfirmed_incarnation = origin.unconfirmed.incarnation
    return message


def _decode_origin(message: peers_pb2.Origin) -> stream_origins.Origin:
    stream = stream_origins.StreamId(message.account, ids.RequestId(message.request))
    unconfirmed = _decode_process(message.unconfirmed_upstream, message.unconfirmed_incarnation)
    is_doubted = message.doubted and unconfirmed is None
    return stream_origins.Origin(
        stream, ids.PoolId(message.pool), message.software, is_doubted, unconfirmed
    )


def _decode_process(upstream: str, incarnation: str) -> stream_origins.Process | None:
    if not upstream:
        return None
    return stream_origins.Process(ids.UpstreamId(upstream), ids.Incarnation(incarnation))
