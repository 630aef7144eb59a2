"""The same faults for services that prefer coverage and services that prefer time."""

from dataclasses import replace

from bench.fault_runs import COLUMNS, DEADLINE_MS, RATE_PER_S, add_report
from bench.faults import (
    FaultSelection,
    control_many,
    kill_upstreams,
    set_straggle_factor,
)
from bench.fleets import ALAMI, Deployment, LoadRun, make_load, run_load
from bench.results import Result, Table, Target, format_value
from bench.tail import BEHAVIOUR
from celeryferry_core.models.topology import Preference
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.load.report import LoadReport, make_report

SEED = 20262
WARM_UP_LOAD_S = 1.5
RUN_S = 5.0
# Longer than ``answer_within_ms`` (250) and shorter than the deadline (1,000).
SLOW_SHARD_FACTOR = 50.0
ANSWER_WITHIN_MS = 250.0
# Time for the scheduling of the processes that an answer passes through.
ANSWER_MARGIN_MS = 50.0


def make_deployment(preference: Preference) -> Deployment:
    """Return the Alami deployment with another preference."""
    return replace(ALAMI, preference=preference)


def list_replicas(fleet: Fleet, shard: str) -> list[str]:
    """List the upstreams of a shard.

    :param fleet: running fleet.
    :param shard: name of the shard.
    """
    return [name for name, one in fleet.upstreams.items() if one.plan.shard == shard]


async def measure_preference(
    preference: Preference, table: Table
) -> dict[str, LoadReport]:
    """Measure one preference under each fault.

    :param preference: preference of all services.
    :param table: table with ``COLUMNS``.
    :returns: reports by fault.
    """
    deployment = make_deployment(preference)
    names = [one.name for one in deployment.to_plan(BEHAVIOUR).list_upstreams()]
    selection = FaultSelection(names, SEED)
    slow, lost = f"{ALAMI.application}-02", f"{ALAMI.application}-07"
    isolated_upstreams = frozenset(
        name for name in names if name.startswith(f"{lost}/")
    )
    reports = {}
    async with Fleet(
        deployment.to_plan(BEHAVIOUR, isolated_upstreams=isolated_upstreams)
    ) as fleet:
        await fleet.wait_for_coverage(deployment.application)
        await run_load(
            fleet, make_load(fleet, RATE_PER_S, WARM_UP_LOAD_S, 1, DEADLINE_MS)
        )

        async def measure_fault(fault: str) -> None:
            load = make_load(fleet, RATE_PER_S, RUN_S, SEED, DEADLINE_MS)
            run: LoadRun = await run_load(fleet, load)
            reports[fault] = make_report(run.records, run.executions)
            add_report(table, fault, f"prefers {preference.value}", reports[fault])

        await set_straggle_factor(fleet, selection.stragglers, 10.0)
        await measure_fault("1 in 20 straggles")
        await set_straggle_factor(fleet, selection.stragglers, 1.0)
        await control_many(fleet, list_replicas(fleet, slow), slots=64)
        await set_straggle_factor(fleet, list_replicas(fleet, slow), SLOW_SHARD_FACTOR)
        await measure_fault("one shard slow on all replicas")
        await set_straggle_factor(fleet, list_replicas(fleet, slow), 1.0)
        kill_upstreams(fleet, list_replicas(fleet, lost))
        await measure_fault("one shard lost on all replicas")
    return reports


async def measure() -> Result:
    """Measure both preferences.

    :returns: table and targets.
    """
    result = Result("preference", SEED)
    result.setup = [
        f"Alami, 9 daemons, {RATE_PER_S:g} queries/s, deadline {DEADLINE_MS} ms, "
        f"answer_within_ms {ANSWER_WITHIN_MS:g}; a slow shard takes 500 ms.",
    ]
    table = Table("preference", COLUMNS)
    result.tables.append(table)
    for preference in (Preference.COVERAGE, Preference.TIME):
        reports = await measure_preference(preference, table)
        untrue = sum(one.fault_count for one in reports.values())
        name = f"prefers {preference.value}: every stated coverage is true"
        result.targets.append(Target(name, f"{untrue} untrue answers", untrue == 0))
        if preference is Preference.TIME:
            slow = reports["one shard slow on all replicas"]
            limit_ms = ANSWER_WITHIN_MS + ANSWER_MARGIN_MS
            name = f"prefers time: p99 within {limit_ms:g} ms with a slow shard"
            measured = f"{format_value(slow.p99_ms)} ms"
            result.targets.append(Target(name, measured, slow.p99_ms <= limit_ms))
    return result
