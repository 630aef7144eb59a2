"""Tables of a measurement as text and JSON."""

import os
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

RESULTS_DIRECTORY = Path(__file__).parent / "results"


@dataclass(slots=True)
class Table:
    """One table of figures.

    :param title: what the figures are about.
    :param columns: names of the columns, with units.
    :param rows: values; floats are rounded for the text form only.
    """

    title: str
    columns: tuple[str, ...]
    rows: list[tuple[Any, ...]] = field(default_factory=list)

    def add(self, *values: Any) -> None:
        """Add a row.

        :param values: one value for each column.
        :raises ValueError: the number of values is wrong.
        """
        if len(values) != len(self.columns):
            raise ValueError(f"{len(values)} values for {len(self.columns)} columns")
        self.rows.append(values)

    def to_text(self) -> str:
        """Return the table with aligned columns."""
        cells = [self.columns, *(tuple(map(format_value, row)) for row in self.rows)]
        widths = [max(len(row[at]) for row in cells) for at in range(len(self.columns))]
        lines = [self.title]
        for row in cells:
            padded = (
                text.ljust(width) if at == 0 else text.rjust(width)
                for at, (text, width) in enumerate(zip(row, widths, strict=True))
            )
            lines.append("  " + "  ".join(padded).rstrip())
        return "\n".join(lines)


@dataclass(slots=True)
class Target:
    """One target and whether it was met.

    :param name: what is required.
    :param measured: what was measured.
    :param met: whether the measurement meets the requirement.
    """

    name: str
    measured: str
    met: bool

    def to_text(self) -> str:
        """Return the target, with whether it was met, as one line."""
        verdict = "met    " if self.met else "NOT MET"
        return f"  target {verdict} {self.name}: {self.measured}"


@dataclass(slots=True)
class Result:
    """Everything that one scenario measured.

    :param scenario: name of the scenario.
    :param seed: seed of load, faults and service times.
    :param setup: what was measured and how it was scaled, one sentence each.
    :param tables: figures.
    :param targets: targets and verdicts.
    :param details: further data for the JSON file only.
    """

    scenario: str
    seed: int
    setup: list[str] = field(default_factory=list)
    tables: list[Table] = field(default_factory=list)
    targets: list[Target] = field(default_factory=list)
    details: dict[str, Any] = field(default_factory=dict)

    def to_text(self) -> str:
        """Return the whole result as text."""
        lines = [f"== {self.scenario} (seed {self.seed})"]
        lines += [f"  {sentence}" for sentence in self.setup]
        for table in self.tables:
            lines += ["", table.to_text()]
        if self.targets:
            lines += ["", *(target.to_text() for target in self.targets)]
        return "\n".join(lines)

    def write(self, seconds: float, load_average: float) -> Path:
        """Write the result as JSON.

        :param seconds: time that the scenario took.
        :param load_average: load average of the machine before the scenario.
        :returns: the file.
        """
        content = {
            "measured_at_unix_s": int(time.time()),
            "seconds": round(seconds, 1),
            "cores": os.cpu_count(),
            "load_average_before": round(load_average, 2),
            **{name: getattr(self, name) for name in Result.__slots__},
        }
        RESULTS_DIRECTORY.mkdir(exist_ok=True)
        path = RESULTS_DIRECTORY / f"{self.scenario}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(content)) + b"\n")
        return path


def format_value(value: Any) -> str:
    """Return a value as text; floats with about three significant digits.

    :param value: value of a table.
    """
    if value is None:
        return "-"
    if not isinstance(value, float):
        return str(value)
    digits = 0 if abs(value) >= 100 else 1 if abs(value) >= 10 else 2
    return f"{value:.{digits}f}"


def divide(numerator: float, denominator: float) -> float:
    """Return a ratio; infinity if only the denominator is 0, 0 if both are 0."""
    if denominator:
        return numerator / denominator
    return float("inf") if numerator else 0.0


def fit_slope(points: list[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line.

    :param points: pairs of x and y, at least two different x.
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
