"""Tests of the choice of the host that may send to a cold upstream."""

import unittest
from collections import Counter
from datetime import timedelta

from celeryferry_core.forwarding.cold_senders import (
    HOST_MEMORY,
    JOINING_TIME,
    MAX_UPDATE_GAP,
    ColdSenders,
)
from celeryferry_core.forwarding.entry_sets import EntrySets
from celeryferry_core.rendezvous import rank_hosts
from celeryferry_standins.fleet_simulation import SimulatedFleet, SimulatedHost

STEP = timedelta(milliseconds=100)
SECOND = timedelta(seconds=1)
INSTANCES = tuple(f"s{number}-a" for number in range(8))
HOSTS = ("host-1", "host-2", "host-3")


class TestOneHost(unittest.TestCase):
    """Guards against a host that sends while another one may do so, too."""

    def setUp(self):
        self.now = timedelta(0)
        self.senders = ColdSenders("host-1", self.now)

    def run_for(self, duration: timedelta, *hosts: str, is_joined=True):
        """Update regularly with these hosts."""
        end = self.now + duration
        while self.now < end:
            self.senders.update(hosts, hosts, is_joined, self.now)
            self.now += STEP

    def find_instance(self, winner: str, hosts=HOSTS) -> str:
        """Return an upstream for which one of the hosts has the highest hash."""
        names = (f"s{number}" for number in range(1000))
        return next(name for name in names if rank_hosts(name, hosts)[0] == winner)

    def may_send(self, winner: str) -> bool:
        """Return whether this host may send to an upstream of that host."""
        return self.senders.may_send(self.find_instance(winner), self.now)

    def test_host_that_just_started_sends_nothing(self):
        """Guards against hosts that start together and take themselves for alone."""
        self.assertFalse(self.may_send("host-1"))
        self.run_for(JOINING_TIME - STEP, *HOSTS)
        self.assertFalse(self.may_send("host-1"))
        self.run_for(2 * STEP, *HOSTS)
        self.assertTrue(self.may_send("host-1"))
        self.assertFalse(self.may_send("host-2"))

    def test_host_without_contact_sends_nothing(self):
        """Guards against a sender in each part of a fleet without a network."""
        self.run_for(2 * JOINING_TIME, "host-1", is_joined=False)
        self.assertFalse(self.may_send("host-1"))

    def test_host_that_callers_do_not_use_sends_nothing(self):
        """Guards against a choice that differs from that of the others."""
        self.run_for(2 * JOINING_TIME, "host-2", "host-3")
        self.assertFalse(self.may_send("host-1"))

    def test_lost_host_counts_although_callers_did_not_use_it(self):
        """Guards against a sender in another part, which callers use there."""
        self.run_for(2 * JOINING_TIME, *HOSTS)
        self.senders.update((*HOSTS, "host-9"), HOSTS, True, self.now)
        self.run_for(JOINING_TIME, *HOSTS)
        instance_id = self.find_instance("host-9", (*HOSTS, "host-9"))
        self.assertFalse(self.senders.may_send(instance_id, self.now))

    def test_place_of_a_silent_host_is_not_taken(self):
        """Guards against a second sender while the first can't be reached."""
        self.run_for(2 * JOINING_TIME, *HOSTS)
        self.run_for(HOST_MEMORY - SECOND, "host-1")
        self.assertFalse(self.may_send("host-2"))
        self.assertTrue(self.may_send("host-1"), "an upstream of its own")
        self.run_for(2 * SECOND, "host-1")
        self.assertTrue(self.may_send("host-2"), "the host is gone for good")

    def test_host_that_was_paused_sends_nothing(self):
        """Guards against a host that resumes and does not know what has changed."""
        self.run_for(2 * JOINING_TIME, *HOSTS)
        self.now += 2 * MAX_UPDATE_GAP
        self.assertFalse(self.may_send("host-1"), "before the first update")
        self.run_for(SECOND, *HOSTS)
        self.assertFalse(self.may_send("host-1"), "after it")
        self.run_for(JOINING_TIME, *HOSTS)
        self.assertTrue(self.may_send("host-1"))


class HostView:
    """What one process knows of the senders."""

    def __init__(self, host: SimulatedHost, now: timedelta) -> None:
        self.started_ms = host.info.started_ms
        self.sets = EntrySets()
        self.senders = ColdSenders(host.info.host_id, now)

    def update(self, host: SimulatedHost, now: timedelta) -> None:
        """Update as the daemon does."""
        live = host.member.table.live
        self.sets.update(live, frozenset(), now)
        self.senders.update(
            live.keys(), self.sets.sender_ids, host.member.is_joined(now), now
        )


