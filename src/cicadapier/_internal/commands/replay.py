"""Replays a trace against simulated engines on a virtual clock."""

import collections.abc
from typing import Literal

from cicadapier._internal.cli import exceptions
from cicadapier._internal.cli import exit_codes
from cicadapier._internal.cli import output
from cicadapier._internal.experiments import plots
from cicadapier._internal.experiments import policies
from cicadapier._internal.experiments import replay
from cicadapier._internal.experiments import replay_faults
from cicadapier._internal.experiments import traces
from cicadapier._internal.standins import deployments


def run(
    trace: str,
    *,
    policy: collections.abc.Sequence[str] = ("ours",),
    deployment: Literal["larkspur", "andino"] = "larkspur",
    seed: int = 0,
    faults: str = "",
    json: bool = False,
    plot: str = "",
) -> int:
    """Replays a trace with one or more routing policies and prints the results of each.

    :param trace: Trace file written by `trace make`.
    :param policy: Policies to compare; an unknown name prints the list of all policies.
    :param deployment: Deployment whose upstreams are simulated.
    :param seed: Seed of message losses and of random policies.
    :param faults: File with the faults to inject (YAML).
    :param json: Print the output as JSON.
    :param plot: PNG file for a plot of the times to first token; empty for none.
    """
    try:
        requests = traces.read(trace)
    except ValueError as exc:
        raise exceptions.CommandError(str(exc)) from exc
    policy_names = [_parse_policy(name) for name in policy]
    replayed_faults = replay_faults.read(faults) if faults else ()
    selected_deployment = deployments.BY_NAME[deployments.DeploymentName(deployment)]
    reports = [
        replay.Replay(
            replay.Plan(selected_deployment, name, seed, faults=replayed_faults), requests
        ).run()
        for name in policy_names
    ]
    summaries = [report.summary() for report in reports]
    if json:
        output.print_json(summaries)
    else:
        print_summaries(summaries)
    if plot:
        plots.plot_first_token_times(reports, plot)
    return exit_codes.SUCCESS


def _parse_policy(name: str) -> policies.PolicyName:
    try:
        return policies.PolicyName(name)
    except ValueError as exc:
        known_names = ", ".join(member.value for member in policies.PolicyName)
        raise exceptions.CommandError(
            f"unknown policy {name!r}; known policies: {known_names}"
        ) from exc


def print_summaries(summaries: list[dict[str, object]]) -> None:
    """Prints the summaries as a table with a row for each policy."""
    headings = list(summaries[0]) if summaries else []
    rows = [
        [f"{value:.4f}" if isinstance(value, float) else value for value in summary.values()]
        for summary in summaries
    ]
    output.print_table(headings, rows)
