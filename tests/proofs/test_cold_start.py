"""Proofs: an upstream in cold start gets no more work than it bears."""

import asyncio
import contextlib
import unittest
from functools import partial

import aiohttp

from tests.system.support_cold import (
    COLD_LIMIT,
    LONG_DEADLINE_MS,
    SLOTS,
    OutcomeCase,
    make_plan,
    make_service,
    name_upstream,
    rank_owners,
    run_fleet,
    run_together,
    running_load,
    sample_active,
    wait_for_counters,
    wait_for_full_load,
    wait_for_work,
)

COLD_REQUESTS = 6
# Each scenario has an application of its own, so that its upstreams are warm.
PLAIN, MISLED, RESTARTED = "plain", "misled", "restarted"
KILLED, STOPPED, PARTED = "killed", "stopped", "parted"
APPLICATIONS = (PLAIN, MISLED, RESTARTED, KILLED, STOPPED, PARTED)


async def turn_cold_under_load(fleet, application, domain, **behaviour):
    """Turn a fully loaded upstream cold and watch it for a while."""
    upstream = name_upstream(application, domain)
    async with running_load(fleet, application, domain) as load:
        await wait_for_full_load(fleet, upstream)
        await fleet.control_upstream(upstream, cold=True, **behaviour)
        await wait_for_work(fleet, upstream, 2 * SLOTS)
        samples = await sample_active(fleet, upstream, 0.5)
        found = await wait_for_work(fleet, upstream, COLD_REQUESTS)
    return found, samples, load


async def move_while_cold(
    fleet, application, domain, cold_first, take_owner, bring_back
):
    """Turn an upstream cold, take its owner away and bring the owner back.

    :param cold_first: True if the owner sees the cold start before it is taken away.
    """
    upstream = name_upstream(application, domain)
    owner = rank_owners(fleet, application, domain)[0]
    async with running_load(
        fleet, application, domain, deadline_ms=LONG_DEADLINE_MS
    ) as load:
        await wait_for_full_load(fleet, upstream)
        if cold_first:
            await fleet.control_upstream(upstream, cold=True)
            await wait_for_work(fleet, upstream, SLOTS)
        await take_owner(owner)
        if not cold_first:
            await fleet.control_upstream(upstream, cold=True)
        await wait_for_counters(
            fleet, upstream, lambda found: found.active == 0, "old owner stopped"
        )
        await wait_for_work(fleet, upstream, COLD_REQUESTS)
        await bring_back(owner)
        found = await wait_for_work(fleet, upstream, COLD_REQUESTS)
    return found, load


async def stop_owner_while_cold(fleet, application, domain, cold_first):
    """Stop the owner past its lease and continue it next to its successor."""

    async def stop(owner):
        fleet.daemons[owner].process.pause()

    async def go_on(owner):
        fleet.daemons[owner].process.resume()

    return await move_while_cold(fleet, application, domain, cold_first, stop, go_on)


async def kill_owner_while_cold(fleet, application, domain, cold_first):
    """Kill the owner of a cold upstream and start its host again."""

    async def kill(owner):
        fleet.kill_daemon(owner)

    return await move_while_cold(
        fleet, application, domain, cold_first, kill, fleet.start_daemon
    )


async def restart_cold_without_owner(fleet, application, domain):
    """Restart a loaded upstream cold while its owner is killed."""
    upstream = name_upstream(application, domain)
    owner = rank_owners(fleet, application, domain)[0]
    async with running_load(fleet, application, domain) as load:
        await wait_for_full_load(fleet, upstream)
        fleet.kill_upstream(upstream)
        fleet.kill_daemon(owner)
        await fleet.restart_upstream(upstream, cold=True)
        found = await wait_for_work(fleet, upstream, COLD_REQUESTS)
    await fleet.start_daemon(owner)
    return found, load


async def part_owner_while_cold(fleet, application, domain, cold_first):
    """Cut the owner of a cold upstream off from all other hosts."""

    async def cut(owner, is_cut):
        others = sorted(set(fleet.daemons) - {owner})
        await fleet.control_daemon(owner, cut_hosts=others if is_cut else [])
        for host_id in others:
            # A host that another scenario has killed starts again without cuts.
            with contextlib.suppress(aiohttp.ClientConnectionError):
                hosts = [owner] if is_cut else []
                await fleet.control_daemon(host_id, cut_hosts=hosts)

    async def part(owner):
        await cut(owner, is_cut=True)

    async def join(owner):
        await cut(owner, is_cut=False)

    return await move_while_cold(fleet, application, domain, cold_first, part, join)


