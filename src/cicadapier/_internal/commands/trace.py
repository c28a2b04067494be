"""Generates request traces."""

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
    """Generates a trace that resembles the traffic of a deployment and writes it as JSON lines.

    :param file: Output file.
    :param workload: Deployment whose traffic the trace resembles.
    :param seed: Seed of all random choices.
    :param seconds: Duration of the trace.
    :param load: Factor applied to all request rates.
    """
    requests = workloads.make_trace(
        deployments.DeploymentName(workload), seed, workloads.WorkloadOptions(seconds, load)
    )
    traces.write(file, requests)
    print(f"{len(requests)} requests in {file}")
    return exit_codes.SUCCESS


SUBCOMMANDS = [make]
