"""Tail latency and coverage under faults, against the baseline."""

import asyncio

from bench.fault_runs import (
    DEADLINE_MS,
    EVENT_AT_S,
    RATE_PER_S,
    SEED,
    FaultRuns,
)
from bench.faults import (
    STRAGGLER_FACTOR,
    WARM_UP_S,
    FaultSelection,
    kill_domain,
    kill_upstreams,
    put_domain_back,
    restart_domain,
    restart_upstreams,
    set_straggle_factor,
    take_domain_out,
    turn_cold,
)
from bench.fleets import (
    ALAMI,
    BLUE_MAHOE,
    Deployment,
    make_load,
    run_load,
    start_pair,
)
from bench.results import Result, Table, divide, format_value
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.load.report import LoadReport
from celeryferry_standins.upstream.behaviour import Behaviour

WARM_UP_LOAD_S = 1.5
DOMAIN_OUT_S = 3.5
DRAIN_DELAY_S = 2.0
EVENT_RUN_S = 10.0
COLD_RUN_S = 17.5
SERVICE_MS = 10.0
JITTER_MS = 2.5
BEHAVIOUR = Behaviour(service_ms=SERVICE_MS, jitter_ms=JITTER_MS)
MAX_RECOVERY_S = 10.0
MIN_P99_IMPROVEMENT = 3.0
MAX_EXTRA_WORK_PERCENT = 5.0
MAX_LATENCY_RATIO = 1.5


class TailRun(FaultRuns):
    """All faults of the scenario on one deployment."""

    async def run(self) -> None:
        """Measure every fault."""
        for fleet in self.fleets.values():
            await run_load(
                fleet, make_load(fleet, RATE_PER_S, WARM_UP_LOAD_S, 1, DEADLINE_MS)
            )
        await self.measure_steady("none")
        await self._measure_stragglers()
        await self._measure_lost()
        await self._measure_domain_out()
        await self._measure_domain_killed()
        await self._measure_cold()

    async def _measure_stragglers(self) -> None:
        for fleet in self.fleets.values():
            await set_straggle_factor(
                fleet, self.selection.stragglers, STRAGGLER_FACTOR
            )
        reports = await self.measure_steady("1 in 20 straggles")
        for fleet in self.fleets.values():
            await set_straggle_factor(fleet, self.selection.stragglers, 1.0)
        ferry = reports["celeryferry"]
        ratio = divide(reports["baseline"].p99_ms, ferry.p99_ms)
        self.add_target(
            f"stragglers: p99 at least {MIN_P99_IMPROVEMENT:g} times better",
            f"{format_value(ratio)} times",
            ratio >= MIN_P99_IMPROVEMENT,
        )
        extra = ferry.extra_work_percent
        self.add_target(
            f"stragglers: at most {MAX_EXTRA_WORK_PERCENT:g} % extra work",
            f"{format_value(extra)} %",
            extra is not None and extra <= MAX_EXTRA_WORK_PERCENT,
        )

    async def _measure_lost(self) -> None:
        for fleet in self.fleets.values():
            kill_upstreams(fleet, self.selection.lost)
        reports = await self.measure_steady("one replica of each lost")
        incomplete = reports["celeryferry"].incomplete
        self.add_target(
            "lost replicas: every answer complete",
            f"{incomplete} incomplete answers",
            incomplete == 0 and not reports["celeryferry"].errors,
        )
        for fleet in self.fleets.values():
            await restart_upstreams(fleet, self.selection.lost)
            await fleet.wait_for_coverage(self.deployment.application)

    async def _measure_domain_out(self) -> None:
        domain = self.deployment.failure_domains[0]

        async def take_out_and_back(fleet: Fleet) -> None:
            await asyncio.sleep(EVENT_AT_S)
            await take_domain_out(fleet, domain, DRAIN_DELAY_S)
            await asyncio.sleep(DOMAIN_OUT_S - DRAIN_DELAY_S)
            await put_domain_back(fleet, domain)

        reports = await self.measure_event("domain out", EVENT_RUN_S, take_out_and_back)
        self._check_domain_targets("domain out and back", *reports["celeryferry"])

    async def _measure_domain_killed(self) -> None:
        domain = self.deployment.failure_domains[1]

        async def kill_and_restart(fleet: Fleet) -> None:
            await asyncio.sleep(EVENT_AT_S)
            kill_domain(fleet, domain)
            await asyncio.sleep(DOMAIN_OUT_S)
            await restart_domain(fleet, domain)

        reports = await self.measure_event(
            "domain killed", EVENT_RUN_S, kill_and_restart, False
        )
        self._check_domain_targets("domain killed and back", *reports["celeryferry"])
        for fleet in self.fleets.values():
            await fleet.wait_for_coverage(self.deployment.application)

    def _check_domain_targets(
        self, name: str, before: LoadReport, after: LoadReport
    ) -> None:
        errors = sum(after.errors.values())
        self.add_target(
            f"{name}: no answer below full coverage",
            f"{after.incomplete} incomplete answers, {errors} errors",
            after.incomplete == 0 and errors == 0,
        )
        ratio = divide(after.p99_ms, before.p99_ms)
        self.add_target(
            f"{name}: p99 within {MAX_LATENCY_RATIO:g} times that before",
            f"{format_value(ratio)} times",
            ratio <= MAX_LATENCY_RATIO,
        )

    async def _measure_cold(self) -> None:
        async def make_cold(fleet: Fleet) -> None:
            await asyncio.sleep(EVENT_AT_S)
            await turn_cold(fleet, self.selection.cold)

        await self.measure_event("a third cold", COLD_RUN_S, make_cold)
        cold_table = Table(
            f"{self.deployment.name}: cold upstreams",
            ("system", "falls", "most started after the signal", "back after s"),
        )
        back: dict[str, float | None] = {}
        for system, fleet in self.fleets.items():
            counters = await fleet.read_counters()
            cold = [counters[name] for name in self.selection.cold]
            falls = sum(one.falls for one in cold)
            most = max(one.max_after_cold for one in cold)
            back[system] = find_recovery_s(self.series[f"a third cold/{system}"])
            cold_table.add(system, falls, most, back[system])
            if system == "celeryferry":
                self.add_target("cold: none falls over", f"{falls} falls", falls == 0)
        limit_s = WARM_UP_S + MAX_RECOVERY_S
        seconds = back["celeryferry"]
        self.add_target(
            f"cold: back within {MAX_RECOVERY_S:g} s of the warm-up time",
            f"{format_value(seconds)} s after turning cold, warm-up {WARM_UP_S:g} s",
            seconds is not None and seconds <= limit_s,
        )
        self.cold_table = cold_table


