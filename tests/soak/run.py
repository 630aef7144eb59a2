"""One run of the soak."""

import asyncio
import random
import tempfile
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from celeryferry_standins.platform.fleet import PlatformFleet
from tests.soak.callers import DEADLINE_MS, Caller
from tests.soak.faults import BEATING_SERVICE, Faults
from tests.soak.judge import find_violations

# Versions of the configuration move a route between the two in turn.
MOVED_SERVICES = ("left", "right")
# Limits on heads, below and above the large ones of the callers.
LOW_HEAD_BYTES, HIGH_HEAD_BYTES = 1000, 16_384
LOW_LIMIT_EACH = 3
SERVICES = ("s0", "s1", "orders", *MOVED_SERVICES)
CALLER_COUNT = 12
WORK_TIME = timedelta(milliseconds=40)
START_TIME_S = 4.0
# Time after the last fault in which all hosts must serve again.
RECOVERY_TIME_S = 4.0
ROUTES = (
    {
        "name": "lookup",
        "path_prefix": "/lookup/",
        "type": "idempotent",
        "gather": ["s0", "s1"],
        "top_k": 3,
        "min_shard_ratio": 0.5,
    },
    {
        "name": "order",
        "path_prefix": "/order/",
        "type": "non_idempotent",
        "backend": "orders",
    },
)


@dataclass(frozen=True, slots=True)
class Report:
    """What a run has shown.

    :param statuses: number of requests by status, None for those without an answer.
    """

    seed: int
    statuses: Counter
    violations: list[str]
    faults: list[str]

    def to_text(self) -> str:
        """Return the counts as one line."""
        counts = sorted(self.statuses.items(), key=lambda pair: pair[0] or 0)
        answered = ", ".join(f"{status}: {count}" for status, count in counts)
        return (
            f"seed {self.seed}: {len(self.faults)} faults, {answered}, "
            f"{len(self.violations)} violations"
        )


def make_configuration(version: int) -> dict:
    """Return a version of the configuration.

    Each version moves a route to another service, each second one adds or removes a
    route, and each third one has a low limit on heads.
    """
    moved = {
        "name": "moved",
        "path_prefix": "/moved/",
        "type": "idempotent",
        "backend": MOVED_SERVICES[version % 2],
    }
    added = dict(moved, name="added", path_prefix="/added/", backend="orders")
    has_added = version // 2 % 2 == 1
    common = {
        "host": "a.example",
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 200 + version,
        "attempts": 2,
    }
    routes = [
        common | route for route in (*ROUTES, moved, *((added,) if has_added else ()))
    ]
    backends = [
        {"name": name, "max_conns": 80, "warmup_s": 1.0, "warmup_per_s": 50.0}
        for name in (*SERVICES, BEATING_SERVICE)
    ]
    is_low = version % LOW_LIMIT_EACH == 0
    return {
        "version": version,
        "routes": routes,
        "backends": backends,
        "limits": {"max_header_bytes": LOW_HEAD_BYTES if is_low else HIGH_HEAD_BYTES},
    }


async def run_soak(
    seed: int,
    length: timedelta,
    restores_store: bool = False,
    hosts_per_zone: int = 1,
    kept_folder: Path | None = None,
) -> Report:
    """Play the faults of a seed against a fleet.

    :param length: time in which faults begin.
    :param restores_store: whether the store also comes back from copies.
    :param hosts_per_zone: hosts in each of the three failure domains.
    :param kept_folder: receives settings and logs of the hosts, None to delete them.
    """
    source = random.Random(seed)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary) if kept_folder is None else kept_folder
        folder.mkdir(parents=True, exist_ok=True)
        fleet = PlatformFleet(folder, SERVICES, hosts_per_zone=hosts_per_zone)
        for upstream in fleet.upstreams:
            upstream.work_time = WORK_TIME
        callers = [
            Caller(str(number), fleet.hosts, random.Random(f"{seed}-{number}"))
            for number in range(CALLER_COUNT)
        ]
        tasks: list[asyncio.Task] = []
        try:
            await fleet.start(make_configuration(1))
            await asyncio.sleep(START_TIME_S)
            faults = Faults(fleet, source, make_configuration, restores_store)
            tasks = [asyncio.create_task(caller.run()) for caller in callers]
            await faults.run(length)
            violations = await check_recovery(callers, fleet)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await fleet.stop()
    exchanges = [each for caller in callers for each in caller.exchanges]
    violations += find_violations(exchanges, fleet.upstreams, faults, faults.history)
    statuses = Counter(each.status for each in exchanges if each.ended_at)
    return Report(seed, statuses, violations, faults.log)


async def check_recovery(callers: list[Caller], fleet: PlatformFleet) -> list[str]:
    """Return a violation for each host that does not serve after the faults.

    :param callers: receives the callers that ask each host.
    """
    await asyncio.sleep(RECOVERY_TIME_S)
    own_callers = [
        Caller("recovery", [host], random.Random(host.name)) for host in fleet.hosts
    ]
    callers += own_callers
    tasks = [asyncio.create_task(caller.run()) for caller in own_callers]
    await asyncio.sleep(RECOVERY_TIME_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return [
        f"RECOVER {host.name}"
        for caller, host in zip(own_callers, fleet.hosts, strict=True)
        if not any(exchange.status == 200 for exchange in caller.exchanges)
    ]
