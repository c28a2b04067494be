"""Measures the overhead of a router."""

import dataclasses

from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import logs
from cicadapier._internal.cli import output
from cicadapier._internal.experiments import bench
from cicadapier._internal.models import settings

MAX_ADDED_MS = 1.0
MAX_CHUNK_US = 40.0


def run(*, requests: int = 300, streams: int = 16, chunks: int = 200, json: bool = False) -> int:
    """Measures the added time to first token and the processor time per relayed chunk.

    :param requests: Requests that measure the time to first token, with and without a router each.
    :param streams: Concurrent streams that measure the processor time per chunk.
    :param chunks: Chunks per stream.
    :param json: Print the output as JSON.
    """
    logs.configure_stderr(settings.LogLevel.WARNING)
    result = bench.run(bench.Plan(requests, streams, chunks))
    met = result.added_ms < MAX_ADDED_MS and result.chunk_us <= MAX_CHUNK_US
    if json:
        output.print_json({**dataclasses.asdict(result), "met": met})
        return exit_codes.SUCCESS if met else exit_codes.FAILURE
    output.print_table(
        ["measure", "value", "target"],
        [
            ("first token, direct", f"{result.direct_ms:.2f} ms", "-"),
            ("first token, through the router", f"{result.routed_ms:.2f} ms", "-"),
            ("added to the first token", f"{result.added_ms:.2f} ms", f"under {MAX_ADDED_MS} ms"),
            ("idle router", f"{result.idle_share:.2%} of a core", "-"),
            ("relayed chunk", f"{result.chunk_us:.1f} us", f"at most {MAX_CHUNK_US} us"),
        ],
    )
    return exit_codes.SUCCESS if met else exit_codes.FAILURE
