"""Fleets, loads and observations shared by the proofs of cold start and drains."""

import asyncio
import contextlib
import time
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta
from random import Random
from typing import Any

import aiohttp

from celeryferry_core import placement
from celeryferry_core.models.topology import Shard, UpstreamLimits
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.load.caller import Caller
from celeryferry_standins.load.generator import LoadGenerator, LoadPlan
from celeryferry_standins.plans import FleetPlan
from celeryferry_standins.processes import StartError, wait_until
from celeryferry_standins.upstream.behaviour import Behaviour, Counters
from tests.system.fleet_case import wait_for_all_applications

DOMAINS = ("a", "b", "c")
SLOTS = 4
COLD_LIMIT = 1
SERVICE_MS = 80.0
# Four fifths of what the slots of one upstream bear.
FULL_RATE_PER_S = 40.0
# Loads are ended by the test; this bounds them.
LOAD_BOUND_S = 30.0
END_OF_LOAD_S = 1.5
WITHIN = timedelta(seconds=8)
# Only a third of a load that is not pinned reaches one upstream, so all of its slots
# are busy by chance only. This wait comes before the fault and bounds no guarantee.
FULL_LOAD_WITHIN = timedelta(seconds=13)
SAMPLE_INTERVAL_S = 0.05
# Long enough for buffered requests to be in time when a stopped process wakes up.
LONG_DEADLINE_MS = 10_000
LIMITS = UpstreamLimits(SLOTS, 80, COLD_LIMIT, 6.0)


def make_service(name: str) -> ServicePlan:
    """Plan a service of one shard that is an application of its own."""
    return ServicePlan(name, name, upstreams=LIMITS, deadline_ms=LONG_DEADLINE_MS)


def make_plan(services: tuple[ServicePlan, ...], **changes) -> FleetPlan:
    """Plan a fleet of nine daemons whose upstreams never warm up by themselves."""
    behaviour = Behaviour(service_ms=SERVICE_MS, warm_after_requests=1_000_000)
    return FleetPlan(DOMAINS, services, behaviour=behaviour, faulty=True, **changes)


def name_upstream(application: str, domain: str) -> str:
    """Return the name of the only upstream of an application in a failure domain."""
    return f"{application}/{domain}/0"


def rank_owners(fleet: Fleet, application: str, domain: str) -> tuple[str, ...]:
    """List the hosts of a failure domain, the undisturbed owner of a key first."""
    group = placement.select_group(application, Shard(application, ()))
    hosts = [
        name
        for name, daemon in fleet.daemons.items()
        if daemon.host.failure_domain == domain
    ]
    key = placement.format_key(application, group, domain)
    return placement.rank_owners(key, hosts)


async def run_together(**scenarios: Awaitable) -> dict[str, Any]:
    """Run scenarios at the same time.

    :returns: the result of each, or its exception.
    """
    found = await asyncio.gather(*scenarios.values(), return_exceptions=True)
    return dict(zip(scenarios, found, strict=True))


async def run_fleet(
    plan: FleetPlan, *phases: Callable[[Fleet], Awaitable[dict[str, Any]]]
) -> dict[str, Any]:
    """Start a fleet and run phases of scenarios on it.

    :param plan: plan of the fleet.
    :param phases: one after the other, each with full coverage at its start.
    :returns: results of all scenarios by name.
    """
    found = {}
    async with Fleet(plan) as fleet:
        for phase in phases:
            await wait_for_all_applications(fleet)
            found |= await phase(fleet)
    return found


class OutcomeCase(unittest.TestCase):
    """Tests of scenarios that ran before.

    The scenarios share started fleets and run at the same time, because starting a
    fleet and watching it past a bound of several seconds takes most of the time.

    :cvar outcomes: result of each scenario by name, or its exception.
    """

    outcomes: dict[str, Any]

    def outcome(self, name: str) -> Any:
        """Return the result of a scenario, or raise its exception."""
        found = self.outcomes[name]
        if isinstance(found, BaseException):
            raise found
        return found


class PinnedCaller(Caller):
    """Caller that keeps to the hosts that it was given."""

    async def _refresh(self) -> None:
        return


