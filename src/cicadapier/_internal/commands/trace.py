"""Makes traces of requests."""

from typing import Literal

from cicadapier._internal.cli import exit_codes
from cicadapier._internal.experiments import traces
from cicadapier._internal.experiments import workloads
from cicadapier._internal.standins import deployments


def make(
    file: str,
    *,
    workload: Literal["larkspur", "andino"] = "larkspur",
    seed: int = 0,
    seconds: float = 60.0,
    load: float = 1.0,
) -> int:
    """Writes a trace in the shape of a user's traffic, as JSON lines.

    :param file: File to write.
    :param workload: Whose traffic.
    :param seed: Seed of all random choices.
    :param seconds: Length of the trace.
    :param load: Factor on all rates.
    """
    requests = workloads.make_trace(
        deployments.DeploymentName(workload), seed, workloads.WorkloadOptions(seconds, load)
    )
    traces.write(file, requests)
    print(f"{len(requests)} requests in {file}")
    return exit_codes.SUCCESS


SUBCOMMANDS = [make]
