"""Tests of the end of a stopping host, on a passed-in clock."""

import unittest
from datetime import timedelta

from celeryferry_daemon._internal.forwarding.draining import (
    MIN_QUIET_TIME,
    DrainSchedule,
)

STOP_TIME = timedelta(seconds=6)
STEP = timedelta(milliseconds=50)


class TestDrainSchedule(unittest.TestCase):
    """Guards requests that arrive while a host stops."""

    def setUp(self):
        self.schedule = DrainSchedule(timedelta(0), STOP_TIME)

    def find_exit_time(self, counts: list[int]) -> timedelta:
        """Return when the process ends if so many requests run step by step."""
        now = self.schedule.listeners_close_at
        for count in [*counts, *[counts[-1]] * 1000]:
            if self.schedule.may_exit(count, now):
                return now
            now += STEP
        raise AssertionError("the process never ends")

    def test_request_that_is_counted_after_the_listener_closed_is_awaited(self):
        """Guards against the cut of a request whose connection was just accepted."""
        exit_time = self.find_exit_time([0, 1, 1, 1, 0])
        self.assertGreater(exit_time, self.schedule.listeners_close_at + 3 * STEP)

    def test_idle_host_ends_soon(self):
        """Guards against a stop that takes its whole time without a request."""
        self.assertEqual(
            self.find_exit_time([0]), self.schedule.listeners_close_at + MIN_QUIET_TIME
        )

    def test_long_request_does_not_outlive_the_stop_time(self):
        """Guards against a kill in the middle of the clean-up."""
        exit_time = self.find_exit_time([1])
        self.assertLess(exit_time, STOP_TIME)
        self.assertGreater(exit_time, STOP_TIME * 0.8)

    def test_requests_are_accepted_while_callers_may_still_come(self):
        """Guards against a listener that closes while callers keep the address."""
        self.assertGreaterEqual(self.schedule.listeners_close_at, timedelta(seconds=3))
