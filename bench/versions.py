"""Processor time of several checkouts under the same load, alternating in one run.

The machine is shared, so only figures of one run can be compared. The checkouts come
from ``CELERYFERRY_BENCH_VERSIONS``, such as ``first=../first,now=.``; the first one is
the reference. Its stand-ins and its load are those of this checkout.
"""

import os
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from statistics import median

from bench.checkout_daemon import CHECKOUT_VARIABLE
from bench.cost import make_plan
from bench.processor import (
    measure_idle,
    measure_processor_usage,
)
from bench.results import Result, Table
from celeryferry_standins.launcher import Fleet

SEED = 20267
VERSIONS_VARIABLE = "CELERYFERRY_BENCH_VERSIONS"
ROUNDS_VARIABLE = "CELERYFERRY_BENCH_ROUNDS"
LEVEL_VARIABLE = "CELERYFERRY_BENCH_LEVEL"
SHARD_COUNTS = (10, 40)
DEFAULT_ROUNDS = 5
WARM_UP_LOAD_S = 1.0
RUN_S = 2.0
COLUMNS = (
    *("version", "shards", "queries", "failed", "owner us/subquery", "of reference"),
    *("lowest", "highest", "front us/query", "of reference", "lowest", "highest"),
)


@dataclass(slots=True)
class Version:
    """A running fleet of one checkout.

    :param name: name of the checkout in the tables.
    :param fleet: its fleet.
    :param idle: processor seconds per second of each daemon without queries.
    """

    name: str
    fleet: Fleet
    idle: dict[str, float]


@dataclass(slots=True)
class Samples:
    """Figures of all rounds of one version and number of shards.

    :ivar queries: answered and failed queries.
    :ivar failed: failed queries.
    :ivar owner_us: processor time per subquery, one figure for each round.
    :ivar front_us: processor time per query, one figure for each round.
    """

    queries: int
    failed: int
    owner_us: list[float]
    front_us: list[float]


def read_versions() -> dict[str, str]:
    """Return the directories of the checkouts by name."""
    text = os.environ.get(VERSIONS_VARIABLE, "now=.")
    return dict(part.split("=", 1) for part in text.split(","))


async def start_version(stack: AsyncExitStack, name: str, checkout: str) -> Version:
    """Start the fleet of a checkout and wait until it covers everything.

    :param stack: closes the fleet.
    :param name: name of the checkout.
    :param checkout: its directory.
    """
    os.environ[CHECKOUT_VARIABLE] = checkout
    level = os.environ.get(LEVEL_VARIABLE, "warning")
    plan = replace(
        make_plan(SHARD_COUNTS, level), daemon_module="bench.checkout_daemon"
    )
    fleet = await stack.enter_async_context(Fleet(plan))
    for count in SHARD_COUNTS:
        await fleet.wait_for_coverage(f"desk-{count}")
    idle = await measure_idle(fleet)
    for count in SHARD_COUNTS:
        await measure_processor_usage(fleet, count, idle, WARM_UP_LOAD_S)
    return Version(name, fleet, idle)


async def measure_round(version: Version, count: int, samples: Samples) -> None:
    """Add the figures of one round.

    :param version: running version.
    :param count: number of shards of a query.
    :param samples: figures so far.
    """
    use = await measure_processor_usage(version.fleet, count, version.idle, RUN_S)
    samples.queries += use.queries
    samples.failed += use.loop.failures
    samples.owner_us.append(1e6 * use.owner_s)
    samples.front_us.append(1e6 * use.front_s)


async def measure() -> Result:
    """Measure all checkouts, alternating.

    :returns: medians over the rounds, and their ratio to the reference.
    """
    result = Result("versions", SEED)
    rounds = int(os.environ.get(ROUNDS_VARIABLE, DEFAULT_ROUNDS))
    level = os.environ.get(LEVEL_VARIABLE, "warning")
    result.setup = [
        f"3 daemons of each version, log level {level}, {rounds} rounds of {RUN_S:g} s "
        "for each version and number of shards, versions alternating; medians, "
        "lowest and highest of the rounds; idle time subtracted.",
    ]
    async with AsyncExitStack() as stack:
        versions = [await start_version(stack, *one) for one in read_versions().items()]
        samples = {
            (one.name, count): Samples(0, 0, [], [])
            for one in versions
            for count in SHARD_COUNTS
        }
        for number in range(rounds):
            for count in SHARD_COUNTS:
                order = versions if number % 2 == 0 else versions[::-1]
                for one in order:
                    await measure_round(one, count, samples[one.name, count])
    result.tables.append(_compare(samples))
    return result


def _compare(samples: dict[tuple[str, int], Samples]) -> Table:
    table = Table("processor time", COLUMNS)
    reference = next(iter(samples))[0]
    for (name, count), own in samples.items():
        base = samples[reference, count]
        figures: list[float] = []
        for values, base_values in (
            (own.owner_us, base.owner_us),
            (own.front_us, base.front_us),
        ):
            median_us = median(values)
            ratio = median_us / median(base_values)
            figures += [median_us, ratio, min(values), max(values)]
        table.add(name, count, own.queries, own.failed, *figures)
    return table
