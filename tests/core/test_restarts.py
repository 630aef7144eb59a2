"""Tests of what a host concludes from refused and accepted connections."""

import unittest
from datetime import timedelta

from celeryferry_core.forwarding.restarts import (
    MAX_REPORTED,
    REPORT_DELAY,
    RestartObservations,
    is_new_process,
)
from tests.core.forwarding_harness import make_upstream

NOW = timedelta(seconds=100)
COLD_TIME = timedelta(seconds=3)
STEP = timedelta(milliseconds=1)


class TestRestartObservations(unittest.TestCase):
    """Guards against treating a new process as the one before.

    While the source of entries is unavailable, nothing else tells that an upstream has
    restarted and is cold.
    """

    def setUp(self):
        self.restarts = RestartObservations()

    def bring_back(self, instance_id: str = "s0-a") -> None:
        """Let an upstream refuse connections and then accept one."""
        self.restarts.record_refused(instance_id)
        self.restarts.record_reached(instance_id, COLD_TIME, NOW)

    def test_absence_is_told_once(self):
        """Guards against one log line for each refused connection."""
        self.assertTrue(self.restarts.record_refused("s0-a"))
        self.assertFalse(self.restarts.record_refused("s0-a"))
        self.assertEqual(self.restarts.list_absent(), ["s0-a"])

    def test_upstream_is_cold_from_its_return(self):
        """Guards against a cold time that ends before that of the upstream."""
        self.bring_back()
        self.assertFalse(self.restarts.is_absent("s0-a"))
        self.assertTrue(self.restarts.is_cold("s0-a", NOW + COLD_TIME - STEP))
        self.assertFalse(self.restarts.is_cold("s0-a", NOW + COLD_TIME))

    def test_further_connections_do_not_extend_the_cold_time(self):
        """Guards against an upstream that stays cold while it is used."""
        self.bring_back()
        self.restarts.record_reached("s0-a", COLD_TIME, NOW + timedelta(seconds=2))
        self.assertFalse(self.restarts.is_cold("s0-a", NOW + COLD_TIME))

    def test_upstream_that_refuses_again_is_absent_again(self):
        """Guards against missing a second crash while the upstream is cold."""
        self.bring_back()
        self.assertTrue(self.restarts.record_refused("s0-a"))
        self.assertTrue(self.restarts.is_absent("s0-a"))

    def test_upstream_that_never_refused_is_warm(self):
        """Guards against a cold start for each new connection."""
        self.assertFalse(self.restarts.record_reached("s0-a", COLD_TIME, NOW))
        self.assertFalse(self.restarts.is_cold("s0-a", NOW))

    def test_report_of_another_host_makes_an_upstream_cold(self):
        """Guards against the full load from a host that had no connection to it."""
        self.restarts.record_reported("s0-a", COLD_TIME, NOW)
        self.restarts.record_reported("s0-a", STEP, NOW)
        self.assertTrue(self.restarts.is_cold("s0-a", NOW + COLD_TIME - STEP))
        self.assertFalse(self.restarts.is_cold("s0-a", NOW + COLD_TIME))

    def test_return_is_reported_unless_the_source_announces_it(self):
        """Guards against messages to all hosts for each restart in calm."""
        self.bring_back()
        self.assertEqual(self.restarts.update(NOW + REPORT_DELAY - STEP), ())
        report = self.restarts.update(NOW + REPORT_DELAY)
        self.assertEqual([each for each, _ in report], ["s0-a"])
        later = NOW + 2 * REPORT_DELAY
        self.assertEqual(self.restarts.update(later), report, "a report that changes")
        self.restarts.forget("s0-a")
        self.assertEqual(self.restarts.update(later), ())

    def test_memory_and_reports_are_bounded(self):
        """Guards against memory that grows with each restart."""
        for number in range(3 * MAX_REPORTED):
            self.bring_back(f"s0-{number}")
        self.assertEqual(len(self.restarts.update(NOW + REPORT_DELAY)), MAX_REPORTED)
        self.assertEqual(self.restarts.update(NOW + COLD_TIME), ())
        self.assertFalse(self.restarts._absences)

    def test_entry_of_a_new_process_is_told_from_a_changed_one(self):
        """Guards against ending the cold time by an entry from before the crash."""
        known = make_upstream("s0", "a", started_ms=5)
        changed = make_upstream("s0", "a", started_ms=5, slots=9)
        self.assertFalse(is_new_process(changed, known))
        self.assertTrue(is_new_process(make_upstream("s0", "a", started_ms=6), known))