def find_recovery_s(series: object) -> float | None:
    """Return the time to recover from an event at ``EVENT_AT_S``.

    Service has recovered from the first second after which every answer is complete,
    nothing fails and the median of each second is within 1.5 times that before.

    :param series: time series of the run.
    :returns: seconds since the event, None without recovery until the end.
    """
    before = [point.p50_ms for point in series if point.at_s < EVENT_AT_S]
    limit_ms = MAX_LATENCY_RATIO * sum(before) / len(before)
    back_at_s = None
    for point in series:
        if point.at_s < EVENT_AT_S:
            continue
        good = point.worst_coverage == 1.0 and not point.errors
        if not good or point.p50_ms > limit_ms:
            back_at_s = None
        elif back_at_s is None:
            back_at_s = point.at_s
    return None if back_at_s is None else back_at_s - EVENT_AT_S


async def measure_deployment(deployment: Deployment, result: Result) -> None:
    """Measure every fault on one deployment.

    :param deployment: the deployment.
    :param result: result that is extended.
    """
    names = [one.name for one in deployment.to_plan(BEHAVIOUR).list_upstreams()]
    selection = FaultSelection(names, SEED)
    plan = deployment.to_plan(BEHAVIOUR, isolated_upstreams=frozenset(selection.lost))
    async with start_pair(plan) as fleets:
        run = TailRun(deployment, fleets, selection)
        await run.run()
    result.tables += [run.table, run.cold_table]
    result.targets += run.targets
    result.details[deployment.name] = {
        "stragglers": selection.stragglers,
        "lost": selection.lost,
        "cold": selection.cold,
        "series": run.series,
    }


async def measure() -> Result:
    """Measure both deployments.

    :returns: tables, targets and time series.
    """
    result = Result("tail", SEED)
    result.setup = [
        "Scaled: 9 daemons in 3 failure domains instead of 18, one application of 10 "
        "services with 3 replicas instead of 27 services, no added network delay.",
        f"Load {RATE_PER_S:g} queries/s to 10 shards each; service time "
        f"{SERVICE_MS:g} ms +- {JITTER_MS:g} ms; 2 of 30 upstreams straggle.",
        "The baseline has upstreams, documents and callers of its own, equal to those "
        "of celeryferry; the load alternates between both.",
        "The baseline does not follow changes of documents.",
    ]
    for deployment in (ALAMI, BLUE_MAHOE):
        await measure_deployment(deployment, result)
    return result
