"""Summary of a load run as text, JSON and a time series."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from celeryferry_standins.load.generator import CallRecord
from celeryferry_standins.upstream.behaviour import Counters

SERIES_STEP_S = 1.0


class SeriesPoint(msgspec.Struct, frozen=True):
    """One step of the time series.

    :param at_s: start of the step in seconds.
    :param calls: calls whose intended send time is in the step.
    :param p50_ms: median latency of the answers.
    :param p99_ms: 99th percentile of the latency.
    :param mean_coverage: mean coverage of the answers, 0.0 to 1.0.
    :param worst_coverage: lowest coverage.
    :param errors: calls that ended with an error.
    """

    at_s: float
    calls: int
    p50_ms: float
    p99_ms: float
    mean_coverage: float
    worst_coverage: float
    errors: int


class LoadReport(msgspec.Struct, frozen=True):
    """Summary of a load run; latencies count from the intended send times.

    :param calls: calls sent.
    :param answers: calls that got an answer.
    :param p50_ms: median latency of the answers in milliseconds.
    :param p99_ms: 99th percentile.
    :param p999_ms: 99.9th percentile.
    :param mean_coverage: mean coverage of the answers, 0.0 to 1.0.
    :param worst_coverage: lowest coverage of an answer.
    :param incomplete: answers below full coverage.
    :param errors: errors by type.
    :param failovers: entry hosts that failed and were replaced by another.
    :param faults: differences from the expected answers, of the first faulty answers.
    :param fault_count: number of answers that differ from the expected ones.
    :param extra_work_percent: executions beyond one for each shard asked, in per
        cent; None without upstream counters.
    :param series: time series.
    """

    calls: int
    answers: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    mean_coverage: float
    worst_coverage: float
    incomplete: int
    errors: dict[str, int]
    failovers: int
    faults: tuple[str, ...]
    fault_count: int
    extra_work_percent: float | None
    series: tuple[SeriesPoint, ...]

    def to_text(self) -> str:
        """Return the summary as lines of text."""
        errors = ", ".join(f"{name} {count}" for name, count in self.errors.items())
        extra = self.extra_work_percent
        latency = f"p50 {self.p50_ms:.1f}, p99 {self.p99_ms:.1f}"
        coverage = f"mean {self.mean_coverage:.2%}, worst {self.worst_coverage:.2%}"
        lines = [
            f"calls      {self.calls}, answers {self.answers}",
            f"latency ms {latency}, p99.9 {self.p999_ms:.1f}",
            f"coverage   {coverage}, incomplete answers {self.incomplete}",
            f"errors     {errors or 'none'}",
            f"failovers  {self.failovers}",
            f"extra work {'not measured' if extra is None else f'{extra:.2f} %'}",
            f"untrue     {self.fault_count} answers",
        ]
        return "\n".join(lines)

    def to_json(self) -> bytes:
        """Return the whole report as JSON."""
        return msgspec.json.format(msgspec.json.encode(self))


def find_percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by nearest rank.

    :param values: values in any order.
    :param fraction: fraction of the values below the percentile, 0.0 to 1.0.
    :returns: the percentile, 0.0 without values.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = math.ceil(fraction * len(ordered))
    return ordered[max(0, rank - 1)]


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def make_series(records: Iterable[CallRecord]) -> tuple[SeriesPoint, ...]:
    """Group calls by time.

    :param records: calls.
    :returns: one point for each second with calls.
    """
    steps: dict[int, list[CallRecord]] = {}
    for record in records:
        steps.setdefault(int(record.at_s / SERIES_STEP_S), []).append(record)
    return tuple(_make_point(step, steps[step]) for step in sorted(steps))


def _make_point(step: int, records: list[CallRecord]) -> SeriesPoint:
    answered = [record for record in records if not record.error]
    latencies = [record.latency_ms for record in answered]
    coverages = [record.coverage for record in answered]
    return SeriesPoint(
        at_s=step * SERIES_STEP_S,
        calls=len(records),
        p50_ms=find_percentile(latencies, 0.5),
        p99_ms=find_percentile(latencies, 0.99),
        mean_coverage=_mean(coverages),
        worst_coverage=min(coverages, default=0.0),
        errors=len(records) - len(answered),
    )


def count_executions(counters: Mapping[str, Counters]) -> int:
    """Add up the executions of all upstreams.

    :param counters: counters by upstream name.
    :returns: number of executions.
    """
    return sum(upstream.executed for upstream in counters.values())


def measure_extra_work(records: list[CallRecord], executions: int) -> float | None:
    """Compare executions with the shards asked.

    A call whose error says that nothing ran asked no shard; every other call counts
    with the largest number of shards that any call asked.

    :param records: calls.
    :param executions: executions during the run.
    :returns: executions beyond one for each shard, in per cent; None without calls.
    """
    shard_count = max((record.asked for record in records), default=0)
    asked = sum(
        shard_count for record in records if not record.error or record.ran != "no"
    )
    return (executions / asked - 1.0) * 100.0 if asked else None


def make_report(records: list[CallRecord], executions: int | None = None) -> LoadReport:
    """Summarize a load run.

    :param records: calls.
    :param executions: executions of the upstreams during the run, None if unknown.
    :returns: the summary.
    """
    answered = [record for record in records if not record.error]
    latencies = [record.latency_ms for record in answered]
    coverages = [record.coverage for record in answered]
    faulty = [record for record in records if record.faults]
    extra = None if executions is None else measure_extra_work(records, executions)
    return LoadReport(
        calls=len(records),
        answers=len(answered),
        p50_ms=find_percentile(latencies, 0.5),
        p99_ms=find_percentile(latencies, 0.99),
        p999_ms=find_percentile(latencies, 0.999),
        mean_coverage=_mean(coverages),
        worst_coverage=min(coverages, default=0.0),
        incomplete=sum(record.covered < record.asked for record in answered),
        errors=dict(Counter(record.error for record in records if record.error)),
        failovers=sum(record.failovers for record in records),
        faults=tuple(fault for record in faulty[:10] for fault in record.faults),
        fault_count=len(faulty),
        extra_work_percent=extra,
        series=make_series(records),
    )
