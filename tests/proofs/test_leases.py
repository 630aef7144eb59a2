"""Proofs: an owner that resumes after a stop does not work next to its successor."""

import asyncio
import unittest

from celeryferry_daemon._internal.owner.owner import ID_PREFIX_CHARACTERS
from tests.system.support_cold import (
    LONG_DEADLINE_MS,
    OutcomeCase,
    count,
    make_plan,
    make_service,
    name_upstream,
    run_fleet,
    run_together,
    running_load,
    wait_for_counters,
    wait_for_full_load,
)

APPLICATIONS = ("first", "second")
# Longer than a lease and the time that the successor needs to get the key.
STOPPED_S = 4.0
# The resumed owner gets the key back within this time, by a hand-over.
WATCHED_S = 6.0
# A third of it reaches each upstream, about half of what its slots bear.
RATE_PER_S = 80.0
REQUESTS_OF_SUCCESSOR = 8
REQUESTS_OF_OWNER = 8
# Requests that were sent before the stop have reached the upstream by then.
ARRIVAL_S = 1.0


def read_owner(request_id):
    """Return the process that sent a request, which the id names after the dot."""
    return request_id.rpartition(".")[2][:ID_PREFIX_CHARACTERS]


class Handovers:
    """Work that an upstream started, by the process that sent it.

    :ivar old: process that owned the upstream before the stop.
    :ivar stopped: processes that sent work while it was stopped, in order.
    :ivar resumed: the same after it had been continued.
    """

    def __init__(self, old, before, stopped, resumed):
        # The upstream lists requests in the order in which it started them.
        ids = [list(found.searches) for found in (before, stopped, resumed)]
        self.old = old
        self.stopped = [read_owner(one) for one in ids[1][len(ids[0]) :]]
        self.resumed = [read_owner(one) for one in ids[2][len(ids[1]) :]]

    def list_double_work(self):
        """List the work of the old owner after which the successor still worked."""
        others = [at for at, one in enumerate(self.resumed) if one != self.old]
        last = others[-1] if others else 0
        return [one for one in self.resumed[:last] if one == self.old]


async def find_sender(fleet, upstream):
    """Wait for the process that has sent all recent work of an upstream.

    The rank of a host does not tell it: while a fleet starts on a busy machine,
    another host may own a key for some time.

    :returns: the process, and its daemon.
    """
    found = await wait_for_counters(
        fleet,
        upstream,
        lambda found: len(set(list_recent_senders(found))) == 1,
        "one owner works",
    )
    sender = list_recent_senders(found)[0]
    statuses = [(name, await fleet.read_status(name)) for name in fleet.daemons]
    names = [name for name, one in statuses if one["incarnation"].startswith(sender)]
    return sender, fleet.daemons[names[0]]


def list_recent_senders(found):
    """List the processes that sent the last requests of an upstream."""
    return [read_owner(one) for one in list(found.searches)[-REQUESTS_OF_OWNER:]]


async def stop_owner_past_its_lease(fleet, application, domain):
    """Stop the owner of a loaded upstream and continue it next to its successor."""
    upstream = name_upstream(application, domain)
    async with running_load(
        fleet, application, domain, RATE_PER_S, LONG_DEADLINE_MS
    ) as load:
        await wait_for_full_load(fleet, upstream)
        old, daemon = await find_sender(fleet, upstream)
        owner = daemon.process
        owner.pause()
        try:
            # What is on its way to the upstream when the owner is stopped arrives.
            await asyncio.sleep(ARRIVAL_S)
            before = await count(fleet, upstream)
            await asyncio.sleep(STOPPED_S)
            await wait_for_counters(
                fleet,
                upstream,
                lambda found: found.executed >= before.executed + REQUESTS_OF_SUCCESSOR,
                "successor works",
            )
            stopped = await count(fleet, upstream)
        finally:
            owner.resume()
        await asyncio.sleep(WATCHED_S)
        resumed = await count(fleet, upstream)
    return Handovers(old, before, stopped, resumed), load


def stop_owners(fleet):
    """Stop owners in two failure domains."""
    return run_together(
        first=stop_owner_past_its_lease(fleet, APPLICATIONS[0], "a"),
        second=stop_owner_past_its_lease(fleet, APPLICATIONS[1], "b"),
    )


def run_scenarios(*without):
    """Run the scenarios on a fleet that leaves out some mechanisms."""
    services = tuple(make_service(name) for name in APPLICATIONS)
    return run_fleet(make_plan(services, without=without), stop_owners)


def setUpModule():
    """Run the fleets of the test classes, one after another.

    Started at the same time they leave each other too little processor time for
    heartbeats, and keys move although no scenario asks for it.
    """

    async def run():
        TestLeases.outcomes = await run_scenarios()
        TestLeaseCheckAlone.outcomes = await run_scenarios("lease_stop")
        without = ("lease_stop", "lease_check")
        TestWithoutLeaseCheck.outcomes = await run_scenarios(*without)

    asyncio.run(run())


class LeasesCase(OutcomeCase):
    """Checks which owners an upstream worked for."""

    def handovers(self, name):
        """Return what was started, after checking that the successor worked."""
        found, load = self.outcome(name)
        self.assertEqual(load.list_faults(), [])
        self.assertNotIn(found.old, found.stopped)
        self.assertGreaterEqual(len(found.stopped), REQUESTS_OF_SUCCESSOR)
        return found

    def assert_one_owner(self):
        """Assert that no old owner worked before its successor had ended."""
        found = [self.handovers(name) for name in APPLICATIONS]
        self.assertEqual([one.list_double_work() for one in found], [[], []])
        # A successor may hand its key over before it starts more work, but not all.
        beside = [set(one.resumed) - {one.old} for one in found]
        self.assertTrue(any(beside))


class TestLeases(LeasesCase):
    """Guards against two owners of one upstream."""

    def test_owner_resumes_next_to_its_successor(self):
        self.assert_one_owner()
        for name in APPLICATIONS:
            found = self.outcome(name)[0]
            self.assertIn(found.old, found.resumed)


class TestLeaseCheckAlone(LeasesCase):
    """Guards against a check that is needless because lost leases stop workers.

    Whether the old owner gets the key back is not asserted: its worker, which was
    never stopped, does not start anew as it does in the product.
    """

    def test_owner_resumes_next_to_its_successor(self):
        self.assert_one_owner()


class TestWithoutLeaseCheck(LeasesCase):
    """Shows that both owners work if workers neither stop nor check the lease."""

    def test_owner_resumes_next_to_its_successor(self):
        doubled = [self.handovers(name).list_double_work() for name in APPLICATIONS]
        self.assertGreater(sum(map(len, doubled)), 0)


if __name__ == "__main__":
    unittest.main()
