"""Processor time of queries in the front and the owner role."""

import asyncio
import time
from dataclasses import dataclass

from bench.daemons import count_subqueries, read_status
from bench.direct import ClosedLoop, run_closed_loop, search_once
from bench.fleets import read_processor_s
from celeryferry_standins.launcher import Fleet

IDLE_DURATION_S = 2.0
CONCURRENCY = 4
# Longer than the 500 ms between health polls, with which owners publish counters.
METRICS_PUBLISH_WAIT_S = 0.7


async def read_usage(fleet: Fleet) -> dict[str, tuple[float, float]]:
    """Return processor seconds and finished subqueries of every daemon.

    :param fleet: running fleet.
    """
    return {
        name: (read_processor_s(one.process), await count_subqueries(fleet, name))
        for name, one in fleet.daemons.items()
    }


async def choose_front(fleet: Fleet, application: str) -> str:
    """Return the daemon that owns the fewest keys of an application.

    :param fleet: running fleet.
    :param application: name of the application.
    """
    held = {}
    for name in fleet.daemons:
        status = await read_status(fleet, name)
        prefix = f"{application}/"
        held[name] = sum(one.key.startswith(prefix) for one in status.keys)
    return min(held, key=held.__getitem__)


async def measure_idle(fleet: Fleet) -> dict[str, float]:
    """Return the processor seconds per second of each daemon without queries.

    :param fleet: running fleet.
    """
    before = await read_usage(fleet)
    started = time.monotonic()
    await asyncio.sleep(IDLE_DURATION_S)
    after = await read_usage(fleet)
    seconds = time.monotonic() - started
    return {name: (after[name][0] - before[name][0]) / seconds for name in before}


@dataclass(frozen=True, slots=True)
class ProcessorUsage:
    """Processor time of queries.

    :param loop: the queries.
    :param queries: answered and failed queries.
    :param owner_s: seconds per subquery in an owner.
    :param front_s: seconds per query in the front.
    :param all_s: seconds per query in all daemons.
    """

    loop: ClosedLoop
    queries: int
    owner_s: float
    front_s: float
    all_s: float


async def measure_processor_usage(
    fleet: Fleet, count: int, idle: dict[str, float], run_s: float
) -> ProcessorUsage:
    """Measure queries over a number of shards.

    All queries enter at one daemon. The owner's cost follows from the other daemons,
    which do nothing else; the rest of the first daemon's time is the front's.

    :param fleet: running fleet.
    :param count: number of shards.
    :param idle: processor seconds per second of each daemon when idle.
    :param run_s: time for which queries are sent.
    """
    application = f"desk-{count}"
    front = await choose_front(fleet, application)
    address = fleet.daemons[front].host.callers_address

    async def send(session, number: int) -> bool:
        return await search_once(session, address, application, number)

    await asyncio.sleep(METRICS_PUBLISH_WAIT_S)
    before = await read_usage(fleet)
    started = time.monotonic()
    loop = await run_closed_loop(fleet, send, run_s, CONCURRENCY)
    await asyncio.sleep(METRICS_PUBLISH_WAIT_S)
    after = await read_usage(fleet)
    seconds = time.monotonic() - started
    used = {
        name: after[name][0] - before[name][0] - idle[name] * seconds for name in before
    }
    work = {name: after[name][1] - before[name][1] for name in before}
    others = [name for name in used if name != front]
    owner_s = sum(used[name] for name in others) / sum(work[name] for name in others)
    queries = len(loop.latencies_ms) + loop.failures
    front_s = (used[front] - owner_s * work[front]) / queries
    return ProcessorUsage(loop, queries, owner_s, front_s, sum(used.values()) / queries)
