"""Upstreams that ask for pauses: two checkouts under the same burst, in one run.

The checkouts come from ``CELERYFERRY_BENCH_VERSIONS``, as for the scenario versions.
Their fleets run beside each other and get the same requests at the same times.
"""

import asyncio
import itertools
import os
import random
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

import aiohttp

from bench.results import Result, Table
from bench.versions import VERSIONS_VARIABLE
from celeryferry_standins.platform.fleet import PlatformFleet
from celeryferry_standins.platform.upstream import PlatformUpstream

SEED = 20290
SERVICE = "orders"
WORK_TIME = timedelta(milliseconds=20)
RATE_PER_S = 60.0
BURST_FACTOR = 3.0
DEADLINE_MS = 2_000
SETTLE_S = 6.0
PHASE_S = 8.0
# One upstream after the other asks for a pause.
PAUSE = timedelta(seconds=1.5)
PAUSE_INTERVAL_S = 2.0
# The users' bound: from this time after the answer, at most two requests in a pause.
PAUSE_SLACK_S = 0.5
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "order",
            "host": "a.example",
            "path_prefix": "/order/",
            "type": "idempotent",
            "timeout_ms": DEADLINE_MS,
            "target_latency_ms": 200,
            "backend": SERVICE,
            "attempts": 2,
        }
    ],
    "backends": [{"name": SERVICE, "max_conns": 80, "warmup_per_s": 0.0}],
}
COLUMNS = (
    *("version", "phase", "requests", "p50 ms", "p99 ms", "refused", "failed"),
    *("extra arrivals", "most in a pause"),
)


@dataclass(slots=True)
class Phase:
    """What callers and upstreams saw in one phase.

    :ivar times_ms: times of the answers.
    :ivar refused: requests that were answered 503.
    :ivar failed: requests with any other answer but 200, or none.
    """

    times_ms: list[float] = field(default_factory=list)
    refused: int = 0
    failed: int = 0

    def get_quantile(self, fraction: float) -> float:
        """Return a quantile of the times of the answers."""
        ordered = sorted(self.times_ms) or [0.0]
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class Side:
    """The fleet of one checkout.

    :param name: name of the checkout in the table.
    """

    def __init__(self, name: str, checkout: Path, folder: Path) -> None:
        packages = (checkout.resolve() / "packages").glob("*/src")
        environment = {"PYTHONPATH": os.pathsep.join(map(str, packages))}
        self.name = name
        self.fleet = PlatformFleet(folder, (SERVICE,), environment)
        self.pauses: list[tuple[PlatformUpstream, float, float]] = []
        self._numbers = itertools.count()

    async def start(self) -> None:
        """Start the fleet and let its hosts find each other."""
        for upstream in self.fleet.upstreams:
            upstream.work_time = WORK_TIME
        await self.fleet.start(CONFIGURATION)
        await asyncio.sleep(SETTLE_S)

    async def ask_for_pauses(self) -> None:
        """Let one upstream after the other ask for a pause, until cancelled."""
        for upstream in itertools.cycle(self.fleet.upstreams):
            started = time.monotonic()
            upstream.pause = PAUSE
            try:
                await asyncio.sleep(PAUSE.total_seconds())
            finally:
                upstream.pause = None
                self.pauses.append((upstream, started, time.monotonic()))
            await asyncio.sleep(PAUSE_INTERVAL_S - PAUSE.total_seconds())

    async def ask(self, session: aiohttp.ClientSession, phase: Phase) -> None:
        """Send one request to the hosts in turn."""
        number = next(self._numbers)
        host = self.fleet.hosts[number % len(self.fleet.hosts)]
        headers = {
            "Host": "a.example",
            "X-Request-Id": f"{host.name}/{number}",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        url = f"http://{host.addresses['http']}/order/{number}"
        started = time.monotonic()
        try:
            async with session.get(url, headers=headers) as response:
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            status = 0
        if status == 200:
            phase.times_ms.append((time.monotonic() - started) * 1000)
        elif status == 503:
            phase.refused += 1
        else:
            phase.failed += 1

    def count_most_in_pause(self) -> int:
        """Return the most requests of one host in one pause, after the slack."""
        counts = [0]
        for upstream, started, ended in self.pauses:
            first_by_host: dict[str, float] = {}
            later: dict[str, int] = {}
            for request_id, at in upstream.arrivals:
                host = request_id.partition("/")[0]
                if started <= at < ended:
                    told_at = first_by_host.setdefault(host, at)
                    if at > told_at + PAUSE_SLACK_S:
                        later[host] = later.get(host, 0) + 1
            counts += later.values()
        return max(counts)


def draw_times(rate_per_s: float, random_source: random.Random) -> Iterator[float]:
    """Return the times of the requests of one phase, in seconds."""
    at = random_source.expovariate(rate_per_s)
    while at < PHASE_S:
        yield at
        at += random_source.expovariate(rate_per_s)


async def run_phase(sides: list[Side], times: list[float]) -> list[Phase]:
    """Send the same requests to all sides, and wait for their answers."""
    phases = [Phase() for _ in sides]
    timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 1)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        started = time.monotonic()
        tasks = []
        for at in times:
            await asyncio.sleep(max(0.0, started + at - time.monotonic()))
            tasks += [
                asyncio.create_task(side.ask(session, phase))
                for side, phase in zip(sides, phases, strict=True)
            ]
        await asyncio.gather(*tasks)
    return phases


async def measure() -> Result:
    """Measure all phases.

    :raises KeyError: no checkouts are named.
    """
    named = (each.split("=", 1) for each in os.environ[VERSIONS_VARIABLE].split(","))
    table = Table("Requests while upstreams ask for pauses", COLUMNS)
    with tempfile.TemporaryDirectory() as folder:
        sides = []
        for name, checkout in named:
            own_folder = Path(folder) / name
            own_folder.mkdir()
            sides.append(Side(name, Path(checkout), own_folder))
        try:
            await asyncio.gather(*(side.start() for side in sides))
            await measure_phases(sides, table)
        finally:
            await asyncio.gather(*(side.fleet.stop() for side in sides))
    setup = [
        f"Three hosts, three upstreams and {RATE_PER_S:g} requests/s each.",
        f"In the burst {BURST_FACTOR:g} times as many; one upstream after the other "
        f"wants nothing for {PAUSE.total_seconds():g} s.",
    ]
    return Result("notices", SEED, setup, [table])


async def measure_phases(sides: list[Side], table: Table) -> None:
    """Play a calm phase, and a burst in which upstreams ask for pauses."""
    source = random.Random(SEED)
    for phase_name, factor in (("calm", 1.0), ("burst", BURST_FACTOR)):
        times = list(draw_times(RATE_PER_S * factor, source))
        before = [count_arrivals(side) for side in sides]
        pausing = []
        if phase_name == "burst":
            pausing = [asyncio.create_task(side.ask_for_pauses()) for side in sides]
        phases = await run_phase(sides, times)
        for task in pausing:
            task.cancel()
        await asyncio.gather(*pausing, return_exceptions=True)
        for side, phase, count in zip(sides, phases, before, strict=True):
            table.add(
                side.name,
                phase_name,
                len(times),
                phase.get_quantile(0.5),
                phase.get_quantile(0.99),
                phase.refused,
                phase.failed,
                count_arrivals(side) - count - len(times),
                side.count_most_in_pause(),
            )


def count_arrivals(side: Side) -> int:
    """Return how many requests have reached the upstreams of a side."""
    return sum(len(upstream.arrivals) for upstream in side.fleet.upstreams)
