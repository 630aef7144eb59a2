"""Tests of the table of hosts that the reports of links make up."""

import unittest
from datetime import timedelta

from celeryferry_core.forwarding.hosts import (
    SILENCE_LIMITS,
    VIEW_RETENTION,
    HostInfo,
    HostsUpdate,
    HostTable,
    LinkRole,
    Scope,
)
from celeryferry_core.forwarding.relays import rank_relays
from celeryferry_standins.fleet_simulation import make_info

NOW = timedelta(seconds=100)
OWN = make_info("own", "a")
RELAY = make_info("relay", "a")
OTHER_RELAY = make_info("other-relay", "a")
REMOTE = make_info("remote", "b")
ONE_MS = timedelta(milliseconds=1)


def report(scope: Scope, *hosts: HostInfo, gone=(), is_whole=False) -> HostsUpdate:
    """Return a report of hosts."""
    return HostsUpdate(scope, is_whole, hosts, gone)


class HostTableTestCase(unittest.TestCase):
    """Makes a table of the host ``own`` with links."""

    def setUp(self):
        self.table = HostTable(OWN)

    def open(self, link_id: int, role: LinkRole, peer: HostInfo):
        self.table.open(link_id, role, peer, NOW)

    def list_live(self, now: timedelta = NOW) -> set[str]:
        self.table.refresh(now)
        return set(self.table.live)


class TestReports(HostTableTestCase):
    """Guards against hosts that are dropped too early or never."""

    def test_member_is_live_until_its_link_ends(self):
        self.open(1, LinkRole.FROM_MEMBER, make_info("m", "a"))
        self.assertEqual(self.list_live(), {"own", "m"})
        self.table.close(1, NOW)
        self.assertEqual(self.list_live(), {"own"})

    def test_host_is_live_while_one_relay_reports_it(self):
        """Guards against one relay's lost link that drops a host for all."""
        member = make_info("m", "a")
        self.open(1, LinkRole.TO_RELAY, RELAY)
        self.open(2, LinkRole.TO_RELAY, OTHER_RELAY)
        for link_id in (1, 2):
            self.table.apply(link_id, report(Scope.DOMAIN, member), NOW)
        self.table.apply(1, report(Scope.DOMAIN, gone=("m",)), NOW)
        self.assertIn("m", self.list_live())
        self.table.apply(2, report(Scope.DOMAIN, gone=("m",)), NOW)
        self.assertNotIn("m", self.list_live())

    def test_whole_report_replaces_the_earlier_ones(self):
        self.open(1, LinkRole.TO_RELAY, RELAY)
        self.table.apply(1, report(Scope.DOMAIN, make_info("m", "a")), NOW)
        whole = report(Scope.DOMAIN, RELAY, is_whole=True)
        self.table.apply(1, whole, NOW)
        self.assertEqual(self.list_live(), {"own", "relay"})

    def test_reports_are_passed_on_once_only(self):
        """Guards against two relays that keep a dead host alive for each other."""
        self.open(1, LinkRole.TO_RELAY, RELAY)
        self.table.apply(1, report(Scope.DOMAIN, make_info("m", "a")), NOW)
        self.table.apply(1, report(Scope.OTHERS, REMOTE), NOW)
        self.open(2, LinkRole.BETWEEN_DOMAINS, make_info("r", "c"))
        self.assertEqual(set(self.table.get_direct()), {"own"})
        self.assertEqual(set(self.table.get_others()), {"r"})

    def test_member_reports_only_itself(self):
        """Guards against a member that changes what is known of other hosts."""
        self.open(1, LinkRole.FROM_MEMBER, make_info("m", "a"))
        leaving = make_info("m", "a", sequence=1, is_leaving=True)
        self.table.apply(1, report(Scope.DOMAIN, leaving, make_info("x", "a")), NOW)
        self.assertEqual(self.list_live(), {"own", "m"})
        self.assertTrue(self.table.live["m"].is_leaving)

    def test_reports_of_this_host_are_ignored(self):
        self.open(1, LinkRole.TO_RELAY, RELAY)
        stale = make_info("own", "a", started_ms=9_000, is_ready=False)
        self.table.apply(1, report(Scope.DOMAIN, stale), NOW)
        self.list_live()
        self.assertEqual(self.table.live["own"], OWN)


