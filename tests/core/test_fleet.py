"""Tests of the network of links between hosts, on simulated fleets."""

import unittest
from datetime import timedelta

from celeryferry_core.forwarding.relays import RELAY_COUNT
from celeryferry_standins.fleet_simulation import SimulatedFleet

# Longest time after which a killed host may still be named to callers: the time in
# which the platform allows a machine to notice a failure, and 3 s.
MAX_NAMED_TIME = timedelta(seconds=7)
# Time within which all hosts of a fleet that has just started must know each other; the
# traffic begins 12 s after the start.
MAX_START_TIME = timedelta(seconds=6)


def seconds(value: float) -> timedelta:
    """Return seconds as a duration."""
    return timedelta(seconds=value)


class FleetTestCase(unittest.TestCase):
    """Starts a fleet of three domains.

    :cvar domains: number of hosts by failure domain.
    """

    domains = {"a": 9, "b": 7, "c": 4}

    def setUp(self):
        self.fleet = SimulatedFleet(self.domains)
        self.all_ids = set(self.fleet.hosts)
        self.fleet.start_all()
        took = self.fleet.run_until(
            lambda: (
                len(self.fleet.list_running()) == len(self.all_ids)
                and self.fleet.do_all_know(self.all_ids)
            ),
            seconds(30),
        )
        self.assertLessEqual(took, MAX_START_TIME)
        self.fleet.run_for(seconds(12))
        for host in self.fleet.hosts.values():
            host.losses.clear()

    def list_false_losses(self, *gone_ids: str) -> list[str]:
        """Return hosts that some table has dropped although they run.

        :param gone_ids: ids of the hosts that are gone.
        """
        return [
            lost
            for host in self.fleet.list_running()
            for lost in host.losses
            if lost not in gone_ids
        ]

    def check_loss(self, *names: str):
        """Check that hosts leave every table in time, and no other host does."""
        remaining = self.all_ids - set(names)
        took = self.fleet.run_until(
            lambda: self.fleet.do_all_know(remaining), seconds(30)
        )
        self.assertLessEqual(took, MAX_NAMED_TIME)
        self.fleet.run_for(seconds(5))
        self.assertTrue(self.fleet.do_all_know(remaining))
        self.assertEqual(self.list_false_losses(*names), [])


class TestFormation(FleetTestCase):
    """Guards against a fleet whose hosts do not find each other, or do so at a cost."""

    def test_each_domain_has_two_relays(self):
        for domain in self.domains:
            relays = self.fleet.list_relays(domain)
            self.assertEqual(len(relays), RELAY_COUNT, domain)
            self.assertTrue(all(r.info.processor_share == 2.0 for r in relays))

    def test_calm_fleet_sends_little_between_domains(self):
        """Guards against messages between domains that grow with the hosts."""
        self.fleet.remote_bytes = 0
        self.fleet.run_for(seconds(20))
        per_second = self.fleet.remote_bytes / 20
        self.assertLess(per_second, 3_000)

    def test_stale_seeds(self):
        """Guards against a host that can't join because seeds are gone."""
        fleet = self.fleet
        fleet.hosts["a-0"].power_off()
        fleet.hosts["b-0"].power_off()
        fleet.run_for(seconds(10))
        restarted = fleet.hosts["b-5"]
        restarted.kill()
        fleet.run_for(seconds(5))
        restarted.start()
        expected = self.all_ids - {"a-0", "b-0"}
        took = fleet.run_until(lambda: fleet.do_all_know(expected), seconds(30))
        self.assertLessEqual(took, MAX_START_TIME)


