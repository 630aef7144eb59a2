"""Processor time per query and per subquery, latency of one query, and memory."""

from dataclasses import replace

from bench.daemons import read_status
from bench.direct import call_upstreams, run_closed_loop, search_once
from bench.fleets import read_memory_bytes
from bench.processor import (
    CONCURRENCY,
    choose_front,
    measure_idle,
    measure_processor_usage,
)
from bench.results import Result, Table, fit_slope
from celeryferry_core.models.topology import (
    Replica,
    ServiceDocument,
    Shard,
    UpstreamLimits,
)
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.fleet_control import READY_TIMEOUT
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.load.report import find_percentile
from celeryferry_standins.plans import FleetPlan
from celeryferry_standins.processes import wait_until
from celeryferry_standins.upstream.behaviour import Behaviour

SEED = 20264
SHARD_COUNTS = (5, 10, 40, 160)
LARGE_SHARD_COUNT = 620
LEVELS = ("info", "warning")
DOMAIN = "agadir-a"
LIMITS = UpstreamLimits(8, 80, 8, 1.0)
BEHAVIOUR = Behaviour(service_ms=1.0, jitter_ms=0.2)
WARM_UP_LOAD_S = 1.0
RUN_S = 2.5
LARGE_RUN_S = 4.0
ONE_QUERY_S = 1.5
ONE_QUERY_ROUNDS = 2
DOCUMENT_COUNTS = (0, 500, 1000)
COST_COLUMNS = (
    *("log level", "shards", "queries", "failed", "query p50 ms"),
    *("front us/query", "front us/shard", "owner us/subquery", "all us/query"),
)


def make_services(counts: tuple[int, ...]) -> tuple[ServicePlan, ...]:
    """Return one application with one service for each number of shards.

    :param counts: numbers of shards.
    """
    return tuple(
        ServicePlan(
            f"desk-{count}",
            f"desk-{count}",
            shards=tuple(f"shard-{number:03}" for number in range(count)),
            upstreams=LIMITS,
            deadline_ms=5000,
        )
        for count in counts
    )


def make_plan(counts: tuple[int, ...], log_level: str) -> FleetPlan:
    """Return a fleet of three daemons in one failure domain.

    :param counts: numbers of shards, one application each.
    :param log_level: log level of the daemons.
    """
    return FleetPlan(
        failure_domains=(DOMAIN,),
        services=make_services(counts),
        behaviour=BEHAVIOUR,
        log_level=log_level,
    )


async def measure_count(
    fleet: Fleet, count: int, idle: dict[str, float], run_s: float, table: Table
) -> None:
    """Send warm-up queries, then measure queries over a number of shards.

    :param fleet: running fleet.
    :param count: number of shards.
    :param idle: processor seconds per second of each daemon when idle.
    :param run_s: time for which queries are sent.
    :param table: table with ``COST_COLUMNS``.
    """
    await measure_processor_usage(fleet, count, idle, WARM_UP_LOAD_S)
    use = await measure_processor_usage(fleet, count, idle, run_s)
    table.add(
        fleet.plan.log_level,
        count,
        use.queries,
        use.loop.failures,
        find_percentile(use.loop.latencies_ms, 0.5),
        1e6 * use.front_s,
        1e6 * use.front_s / count,
        1e6 * use.owner_s,
        1e6 * use.all_s,
    )


async def measure_one_query(fleet: Fleet, table: Table) -> None:
    """Compare a query over ten shards with a direct call to the same upstreams.

    :param fleet: running fleet.
    :param table: table that is extended.
    """
    application = "desk-10"
    front = await choose_front(fleet, application)
    address = fleet.daemons[front].host.callers_address
    upstreams = {
        one.plan.shard: one.address
        for one in fleet.upstreams.values()
        if one.plan.service.application == application
    }

    async def ask_front(session, number: int) -> bool:
        return await search_once(session, address, application, number)

    async def ask_upstreams(session, number: int) -> bool:
        return await call_upstreams(session, upstreams, number)

    latencies_ms: dict[str, list[float]] = {"direct call": [], "celeryferry": []}
    for _ in range(ONE_QUERY_ROUNDS):
        for name, send in (("direct call", ask_upstreams), ("celeryferry", ask_front)):
            loop = await run_closed_loop(fleet, send, ONE_QUERY_S, 1)
            latencies_ms[name] += loop.latencies_ms
    direct = latencies_ms["direct call"]
    for name, values in latencies_ms.items():
        p50, p99 = find_percentile(values, 0.5), find_percentile(values, 0.99)
        ratio = p50 / find_percentile(direct, 0.5)
        table.add(fleet.plan.log_level, name, len(values), p50, p99, ratio)


