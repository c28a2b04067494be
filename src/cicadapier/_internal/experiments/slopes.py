"""Measures how state size and processor time of each decision grow with the size of the input.

Each state is built and measured in this process.
"""

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
from cicadapier._internal.models import configuration_parser
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.protocols import peer_datagrams
from cicadapier._internal.protocols import peer_transport

OPERATIONS = 200  # Number of operations whose mean time is taken.
PIECES_PER_EVENT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement.

    Attributes:
        role: Operation that was measured.
        size: Size of the input.
        unit: Unit of the size.
        cost_us: Processor time of one operation, in microseconds.
        state_bytes: Memory that the state occupies.
        message_bytes: Size of one message, or 0 without one.
    """

    role: str
    size: int
    unit: str
    cost_us: float
    state_bytes: int
    message_bytes: int = 0


def measure_all() -> collections.abc.Iterator[Point]:
    """Measures every operation at every size."""
    for size in (4, 16, 64, 256, 1500):
        yield _measure_membership(size)
    for size in (16, 256, 1000, 10_000):
        yield _measure_placement(size)
    for size in (1_000, 10_000, 100_000, 1_000_000):
        yield _measure_cache_index(size)
    for size in (8, 256, 4096, 28_000):
        yield _measure_admission(size)
    for size in (8, 256, 4096, 28_000):
        yield _measure_configuration(size)
    for size in (0, 64, 256):
        yield _measure_digest(size)
    yield _measure_exchange()
    yield _measure_datagram()


def _build_and_measure(build: collections.abc.Callable[[], object]) -> tuple[object, int]:
    """Builds a state and returns it with the memory that it occupies, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return built, traced_bytes


def _measure_cost_us(
    action: collections.abc.Callable[[int], object], operations: int = OPERATIONS
) -> float:
    """Returns the mean processor time of an operation, in microseconds.

    The least of three means is taken, because other work on the machine affects it least.
    """
    mean_costs_us = []
    for _ in range(3):
        start = time.process_time()
        for index in range(operations):
            action(index)
        mean_costs_us.append((time.process_time() - start) / operations * 1e6)
    return min(mean_costs_us)


def _make_heartbeat(index: int, counter: int = 1) -> membership.Heartbeat:
    domain = ids.FailureDomainId(f"domain-{index % 14}")
    address = ids.Address(f"10.0.{index // 250}.{index % 250}:8082")
    return membership.Heartbeat(ids.VmId(f"vm-{index}"), address, domain, 1, counter)


def _measure_membership(size: int) -> Point:
    def build() -> membership.Membership:
        result = membership.Membership(_make_heartbeat(0))
        result.merge_heartbeats([_make_heartbeat(index) for index in range(1, size)], 0.0)
        return result

    built, state_bytes = _build_and_measure(build)
    assert isinstance(built, membership.Membership)
    rng = random.Random(0)

    def run_round(index: int) -> None:
        sample = built.sample(1.0, rng)
        built.choose_targets([], 1.0, rng, cadence.gossip_rounds(size).fanout)
        built.merge_heartbeats(sample, 1.0)

    cost_us = _measure_cost_us(run_round)
    digest = peer_codec.Digest(
        ids.VmId("vm-0"), 1, ids.ConfigNumber(1), tuple(built.sample(1.0, rng))
    )
    return Point("membership round", size, "routers", cost_us, state_bytes, _encoded_size(digest))


def _encoded_size(digest: peer_codec.Digest) -> int:
    return len(peer_codec.encode_digest(digest).SerializeToString())


def _measure_placement(size: int) -> Point:
    _, state_bytes = _build_and_measure(lambda: targets.warm_policy(size))
    cost_us = min(targets.measure_decision_us(size) for _ in range(3))
    return Point("placement decision", size, "upstreams", cost_us, state_bytes)


