"""Tests of the concurrency limit of one upstream."""

import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryferry_core.limits import LimitCause, UpstreamLimit
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.outcomes import NotRunReason, UpstreamState
from celeryferry_core.models.topology import UpstreamLimits
from celeryferry_core.surplus import choose_surplus

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)


def make_limit(slots=4, **switches):
    limits = UpstreamLimits(slots=slots, connections=80, cold_limit=1)
    return UpstreamLimit(limits, Mechanisms(**switches))


def record_successes(limit, count, latency=10 * MS):
    for _ in range(count):
        limit.record_success(limit.epoch, latency)


class TestGrowth(unittest.TestCase):
    """Guards against a limit that grows without successful answers to the owner.

    Health answers say nothing about capacity, and answers to requests from before a
    negative signal say nothing about the recovery. Either would let the limit grow
    while the upstream is still cold.
    """

    def test_starts_cold_and_grows_by_one_after_eight_times_the_limit(self):
        limit = make_limit()
        self.assertEqual(limit.limit, 1)
        record_successes(limit, 7)
        self.assertEqual(limit.limit, 1)
        record_successes(limit, 1)
        self.assertEqual(limit.limit, 2)
        record_successes(limit, 16 + 24 + 100)
        self.assertEqual(limit.limit, 4)

    def test_answers_to_work_sent_before_a_cold_signal_do_not_count(self):
        limit = make_limit()
        epoch = limit.epoch
        limit.record_negative_signal(LimitCause.COLD, SECOND)
        for _ in range(20):
            limit.record_success(epoch, 10 * MS)
        self.assertEqual(limit.limit, 1)
        self.assertIs(limit.status.state, UpstreamState.COLD)

    def test_failed_increases_need_twice_as_many_successes_next_time(self):
        limit = make_limit()
        needed = []
        for _ in range(4):
            count = 0
            while limit.limit == 1:
                record_successes(limit, 1)
                count += 1
            needed.append(count)
            limit.record_negative_signal(LimitCause.RESTARTED, SECOND)
            limit.record_negative_signal(LimitCause.RESTARTED, SECOND)
        self.assertEqual(needed, [8, 16, 32, 64])
        record_successes(limit, 10_000)
        limit.record_negative_signal(LimitCause.COLD, SECOND)
        record_successes(limit, 8)
        self.assertEqual(limit.limit, 2)

    def test_a_ready_health_answer_never_raises_the_limit(self):
        limit = make_limit()
        for poll in range(100):
            polled_at = poll * SECOND
            limit.record_health_answer(UpstreamState.READY, polled_at, polled_at)
        self.assertEqual(limit.limit, 1)
        self.assertIs(limit.status.state, UpstreamState.COLD)


class TestNegativeSignals(unittest.TestCase):
    """Guards against load above the cold limit after a negative signal.

    An upstream that is cold, shedding, restarted or suddenly slower fails under the
    load that it could handle before.
    """

    def test_each_signal_lowers_the_limit_immediately(self):
        for cause in (
            LimitCause.COLD,
            LimitCause.DRAINING,
            LimitCause.SHEDDING,
            LimitCause.UNREACHABLE,
            LimitCause.RESTARTED,
        ):
            limit = make_limit()
            record_successes(limit, 100)
            change = limit.record_negative_signal(cause, SECOND)
            self.assertEqual((change.before, change.after), (4, 1), cause)

    def test_without_the_cold_limit_the_signal_changes_nothing(self):
        limit = make_limit(cold_limit=False)
        limit.record_negative_signal(LimitCause.COLD, SECOND)
        self.assertEqual(limit.limit, 4)

    def test_a_latency_step_lowers_the_limit_once(self):
        limit = make_limit()
        record_successes(limit, 100)
        record_successes(limit, 8, 200 * MS)
        self.assertEqual(limit.limit, 1)
        record_successes(limit, 200, 200 * MS)
        self.assertEqual(limit.limit, 4)

    def test_single_straggling_answers_are_no_step(self):
        limit = make_limit()
        for _ in range(50):
            record_successes(limit, 19)
            record_successes(limit, 1, 100 * MS)
        self.assertEqual(limit.limit, 4)

    def test_surplus_is_the_latest_work_that_may_be_cancelled(self):
        self.assertEqual(choose_surplus([True, True, False, True], 2), (3, 1))
        self.assertEqual(choose_surplus([False, False], 1), ())
        self.assertEqual(choose_surplus([True], 1), ())

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.one_of(st.sampled_from(LimitCause), st.integers(1, 60))))
    def test_any_sequence_keeps_the_limit_between_cold_limit_and_slots(self, events):
        limit = make_limit()
        for position, event in enumerate(events):
            if isinstance(event, int):
                record_successes(limit, event)
            else:
                limit.record_negative_signal(event, position * SECOND)
                self.assertEqual(limit.limit, 1)
            self.assertTrue(1 <= limit.limit <= 4)