class TestOrder(HostTableTestCase):
    """Guards against an older statement of a host that replaces a newer one."""

    def test_later_statement_counts(self):
        self.open(1, LinkRole.TO_RELAY, RELAY)
        self.open(2, LinkRole.TO_RELAY, OTHER_RELAY)
        newer = make_info("m", "a", sequence=5, is_leaving=True)
        self.table.apply(1, report(Scope.DOMAIN, newer), NOW)
        self.table.apply(2, report(Scope.DOMAIN, make_info("m", "a")), NOW)
        self.list_live()
        self.assertTrue(self.table.live["m"].is_leaving)

    def test_restart_replaces_the_earlier_process(self):
        self.open(1, LinkRole.TO_RELAY, RELAY)
        self.open(2, LinkRole.TO_RELAY, OTHER_RELAY)
        former = make_info("m", "a", sequence=99, is_leaving=True)
        restarted = make_info("m", "a", started_ms=2_000)
        self.table.apply(1, report(Scope.DOMAIN, restarted), NOW)
        self.table.apply(2, report(Scope.DOMAIN, former), NOW)
        self.list_live()
        self.assertFalse(self.table.live["m"].is_leaving)

    def test_restart_with_an_earlier_wall_clock_is_accepted(self):
        """Guards against ignoring a restarted host whose clock was set back."""
        self.open(1, LinkRole.TO_RELAY, RELAY)
        self.table.apply(1, report(Scope.DOMAIN, make_info("m", "a")), NOW)
        restarted = make_info("m", "a", started_ms=500)
        self.table.apply(1, report(Scope.DOMAIN, restarted), NOW)
        self.list_live()
        self.assertEqual(self.table.live["m"].started_ms, 500)


class TestRetention(HostTableTestCase):
    """Guards against a host that considers itself alone when a relay ends."""

    def setUp(self):
        super().setUp()
        self.open(1, LinkRole.TO_RELAY, RELAY)
        self.table.apply(1, report(Scope.DOMAIN, RELAY, make_info("m", "a")), NOW)
        self.table.apply(1, report(Scope.OTHERS, REMOTE), NOW)

    def test_reports_of_an_ended_relay_stay_for_a_time(self):
        self.table.close(1, NOW)
        self.assertEqual(self.list_live(NOW + VIEW_RETENTION), {"own", "m", "remote"})
        self.assertEqual(self.list_live(NOW + VIEW_RETENTION + ONE_MS), {"own"})

    def test_host_that_is_gone_does_not_return_by_an_old_report(self):
        self.open(2, LinkRole.TO_RELAY, OTHER_RELAY)
        self.table.apply(2, report(Scope.DOMAIN, make_info("m", "a")), NOW)
        self.table.close(1, NOW)
        self.table.apply(2, report(Scope.DOMAIN, gone=("m",)), NOW)
        self.assertNotIn("m", self.list_live())


class TestSilence(HostTableTestCase):
    """Guards against links that hang, and against pauses that look like silence."""

    def test_silent_links_are_found(self):
        for link_id, role in enumerate(LinkRole):
            self.open(link_id, role, make_info(f"h{link_id}", "a"))
        for link_id, role in enumerate(LinkRole):
            limit = SILENCE_LIMITS[role]
            self.assertNotIn(link_id, self.table.list_silent(NOW + limit))
            self.assertIn(link_id, self.table.list_silent(NOW + limit + ONE_MS))

    def test_any_message_ends_the_silence(self):
        self.open(1, LinkRole.TO_RELAY, RELAY)
        late = NOW + timedelta(seconds=5)
        self.table.record_heard(1, late)
        self.assertEqual(self.table.list_silent(late), [])

    def test_own_pause_is_no_silence(self):
        self.open(1, LinkRole.TO_RELAY, RELAY)
        pause = timedelta(seconds=20)
        self.table.shift_times(pause)
        self.assertEqual(self.table.list_silent(NOW + pause), [])


class TestRelayRanks(unittest.TestCase):
    """Guards against hosts that disagree on the relays, or choose unsuitable ones."""

    HOSTS = tuple(make_info(f"h{number}", "a") for number in range(40))

    def test_order_does_not_matter(self):
        forwards = rank_relays(self.HOSTS, "a", 2)
        self.assertEqual(forwards, rank_relays(self.HOSTS[::-1], "a", 2))

    def test_large_hosts_come_first_and_leaving_ones_never(self):
        large = make_info("large", "a", processor_share=2.0)
        leaving = make_info("leaving", "a", processor_share=4.0, is_leaving=True)
        ranked = rank_relays((*self.HOSTS, leaving, large), "a", 1)
        self.assertEqual(ranked, [large])

    def test_few_relays_change_when_a_host_joins(self):
        changes = 0
        for number in range(40):
            joined = make_info(f"joined-{number}", "a")
            before = set(rank_relays(self.HOSTS, "a", 2))
            changes += before != set(rank_relays((*self.HOSTS, joined), "a", 2))
        self.assertLess(changes, 8)
