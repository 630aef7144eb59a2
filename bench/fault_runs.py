"""Load on both fleets of one deployment, under lasting faults and events."""

from collections.abc import Awaitable, Callable

import msgspec

from bench.faults import FaultSelection
from bench.fleets import Deployment, LoadRun, make_load, run_load
from bench.results import Table, Target
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.load.report import LoadReport, make_report, make_series

SEED = 20261
RATE_PER_S = 60.0
DEADLINE_MS = 1000
ROUNDS = 2
ROUND_S = 3.0
EVENT_AT_S = 4.0
COLUMNS = (
    *("fault", "system", "calls", "p50 ms", "p99 ms", "p99.9 ms"),
    *("coverage mean %", "worst %", "incomplete", "errors", "extra work %", "untrue"),
)
Script = Callable[[Fleet], Awaitable[None]]


def add_report(table: Table, fault: str, system: str, report: LoadReport) -> None:
    """Add the figures of one run.

    :param table: table with ``COLUMNS``.
    :param fault: fault that was injected.
    :param system: ``baseline`` or ``celeryferry``.
    :param report: report of the run.
    """
    table.add(
        fault,
        system,
        report.calls,
        report.p50_ms,
        report.p99_ms,
        report.p999_ms,
        100 * report.mean_coverage,
        100 * report.worst_coverage,
        report.incomplete,
        sum(report.errors.values()),
        report.extra_work_percent,
        report.fault_count,
    )


class FaultRuns:
    """Measurements on one deployment, with their tables and targets.

    :param deployment: the deployment.
    :param fleets: both running fleets.
    :param selection: upstreams that the faults hit.
    """

    def __init__(
        self,
        deployment: Deployment,
        fleets: dict[str, Fleet],
        selection: FaultSelection,
    ):
        self.deployment = deployment
        self.fleets = fleets
        self.selection = selection
        self.table = Table(f"{deployment.name}, {deployment.application}", COLUMNS)
        self.targets: list[Target] = []
        self.series: dict[str, object] = {}

    async def measure_steady(
        self, fault: str, rounds: int = ROUNDS
    ) -> dict[str, LoadReport]:
        """Measure a lasting condition in alternating rounds.

        :param fault: name of the fault, which is already injected.
        :param rounds: rounds of each fleet.
        :returns: reports by system.
        """
        runs: dict[str, LoadRun] = {}
        for round_number in range(rounds):
            for system, fleet in self.fleets.items():
                load = make_load(
                    fleet, RATE_PER_S, ROUND_S, SEED + round_number, DEADLINE_MS
                )
                run = await run_load(fleet, load)
                runs[system] = runs[system].merge(run) if system in runs else run
        reports = {
            name: make_report(one.records, one.executions) for name, one in runs.items()
        }
        for system, report in reports.items():
            add_report(self.table, fault, system, report)
        return reports

    async def measure_event(
        self,
        fault: str,
        duration_s: float,
        script: Script,
        counts_executions: bool = True,
    ) -> dict[str, tuple[LoadReport, LoadReport]]:
        """Measure a fault that begins and ends under load, one fleet after the other.

        :param fault: name of the fault.
        :param duration_s: time for which calls are sent.
        :param script: waits for ``EVENT_AT_S``, injects the fault and ends it.
        :param counts_executions: False if upstream processes end meanwhile.
        :returns: reports of the calls before and after the beginning, by system.
        """
        reports = {}
        for system, fleet in self.fleets.items():
            load = make_load(fleet, RATE_PER_S, duration_s, SEED, DEADLINE_MS)
            run = await run_load(fleet, load, lambda: script(fleet), counts_executions)  # noqa: B023
            before = [one for one in run.records if one.at_s < EVENT_AT_S]
            after = [one for one in run.records if one.at_s >= EVENT_AT_S]
            reports[system] = (make_report(before), make_report(after))
            add_report(self.table, f"{fault}: before", system, reports[system][0])
            report = make_report(run.records, run.executions)
            extra = report.extra_work_percent
            during = msgspec.structs.replace(
                reports[system][1], extra_work_percent=extra
            )
            add_report(self.table, f"{fault}: from then on", system, during)
            self.series[f"{fault}/{system}"] = make_series(run.records)
        return reports

    def add_target(self, name: str, measured: str, met: bool) -> None:
        """Record a target.

        :param name: what is required.
        :param measured: what was measured.
        :param met: whether it was met.
        """
        self.targets.append(Target(f"{self.deployment.name}: {name}", measured, met))