class TestUnreachable(unittest.TestCase):
    """Guards against repeated attempts to reach an upstream that is down.

    Without a pause that doubles, and without single trial requests, every queued
    request would fail one after the other.
    """

    def test_trials_are_single_and_back_off(self):
        limit = make_limit()
        now = SECOND
        pauses = []
        for _ in range(8):
            limit.record_negative_signal(LimitCause.UNREACHABLE, now)
            pauses.append((limit.status.resume_at - now) / MS)
            self.assertFalse(limit.may_start(now, 0))
            now = limit.status.resume_at
            self.assertTrue(limit.may_start(now, 0))
            self.assertFalse(limit.may_start(now, 1))
        self.assertEqual(pauses, [100, 200, 400, 800, 1600, 3200, 5000, 5000])

    def test_a_refused_health_poll_postpones_the_trial(self):
        limit = make_limit()
        limit.record_health_answer(UpstreamState.UNREACHABLE, SECOND, SECOND)
        refusal = limit.check_admission(SECOND, 0, 0, SECOND)
        self.assertIs(refusal.reason, NotRunReason.UNREACHABLE)
        self.assertEqual(refusal.retry_after_ms, 600)
        later = SECOND + 600 * MS
        self.assertIs(limit.status.get_reported_state(later), UpstreamState.COLD)


class TestDrain(unittest.TestCase):
    """Guards against new work on a draining upstream.

    Answers to earlier requests, and health answers from before the drain, must not end
    the drain.
    """

    def test_answers_do_not_end_a_drain(self):
        limit = make_limit()
        record_successes(limit, 100)
        limit.record_negative_signal(LimitCause.DRAINING, SECOND)
        record_successes(limit, 100)
        refusal = limit.check_admission(SECOND, 0, 0, SECOND)
        self.assertIs(refusal.reason, NotRunReason.DRAINING)

    def test_two_later_health_answers_end_it_at_the_cold_limit(self):
        limit = make_limit()
        record_successes(limit, 100)
        limit.record_negative_signal(LimitCause.DRAINING, SECOND)
        delayed = limit.record_health_answer(UpstreamState.READY, SECOND, 2 * SECOND)
        self.assertIsNone(delayed)
        limit.record_health_answer(UpstreamState.READY, 2 * SECOND, 2 * SECOND)
        self.assertTrue(limit.status.is_draining)
        change = limit.record_health_answer(UpstreamState.READY, 3 * SECOND, 3 * SECOND)
        self.assertIs(change.cause, LimitCause.DRAIN_ENDED)
        self.assertEqual((limit.limit, limit.status.is_draining), (1, False))

    def test_wrong_health_answers_are_needed_twice_as_often(self):
        limit = make_limit()
        now = SECOND
        polls = []
        for _ in range(3):
            limit.record_refusal(LimitCause.DRAINING, now)
            count = 0
            while limit.status.is_draining:
                now += SECOND
                limit.record_health_answer(UpstreamState.READY, now, now)
                count += 1
            polls.append(count)
        self.assertEqual(polls, [2, 4, 8])


class TestAdmission(unittest.TestCase):
    """Guards against a queue that grows without bound or holds work that will be late.

    Such work occupies the upstream although its caller has already timed out.
    """

    def test_the_queue_is_bounded(self):
        limit = make_limit()
        refusal = limit.check_admission(SECOND, 1, limit.queue_bound, 60 * SECOND)
        self.assertIs(refusal.reason, NotRunReason.COLD)

    def test_late_work_is_refused_early_with_a_retry_time(self):
        limit = make_limit()
        record_successes(limit, 100)
        self.assertIsNone(limit.check_admission(SECOND, 4, 0, 21 * MS))
        refusal = limit.check_admission(SECOND, 4, 8, 21 * MS)
        self.assertIs(refusal.reason, NotRunReason.OVERLOADED)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_each_switch_leaves_out_its_refusal_only(self):
        late = (SECOND, 4, 8, 21 * MS)
        full = (SECOND, 4, make_limit().queue_bound, 60 * SECOND)
        for switch, accepted, refused in (
            ("early_refusal", late, full),
            ("queue_bound", full, late),
        ):
            limit = make_limit(**{switch: False})
            record_successes(limit, 100)
            self.assertIsNone(limit.check_admission(*accepted), switch)
            self.assertIsNotNone(limit.check_admission(*refused), switch)

    def test_an_idle_upstream_gets_work_despite_a_high_estimate(self):
        limit = make_limit()
        record_successes(limit, 100, SECOND)
        self.assertIsNone(limit.check_admission(SECOND, 0, 0, 10 * MS))

    def test_work_past_its_deadline_is_refused(self):
        refusal = make_limit().check_admission(SECOND, 0, 0, timedelta(0))
        self.assertIs(refusal.reason, NotRunReason.DEADLINE)