class PinnedGenerator(LoadGenerator):
    """Load of callers that do not ask for other entry hosts."""

    def _make_callers(self, session: aiohttp.ClientSession) -> list[Caller]:
        plan = self.plan
        return [
            PinnedCaller(
                session,
                plan.application,
                plan.seed_addresses,
                random_source=Random(number),
            )
            for number in range(plan.caller_count)
        ]


class Load:
    """A running load on one application.

    :ivar records: calls that have ended.
    """

    def __init__(
        self,
        fleet: Fleet,
        application: str,
        domain: str,
        rate_per_s: float,
        deadline_ms: int,
        is_pinned: bool,
    ):
        hosts = [
            daemon.host
            for daemon in fleet.daemons.values()
            if daemon.process is not None and daemon.process.running
            if daemon.host.failure_domain == domain or not is_pinned
        ]
        plan = LoadPlan(
            application=application,
            seed_addresses=tuple(host.callers_address for host in hosts),
            rate_per_s=rate_per_s,
            duration_s=LOAD_BOUND_S,
            deadline_ms=deadline_ms,
            failure_domain=domain,
            shards=frozenset({f"{application}/{application}"}),
        )
        self._generator = (PinnedGenerator if is_pinned else LoadGenerator)(plan)
        self.started_at = time.monotonic()

    @property
    def records(self):
        """Calls that have ended."""
        return self._generator.records

    async def run(self):
        """Send until stopped or for ``LOAD_BOUND_S``."""
        await self._generator.run()

    def stop(self):
        """Send no more calls."""
        self._generator.stop()

    def list_faults(self) -> list[str]:
        """List contradictions between answers and the upstreams."""
        return [fault for record in self.records for fault in record.faults]

    def list_since(self, at: float):
        """List the calls sent after a monotonic time."""
        return [one for one in self.records if one.at_s >= at - self.started_at]


@contextlib.asynccontextmanager
async def running_load(
    fleet: Fleet,
    application: str,
    domain: str,
    rate_per_s: float = FULL_RATE_PER_S,
    deadline_ms: int = 1000,
    is_pinned: bool = False,
) -> AsyncIterator[Load]:
    """Send searches of callers of one failure domain during the block.

    :param is_pinned: True for callers that use only hosts of the failure domain.
    """
    load = Load(fleet, application, domain, rate_per_s, deadline_ms, is_pinned)
    task = asyncio.create_task(load.run())
    try:
        yield load
    finally:
        load.stop()
        await asyncio.wait([task], timeout=END_OF_LOAD_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def count(fleet: Fleet, upstream: str) -> Counters:
    """Read the counters of one upstream."""
    return (await fleet.read_counters())[upstream]


async def wait_for_counters(
    fleet: Fleet,
    upstream: str,
    condition: Callable[[Counters], bool],
    what: str,
    within: timedelta = WITHIN,
) -> Counters:
    """Wait until the counters of an upstream meet a condition, and return them."""
    found: list[Counters] = []

    async def is_met() -> bool:
        found.append(await count(fleet, upstream))
        return condition(found[-1])

    try:
        await wait_until(is_met, within, f"{upstream}: {what}")
    except StartError as error:
        raise StartError(f"{error}; last seen: {describe(found[-1])}") from error
    return found[-1]


def describe(found: Counters) -> str:
    """Describe counters without the long lists of requests."""
    return (
        f"active {found.active}, max_active {found.max_active}, "
        f"executed {found.executed}, refused {found.refused}, falls {found.falls}"
    )


async def wait_for_full_load(fleet: Fleet, upstream: str) -> Counters:
    """Wait until all slots of an upstream have been busy and most of them still are."""
    return await wait_for_counters(
        fleet,
        upstream,
        lambda found: found.max_active == SLOTS and found.active >= SLOTS - 1,
        "all slots busy",
        FULL_LOAD_WITHIN,
    )


async def wait_for_work(fleet: Fleet, upstream: str, requests: int) -> Counters:
    """Wait until an upstream has started that many more requests or fallen over."""
    before = (await count(fleet, upstream)).executed
    return await wait_for_counters(
        fleet,
        upstream,
        lambda found: found.falls or found.executed >= before + requests,
        f"{requests} more requests started",
    )


async def sample_active(fleet: Fleet, upstream: str, seconds: float) -> list[int]:
    """Sample how many requests an upstream works on."""
    end = time.monotonic() + seconds
    samples = []
    while time.monotonic() < end:
        samples.append((await count(fleet, upstream)).active)
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    return samples