class TestManyStarts(unittest.TestCase):
    """Guards against a start after which the fleet stays split.

    Hosts know few others while all start, so they choose different relays at first. A
    host that follows a former relay must be sent on.
    """

    def test_fleets_of_any_order_join(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                fleet = SimulatedFleet({"a": 6, "b": 12, "c": 6, "d": 14}, seed)
                fleet.start_all(seconds(0.5))
                fleet.run_for(seconds(1))
                ids = set(fleet.hosts)
                took = fleet.run_until(
                    lambda f=fleet, ids=ids: f.do_all_know(ids), seconds(30)
                )
                self.assertLessEqual(took, MAX_START_TIME)


class TestLosses(FleetTestCase):
    """Guards against hosts that stay in the tables after their end, or that are dropped
    although they run."""

    def test_killed_member(self):
        self.fleet.hosts["a-7"].kill()
        self.check_loss("a-7")

    def test_member_without_power(self):
        self.fleet.hosts["b-6"].power_off()
        self.check_loss("b-6")

    def test_killed_relay(self):
        name = self.fleet.list_relays("a")[0].info.host_id
        self.fleet.hosts[name].kill()
        self.check_loss(name)

    def test_both_relays_of_a_domain_without_power(self):
        names = [host.info.host_id for host in self.fleet.list_relays("a")]
        for name in names:
            self.fleet.hosts[name].power_off()
        self.check_loss(*names)

    def test_all_relays_killed_together(self):
        names = [
            host.info.host_id
            for domain in self.domains
            for host in self.fleet.list_relays(domain)
        ]
        for name in names:
            self.fleet.hosts[name].kill()
        self.check_loss(*names)

    def test_half_of_the_hosts_without_power(self):
        names = sorted(self.all_ids)[::2]
        for name in names:
            self.fleet.hosts[name].power_off()
        self.check_loss(*names)

    def test_leaving_host_is_known_to_be_leaving_at_once(self):
        self.fleet.hosts["c-3"].leave()
        took = self.fleet.run_until(
            lambda: all(
                host.member.table.live["c-3"].is_leaving
                for host in self.fleet.list_running()
            ),
            seconds(10),
        )
        self.assertLessEqual(took, seconds(1))

    def test_restarted_host_replaces_its_former_process(self):
        host = self.fleet.hosts["c-2"]
        host.kill()
        self.fleet.run_for(seconds(0.5))
        host.start()
        started_ms = host.info.started_ms
        took = self.fleet.run_until(
            lambda: all(
                "c-2" in each.live_ids
                and each.member.table.live["c-2"].started_ms == started_ms
                for each in self.fleet.list_running()
            ),
            seconds(20),
        )
        self.assertLessEqual(took, MAX_START_TIME)


class TestPauses(FleetTestCase):
    """Guards against hosts that are dropped because a process was paused."""

    def test_short_pause_of_a_relay(self):
        self.fleet.list_relays("a")[0].pause(seconds(1.2))
        self.fleet.run_for(seconds(10))
        self.assertEqual(self.list_false_losses(), [])

    def test_long_pause_of_a_relay(self):
        """The paused host is dropped and comes back, and it drops no other host."""
        relay = self.fleet.list_relays("a")[0]
        relay.pause(seconds(6))
        self.fleet.run_for(seconds(5))
        name = relay.info.host_id
        self.assertTrue(
            all(
                name not in host.live_ids
                for host in self.fleet.list_running()
                if host is not relay
            )
        )
        took = self.fleet.run_until(
            lambda: self.fleet.do_all_know(self.all_ids), seconds(30)
        )
        self.assertLessEqual(took, MAX_START_TIME + seconds(1))


class TestPartitions(FleetTestCase):
    """Guards against parts of a fleet that do not find each other again."""

    def check_healed(self):
        self.fleet.is_cut = lambda a, b: False
        took = self.fleet.run_until(
            lambda: self.fleet.do_all_know(self.all_ids), seconds(40)
        )
        self.assertLessEqual(took, seconds(15))

    def test_domain_cut_off(self):
        self.fleet.is_cut = lambda a, b: (
            (a.info.failure_domain == "a") != (b.info.failure_domain == "a")
        )
        self.fleet.run_for(seconds(12))
        inside = {name for name in self.all_ids if name.startswith("a-")}
        for host in self.fleet.hosts.values():
            is_inside = host.info.host_id in inside
            expected = inside if is_inside else self.all_ids - inside
            self.assertEqual(host.live_ids, expected)
        self.check_healed()

    def test_two_domains_that_cannot_reach_each_other(self):
        """A third domain reaches both; it must keep knowing all hosts."""
        pair = {"a", "b"}
        self.fleet.is_cut = lambda a, b: (
            {a.info.failure_domain, b.info.failure_domain} == pair
        )
        self.fleet.run_for(seconds(12))
        for host in self.fleet.hosts.values():
            if host.info.failure_domain == "c":
                self.assertEqual(host.live_ids, self.all_ids)
        self.check_healed()

    def test_single_hosts_cut_off(self):
        cut = {"a-0", "a-1", "b-0", "c-3"}
        self.fleet.is_cut = lambda a, b: bool({a.info.host_id, b.info.host_id} & cut)
        self.fleet.run_for(seconds(12))
        for host in self.fleet.hosts.values():
            if host.info.host_id not in cut:
                self.assertEqual(host.live_ids, self.all_ids - cut)
        self.check_healed()


class TestHundredsOfHosts(FleetTestCase):
    """Guards against costs and delays that grow with the fleet.

    The fleet has the size of the largest deployment: 195 hosts in five domains.
    """

    domains = {"a": 37, "b": 41, "c": 40, "d": 38, "e": 39}

    def test_losses_and_bytes(self):
        fleet = self.fleet
        fleet.remote_bytes = 0
        fleet.run_for(seconds(10))
        self.assertLess(fleet.remote_bytes / 10, 6_000)
        names = sorted(self.all_ids)[::7]
        for name in names:
            fleet.hosts[name].power_off()
        self.check_loss(*names)
