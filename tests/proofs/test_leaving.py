"""Proofs: a failure domain taken out and a leaving upstream get no new work."""

import asyncio
import unittest

from tests.proofs.support_leaving import (
    BOUND_MS,
    drain,
    drain_while_owner_is_stopped,
    list_as_leaving,
    take_out_under_load,
    take_out_while_service_is_stale,
    take_out_with_domain_cut_off,
    take_out_with_domain_stopped,
    take_out_with_hedges,
    take_out_with_owner_cut_off,
)
from tests.system.support_cold import (
    OutcomeCase,
    make_plan,
    make_service,
    run_fleet,
    run_together,
)

HOST_LIST_LAG_MS = 2000.0
LOADED, HEDGED, CUT_OFF = "loaded", "hedged", "cut-off"
STOPPED, DRAINED, LISTED = "stopped", "drained", "listed"
CUT_OWNER, STALE = "cut-owner", "stale"
# Its owner in failure domain b is not that of STALE, whose answers are checked.
OWNERLESS = "ownerless-3"


def make_leaving_plan(*applications, **changes):
    """Plan a fleet with a lagging host list and some applications."""
    services = tuple(make_service(name) for name in applications)
    return make_plan(services, host_list_lag_ms=HOST_LIST_LAG_MS, **changes)


def leave_under_load(fleet):
    """Take a failure domain out and upstreams away under load."""
    return run_together(
        loaded=take_out_under_load(fleet, LOADED, "a"),
        hedged=take_out_with_hedges(fleet, HEDGED, "a", "b"),
        drained=drain(fleet, DRAINED, "b"),
        listed=list_as_leaving(fleet, LISTED, "b"),
    )


def leave_unreached(fleet):
    """Take failure domains out whose hosts cannot hear of it."""
    return run_together(
        cut_off=take_out_with_domain_cut_off(fleet, CUT_OFF, "a"),
        stopped=take_out_with_domain_stopped(fleet, STOPPED, "b"),
        cut_owner=take_out_with_owner_cut_off(fleet, CUT_OWNER, "c"),
    )


async def leave_unchecked(fleet):
    """Run the scenarios whose checks before a send are left out."""
    found = await asyncio.gather(
        leave_under_load(fleet),
        run_together(stopped=take_out_with_domain_stopped(fleet, STOPPED, "c")),
    )
    return found[0] | found[1]


def leave_cut_off(fleet):
    """Take a failure domain out that is cut off."""
    return run_together(cut_off=take_out_with_domain_cut_off(fleet, CUT_OFF, "a"))


def leave_with_second_fault(fleet):
    """Take away a failure domain and an upstream during another fault."""
    return run_together(
        stale=take_out_while_service_is_stale(fleet, STALE, "a", "c"),
        ownerless=drain_while_owner_is_stopped(fleet, OWNERLESS, "b"),
    )


class LeavingCase(OutcomeCase):
    """Checks what was started after a change.

    Bound: no request starts on the upstream later than 5 s after the document was put,
    the upstream began to drain, or the host list named it. The upstream counts starts,
    so requests on their way and hedges and retries are included.
    """

    def assert_left(self, name):
        """Assert that nothing was started after the bound."""
        outcome = self.outcome(name)
        self.assertGreater(outcome.executed, 0)
        self.assertLessEqual(outcome.last_start_ms, BOUND_MS, name)

    def assert_served(self, name):
        """Assert that every call after the change was answered in full."""
        outcome = self.outcome(name)
        self.assertGreater(len(outcome.list_calls()), 0)
        self.assertEqual(outcome.list_incomplete(), [])
        self.assertEqual(outcome.list_faults(), [])

    def assert_not_left(self, name):
        """Assert that work was started after the bound."""
        self.assertGreater(self.outcome(name).last_start_ms, BOUND_MS)


async def run_main_fleet():
    """Run all scenarios with every mechanism."""
    plan = make_leaving_plan(
        *(LOADED, HEDGED, CUT_OFF, CUT_OWNER, STOPPED),
        *(DRAINED, LISTED, STALE, OWNERLESS),
    )
    phases = (leave_under_load, leave_unreached, leave_with_second_fault)
    return await run_fleet(plan, *phases)


async def run_companions():
    """Run scenarios on fleets that leave out the mechanisms they depend on."""
    unchecked = make_leaving_plan(
        *(LOADED, HEDGED, DRAINED, LISTED, STOPPED),
        without=("domain_out", "drain_check"),
    )
    stale = make_leaving_plan(CUT_OFF, without=("freshness_gate",))
    found = await run_fleet(unchecked, leave_unchecked)
    return found | await run_fleet(stale, leave_cut_off)


def setUpModule():
    """Run the fleets of both test classes at the same time."""

    async def run():
        return await asyncio.gather(run_main_fleet(), run_companions())

    TestLeaving.outcomes, TestWithoutMechanisms.outcomes = asyncio.run(run())


class TestLeaving(LeavingCase):
    """Guards against work for what an operator or the host list has taken away."""

    def test_domain_out_under_full_load(self):
        self.assert_left("loaded")
        self.assert_served("loaded")

    def test_domain_out_with_hedges_on_their_way(self):
        self.assert_left("hedged")
        self.assert_served("hedged")

    def test_domain_out_while_its_hosts_are_cut_off(self):
        self.assert_left("cut_off")

    def test_domain_out_while_the_owner_is_cut_off(self):
        self.assert_left("cut_owner")

    def test_domain_out_while_its_hosts_are_stopped(self):
        self.assert_left("stopped")

    def test_drain_under_load_with_lagging_host_list(self):
        self.assert_left("drained")
        self.assert_served("drained")

    def test_upstream_named_only_by_the_host_list(self):
        self.assert_left("listed")
        self.assert_served("listed")

    def test_domain_out_while_the_configuration_service_is_stale(self):
        self.assert_left("stale")
        self.assert_served("stale")

    def test_drain_while_the_owner_is_stopped(self):
        self.assert_left("ownerless")


class TestWithoutMechanisms(LeavingCase):
    """Guards against proofs that pass without the mechanism.

    One fleet leaves out ``domain_out`` and ``drain_check``, on which its scenarios
    depend one by one, the other one ``freshness_gate``.
    """

    def test_domain_out_under_full_load(self):
        self.assert_not_left("loaded")

    def test_domain_out_with_hedges_on_their_way(self):
        self.assert_not_left("hedged")

    def test_drain_under_load_with_lagging_host_list(self):
        self.assert_not_left("drained")

    def test_upstream_named_only_by_the_host_list(self):
        self.assert_not_left("listed")

    def test_domain_out_while_its_hosts_are_cut_off(self):
        self.assert_not_left("cut_off")

    def test_domain_out_while_its_hosts_are_stopped(self):
        self.assert_not_left("stopped")


if __name__ == "__main__":
    unittest.main()
