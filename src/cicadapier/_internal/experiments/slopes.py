"""How state and cost of each decision grow, measured by growing that state in one process."""

import collections.abc
import dataclasses
import gc
import math
import random
import time
import tracemalloc

import msgspec
import trio

from cicadapier._internal.decisions import cache_index
from cicadapier._internal.decisions import cadence
from cicadapier._internal.decisions import chunks
from cicadapier._internal.decisions import limits
from cicadapier._internal.decisions import membership
from cicadapier._internal.decisions import patches
from cicadapier._internal.decisions import peer_updates
from cicadapier._internal.experiments import targets
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.protocols import peer_datagrams
from cicadapier._internal.protocols import peer_transport

ROUNDS = 200
PIECES_PER_EVENT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement.

    Attributes:
        role: What was grown.
        size: How far.
        unit: What the size counts.
        cost_us: Processor time of one operation, in microseconds.
        state_bytes: Memory of the state.
        message_bytes: Size of one message, 0 where there is none.
    """

    role: str
    size: int
    unit: str
    cost_us: float
    state_bytes: int
    message_bytes: int = 0


def all_points() -> collections.abc.Iterator[Point]:
    """Measures every role at every size."""
    for size in (4, 16, 64, 256, 1500):
        yield _membership(size)
    for size in (16, 256, 1000, 10_000):
        yield _placement(size)
    for size in (1_000, 10_000, 100_000, 1_000_000):
        yield _cache_index(size)
    for size in (8, 256, 4096, 28_000):
        yield _admission(size)
    for size in (8, 256, 4096, 28_000):
        yield _configuration(size)
    for size in (0, 64, 256):
        yield _digest(size)
    yield _exchange()
    yield _datagram()


def _measured(build: collections.abc.Callable[[], object]) -> tuple[object, int]:
    """Returns what was built and the memory that it holds."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return built, size


def _cost_us(action: collections.abc.Callable[[int], object], rounds: int = ROUNDS) -> float:
    """Returns the least of three means, which other work on the machine disturbs least."""
    means = []
    for _ in range(3):
        began = time.process_time()
        for number in range(rounds):
            action(number)
        means.append((time.process_time() - began) / rounds * 1e6)
    return min(means)


def _heartbeat(number: int, counter: int = 1) -> membership.Heartbeat:
    domain = ids.FailureDomainId(f"domain-{number % 14}")
    address = ids.Address(f"10.0.{number // 250}.{number % 250}:8082")
    return membership.Heartbeat(ids.VmId(f"vm-{number}"), address, domain, 1, counter)


def _membership(size: int) -> Point:
    def build() -> membership.Membership:
        made = membership.Membership(_heartbeat(0))
        made.merge_heartbeats([_heartbeat(number) for number in range(1, size)], 0.0)
        return made

    built, state = _measured(build)
    assert isinstance(built, membership.Membership)
    rng = random.Random(0)

    def round_(number: int) -> None:
        sample = built.sample(1.0, rng)
        built.choose_targets([], 1.0, rng, cadence.gossip_rounds(size).fanout)
        built.merge_heartbeats(sample, 1.0)

    cost = _cost_us(round_)
    digest = peer_codec.Digest(
        ids.VmId("vm-0"), 1, ids.ConfigNumber(1), tuple(built.sample(1.0, rng))
    )
    return Point("membership round", size, "routers", cost, state, _size_of(digest))


def _size_of(digest: peer_codec.Digest) -> int:
    return len(peer_codec.encode_digest(digest).SerializeToString())


def _placement(size: int) -> Point:
    _, state = _measured(lambda: targets.warm_policy(size))
    cost = min(targets.measure_decision_us(size) for _ in range(3))
    return Point("placement decision", size, "upstreams", cost, state)


