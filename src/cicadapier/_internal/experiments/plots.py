"""Plots of replay results; requires the optional extra `plot`."""

import os

from cicadapier._internal.experiments import replay_report


def plot_first_token_times(
    reports: list[replay_report.Report], path: str | os.PathLike[str]
) -> None:
    """Plots the cumulative distribution of the time to first token, one line per policy.

    Raises:
        OSError: The plotting library is not installed or the file cannot be written.
    """
    try:
        from matplotlib import figure  # noqa: PLC0415 - an optional extra
    except ImportError as exc:
        raise OSError("plots need matplotlib: pip install 'cicadapier[plot]'") from exc
    fig = figure.Figure(figsize=(8, 5))
    axes = fig.subplots()
    for report in reports:
        values = sorted(r.first_token_s for r in report.records if r.first_token_s is not None)
        cumulative_shares = [(i + 1) / len(values) for i in range(len(values))]
        axes.plot(values, cumulative_shares, label=report.policy)
    axes.set_xscale("log")
    axes.set_xlabel("time to first token, s")
    axes.set_ylabel("share of requests")
    axes.grid(visible=True, alpha=0.3)
    axes.legend()
    fig.savefig(os.fspath(path), dpi=120)
