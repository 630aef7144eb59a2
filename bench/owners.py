"""One owner for each upstream against direct connections with shares."""

import asyncio
from dataclasses import replace

from bench.fault_runs import DEADLINE_MS
from bench.faults import control_many
from bench.fleets import (
    ALAMI,
    list_daemons,
    make_load,
    run_load,
    start_pair,
    sum_processor_s,
)
from bench.results import Result, Table
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.load.generator import CallRecord
from celeryferry_standins.load.report import make_report
from celeryferry_standins.upstream.behaviour import Behaviour

SEED = 20263
DAEMONS_PER_DOMAIN = (1, 2, 4, 6)
RATE_PER_S = 60.0
WARM_UP_LOAD_S = 0.5
STEADY_RUN_S = 2.5
COLD_AFTER_S = 1.0
COLD_RUN_S = 2.0
SERVICE_MS = 10.0
# A cold upstream takes five times as long, until the end of the run.
COLD_FACTOR = 5.0
UNREACHABLE_REQUEST_COUNT = 1_000_000
# Upstreams of the shards that turn cold, one replica each.
COLD_SHARDS = (1, 4, 7)
COLUMNS = (
    *("daemons", "system", "p50 ms", "p99 ms", "cpu ms/query", "connections opened"),
    *("most open at one", "most started after cold", "falls", "incomplete when cold"),
)


async def measure_fleet(fleet: Fleet, system: str, table: Table) -> None:
    """Measure one fleet under steady load, then with cold upstreams.

    :param fleet: running fleet.
    :param system: ``baseline`` or ``celeryferry``.
    :param table: table with ``COLUMNS``.
    """
    await run_load(fleet, make_load(fleet, RATE_PER_S, WARM_UP_LOAD_S, 1, DEADLINE_MS))
    before_s = sum_processor_s(list_daemons(fleet))
    usual = await run_load(
        fleet, make_load(fleet, RATE_PER_S, STEADY_RUN_S, SEED, DEADLINE_MS)
    )
    used_s = sum_processor_s(list_daemons(fleet)) - before_s
    cold_records = await _measure_cold(fleet)
    counters = (await fleet.read_counters()).values()
    report = make_report(usual.records)
    table.add(
        len(fleet.daemons),
        system,
        report.p50_ms,
        report.p99_ms,
        1000 * used_s / max(1, report.answers),
        sum(one.connections_opened for one in counters),
        max(one.max_connections for one in counters),
        max(one.max_after_cold for one in counters),
        sum(one.falls for one in counters),
        make_report(cold_records).incomplete,
    )


async def _measure_cold(fleet: Fleet) -> list[CallRecord]:
    domain = ALAMI.failure_domains[0]
    names = [f"{ALAMI.application}-{number:02}/{domain}/0" for number in COLD_SHARDS]

    async def turn_cold() -> None:
        await asyncio.sleep(COLD_AFTER_S)
        await control_many(
            fleet,
            names,
            cold=True,
            cold_factor=COLD_FACTOR,
            warm_after_requests=UNREACHABLE_REQUEST_COUNT,
        )

    load = make_load(fleet, RATE_PER_S, COLD_RUN_S, SEED + 1, DEADLINE_MS)
    return (await run_load(fleet, load, turn_cold)).records


async def measure() -> Result:
    """Measure fleets of several sizes.

    :returns: one table.
    """
    result = Result("owners", SEED)
    result.setup = [
        f"Alami, {RATE_PER_S:g} queries/s to 10 shards, service time {SERVICE_MS:g} "
        "ms; 3 of 30 upstreams turn cold under load.",
        "Processor time is that of all daemons over the usual load, idle work of the "
        "control plane included.",
    ]
    table = Table("one owner (celeryferry) against direct shares (baseline)", COLUMNS)
    result.tables.append(table)
    behaviour = Behaviour(service_ms=SERVICE_MS, jitter_ms=SERVICE_MS / 4)
    for count in DAEMONS_PER_DOMAIN:
        deployment = replace(ALAMI, daemons_per_domain=count)
        async with start_pair(deployment.to_plan(behaviour)) as fleets:
            for system, fleet in fleets.items():
                await measure_fleet(fleet, system, table)
    return result
