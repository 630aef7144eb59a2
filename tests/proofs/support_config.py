"""Fleets and observations shared by the proofs of configuration and planned stops."""

import asyncio
import contextlib
import re
import time
from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

import aiohttp

from celeryferry_core.documents import render_document
from celeryferry_core.models.topology import ServiceDocument
from celeryferry_core.models.views import DocumentVersion
from celeryferry_core.versions import supersedes
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.load.generator import CallRecord, LoadGenerator, LoadPlan
from celeryferry_standins.plans import FleetPlan
from celeryferry_standins.processes import wait_until
from celeryferry_standins.upstream.behaviour import Behaviour
from tests.system.fleet_case import FleetCase

DOMAINS = ("a", "b", "c")
SERVICE = "survey"
# Bound of the guarantee: an accepted document is in force everywhere after this time.
IN_FORCE = timedelta(seconds=5)
SAMPLE_INTERVAL_S = 0.05
CALL_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
RATE_PER_S = 40.0
# Loads are ended by the test; this bounds them.
LOAD_BOUND_S = 25.0
STEADY_CALLS = 40


def make_plan(shards: tuple[str, ...] = (), **changes: Any) -> FleetPlan:
    """Plan a fleet with one service and test daemons."""
    services = (ServicePlan(SERVICE, SERVICE, shards=shards),)
    options = {"faulty": True, "behaviour": Behaviour(service_ms=10.0), **changes}
    return FleetPlan(DOMAINS, services, **options)


@dataclass(frozen=True, slots=True)
class Sample:
    """Status of one daemon at one time.

    :param at: monotonic time in seconds before the call.
    :param status: decoded status.
    """

    at: float
    status: dict[str, Any]

    @property
    def version(self) -> DocumentVersion | None:
        """Version in force of ``SERVICE``."""
        for one in self.status["documents"]:
            if one["name"] == SERVICE:
                return DocumentVersion(one["version"], one["revision"])
        return None


class StatusSampler:
    """Samples the status of every daemon for as long as the event loop runs.

    :param fleet: the fleet.
    :ivar samples: samples by host id, oldest first.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self.samples: dict[str, list[Sample]] = {name: [] for name in fleet.daemons}
        self._tasks = [asyncio.ensure_future(self._run(name)) for name in fleet.daemons]

    async def stop(self) -> None:
        """End the sampling."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, host_id: str) -> None:
        while True:
            at = time.monotonic()
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with asyncio.timeout(1.0):
                    status = await self._fleet.read_status(host_id)
                self.samples[host_id].append(Sample(at, status))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def list_falls(self) -> list[str]:
        """List each time at which a version in force fell, or was gone, on a daemon.

        A new process counts from the time at which it serves.
        """
        falls = []
        for host_id, samples in self.samples.items():
            latest: DocumentVersion | None = None
            for sample in samples:
                if sample.status["state"] == "starting":
                    continue
                found = sample.version
                fell = latest and (found is None or supersedes(latest, found))
                if fell:
                    falls.append(f"{host_id}: {latest} became {found}")
                latest = found
        return falls


class ConfigCase(FleetCase):
    """Tests on a fleet whose daemons are sampled through the whole run."""

    @classmethod
    async def prepare(cls) -> None:
        """Wait for full coverage and for the first samples."""
        await super().prepare()
        cls.sampler = StatusSampler(cls.fleet)
        cls.addClassCleanup(lambda: cls.run_async(cls.sampler.stop()))
        everyone = cls.sampler.samples.values()

        async def is_sampled() -> bool:
            return all(len(samples) > 1 for samples in everyone)

        await wait_until(is_sampled, IN_FORCE, "two samples of every daemon")

    def assert_never_fell(self) -> None:
        """Assert that no version fell on any daemon since the start of the fleet."""
        self.assertEqual(self.sampler.list_falls(), [])
        for host_id, samples in self.sampler.samples.items():
            self.assertGreater(len(samples), 1, host_id)

    def latest(self, host_id: str) -> Sample:
        """Return the latest sample of a daemon."""
        return self.sampler.samples[host_id][-1]


async def write(fleet: Fleet, text: str) -> int:
    """Write a text for ``SERVICE``; it need not be valid.

    :returns: its revision.
    """
    state = await fleet.control_configuration(put={SERVICE: text})
    return state["revision"]


