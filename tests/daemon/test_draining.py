"""Tests of the schedule of a stopping host. The time is passed in."""

import unittest
from datetime import timedelta

from celeryferry_daemon._internal.forwarding.draining import (
    MIN_QUIET_TIME,
    DrainSchedule,
)
from tests.core.forwarding_harness import make_single_rule, ms

STOP_TIME = timedelta(seconds=6)
STEP = timedelta(milliseconds=50)


class TestDrainSchedule(unittest.TestCase):
    """Guards against requests that are lost while a host stops.

    A host that closes its listeners or exits too early drops requests of callers that
    still use it. A host that exits too late is killed with requests unfinished.
    """

    def setUp(self):
        self.schedule = DrainSchedule(timedelta(0), STOP_TIME)

    def find_exit_time(self, counts: list[int]) -> timedelta:
        """Return when the process exits, which is after it has stopped reading.

        :param counts: number of running requests at each step; the last one repeats.
        """
        now = self.schedule.listeners_close_at
        is_reading = True
        for count in [*counts, *[counts[-1]] * 1000]:
            if is_reading:
                is_reading = not self.schedule.may_end_reading(count, now)
            if not is_reading and self.schedule.may_exit(count, now):
                return now
            now += STEP
        raise AssertionError("the process never exits")

    def test_request_that_is_counted_after_the_listener_closed_is_awaited(self):
        """Guards against an exit while a connection just accepted has its request.

        No request is running when the listeners close. The request on the connection
        that was accepted last is read and counted one step later.
        """
        exit_time = self.find_exit_time([0, 1, 1, 1, 0])
        self.assertGreater(exit_time, self.schedule.listeners_close_at + 3 * STEP)

    def test_idle_host_exits_soon(self):
        """Guards against using the whole stop time although no request is running."""
        self.assertEqual(
            self.find_exit_time([0]), self.schedule.listeners_close_at + MIN_QUIET_TIME
        )

    def test_long_request_does_not_outlive_the_stop_time(self):
        """Guards against being killed during the clean-up at the end of the stop."""
        exit_time = self.find_exit_time([1])
        self.assertLess(exit_time, STOP_TIME)
        self.assertGreater(exit_time, STOP_TIME * 0.8)

    def test_reading_ends_while_there_is_time_to_refuse(self):
        """Guards against reading a request just before the process exits.

        Callers that send without a pause keep the host from ever being quiet.
        """
        now = self.schedule.answers_due_at
        self.assertFalse(self.schedule.may_end_reading(1, now))
        while not self.schedule.may_end_reading(1, now):
            now += STEP
        self.assertFalse(self.schedule.may_exit(1, now + STEP))
        self.assertTrue(self.schedule.may_exit(0, now))

    def test_requests_are_accepted_while_callers_may_still_come(self):
        """Guards against closing the listeners while callers still use the address."""
        self.assertGreaterEqual(self.schedule.listeners_close_at, timedelta(seconds=3))


class TestRequestsOfAStoppingHost(unittest.TestCase):
    """Guards against running requests that are cut off when the process exits.

    Such a request gets no answer at all, and one that must not be repeated can't be
    sent again by its caller, who does not know whether it ran.
    """

    TIMEOUT = ms(4_000)
    TARGET = ms(600)

    def setUp(self):
        self.schedule = DrainSchedule(timedelta(0), STOP_TIME)

    def find_last_run(self, is_repeatable: bool, time_left: timedelta) -> timedelta:
        """Return the latest time at which a request is still run."""
        rule = make_single_rule(
            is_repeatable=is_repeatable,
            timeout=self.TIMEOUT,
            target_latency=self.TARGET,
        )
        now, latest = timedelta(0), None
        while now < STOP_TIME:
            if self.schedule.may_run(rule, time_left, now):
                latest = now
            now += STEP
        return latest

    def test_order_that_can_outlive_the_process_is_refused(self):
        """Guards against an order whose caller never learns whether it ran."""
        latest = self.find_last_run(False, self.TIMEOUT)
        self.assertLessEqual(latest + self.TIMEOUT, self.schedule.answers_due_at)
        self.assertGreater(latest, self.schedule.answers_due_at - self.TIMEOUT - STEP)

    def test_order_with_little_time_is_run_longer(self):
        """Guards against refusing what will end in time in any case."""
        latest = self.find_last_run(False, ms(500))
        self.assertGreater(latest, timedelta(seconds=4))

    def test_repeatable_request_is_run_while_its_usual_time_is_left(self):
        """Guards against refusing quick requests early for their long deadlines."""
        latest = self.find_last_run(True, self.TIMEOUT)
        self.assertGreaterEqual(latest, self.schedule.listeners_close_at)
        self.assertLess(latest + self.TARGET, self.schedule.answers_due_at)

    def test_results_are_due_before_the_exit(self):
        """Guards against an exit while the last answers are being sent."""
        exit_at = self.schedule.answers_due_at
        self.assertFalse(self.schedule.may_exit(1, exit_at + STEP))
