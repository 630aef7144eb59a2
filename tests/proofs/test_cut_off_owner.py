"""Proofs: a single owner that is cut off learns of no change and starts no work."""

import asyncio
import time
import unittest

from tests.system.support_cold import (
    OutcomeCase,
    count,
    make_plan,
    make_service,
    name_upstream,
    rank_owners,
    run_fleet,
    run_together,
    running_load,
    wait_for_full_load,
)

APPLICATION = "cut-owner"
DOMAIN = "a"
BOUND_MS = 5000.0
# Work is watched this long after the change.
WATCHED_S = 6.0


async def cut_off(fleet, host_id):
    """Cut a host off from the configuration service and from all other hosts."""
    others = frozenset(fleet.daemons) - {host_id}
    await fleet.partition(frozenset({host_id}), others)
    await fleet.control_daemon(host_id, configuration_service=True)


async def take_out_with_owner_cut_off(fleet):
    """Take a failure domain out while only callers reach the owner there."""
    upstream = name_upstream(APPLICATION, DOMAIN)
    owner = rank_owners(fleet, APPLICATION, DOMAIN)[0]
    async with running_load(fleet, APPLICATION, DOMAIN, is_pinned=True) as load:
        await wait_for_full_load(fleet, upstream)
        await cut_off(fleet, owner)
        await fleet.change_services(APPLICATION, failure_domains_out=(DOMAIN,))
        changed_at_unix_ms = time.time() * 1000
        await asyncio.sleep(WATCHED_S)
        found = await count(fleet, upstream)
    return found.last_start_unix_ms - changed_at_unix_ms, load


def run_scenario(*without):
    """Run the scenario on a fleet that leaves out some mechanisms."""
    plan = make_plan((make_service(APPLICATION),), without=without)

    def take_out(fleet):
        return run_together(cut_off=take_out_with_owner_cut_off(fleet))

    return run_fleet(plan, take_out)


LEASE = ("lease_check", "lease_stop")
FRESHNESS = ("freshness_gate",)


def setUpModule():
    """Run the fleets of all test classes at the same time."""

    async def run():
        return await asyncio.gather(
            run_scenario(),
            run_scenario(*LEASE),
            run_scenario(*FRESHNESS),
            run_scenario(*LEASE, *FRESHNESS),
        )

    cases = (TestCutOffOwner, TestFreshnessAlone, TestLeaseAlone, TestWithoutBoth)
    for case, outcomes in zip(cases, asyncio.run(run()), strict=True):
        case.outcomes = outcomes


class CutOffCase(OutcomeCase):
    """Checks what the upstream started after its failure domain was taken out."""

    def assert_left(self):
        """Assert that nothing was started after the bound."""
        last_start_ms, load = self.outcome("cut_off")
        self.assertLessEqual(last_start_ms, BOUND_MS)
        self.assertEqual(load.list_faults(), [])


class TestCutOffOwner(CutOffCase):
    """Guards against work by an owner that has not heard of the change."""

    def test_domain_out_while_its_owner_is_cut_off(self):
        self.assert_left()


class TestFreshnessAlone(CutOffCase):
    """Shows that the freshness of the configuration suffices to stop the owner."""

    def test_domain_out_while_its_owner_is_cut_off(self):
        self.assert_left()


class TestLeaseAlone(CutOffCase):
    """Shows that the lease suffices to stop the owner."""

    def test_domain_out_while_its_owner_is_cut_off(self):
        self.assert_left()


class TestWithoutBoth(CutOffCase):
    """Shows that the owner goes on if neither lease nor freshness stops it."""

    def test_domain_out_while_its_owner_is_cut_off(self):
        last_start_ms, _ = self.outcome("cut_off")
        self.assertGreater(last_start_ms, BOUND_MS)


if __name__ == "__main__":
    unittest.main()