def turn_cold(fleet):
    """Turn upstreams cold under load."""
    return run_together(
        plain=turn_cold_under_load(fleet, PLAIN, "a"),
        misled=turn_cold_under_load(fleet, MISLED, "b", health_says="ready"),
        restarted=restart_cold_without_owner(fleet, RESTARTED, "c"),
    )


def move_owners(fleet, cold_first):
    """Take the owners of cold upstreams away."""
    return run_together(
        killed=kill_owner_while_cold(fleet, KILLED, "a", cold_first),
        stopped=stop_owner_while_cold(fleet, STOPPED, "b", cold_first),
        parted=part_owner_while_cold(fleet, PARTED, "c", cold_first),
    )


async def run_scenarios(cold_first, without=()):
    """Run all scenarios on a fleet that leaves out some mechanisms."""
    plan = make_plan(
        tuple(make_service(name) for name in APPLICATIONS),
        isolated_upstreams=frozenset({name_upstream(RESTARTED, "c")}),
        without=without,
    )
    return await run_fleet(plan, turn_cold, partial(move_owners, cold_first=cold_first))


def setUpModule():
    """Run the fleets of both test classes at the same time."""

    async def run():
        return await asyncio.gather(
            run_scenarios(cold_first=True),
            # With the cold start first, upstreams would fall before ownership moves.
            run_scenarios(cold_first=False, without=("cold_limit",)),
        )

    TestColdStart.outcomes, TestWithoutColdLimit.outcomes = asyncio.run(run())


class TestColdStart(OutcomeCase):
    """Guards against owners that crush an upstream in cold start.

    Bound: the signal is the upstream's first answer that says ``cold``. Of the work
    that starts later than ``signal_grace_ms`` (20 ms) after the upstream has sent that
    answer, never more than the cold limit runs at once. Until then the owner cannot
    know; what starts or runs in that time is bounded by the slots, and is cancelled
    down to the cold limit as soon as the answer has reached the owner. A restarted
    upstream signals by losing its connections, so all work after the restart counts.
    """

    def assert_borne(self, name):
        """Assert that the upstream got work, and never more than it bears."""
        outcome = self.outcome(name)
        found, load = outcome[0], outcome[-1]
        self.assertEqual(found.falls, 0)
        self.assertEqual(found.max_after_cold, COLD_LIMIT)
        self.assertLessEqual(found.max_active, SLOTS)
        self.assertEqual(load.list_faults(), [])

    def test_cold_without_warning_under_full_load(self):
        self.assert_borne("plain")
        found, samples, _ = self.outcome("plain")
        self.assertGreater(found.cancelled, 0)
        self.assertLessEqual(max(samples), COLD_LIMIT)

    def test_health_endpoint_says_ready(self):
        self.assert_borne("misled")
        self.assertLessEqual(max(self.outcome("misled")[1]), COLD_LIMIT)

    def test_owner_is_killed(self):
        self.assert_borne("killed")

    def test_owner_is_stopped_and_continues_past_its_lease(self):
        self.assert_borne("stopped")

    def test_partition_between_the_owner_and_all_other_hosts(self):
        self.assert_borne("parted")

    def test_upstream_restarts_while_its_owner_is_killed(self):
        self.assert_borne("restarted")


class TestWithoutColdLimit(OutcomeCase):
    """Guards against proofs that pass without the cold limit."""

    def assert_crushed(self, name):
        """Assert that the upstream got more than it bears and fell over."""
        found = self.outcome(name)[0]
        self.assertGreater(found.max_after_cold, COLD_LIMIT)
        self.assertGreater(found.falls, 0)

    def test_loaded_upstreams_fall_over(self):
        self.assert_crushed("plain")
        self.assert_crushed("misled")

    def test_upstreams_of_new_owners_fall_over(self):
        self.assert_crushed("restarted")
        self.assert_crushed("killed")
        self.assert_crushed("stopped")
        self.assert_crushed("parted")


if __name__ == "__main__":
    unittest.main()
