"""Measures the memory growth of a router over many requests."""

from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import logs
from cicadapier._internal.cli import output
from cicadapier._internal.experiments import soak
from cicadapier._internal.models import settings

MAX_GROWTH = 0.05


def run(*, requests: int = 100_000) -> int:
    """Sends requests through a router and prints the resident memory as they proceed.

    :param requests: Number of requests.
    """
    logs.configure_stderr(settings.LogLevel.ERROR)
    samples = soak.run(requests)
    rows = [(f"{sample.requests:,}", f"{sample.resident_bytes / 1e6:.1f} MB") for sample in samples]
    output.print_table(["requests", "resident"], rows)
    growth = soak.growth(samples)
    print(f"growth over the second half: {growth:.1%}, at most {MAX_GROWTH:.0%}")
    return exit_codes.SUCCESS if growth <= MAX_GROWTH else exit_codes.FAILURE