def make_foreign_document(number: int) -> ServiceDocument:
    """Return a document whose replicas no daemon of the fleet owns.

    :param number: number of the document.
    """
    name = f"foreign-{number:04}"
    replicas = tuple(
        Replica(f"127.0.0.9:{10_000 + 3 * number + at}", f"elsewhere-{at}")
        for at in range(3)
    )
    limits = UpstreamLimits(4, 80, 1, 6.0)
    plan = ServicePlan(name, "foreign", upstreams=limits)
    document = plan.to_document(1, {name: replicas})
    return replace(document, shards=(Shard(name, replicas),))


async def measure_documents(fleet: Fleet, table: Table) -> None:
    """Measure the memory of documents whose upstreams the fleet does not own.

    :param fleet: running fleet.
    :param table: table that is extended.
    """
    points = []
    written = 0
    for count in DOCUMENT_COUNTS:
        if count > written:
            added = [make_foreign_document(n) for n in range(written, count)]
            await fleet.put_documents(added)
            written = count
            await wait_for_documents(fleet, len(fleet.documents))
        memory = [read_memory_bytes(one.process) for one in fleet.daemons.values()]
        points.append((float(count), sum(memory) / len(memory)))
    kib = fit_slope(points) / 1024
    table.add("document of one shard with 3 replicas", DOCUMENT_COUNTS, kib)


async def wait_for_documents(fleet: Fleet, count: int) -> None:
    """Wait until every daemon has activated all documents.

    :param fleet: running fleet.
    :param count: number of documents.
    """

    async def is_active() -> bool:
        statuses = [await read_status(fleet, name) for name in fleet.daemons]
        return all(len(status.documents) >= count for status in statuses)

    await wait_until(is_active, READY_TIMEOUT, f"{count} documents")


async def measure() -> Result:
    """Measure cost, latency and memory.

    :returns: three tables.
    """
    result = Result("cost", SEED)
    result.setup = [
        "3 daemons in one failure domain, one replica of each shard, all upstreams in "
        "one stand-in process, service time 1 ms; queries in closed loop, "
        f"{CONCURRENCY} at a time, all to one daemon; idle time subtracted.",
    ]
    cost = Table("processor time", COST_COLUMNS)
    single_query = Table(
        "one query over 10 shards at a time",
        ("log level", "way", "queries", "p50 ms", "p99 ms", "p50 against direct"),
    )
    memory = Table("memory of a daemon", ("for each", "measured at", "KiB"))
    polls = Table("daemons without queries", ("upstreams each", "cpu % of a core"))
    result.tables += [cost, single_query, memory, polls]
    resident: list[tuple[float, float]] = []
    for level in LEVELS:
        async with Fleet(make_plan(SHARD_COUNTS, level)) as fleet:
            for count in SHARD_COUNTS:
                await fleet.wait_for_coverage(f"desk-{count}")
            idle = await measure_idle(fleet)
            _add_idle(polls, sum(SHARD_COUNTS), idle)
            for count in SHARD_COUNTS:
                await measure_count(fleet, count, idle, RUN_S, cost)
            await measure_one_query(fleet, single_query)
            resident.append(_sum_memory(fleet, sum(SHARD_COUNTS)))
            if level == LEVELS[-1]:
                await measure_documents(fleet, memory)
    async with Fleet(make_plan((LARGE_SHARD_COUNT,), "warning")) as fleet:
        await fleet.wait_for_coverage(f"desk-{LARGE_SHARD_COUNT}")
        idle = await measure_idle(fleet)
        _add_idle(polls, LARGE_SHARD_COUNT, idle)
        await measure_count(fleet, LARGE_SHARD_COUNT, idle, LARGE_RUN_S, cost)
        resident.append(_sum_memory(fleet, LARGE_SHARD_COUNT))
    counts = tuple(int(count) for count, _ in resident[1:])
    kib = fit_slope(resident[1:]) / 1024
    memory.add("upstream in use, sum of 3 daemons, documents included", counts, kib)
    return result


def _add_idle(table: Table, upstreams: int, idle: dict[str, float]) -> None:
    table.add(upstreams / len(idle), 100 * sum(idle.values()) / len(idle))


def _sum_memory(fleet: Fleet, count: int) -> tuple[float, float]:
    memory = [read_memory_bytes(one.process) for one in fleet.daemons.values()]
    return float(count), float(sum(memory))
