"""Tests of restores that follow each other, and of sources without a history."""

import unittest
from datetime import timedelta

from tests.daemon.restorable_source import WatchEnd
from tests.daemon.restore_fleet import Fleet, FleetChange

DOMAIN = "a"
# Time in which everything that was lost is written again, up to a margin.
REWRITE_DELAYS = (timedelta(seconds=1.9),)


def seconds(value: float) -> timedelta:
    """Return seconds as a duration."""
    return timedelta(seconds=value)


class TestRepeatedRestores(unittest.TestCase):
    """Guards against hosts that believe a copy before it is written again."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start_upstream("u-1")
        self.fleet.pass_time(seconds(1))
        self.copy = self.fleet.source.state

    def restore(self, away: float, then: float):
        """Let the source go away, come back from the copy, and some time pass."""
        self.fleet.leave_source(WatchEnd.CUT)
        self.fleet.pass_time(seconds(away))
        self.fleet.return_source(self.copy, True, (), REWRITE_DELAYS)
        self.fleet.pass_time(seconds(then))

    def switch_domain(self):
        """Take the domain out of service, or put it back, and let the hosts know."""
        self.fleet.change(FleetChange.SWITCH_DOMAIN, DOMAIN)
        self.fleet.pass_time(seconds(1))

    def test_domain_put_back_twice_is_not_out_by_its_first_item(self):
        """Guards against a domain without work, by an item that was removed before.

        The domain was taken out and put back twice, and the copy holds the first item.
        """
        self.switch_domain()
        self.copy = self.fleet.source.state
        for _ in range(3):
            self.switch_domain()
        self.restore(away=0.5, then=1.5)
        self.assertEqual(self.fleet.violations, [])

    def test_second_restore_starts_the_grace_period_of_a_domain_anew(self):
        """Guards against work for a domain that is out, between two restores.

        The item is lost with each restore; nobody could write it again before the next
        one.
        """
        self.switch_domain()
        for _ in range(2):
            self.restore(away=0.1, then=1.5)
        self.restore(away=0.1, then=1.8)
        self.assertEqual(self.fleet.violations, [])

    def test_second_restore_starts_the_holding_time_of_an_entry_anew(self):
        """Guards against requests to an upstream that has left, between two restores.

        The entry of the copy is deleted 1.9 s after the second return, which is more
        than the holding time after the first one.
        """
        self.fleet.drain("u-1")
        self.fleet.pass_time(seconds(0.5))
        self.fleet.end_upstream("u-1")
        self.fleet.pass_time(seconds(1))
        self.restore(away=0.1, then=1.5)
        self.restore(away=3, then=1.8)
        self.assertEqual(self.fleet.violations, [])

    def test_outage_after_a_restore_releases_nothing(self):
        """Guards against work for a domain that is out, during an outage.

        The item is lost with the restore, and the source is away again before it could
        be written.
        """
        self.switch_domain()
        self.restore(away=0.1, then=1.5)
        self.fleet.leave_source(WatchEnd.CUT)
        self.fleet.pass_time(seconds(10))
        for host_id, host in self.fleet.hosts.items():
            self.assertIn(DOMAIN, host.state.registry.domains_out, host_id)

    def test_entry_that_expired_and_is_in_the_copy_is_used(self):
        """Guards against dropping an upstream that is alive and listed.

        Its entry expires in an outage. Before it is written again, the source comes
        back from a copy that holds it as it was.
        """
        self.fleet.leave_source(WatchEnd.CUT)
        self.fleet.pass_time(seconds(4))
        self.fleet.return_source(None, True, ("u-1",), REWRITE_DELAYS)
        self.fleet.pass_time(seconds(0.5))
        self.restore(away=0.3, then=0)
        for _ in range(14):
            self.fleet.pass_time(seconds(0.5))
            self.assertIn("upstream/u-1", self.fleet.source.state.items)
            for host_id, host in self.fleet.hosts.items():
                listed = host.state.registry.get("u-1")
                self.assertIsNotNone(listed, host_id)

    def test_source_without_a_history_is_called_at_the_retry_delay(self):
        """Guards against calls as fast as a source answers that a history is gone."""
        self.fleet.source.has_no_history = True
        self.fleet.pass_time(seconds(20))
        self.assertEqual(self.fleet.violations, [])
