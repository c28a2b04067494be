"""Messages between routers and their conversion to and from protocol buffers."""

import collections.abc
import dataclasses

from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import membership
from cicadapier._internal.decisions import peer_updates
from cicadapier._internal.decisions import poison
from cicadapier._internal.decisions import quotas
from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.decisions import stream_origins
from cicadapier._internal.decisions import withdrawals
from cicadapier._internal.decisions.account_quotas import messages as account_messages
from cicadapier._internal.decisions.fleet import shared_reads
from cicadapier._internal.decisions.uneven import slowness
from cicadapier._internal.models import addresses
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import account_quota_codec
from cicadapier._internal.protocols import origin_codec
from cicadapier._internal.protocols import peers_pb2
from cicadapier._internal.protocols import poison_codec
from cicadapier._internal.protocols import quota_codec
from cicadapier._internal.protocols import shared_reads_codec

# Maximum numbers of entries in the lists of a digest.
MAX_HEARTBEATS = 64
MAX_ACCOUNTS = 512
MAX_SENDS = 2048
MAX_CRASHES = 128
MAX_SOUND = 64
MAX_PIECES = 4096  # Pieces beyond this number in one export or placement are ignored.
PIECE_ID_BYTES = 16
MAX_PORT = 65_535
MAX_HEARTBEAT_NUMBER = 2**62


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """State that a router sends to its peers in gossip rounds and in datagrams.

    Attributes:
        sender: VM of the sending router.
        generation: Number of the start of the sender.
        configuration_number: Number of the configuration in force on the sender.
        heartbeats: Heartbeats of the sender and of a sample of the routers that it can reach.
        use: Use of each account through the sender.
        sends: Total work that the sender has sent to each upstream since it started.
        crashes: Evidence against requests and prompt parts that crash upstreams.
        exports: Most recent exports of pieces to keeps (external KV stores).
        placed: Most recent prompts that the sender has sent, oldest first.
        withdrawn: Upstreams that have announced that they are leaving.
        limit_notices: Rate limits that upstreams have announced.
        sound: Suspects that have produced output since a crash.
    """

    sender: ids.VmId
    generation: int
    configuration_number: ids.ConfigNumber
    heartbeats: tuple[membership.Heartbeat, ...] = ()
    use: dict[ids.AccountId, limits.RemoteUse] = dataclasses.field(default_factory=dict)
    sends: tuple[peer_updates.SentWork, ...] = ()
    crashes: tuple[poison.Evidence, ...] = ()
    exports: tuple[peer_updates.KeptPieces, ...] = ()
    placed: tuple[peer_updates.PlacedPieces, ...] = ()
    withdrawn: tuple[withdrawals.Withdrawal, ...] = ()
    limit_notices: tuple[rate_limits.LimitNotice, ...] = ()
    sound: tuple[poison.SoundCause, ...] = ()


def encode_digest(digest: Digest) -> peers_pb2.Digest:
    """Returns the wire form of a digest; lists longer than their bounds are cut."""
    return peers_pb2.Digest(
        sender=digest.sender,
        generation=digest.generation,
        configuration_number=digest.configuration_number,
        heartbeats=[_encode_heartbeat(h) for h in digest.heartbeats[:MAX_HEARTBEATS]],
        accounts=[
            peers_pb2.AccountUse(
                account=account, demand_per_s=use.demand_per_s, streams=use.streams
            )
            for account, use in list(digest.use.items())[:MAX_ACCOUNTS]
        ],
        sends=[
            peers_pb2.SentWork(
                pool=work.pool,
                upstream=work.upstream,
                tokens=work.tokens,
                interactive_tokens=work.interactive_tokens,
                slowness=work.news.slowness if work.news else 0.0,
                slowness_age_s=work.news.age_s if work.news else 0.0,
                requests_plus_one=work.news.requests + 1 if work.news else 0,
            )
            for work in digest.sends[:MAX_SENDS]
        ],
        crashes=[poison_codec.encode_evidence(item) for item in digest.crashes[:MAX_CRASHES]],
        kept=[
            peers_pb2.KeptPieces(pool=export.pool, pieces=export.pieces)
            for export in digest.exports
        ],
        placed=[
            peers_pb2.PlacedPieces(
                number=placement.number,
                pool=placement.pool,
                upstream=placement.upstream,
                pieces=placement.pieces,
            )
            for placement in digest.placed[-peer_updates.MAX_PLACED :]
        ],
        withdrawals=[
            peers_pb2.Withdrawal(upstream=withdrawal.upstream, incarnation=withdrawal.incarnation)
            for withdrawal in digest.withdrawn[-withdrawals.MAX_WITHDRAWALS :]
        ],
        rate_limits=[
            quota_codec.encode_limit_notice(notice)
            for notice in digest.limit_notices[: rate_limits.MAX_NOTICES]
        ],
        sound=[poison_codec.encode_sound(item) for item in digest.sound[:MAX_SOUND]],
    )