async def change(fleet: Fleet, **changes: Any) -> DocumentVersion:
    """Write the next version of the document of ``SERVICE``.

    :returns: its version.
    """
    await fleet.change_services(SERVICE, **changes)
    state = await fleet.control_configuration()
    return DocumentVersion(fleet.documents[SERVICE].version, state["revision"])


def render_variant(document: ServiceDocument, **changes: Any) -> str:
    """Write a document with other fields and the same version."""
    return render_document(replace(document, **changes))


async def read_version(fleet: Fleet, host_id: str) -> DocumentVersion | None:
    """Read the version in force on one daemon."""
    return Sample(0.0, await fleet.read_status(host_id)).version


def activated_old(fleet: Fleet, host_id: str, version: DocumentVersion) -> bool:
    """Tell whether the latest process of a daemon ever activated an older version.

    This is in its log only: the next probe mends it before a sample may see it.
    """
    log = fleet.daemons[host_id].process.read_log()
    pattern = rf"activated document.*{SERVICE}.*\bversion\W+(\d+)"
    found = [int(number) for number in re.findall(pattern, log)]
    assert found, log
    return min(found) < version.version


async def wait_in_force(
    fleet: Fleet, version: DocumentVersion, hosts: Any = None
) -> None:
    """Wait until a version is in force on hosts, for at most ``IN_FORCE``."""
    waiting = set(fleet.daemons if hosts is None else hosts)

    async def is_in_force() -> bool:
        for host_id in sorted(waiting):
            if await read_version(fleet, host_id) == version:
                waiting.discard(host_id)
        return not waiting

    await wait_until(is_in_force, IN_FORCE, f"{version} on {sorted(waiting)}")


async def count_work(fleet: Fleet, domain: str) -> int:
    """Count the requests that the upstreams of a failure domain have started."""
    counters = await fleet.read_counters()
    return sum(one.executed for name, one in counters.items() if f"/{domain}/" in name)


async def wait_for_reads(fleet: Fleet, reads: int) -> None:
    """Wait until the configuration service has answered that many more reads."""
    first = (await fleet.control_configuration())["counts"]["reads"]

    async def has_answered() -> bool:
        state = await fleet.control_configuration()
        return state["counts"]["reads"] >= first + reads

    await wait_until(has_answered, timedelta(seconds=8), f"{reads} reads")


def name_hosts(fleet: Fleet, *domains: str) -> frozenset[str]:
    """Return the hosts of failure domains."""
    return frozenset(
        name
        for name, daemon in fleet.daemons.items()
        if daemon.host.failure_domain in domains
    )


@contextlib.asynccontextmanager
async def running_load(
    fleet: Fleet, hosts: Any = None, rate_per_s: float = RATE_PER_S, domain: str = ""
):
    """Send searches during the block and wait for their answers at its end."""
    names = sorted(fleet.daemons if hosts is None else hosts)
    plan = LoadPlan(
        application=SERVICE,
        seed_addresses=tuple(fleet.daemons[one].host.callers_address for one in names),
        rate_per_s=rate_per_s,
        duration_s=LOAD_BOUND_S,
        failure_domain=domain,
        caller_count=12,
        shards=fleet.list_shards(SERVICE),
    )
    generator = LoadGenerator(plan)
    task = asyncio.create_task(generator.run())
    try:
        yield generator
    finally:
        generator.stop()
        await task


async def wait_for_calls(load: LoadGenerator, calls: int) -> None:
    """Wait until that many more calls have ended."""
    end = len(load.records) + calls

    async def is_reached() -> bool:
        return len(load.records) >= end

    await wait_until(is_reached, timedelta(seconds=10), f"{calls} calls")


async def wait_until_steady(load: LoadGenerator) -> None:
    """Wait until the latest calls are all complete."""

    async def is_steady() -> bool:
        latest = load.records[-STEADY_CALLS:]
        return len(latest) == STEADY_CALLS and not list_cut(latest)

    await wait_until(is_steady, timedelta(seconds=15), "a steady load")


def list_cut(records: Iterable[CallRecord]) -> list[CallRecord]:
    """List calls that failed, needed another entry host or were incomplete."""
    return [
        one
        for one in records
        if one.error or one.failovers or one.faults or one.covered < one.asked
    ]
