"""Measures the resident memory of a router over many requests."""

import collections.abc
import dataclasses
import gc
import pathlib
import resource

import trio

from cicadapier._internal.experiments import bench
from cicadapier._internal.models import ids
from cicadapier._internal.models import settings
from cicadapier._internal.protocols import http_client
from cicadapier._internal.protocols import http_server
from cicadapier._internal.protocols import transport

SAMPLE_COUNT = 10
CALLER_COUNT = 8
_STATM = pathlib.Path("/proc/self/statm")


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Memory after a number of requests.

    Attributes:
        requests: Number of requests answered so far.
        resident_bytes: Resident memory of the process, including the callers and the upstream.
    """

    requests: int
    resident_bytes: int


def run(requests: int) -> list[Sample]:
    """Sends requests through a router and returns samples of its memory, taken at intervals."""
    return trio.run(_run, requests)


async def _run(requests: int) -> list[Sample]:
    network = transport.TcpNetwork()
    samples: list[Sample] = []
    async with trio.open_nursery() as nursery:
        upstream = bench.Upstream(bench.Plan())
        listener = http_server.Listener(network.serve, upstream, settings.CallerLimits())
        address = await nursery.start(listener.run, bench.LOOPBACK)
        router = await bench.start_router(nursery, address)
        requests_per_sample = requests // SAMPLE_COUNT
        for index in range(SAMPLE_COUNT):
            async with trio.open_nursery() as callers:
                for _ in range(CALLER_COUNT):
                    target = router.callers.address
                    callers.start_soon(
                        _send_requests, network, target, requests_per_sample // CALLER_COUNT, index
                    )
            gc.collect()
            samples.append(Sample((index + 1) * requests_per_sample, _resident_bytes()))
        nursery.cancel_scope.cancel()
    return samples


async def _send_requests(
    network: transport.Network, address: ids.Address, count: int, sample_index: int
) -> None:
    stream = await network.connect(address, bench.TIMEOUT_S)
    conn = http_client.ClientConnection(stream, address)
    for index in range(count):
        # Each prompt has a unique prefix, so that the cache index also has to evict entries.
        prompt = f"{sample_index}/{index}/{id(conn)} " * 600
        await bench.send_request(conn, 1, prompt)
        await conn.receive_head(bench.TIMEOUT_S)
        while await conn.receive_data(bench.TIMEOUT_S) is not None:
            pass
        conn.make_reusable()
    await conn.close()


def _resident_bytes() -> int:
    pages = int(_STATM.read_text(encoding="ascii").split()[1])
    return pages * resource.getpagesize()


def growth(samples: collections.abc.Sequence[Sample]) -> float:
    """Returns the growth of the memory over the second half of the samples, as a share."""
    middle = samples[len(samples) // 2 - 1]
    return samples[-1].resident_bytes / middle.resident_bytes - 1.0