def _measure_cache_index(size: int) -> Point:
    upstreams = [ids.UpstreamId(f"u{index}") for index in range(max(1, size // 50_000))]
    rng = random.Random(0)

    def build() -> cache_index.CacheIndex:
        result = cache_index.CacheIndex()
        for upstream in upstreams:
            result.observe_incarnation(upstream, ids.Incarnation("1"))
        for index in range(size):
            piece = ids.PieceId(rng.randbytes(16))
            result.add_in_flight(upstreams[index % len(upstreams)], (piece,), 0.0)
        return result

    built, state_bytes = _build_and_measure(build)
    assert isinstance(built, cache_index.CacheIndex)

    def apply_event(index: int) -> None:
        pieces = tuple(ids.PieceId(rng.randbytes(16)) for _ in range(PIECES_PER_EVENT))
        built.apply_stored(upstreams[0], ids.Incarnation("1"), index, pieces, 1.0)

    return Point(
        "cache event of 4 blocks", size, "blocks", _measure_cost_us(apply_event), state_bytes
    )


def _measure_admission(size: int) -> Point:
    spec = configuration.Account()
    names = [ids.AccountId(f"account-{index}") for index in range(size)]

    def build() -> limits.AccountLimits:
        result = limits.AccountLimits()
        for name in names:
            result.admit(name, spec, 0.0)
            result.release(name)
        return result

    built, state_bytes = _build_and_measure(build)
    assert isinstance(built, limits.AccountLimits)

    def admit(index: int) -> None:
        name = names[index * 7919 % size]
        built.admit(name, spec, 1.0)
        built.release(name)

    return Point("admission", size, "accounts", _measure_cost_us(admit), state_bytes)


def _make_document(size: int) -> dict[str, object]:
    accounts = {
        f"account-{index}": {"key_hashes": [f"{index:064x}"], "weight": 1.0}
        for index in range(size)
    }
    return {"accounts": accounts, "pools": {}}


def _measure_configuration(size: int) -> Point:
    document = _make_document(size)
    _, state_bytes = _build_and_measure(lambda: configuration_parser.parse(_make_document(size)))
    parser = configuration_parser.Parser()
    parser.parse(document)

    def apply_change(index: int) -> None:
        patch = {"accounts": {"account-1": {"weight": 2.0 + index}}}
        changed = patches.merge(document, patch)
        patches.difference(document, changed)
        parser.parse(changed)

    cost_us = _measure_cost_us(apply_change, 3)
    largest = max(len(msgspec.json.encode(chunk)) for chunk in chunks.split(document).values())
    return Point("configuration change", size, "accounts", cost_us, state_bytes, largest)


def _make_sample_digest(size: int) -> peer_codec.Digest:
    rng = random.Random(0)
    pool = ids.PoolId("models")
    return peer_codec.Digest(
        ids.VmId("vm-0"),
        1,
        ids.ConfigNumber(1),
        tuple(_make_heartbeat(index) for index in range(membership.SAMPLE_ENTRIES)),
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


def _measure_digest(size: int) -> Point:
    digest = _make_sample_digest(size)

    def round_trip(_: int) -> None:
        peer_codec.decode_digest(peer_codec.encode_digest(digest))

    cost_us = _measure_cost_us(round_trip)
    return Point("digest encoded and decoded", size, "entries", cost_us, 0, _encoded_size(digest))


class _EchoHandler(peer_transport.PeerHandler):
    """Handler that answers a digest with the same digest."""

    def exchange(self, digest: peer_codec.Digest) -> peer_codec.Digest:
        return digest

    def handle_datagram(self, message: peer_codec.Message) -> None:
        return

    def configuration_update(self, since: ids.ConfigNumber) -> None:
        return None


def _measure_datagram() -> Point:
    """Measures encoding and decoding one datagram; the kernel's part is not included."""
    codec = peer_datagrams.DatagramCodec("s")
    digest = _make_sample_digest(16)

    def round_trip(_: int) -> None:
        codec.decode(codec.encode(digest))

    return Point(
        "datagram, both ends", 16, "entries", _measure_cost_us(round_trip), 0, _encoded_size(digest)
    )


def _measure_exchange() -> Point:
    """Measures one exchange over gRPC, client and server together."""
    digest = _make_sample_digest(16)

    async def measure_exchange() -> float:
        transport = peer_transport.GrpcTransport("s")
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                transport.serve, ids.Address("127.0.0.1:0"), _EchoHandler()
            )
            min_cost_us = math.inf
            for _ in range(3):
                start = time.process_time()
                for _ in range(50):
                    await transport.exchange(address, digest)
                min_cost_us = min(min_cost_us, (time.process_time() - start) / 50 * 1e6)
            nursery.cancel_scope.cancel()
        return min_cost_us

    return Point(
        "exchange over gRPC, both ends",
        16,
        "entries",
        trio.run(measure_exchange),
        0,
        _encoded_size(digest),
    )