def decode_digest(message: peers_pb2.Digest) -> Digest:
    """Returns the digest of a wire message; list entries beyond the bounds are ignored."""
    return Digest(
        ids.VmId(message.sender),
        message.generation,
        ids.ConfigNumber(message.configuration_number),
        tuple(
            _decode_heartbeat(h) for h in message.heartbeats[:MAX_HEARTBEATS] if _is_heartbeat(h)
        ),
        {
            ids.AccountId(use.account): limits.RemoteUse(max(0.0, use.demand_per_s), use.streams)
            for use in message.accounts[:MAX_ACCOUNTS]
        },
        tuple(
            peer_updates.SentWork(
                ids.PoolId(work.pool),
                ids.UpstreamId(work.upstream),
                work.tokens,
                work.interactive_tokens,
                slowness.make_news(work.slowness, work.slowness_age_s, work.requests_plus_one - 1),
            )
            for work in message.sends[:MAX_SENDS]
        ),
        tuple(poison_codec.decode_evidence(item) for item in message.crashes[:MAX_CRASHES]),
        tuple(_decode_export(export) for export in message.kept),
        tuple(
            _decode_placement(placement) for placement in message.placed[: peer_updates.MAX_PLACED]
        ),
        tuple(
            withdrawals.Withdrawal(
                ids.UpstreamId(withdrawal.upstream), ids.Incarnation(withdrawal.incarnation)
            )
            for withdrawal in message.withdrawals[: withdrawals.MAX_WITHDRAWALS]
        ),
        tuple(
            quota_codec.decode_limit_notice(limit)
            for limit in message.rate_limits[: rate_limits.MAX_NOTICES]
        ),
        tuple(poison_codec.decode_sound(item) for item in message.sound[:MAX_SOUND]),
    )


# Messages that are sent as datagrams.
Message = (
    Digest
    | quotas.GrantRequest
    | quotas.Grant
    | stream_origins.Message
    | account_messages.QuotaRequest
    | account_messages.QuotaAnswer
    | shared_reads_codec.Message
)


def encode_message(message: Message) -> peers_pb2.Datagram:
    """Returns the wire form of a message that is sent as a datagram."""
    if isinstance(message, quotas.GrantRequest):
        return peers_pb2.Datagram(grant_request=quota_codec.encode_grant_request(message))
    if isinstance(message, quotas.Grant):
        return peers_pb2.Datagram(grant=quota_codec.encode_grant(message))
    if isinstance(message, stream_origins.OriginNotice):
        return peers_pb2.Datagram(origin_notice=origin_codec.encode_notice(message))
    if isinstance(message, stream_origins.OriginQuery):
        return peers_pb2.Datagram(origin_query=origin_codec.encode_query(message))
    if isinstance(message, stream_origins.OriginAnswer):
        return peers_pb2.Datagram(origin_answer=origin_codec.encode_answer(message))
    if isinstance(message, account_messages.QuotaRequest):
        return peers_pb2.Datagram(account_quota_request=account_quota_codec.encode_request(message))
    if isinstance(message, account_messages.QuotaAnswer):
        return peers_pb2.Datagram(account_quota_answer=account_quota_codec.encode_answer(message))
    if isinstance(message, shared_reads.ReadRequest):
        return peers_pb2.Datagram(read_request=shared_reads_codec.encode_request(message))
    if isinstance(message, shared_reads.ReadReport):
        return peers_pb2.Datagram(read_report=shared_reads_codec.encode_report(message))
    return peers_pb2.Datagram(digest=encode_digest(message))


def decode_message(message: peers_pb2.Datagram) -> Message | None:
    """Returns the message in a datagram, or None if it is of an unknown kind."""
    kind = message.WhichOneof("content")
    if kind == "grant_request":
        return quota_codec.decode_grant_request(message.grant_request)
    if kind == "grant":
        return quota_codec.decode_grant(message.grant)
    if kind == "origin_notice":
        return origin_codec.decode_notice(message.origin_notice)
    if kind == "origin_query":
        return origin_codec.decode_query(message.origin_query)
    if kind == "origin_answer":
        return origin_codec.decode_answer(message.origin_answer)
    if kind == "account_quota_request":
        return account_quota_codec.decode_request(message.account_quota_request)
    if kind == "account_quota_answer":
        return account_quota_codec.decode_answer(message.account_quota_answer)
    if kind == "read_request":
        return shared_reads_codec.decode_request(message.read_request)
    if kind == "read_report":
        return shared_reads_codec.decode_report(message.read_report)
    return decode_digest(message.digest) if kind == "digest" else None


def _encode_heartbeat(heartbeat: membership.Heartbeat) -> peers_pb2.Heartbeat:
    return peers_pb2.Heartbeat(
        vm=heartbeat.vm,
        address=heartbeat.address,
        failure_domain=heartbeat.failure_domain,
        generation=heartbeat.generation,
        counter=heartbeat.counter,
        leaving=heartbeat.leaving,
        tunnel_port=heartbeat.tunnel_port,
        links_lost=heartbeat.links_lost,
    )


def _is_heartbeat(message: peers_pb2.Heartbeat) -> bool:
    """Returns whether a heartbeat names an address and numbers that routers can go on counting."""
    is_in_range = max(message.generation, message.counter) <= MAX_HEARTBEAT_NUMBER
    return is_in_range and addresses.is_address(message.address)


def _decode_heartbeat(message: peers_pb2.Heartbeat) -> membership.Heartbeat:
    return membership.Heartbeat(
        ids.VmId(message.vm),
        ids.Address(message.address),
        ids.FailureDomainId(message.failure_domain),
        message.generation,
        message.counter,
        message.leaving,
        message.tunnel_port if message.tunnel_port <= MAX_PORT else 0,
        message.links_lost,
    )


def _decode_export(message: peers_pb2.KeptPieces) -> peer_updates.KeptPieces:
    return peer_updates.KeptPieces(ids.PoolId(message.pool), _decode_pieces(message.pieces))


def _decode_placement(message: peers_pb2.PlacedPieces) -> peer_updates.PlacedPieces:
    return peer_updates.PlacedPieces(
        message.number,
        ids.PoolId(message.pool),
        ids.UpstreamId(message.upstream),
        _decode_pieces(message.pieces),
    )


def _decode_pieces(raw: collections.abc.Sequence[bytes]) -> tuple[ids.PieceId, ...]:
    pieces = raw[:MAX_PIECES]
    return tuple(ids.PieceId(piece) for piece in pieces if len(piece) == PIECE_ID_BYTES)