def _cache_index(size: int) -> Point:
    upstreams = [ids.UpstreamId(f"u{number}") for number in range(max(1, size // 50_000))]
    rng = random.Random(0)

    def build() -> cache_index.CacheIndex:
        made = cache_index.CacheIndex()
        for upstream in upstreams:
            made.observe_incarnation(upstream, ids.Incarnation("1"))
        for number in range(size):
            piece = ids.PieceId(rng.randbytes(16))
            made.add_in_flight(upstreams[number % len(upstreams)], (piece,), 0.0)
        return made

    built, state = _measured(build)
    assert isinstance(built, cache_index.CacheIndex)

    def event(number: int) -> None:
        pieces = tuple(ids.PieceId(rng.randbytes(16)) for _ in range(PIECES_PER_EVENT))
        built.apply_stored(upstreams[0], ids.Incarnation("1"), number, pieces, 1.0)

    return Point("cache event of 4 blocks", size, "blocks", _cost_us(event), state)


def _admission(size: int) -> Point:
    spec = configuration.Account()
    names = [ids.AccountId(f"account-{number}") for number in range(size)]

    def build() -> limits.AccountLimits:
        made = limits.AccountLimits()
        for name in names:
            made.admit(name, spec, 1, 0.0)
            made.release(name)
        return made

    built, state = _measured(build)
    assert isinstance(built, limits.AccountLimits)

    def admit(number: int) -> None:
        name = names[number * 7919 % size]
        built.admit(name, spec, 1, 1.0)
        built.release(name)

    return Point("admission", size, "accounts", _cost_us(admit), state)


def _document(size: int) -> dict[str, object]:
    accounts = {
        f"account-{number}": {"key_hashes": [f"{number:064x}"], "weight": 1.0}
        for number in range(size)
    }
    return {"accounts": accounts, "pools": {}}


def _configuration(size: int) -> Point:
    document = _document(size)
    _, state = _measured(lambda: configuration.parse(_document(size)))
    parser = configuration.Parser()
    parser.parse(document)

    def change(number: int) -> None:
        patch = {"accounts": {"account-1": {"weight": 2.0 + number}}}
        changed = patches.merge(document, patch)
        patches.difference(document, changed)
        parser.parse(changed)

    cost = _cost_us(change, 3)
    largest = max(len(msgspec.json.encode(chunk)) for chunk in chunks.split(document).values())
    return Point("configuration change", size, "accounts", cost, state, largest)


def _sample_digest(size: int) -> peer_codec.Digest:
    rng = random.Random(0)
    pool = ids.PoolId("models")
    return peer_codec.Digest(
        ids.VmId("vm-0"),
        1,
        ids.ConfigNumber(1),
        tuple(_heartbeat(number) for number in range(membership.SAMPLE_ENTRIES)),
        {ids.AccountId(f"account-{n}"): limits.RemoteUse(1.0, 1) for n in range(size)},
        tuple(
            peer_updates.SentWork(pool, ids.UpstreamId(f"u{n}"), 1e6, 1e5)
            for n in range(min(size, 32))
        ),
        (),
        (),
        tuple(
            peer_updates.PlacedPieces(
                n,
                pool,
                ids.UpstreamId("u1"),
                tuple(ids.PieceId(rng.randbytes(16)) for _ in "12345"),
            )
            for n in range(min(size, peer_updates.MAX_PLACED))
        ),
    )


def _digest(size: int) -> Point:
    digest = _sample_digest(size)

    def round_trip(_: int) -> None:
        peer_codec.decode_digest(peer_codec.encode_digest(digest))

    cost = _cost_us(round_trip)
    return Point("digest encoded and decoded", size, "entries", cost, 0, _size_of(digest))


class _Echo(peer_transport.PeerHandler):
    def exchange(self, digest: peer_codec.Digest) -> peer_codec.Digest:
        return digest

    def handle_datagram(self, message: peer_codec.Message) -> None:
        return

    def configuration_update(self, since: ids.ConfigNumber) -> None:
        return None


def _datagram() -> Point:
    """Returns the cost of one datagram, both ends together, without the kernel's part."""
    codec = peer_datagrams.DatagramCodec("s")
    digest = _sample_digest(16)

    def round_trip(_: int) -> None:
        codec.decode(codec.encode(digest))

    return Point("datagram, both ends", 16, "entries", _cost_us(round_trip), 0, _size_of(digest))


def _exchange() -> Point:
    """Returns the cost of one exchange over gRPC, both ends together."""
    digest = _sample_digest(16)

    async def main() -> float:
        transport = peer_transport.GrpcTransport("s")
        async with trio.open_nursery() as nursery:
            address = await nursery.start(transport.serve, ids.Address("127.0.0.1:0"), _Echo())
            best = math.inf
            for _ in range(3):
                began = time.process_time()
                for _ in range(50):
                    await transport.exchange(address, digest)
                best = min(best, (time.process_time() - began) / 50 * 1e6)
            nursery.cancel_scope.cancel()
        return best

    return Point(
        "exchange over gRPC, both ends", 16, "entries", trio.run(main), 0, _size_of(digest)
    )
