"""Demo: a fleet of nine daemons answers searches while parts of it fail."""

import asyncio
import sys
import time

from celeryferry_core.models.settings import LimitSettings
from celeryferry_standins.demo_steps import APPLICATION, Demo
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.load.report import count_executions
from celeryferry_standins.plans import FleetPlan
from celeryferry_standins.processes import StartError

FAILURE_DOMAINS = ("agadir-a", "taroudant-b", "tiznit-c")
DOMAIN_OUT = "agadir-a"
KILLED_UPSTREAM = "survey-desk-03/taroudant-b/0"
KILLED_DAEMON = "tiznit-c-2"
TIME_LIMIT_S = 55.0
# Longer than a lease, so that the keys of the killed daemon get a new owner.
LOAD_AFTER_KILL_S = 3.0
# Short, so that the planned shutdown does not delay the end of the demo.
ENTRY_HOSTS_VALID_MS = 1000


def make_plan() -> FleetPlan:
    """Return the plan of the demo fleet.

    :returns: nine daemons and ten services with three replicas each.
    """
    services = tuple(
        ServicePlan(f"{APPLICATION}-{number:02}", APPLICATION)
        for number in range(1, 11)
    )
    return FleetPlan(
        failure_domains=FAILURE_DOMAINS,
        services=services,
        isolated_upstreams=frozenset({KILLED_UPSTREAM}),
        limits=LimitSettings(entry_hosts_valid_ms=ENTRY_HOSTS_VALID_MS),
    )


async def run_steps(fleet: Fleet) -> list[str]:
    """Run the demo on a started fleet.

    :returns: contradictions between answers and the upstreams, empty on success.
    """
    demo = Demo(fleet)
    await fleet.wait_for_coverage(APPLICATION)
    load = asyncio.create_task(demo.run_load())
    try:
        await _show_failures(fleet, demo)
        await _show_domain_out(fleet, demo)
        demo.stop_load()
        await load
    finally:
        load.cancel()
    counters = await fleet.read_counters()
    print(f"  executions on the upstreams still running: {count_executions(counters)}")
    print("\nThe daemons stop as planned:")
    await demo.stop_daemons()
    return demo.faults


async def _show_failures(fleet: Fleet, demo: Demo) -> None:
    print(f"\nSearches of {APPLICATION}, each to 10 shards:")
    await demo.search_several()
    print("\nDecisions about the last search, from the logs of all daemons:")
    demo.print_decisions()
    print(f"\nUpstream {KILLED_UPSTREAM} is killed:")
    fleet.kill_upstream(KILLED_UPSTREAM)
    await demo.search_several()
    print(f"\nDaemon {KILLED_DAEMON} is killed:")
    fleet.kill_daemon(KILLED_DAEMON)
    await demo.search_several()
    print(f"  background searches go on for {LOAD_AFTER_KILL_S:g} s")
    await asyncio.sleep(LOAD_AFTER_KILL_S)
    await demo.search_several()


async def _show_domain_out(fleet: Fleet, demo: Demo) -> None:
    print(f"\nFailure domain {DOMAIN_OUT} is taken out in all service documents:")
    await fleet.change_services(APPLICATION, failure_domains_out=(DOMAIN_OUT,))
    await demo.wait_for_domain(DOMAIN_OUT, is_out=True)
    before = await demo.count_domain_work(DOMAIN_OUT)
    await demo.search_several()
    started_count = await demo.count_domain_work(DOMAIN_OUT) - before
    print(f"  requests started in {DOMAIN_OUT} meanwhile: {started_count}")
    if started_count:
        demo.record_faults([f"{DOMAIN_OUT} got work while it was out"])
    print(f"\nFailure domain {DOMAIN_OUT} is put back:")
    await fleet.change_services(APPLICATION, failure_domains_out=())
    await demo.wait_for_domain(DOMAIN_OUT, is_out=False)
    await demo.search_several()


async def run() -> int:
    """Start the fleet, run the demo and stop everything.

    :returns: exit code, 0 if every answer stated its coverage correctly.
    """
    plan = make_plan()
    started = time.monotonic()
    try:
        async with asyncio.timeout(TIME_LIMIT_S), Fleet(plan) as fleet:
            daemons, upstreams = len(fleet.daemons), len(fleet.upstreams)
            seconds = time.monotonic() - started
            print(f"{daemons} daemons, {upstreams} upstreams ready in {seconds:.1f} s.")
            faults = await run_steps(fleet)
    except (StartError, TimeoutError) as error:
        print(f"The demo failed: {error or 'time limit reached'}")
        return 1
    seconds = time.monotonic() - started
    verdict = "every stated coverage was true" if not faults else "UNTRUE answers"
    print(f"\nEverything is stopped after {seconds:.1f} s: {verdict}.")
    return 1 if faults else 0


def main() -> None:
    """Run the demo."""
    try:
        sys.exit(asyncio.run(run()))
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