class FleetTestCase(unittest.TestCase):
    """Counts the senders of a simulated fleet.

    :ivar most: most senders that an upstream has had at one time.
    """

    def start(self, fleet: SimulatedFleet) -> None:
        """Start all hosts of a fleet."""
        self.fleet = fleet
        self.views: dict[str, HostView] = {}
        self.most = 0
        fleet.start_all()

    def count_senders(self) -> list[int]:
        """Return how many hosts may send to each upstream now."""
        counts: Counter[str] = Counter()
        for host in self.fleet.list_running():
            if self.fleet.now < host.paused_until:
                continue
            name = host.info.host_id
            view = self.views.get(name)
            if view is None or view.started_ms != host.info.started_ms:
                view = self.views[name] = HostView(host, self.fleet.now)
            allowed = [
                each
                for each in INSTANCES
                if view.senders.may_send(each, self.fleet.now)
            ]
            counts.update(allowed)
            view.update(host, self.fleet.now)
        return [counts[each] for each in INSTANCES]

    def run_for(self, duration: timedelta) -> list[int]:
        """Run the fleet, and return the numbers of senders at the end."""
        counts = []
        for _ in range(duration // STEP):
            self.fleet.run_for(STEP)
            counts = self.count_senders()
            self.most = max(self.most, *counts)
        return counts


class TestFleet(FleetTestCase):
    """Guards against several senders while the hosts of a fleet lose each other.

    Real decisions on links and entry sets, on simulated fleets: at no time may two
    hosts send to the same upstream, and in the end exactly one may.
    """

    domains = {"a": 5, "b": 5, "c": 5}

    def setUp(self):
        self.start(SimulatedFleet(self.domains))

    def check_settled(self) -> None:
        """Check that one host may send to each upstream."""
        self.assertEqual(self.run_for(25 * SECOND), [1] * len(INSTANCES))
        self.assertEqual(self.most, 1)

    def test_start_of_all_hosts(self):
        """Guards against a sender in each host after a loss of power."""
        self.check_settled()

    def test_kill_of_all_hosts(self):
        """Guards against senders in hosts that restart and know no other."""
        self.check_settled()
        for host in self.fleet.list_running():
            host.kill()
        self.fleet.start_all()
        self.check_settled()

    def test_restarts_in_turn(self):
        """Guards against a former and a new sender at the same time."""
        self.check_settled()
        for host in self.fleet.list_running():
            host.leave()
            self.run_for(4 * SECOND)
            host.kill()
            self.run_for(SECOND)
            host.start()
        self.check_settled()

    def test_cut_domain(self):
        """Guards against a sender on each side of a partition."""
        self.check_settled()
        self.fleet.is_cut = lambda one, other: (
            (one.info.failure_domain == "a") != (other.info.failure_domain == "a")
        )
        self.run_for(20 * SECOND)
        self.fleet.is_cut = lambda one, other: False
        self.check_settled()

    def test_all_domains_cut_from_each_other(self):
        """Guards against a sender in each part of a fleet."""
        self.check_settled()
        self.fleet.is_cut = lambda one, other: (
            one.info.failure_domain != other.info.failure_domain
        )
        self.run_for(20 * SECOND)
        self.fleet.is_cut = lambda one, other: False
        self.check_settled()

    def test_restarts_in_parts_of_the_fleet(self):
        """Guards against a sender in each part whose hosts have just started.

        Such hosts do not remember the hosts of the other parts.
        """
        self.check_settled()
        self.fleet.is_cut = lambda one, other: (
            one.info.failure_domain != other.info.failure_domain
        )
        for host in self.fleet.list_running():
            host.kill()
        self.fleet.start_all()
        self.run_for(20 * SECOND)
        self.fleet.is_cut = lambda one, other: False
        self.check_settled()

    def test_paused_hosts(self):
        """Guards against senders among hosts that resume."""
        self.check_settled()
        for host in self.fleet.list_running()[::2]:
            host.pause(8 * SECOND)
        self.run_for(8 * SECOND)
        self.check_settled()


class TestOlderChoice(unittest.TestCase):
    """Shows that the checks on fleets find hosts that do not wait."""

    def test_hosts_that_send_at_once_are_found(self):
        """Guards against checks that would pass without the mechanism."""
        fleet = SimulatedFleet(TestFleet.domains)
        fleet.start_all()
        most = 0
        for _ in range(30):
            fleet.run_for(STEP)
            winners = Counter(
                rank_hosts(INSTANCES[0], host.live_ids)[0] == host.info.host_id
                for host in fleet.list_running()
            )
            most = max(most, winners[True])
        self.assertGreater(most, 1)
