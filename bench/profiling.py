"""Profile of the front and the owner role under a bounded load."""

import pstats
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

from bench.cost import make_plan
from bench.direct import run_closed_loop, search_once
from bench.processor import choose_front
from bench.profiled_daemon import PROFILE_SUFFIX
from bench.results import Result, Table
from celeryferry_core.models.settings import LimitSettings
from celeryferry_standins.launcher import Fleet

SEED = 20266
SHARDS = 40
RUN_S = 6.0
CONCURRENCY = 4
MAX_LISTED_FUNCTIONS = 40
STOP_TIMEOUT = timedelta(seconds=20)
# Short, so that the planned shutdown does not wait.
ENTRY_HOSTS_VALID_MS = 100
COLUMNS = ("function", "calls/query", "own us/query", "with callees us/query")


def list_functions(file: Path, title: str, queries: int) -> Table:
    """List the functions that take most time of their own.

    :param file: profile.
    :param title: title of the table.
    :param queries: queries sent.
    """
    table = Table(title, COLUMNS)
    stats = pstats.Stats(str(file)).stats
    ordered = sorted(stats.items(), key=lambda item: -item[1][2])
    for (path, line, name), (_, calls, own_s, total_s, _) in ordered[
        :MAX_LISTED_FUNCTIONS
    ]:
        where = "/".join(Path(path).parts[-2:])
        table.add(
            f"{where}:{line} {name}"[-70:],
            calls / queries,
            1e6 * own_s / queries,
            1e6 * total_s / queries,
        )
    return table


async def measure() -> Result:
    """Run one bounded load against profiled daemons.

    :returns: the functions that take most time, for each daemon.
    """
    result = Result("profiling", SEED)
    result.setup = [
        f"3 daemons under cProfile, {SHARDS} shards, log level warning, {RUN_S:g} s; "
        "start, idle time and stop are part of the profile.",
    ]
    plan = replace(
        make_plan((SHARDS,), "warning"),
        daemon_module="bench.profiled_daemon",
        limits=LimitSettings(entry_hosts_valid_ms=ENTRY_HOSTS_VALID_MS),
    )
    application = f"desk-{SHARDS}"
    async with Fleet(plan) as fleet:
        await fleet.wait_for_coverage(application)
        front = await choose_front(fleet, application)
        address = fleet.daemons[front].host.callers_address

        async def send(session, number: int) -> bool:
            return await search_once(session, address, application, number)

        loop = await run_closed_loop(fleet, send, RUN_S, CONCURRENCY)
        queries = max(1, len(loop.latencies_ms))
        for daemon in fleet.daemons.values():
            daemon.process.terminate()
        for name, daemon in fleet.daemons.items():
            await daemon.process.wait(STOP_TIMEOUT)
            role = "front" if name == front else "owner only"
            file = daemon.settings_file.with_suffix(PROFILE_SUFFIX)
            title = f"{name}, {role}, {queries} queries"
            result.tables.append(list_functions(file, title, queries))
    return result
