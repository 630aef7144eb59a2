"""Fleets of the measurements: celeryferry and the baseline on equal stand-ins."""

import asyncio
import os
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path

from celeryferry_core.models.topology import Preference, UpstreamLimits
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.load.generator import CallRecord, LoadGenerator, LoadPlan
from celeryferry_standins.load.report import count_executions
from celeryferry_standins.plans import FleetPlan
from celeryferry_standins.processes import ManagedProcess
from celeryferry_standins.upstream.behaviour import Behaviour

BASELINE_MODULE = "celeryferry_standins.baseline"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MS = 1000.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment as it is measured.

    :param name: its operator.
    :param application: application that is queried.
    :param failure_domains: its failure domains.
    :param limits: limits of each upstream.
    :param preference: what it gives up last.
    :param services: services of the application, one shard each.
    :param daemons_per_domain: daemons in each failure domain.
    """

    name: str
    application: str
    failure_domains: tuple[str, ...]
    limits: UpstreamLimits
    preference: Preference
    services: int = 10
    daemons_per_domain: int = 3

    def to_services(self) -> tuple[ServicePlan, ...]:
        """Return the plans of the services."""
        return tuple(
            ServicePlan(
                f"{self.application}-{number:02}",
                self.application,
                upstreams=self.limits,
                preference=self.preference,
            )
            for number in range(1, self.services + 1)
        )

    def to_plan(self, behaviour: Behaviour, **changes: object) -> FleetPlan:
        """Return the plan of a fleet.

        :param behaviour: behaviour of every upstream.
        :param changes: other fields of the plan.
        """
        plan = FleetPlan(
            failure_domains=self.failure_domains,
            services=self.to_services(),
            daemons_per_domain=self.daemons_per_domain,
            behaviour=behaviour,
        )
        return replace(plan, **changes)


ALAMI = Deployment(
    name="alami",
    application="survey-desk",
    failure_domains=("agadir-a", "taroudant-b", "tiznit-c"),
    limits=UpstreamLimits(4, 80, 1, 6.0),
    preference=Preference.COVERAGE,
)
BLUE_MAHOE = Deployment(
    name="bluemahoe",
    application="enrol-desk",
    failure_domains=("jm-south-a", "jm-south-b", "jm-south-c"),
    limits=UpstreamLimits(3, 70, 1, 6.0),
    preference=Preference.TIME,
)


@dataclass(slots=True)
class LoadRun:
    """Calls of one run and the executions that they caused.

    :param records: calls.
    :param executions: executions of all upstreams, None if unknown.
    """

    records: list[CallRecord]
    executions: int | None

    def merge(self, other: "LoadRun") -> "LoadRun":
        """Return both runs as one.

        :param other: another run on the same fleet.
        """
        known = self.executions is not None and other.executions is not None
        total = (self.executions or 0) + (other.executions or 0)
        return LoadRun([*self.records, *other.records], total if known else None)


@asynccontextmanager
async def start_pair(plan: FleetPlan) -> AsyncIterator[dict[str, Fleet]]:
    """Start the baseline and celeryferry, each with its own equal stand-ins.

    :param plan: plan of both fleets.
    :returns: fleets by name, the baseline first.
    """
    baseline_plan = replace(plan, daemon_module=BASELINE_MODULE)
    async with Fleet(baseline_plan) as baseline, Fleet(plan) as ferry:
        application = plan.services[0].application
        for fleet in (baseline, ferry):
            await fleet.wait_for_coverage(application)
        yield {"baseline": baseline, "celeryferry": ferry}


def make_load(
    fleet: Fleet, rate_per_s: float, duration_s: float, seed: int, deadline_ms: int
) -> LoadPlan:
    """Return a load plan for the first application of a fleet, answers checked.

    :param fleet: running fleet.
    :param rate_per_s: calls per second.
    :param duration_s: time for which calls are sent.
    :param seed: seed of the load.
    :param deadline_ms: deadline of each call.
    """
    application = fleet.plan.services[0].application
    shards = frozenset(
        f"{document.service}/{shard.name}"
        for document in fleet.documents.values()
        if document.application == application
        for shard in document.shards
    )
    return LoadPlan(
        application=application,
        seed_addresses=tuple(
            one.host.callers_address for one in fleet.daemons.values()
        ),
        rate_per_s=rate_per_s,
        duration_s=duration_s,
        seed=seed,
        deadline_ms=deadline_ms,
        shards=shards,
        hits_per_shard=fleet.plan.behaviour.hits,
    )


async def run_load(
    fleet: Fleet,
    load: LoadPlan,
    script: Callable[[], Awaitable[None]] | None = None,
    counts_work: bool = True,
) -> LoadRun:
    """Send load to a fleet.

    :param fleet: running fleet.
    :param load: what to send.
    :param script: faults to inject meanwhile.
    :param counts_work: False if processes of upstreams end meanwhile, which loses
        their counters.
    """
    before = count_executions(await fleet.read_counters()) if counts_work else 0
    async with asyncio.TaskGroup() as group:
        if script is not None:
            group.create_task(script())
        records = await LoadGenerator(load).run()
    if not counts_work:
        return LoadRun(records, None)
    # Cancelled hedges may still be starting when the last answer arrives.
    await asyncio.sleep(0.1)
    after = count_executions(await fleet.read_counters())
    return LoadRun(records, after - before)


def read_processor_s(process: ManagedProcess) -> float:
    """Return the processor time that a process has used.

    :param process: running process.
    :returns: user and system time in seconds.
    """
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_memory_bytes(process: ManagedProcess) -> int:
    """Return the resident memory of a process.

    :param process: running process.
    """
    fields = Path(f"/proc/{process.pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def list_daemons(fleet: Fleet) -> list[ManagedProcess]:
    """Return the running daemon processes of a fleet.

    :param fleet: running fleet.
    """
    processes = [one.process for one in fleet.daemons.values()]
    return [one for one in processes if one is not None and one.running]


def sum_processor_s(processes: list[ManagedProcess]) -> float:
    """Return the processor time of several processes.

    :param processes: running processes.
    """
    return sum(read_processor_s(one) for one in processes)
