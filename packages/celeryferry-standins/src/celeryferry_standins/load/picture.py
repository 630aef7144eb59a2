"""Draws latency and coverage over time as SVG."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from celeryferry_standins.load.report import SERIES_STEP_S, SeriesPoint

FIGURE_SIZE_INCHES = (9.0, 5.0)
MATPLOTLIB_SETTINGS = {
    # A fixed salt makes the file identical for identical figures.
    "svg.hashsalt": "celeryferry",
    # Writes text instead of glyph outlines, which would be most of the file.
    "svg.fonttype": "none",
}


@dataclass(frozen=True, slots=True)
class ChartLines:
    """Lines that show one time series; a step begins at its time.

    A step without answers has no latency and no coverage (NaN), which leaves a gap.

    :param at_s: starts of the steps in seconds, and the end of the last one.
    :param p50_ms: median latency in milliseconds.
    :param p99_ms: 99th percentile of the latency.
    :param mean_percent: mean coverage of the answers.
    :param worst_percent: lowest coverage of an answer.
    :param errors_at_s: middles of the steps with errors, which have no coverage.
    """

    at_s: list[float]
    p50_ms: list[float]
    p99_ms: list[float]
    mean_percent: list[float]
    worst_percent: list[float]
    errors_at_s: list[float]


def prepare_lines(series: Sequence[SeriesPoint]) -> ChartLines:
    """Convert a time series to the lines of a picture.

    :param series: points in order of time; a step without calls may be absent.
    :returns: the lines, with one value more than there are steps.
    """
    by_step = {round(point.at_s / SERIES_STEP_S): point for point in series}
    lines = ChartLines([], [], [], [], [], [])
    if not by_step:
        return lines
    first, end = min(by_step), max(by_step) + 1
    for step in range(first, end + 1):
        # A line drawn in steps needs the last value again at its end.
        point = by_step.get(step if step < end else step - 1)
        lines.at_s.append(step * SERIES_STEP_S)
        answered = point is not None and point.calls > point.errors
        lines.p50_ms.append(point.p50_ms if answered else math.nan)
        lines.p99_ms.append(point.p99_ms if answered else math.nan)
        lines.mean_percent.append(100 * point.mean_coverage if answered else math.nan)
        lines.worst_percent.append(100 * point.worst_coverage if answered else math.nan)
        if step < end and point is not None and point.errors:
            lines.errors_at_s.append((step + 0.5) * SERIES_STEP_S)
    return lines


def draw_series(
    systems: Mapping[str, Sequence[SeriesPoint]],
    path: Path,
    title: str,
    events: Mapping[str, float] | None = None,
) -> None:
    """Draw time series over a common time axis; requires matplotlib.

    :param systems: time series by the name of the system.
    :param path: SVG file to write.
    :param title: title of the picture.
    :param events: times in seconds by label, drawn as vertical lines.
    """
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    with matplotlib.rc_context(MATPLOTLIB_SETTINGS):
        figure, (upper, lower) = pyplot.subplots(
            2, 1, sharex=True, figsize=FIGURE_SIZE_INCHES, height_ratios=(2, 1)
        )
        for index, (name, series) in enumerate(systems.items()):
            _draw_system(upper, lower, name, prepare_lines(series), f"C{index}")
        upper.set_ylabel("latency (ms)")
        upper.set_ylim(bottom=0)
        lower.set_ylabel("coverage of\nanswers (%)")
        lower.set_ylim(-5, 105)
        lower.set_xlabel("intended send time (s)")
        _mark_events((upper, lower), events or {})
        for axes in (upper, lower):
            axes.grid(alpha=0.3)
            axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5), fontsize=8)
        figure.suptitle(title)
        figure.tight_layout()
        figure.savefig(path, format="svg", metadata={"Date": None})
        pyplot.close(figure)


def _draw_system(upper, lower, name: str, lines: ChartLines, color: str) -> None:
    style = {"color": color, "drawstyle": "steps-post"}
    upper.plot(lines.at_s, lines.p99_ms, label=f"{name}: p99", **style)
    upper.plot(lines.at_s, lines.p50_ms, "--", label=f"{name}: p50", **style)
    lower.plot(lines.at_s, lines.mean_percent, label=f"{name}: mean", **style)
    lower.plot(lines.at_s, lines.worst_percent, "--", label=f"{name}: worst", **style)
    if lines.errors_at_s:
        zeros = [0.0] * len(lines.errors_at_s)
        label = f"{name}: errors"
        lower.plot(lines.errors_at_s, zeros, "x", color=color, label=label)


def _mark_events(all_axes: tuple, events: Mapping[str, float]) -> None:
    for label, at_s in events.items():
        for axes in all_axes:
            axes.axvline(at_s, color="grey", linestyle=":", linewidth=1)
        top = all_axes[0].get_ylim()[1]
        label_style = {"xytext": (3, -3), "textcoords": "offset points", "va": "top"}
        all_axes[0].annotate(label, (at_s, top), rotation=90, fontsize=8, **label_style)
