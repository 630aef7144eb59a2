"""Cost of the control plane, configuration changes and reads of the service."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, replace

import aiohttp

from bench.daemons import measure_header_bytes, read_metrics, read_status
from bench.fleets import (
    ALAMI,
    make_load,
    read_memory_bytes,
    read_processor_s,
    run_load,
)
from bench.results import Result, Table, fit_slope
from celeryferry_standins.fleet_control import READY_TIMEOUT
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.processes import wait_until
from celeryferry_standins.upstream.behaviour import Behaviour

SEED = 20265
DAEMONS_PER_DOMAIN = (1, 4, 12)
# A front keeps refreshing its observations for 10 s after a query.
OBSERVATIONS_EXPIRY_S = 10.5
IDLE_DURATION_S = 4.0
READS_DURATION_S = 2.0
# Enough for answers to show most replicas that they use within a refresh interval.
QUERIES_PER_S = 5.0
DEADLINE_MS = 1000
CHANGES = 3
TRAFFIC_COLUMNS = (
    *("daemons", "state", "cpu % of a core", "probes/s", "body B/probe"),
    *("observations/s", "body B/observation", "header B/call", "all B/s"),
)
SIZE_COLUMNS = (
    *("daemons", "cell", "RSS MiB", "host list B", "host list B/s read"),
    *("change in force everywhere s", "reads/s at the service"),
)


@dataclass(frozen=True, slots=True)
class Usage:
    """Totals of one daemon.

    :param processor_s: processor time in seconds.
    :param calls: control calls sent and answered, by kind.
    :param body_bytes: bytes of their bodies, both directions, by kind.
    """

    processor_s: float
    calls: Counter[str]
    body_bytes: Counter[str]


async def read_usage(fleet: Fleet) -> dict[str, Usage]:
    """Read the totals of every daemon.

    :param fleet: running fleet.
    """
    usages = {}
    for name, daemon in fleet.daemons.items():
        metrics = await read_metrics(fleet, name)
        usages[name] = Usage(
            read_processor_s(daemon.process),
            _sum_by_call(metrics, "celeryferry_control_calls"),
            _sum_by_call(metrics, "celeryferry_control_bytes"),
        )
    return usages


def _sum_by_call(metrics: dict[tuple[str, str], float], wanted: str) -> Counter[str]:
    totals: Counter[str] = Counter()
    for (name, labels), value in metrics.items():
        if name == wanted:
            totals[labels.split('call="')[1].split('"')[0]] += value
    return totals


async def measure_change(fleet: Fleet) -> float:
    """Return the time until every daemon has activated a change of one document.

    :param fleet: running fleet.
    """
    document = next(iter(fleet.documents.values()))
    wanted = document.version + 1
    started = time.monotonic()
    await fleet.put_documents([replace(document, version=wanted)])

    async def is_in_force() -> bool:
        statuses = await asyncio.gather(
            *(read_status(fleet, name) for name in fleet.daemons)
        )
        return all(
            one.version >= wanted
            for status in statuses
            for one in status.documents
            if one.name == document.service
        )

    await wait_until(is_in_force, READY_TIMEOUT, "a change in force")
    return time.monotonic() - started


async def count_reads(fleet: Fleet) -> int:
    """Return the calls that the configuration service has counted.

    :param fleet: running fleet.
    """
    return (await fleet.control_configuration())["counts"]["reads"]


async def measure_idle(fleet: Fleet, state: str, table: Table) -> None:
    """Measure the control plane for a while.

    :param fleet: running fleet.
    :param state: what the daemons do.
    :param table: table with ``TRAFFIC_COLUMNS``.
    """
    before = await read_usage(fleet)
    started = time.monotonic()
    await asyncio.sleep(IDLE_DURATION_S)
    after = await read_usage(fleet)
    seconds = time.monotonic() - started
    header_bytes = await measure_header_bytes(fleet, next(iter(fleet.daemons)))
    count = len(fleet.daemons)
    used_s = sum(after[name].processor_s - before[name].processor_s for name in before)
    calls: Counter[str] = Counter()
    body: Counter[str] = Counter()
    for name in before:
        calls.update(after[name].calls - before[name].calls)
        body.update(after[name].body_bytes - before[name].body_bytes)
    # A daemon is the server of as many calls as it is the client of.
    each = count * seconds / 2
    table.add(
        count,
        state,
        100 * used_s / (count * seconds),
        calls["probe"] / (count * seconds),
        body["probe"] / max(1, calls["probe"]),
        calls["observations"] / (count * seconds),
        body["observations"] / max(1, calls["observations"]),
        header_bytes,
        (body.total() + calls.total() * header_bytes) / each,
    )


async def measure_queried(fleet: Fleet, table: Table) -> None:
    """Measure the control plane under a steady load of queries.

    :param fleet: running fleet.
    :param table: table with ``TRAFFIC_COLUMNS``.
    """
    rate_per_s = QUERIES_PER_S * len(fleet.daemons)
    load = make_load(fleet, rate_per_s, IDLE_DURATION_S + 3.0, SEED, DEADLINE_MS)

    async def measure() -> None:
        await asyncio.sleep(1.0)
        await measure_idle(fleet, "queried", table)

    await run_load(fleet, load, measure)


async def measure_size(fleet: Fleet, cell: int, table: Table) -> tuple[float, float]:
    """Measure configuration and memory of an idle fleet.

    :param fleet: running fleet.
    :param cell: hosts in each cell.
    :param table: table with ``SIZE_COLUMNS``.
    :returns: bytes of the host list and mean memory of a daemon.
    """
    reads = await count_reads(fleet)
    exchanged = (await fleet.control_host_list())["exchanged_bytes"]
    started = time.monotonic()
    await asyncio.sleep(READS_DURATION_S)
    seconds = time.monotonic() - started
    reads_per_s = (await count_reads(fleet) - reads) / seconds
    exchanged = (await fleet.control_host_list())["exchanged_bytes"] - exchanged
    list_bytes_per_s = exchanged / seconds / len(fleet.daemons)
    changes = [await measure_change(fleet) for _ in range(CHANGES)]
    memory = [read_memory_bytes(one.process) for one in fleet.daemons.values()]
    mean_bytes = sum(memory) / len(memory)
    listed = await _measure_host_list(fleet)
    table.add(
        len(memory),
        cell,
        mean_bytes / 2**20,
        listed,
        list_bytes_per_s,
        max(changes),
        reads_per_s,
    )
    return listed, mean_bytes


async def _measure_host_list(fleet: Fleet) -> float:
    url = f"http://{fleet.host_list['address']}/v1/hosts"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return float(len(await response.read()))


async def measure() -> Result:
    """Measure idle fleets of several sizes.

    :returns: two tables.
    """
    result = Result("control", SEED)
    result.setup = [
        "Alami without load, 30 upstreams, log level info; each daemon polls the "
        "health of the upstreams that it owns.",
        "Bytes are those sent and received by one daemon in control calls between "
        "daemons; reads of the host list, 1 a second, come on top (headers included).",
        f"State queried: {QUERIES_PER_S:g} queries/s for each daemon, whose processor "
        "time is included; queried lately: no query for some seconds.",
        f"The change in force is the slowest of {CHANGES}.",
    ]
    traffic = Table("control traffic and processor time of a daemon", TRAFFIC_COLUMNS)
    table = Table("size, configuration", SIZE_COLUMNS)
    slopes = Table("slope for each further daemon", ("figure", "slope"))
    result.tables += [traffic, table, slopes]
    listed: list[tuple[float, float]] = []
    resident: list[tuple[float, float]] = []
    for count in DAEMONS_PER_DOMAIN:
        deployment = replace(ALAMI, daemons_per_domain=count)
        async with Fleet(deployment.to_plan(Behaviour())) as fleet:
            await fleet.wait_for_coverage(ALAMI.application)
            await measure_queried(fleet, traffic)
            await measure_idle(fleet, "queried lately", traffic)
            await asyncio.sleep(OBSERVATIONS_EXPIRY_S - IDLE_DURATION_S)
            await measure_idle(fleet, "idle", traffic)
            list_bytes, mean_bytes = await measure_size(fleet, count, table)
            listed.append((len(fleet.daemons), list_bytes))
            resident.append((len(fleet.daemons), mean_bytes))
    slopes.add("host list, bytes", fit_slope(listed))
    slopes.add("memory of a daemon, KiB", fit_slope(resident) / 1024)
    return result
