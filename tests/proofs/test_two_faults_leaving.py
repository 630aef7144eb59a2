"""Proofs: no new work for what leaves while another fault lasts."""

import asyncio
import time
import unittest

from celeryferry_standins.processes import wait_until
from tests.system.support_cold import (
    LONG_DEADLINE_MS,
    WITHIN,
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

STALE, OWNERLESS = "stale", "ownerless"
BOUND_MS = 5000.0
# Work is watched this long after the change.
WATCHED_S = 6.0
# A continued owner needs some time to hold leases again.
WATCHED_AFTER_STOP_S = 8.5


class Change:
    """A change after which an upstream is to get no new work.

    :param upstream: name of the upstream.
    """

    def __init__(self, fleet, upstream):
        self._fleet = fleet
        self._upstream = upstream
        self._at = time.monotonic()
        self._at_unix_ms = time.time() * 1000

    async def wait(self, seconds):
        """Wait until some seconds after the change."""
        await asyncio.sleep(max(0.0, self._at + seconds - time.monotonic()))

    async def read_last_start_ms(self):
        """Return when the upstream last started work, from the change on."""
        found = await count(self._fleet, self._upstream)
        return found.last_start_unix_ms - self._at_unix_ms


async def take_out_while_service_is_stale(fleet, domain, informed):
    """Take a failure domain out in a document that few hosts can read.

    Only the hosts of ``informed`` can read it; when the others reach the
    configuration service again, it serves the state before the change.
    """
    upstream = name_upstream(STALE, domain)
    uninformed = [
        name
        for name, one in fleet.daemons.items()
        if one.host.failure_domain != informed
    ]
    async with running_load(fleet, STALE, domain) as load:
        await wait_for_full_load(fleet, upstream)
        before = (await fleet.control_configuration())["revision"]
        for host_id in uninformed:
            await fleet.control_daemon(host_id, configuration_service=True)
        await fleet.change_services(STALE, failure_domains_out=(domain,))
        change = Change(fleet, upstream)
        await wait_until_out(fleet, informed, domain)
        await fleet.control_configuration(stale_at=before)
        for host_id in uninformed:
            await fleet.control_daemon(host_id, configuration_service=False)
        await change.wait(WATCHED_S)
        last_start_ms = await change.read_last_start_ms()
    return last_start_ms, load


async def wait_until_out(fleet, informed, domain):
    """Wait until a host of ``informed`` names no host of a failure domain."""
    host_id = rank_owners(fleet, STALE, informed)[0]
    address = fleet.daemons[host_id].host.callers_address
    url = f"http://{address}/v1/entry-hosts?application={STALE}"

    async def is_out():
        async with fleet.session.get(url) as response:
            hosts = (await response.json())["hosts"]
        return domain not in {one["failure_domain"] for one in hosts}

    await wait_until(is_out, WITHIN, f"{domain} is out for {host_id}")


async def drain_while_owner_is_stopped(fleet, domain):
    """Drain an upstream whose owner is stopped, and continue the owner later."""
    upstream = name_upstream(OWNERLESS, domain)
    owner = fleet.daemons[rank_owners(fleet, OWNERLESS, domain)[0]].process
    async with running_load(
        fleet, OWNERLESS, domain, deadline_ms=LONG_DEADLINE_MS
    ) as load:
        await wait_for_full_load(fleet, upstream)
        owner.pause()
        try:
            await fleet.control_upstream(upstream, draining=True)
            change = Change(fleet, upstream)
            await change.wait(BOUND_MS / 1000 + 0.2)
        finally:
            owner.resume()
        await change.wait(WATCHED_AFTER_STOP_S)
        last_start_ms = await change.read_last_start_ms()
    return last_start_ms, load


def leave_while_stale(fleet):
    """Take a failure domain out while the configuration service is stale."""
    return run_together(stale=take_out_while_service_is_stale(fleet, "a", "c"))


def leave_ownerless(fleet):
    """Drain an upstream while its owner is stopped."""
    return run_together(ownerless=drain_while_owner_is_stopped(fleet, "b"))


def run_scenarios(*phases, without=()):
    """Run the scenarios on a fleet that leaves out some mechanisms."""
    services = (make_service(STALE), make_service(OWNERLESS))
    return run_fleet(make_plan(services, without=without), *phases)


def setUpModule():
    """Run the fleets of the test classes, one after another.

    Started at the same time they leave each other too little processor time; once
    one of them had no full coverage 20 s after its start.
    """

    async def run():
        TestTwoFaults.outcomes = await run_scenarios(leave_while_stale, leave_ownerless)
        without = ("version_order",)
        TestWithoutVersionOrder.outcomes = await run_scenarios(
            leave_while_stale, without=without
        )
        without = ("drain_check",)
        TestWithoutDrainCheck.outcomes = await run_scenarios(
            leave_ownerless, without=without
        )

    asyncio.run(run())


class LeavingCase(OutcomeCase):
    """Checks when upstreams last started work after a change."""

    def assert_left(self, name):
        """Assert that nothing was started after the bound."""
        last_start_ms, load = self.outcome(name)
        self.assertLessEqual(last_start_ms, BOUND_MS)
        self.assertEqual(load.list_faults(), [])

    def assert_not_left(self, name):
        """Assert that work was started after the bound."""
        self.assertGreater(self.outcome(name)[0], BOUND_MS)


class TestTwoFaults(LeavingCase):
    """Guards against work for what left while another fault hid it."""

    def test_domain_out_while_the_configuration_service_is_stale(self):
        self.assert_left("stale")

    def test_drain_while_the_owner_is_stopped(self):
        self.assert_left("ownerless")


class TestWithoutVersionOrder(LeavingCase):
    """Shows that the old document of a stale service brings the work back."""

    def test_domain_out_while_the_configuration_service_is_stale(self):
        self.assert_not_left("stale")


class TestWithoutDrainCheck(LeavingCase):
    """Shows that the successor and the continued owner use a draining upstream."""

    def test_drain_while_the_owner_is_stopped(self):
        self.assert_not_left("ownerless")


if __name__ == "__main__":
    unittest.main()
