"""Tests of forwarding sessions on a passed-in clock."""

import unittest
from dataclasses import replace
from datetime import timedelta

from celeryferry_core.forwarding.models import Sharded
from celeryferry_core.forwarding.outcomes import (
    LossReason,
    Merged,
    NotRunResult,
    RefusalReason,
    Relayed,
    UnknownResult,
)
from celeryferry_core.forwarding.session import SessionContext
from celeryferry_core.mechanisms import Mechanisms
from tests.core.forwarding_harness import (
    ForwardingHarness,
    answer_all,
    fail,
    lose,
    make_sharded_rule,
    make_single_rule,
    make_upstream,
    ms,
    refuse,
    succeed,
)


def turn_cold(harness: ForwardingHarness, service: str, for_ms: float) -> None:
    """Let the upstream of a service in the own domain turn cold."""
    harness.registry.put(make_upstream(service, "a", cold_for=ms(for_ms)), harness.now)


def make_record(number: int) -> bytes:
    """Return a record whose order is that of its number."""
    return number.to_bytes(16, "big")


class TestShardedRequest(unittest.TestCase):
    """Guards the merged answer: its parts, its coverage and its time."""

    def test_answer_holds_the_greatest_records_of_all_shards(self):
        """Guards against records of one shard that displace greater ones of another."""

        def script(action, _count):
            base = int(action.upstream.service[1:]) * 10
            body = make_record(base) + make_record(base + 1) + b"rest"
            return 5.0, succeed(action, body)

        result = ForwardingHarness(script).run(make_sharded_rule())
        self.assertIsInstance(result, Merged)
        self.assertEqual(
            result.body, make_record(31) + make_record(30) + make_record(21)
        )
        self.assertEqual(result.missing_count, 0)
        self.assertEqual(len(set(result.stamps)), 4)

    def test_equal_records_all_count(self):
        """Guards against merging as a set."""
        harness = ForwardingHarness(lambda a, _: (5.0, succeed(a, make_record(9))))
        self.assertEqual(harness.run(make_sharded_rule()).body, make_record(9) * 3)

    def test_answer_does_not_wait_for_a_lost_shard_beyond_the_target(self):
        """Guards against a late answer where an incomplete one is accepted."""

        def script(action, _count):
            if action.upstream.service == "s0":
                return None
            return 5.0, succeed(action)

        harness = ForwardingHarness(script)
        result = harness.run(make_sharded_rule())
        self.assertEqual(result.missing_count, 1)
        self.assertLessEqual(harness.elapsed, ms(200))
        self.assertNotIn("stamp-s0-a", result.stamps)

    def test_answer_below_the_ratio_is_not_given(self):
        """Guards against an answer that covers too little."""

        def script(action, _count):
            if action.upstream.service in ("s0", "s1"):
                return 5.0, fail(action)
            return 5.0, succeed(action)

        harness = ForwardingHarness(script)
        result = harness.run(make_sharded_rule())
        self.assertEqual(result, UnknownResult(LossReason.NOT_COVERED))
        self.assertLess(harness.elapsed, ms(100), "known at once, so said at once")

    def test_failure_is_no_part(self):
        """Guards against a signed failure that counts as covered."""

        def script(action, _count):
            if action.upstream.service == "s0":
                return 5.0, fail(action)
            return 5.0, succeed(action)

        result = ForwardingHarness(script).run(make_sharded_rule())
        self.assertEqual(result.missing_count, 1)
        self.assertEqual(len(result.stamps), 3)

    def test_late_second_answer_of_a_shard_is_not_a_second_part(self):
        """Guards against a shard that counts twice after a hedge."""

        def script(action, count):
            return (100.0 if count == 1 else 5.0), succeed(action)

        harness = ForwardingHarness(script, services=("s0", "s1"))
        result = harness.run(make_sharded_rule(2))
        self.assertEqual(len(result.stamps), 2)
        self.assertEqual(len(harness.sent), 4)


class TestRequestWithoutUpstreams(unittest.TestCase):
    """Guards the immediate refusal of what can't be served."""

    def test_too_few_shards_are_refused_at_once(self):
        """Guards against a request that waits for its deadline in vain."""
        harness = ForwardingHarness(services=("s0", "s1"))
        result = harness.run(make_sharded_rule())
        self.assertIsInstance(result, NotRunResult)
        self.assertEqual(result.reason, RefusalReason.NO_UPSTREAM)
        self.assertEqual(harness.sent, [])
        self.assertGreater(result.retry_after, timedelta(0))

    def test_callers_are_not_told_to_return_together(self):
        """Guards against a wave of returning callers after a common refusal."""
        harness = ForwardingHarness(services=())
        times = {harness.run(make_sharded_rule()).retry_after for _ in range(20)}
        self.assertGreater(max(times) - min(times), ms(50))

    def test_request_whose_time_is_up_is_not_sent(self):
        """Guards against work that nobody waits for."""
        harness = ForwardingHarness()
        result = harness.run(make_sharded_rule(), time_left_ms=5)
        self.assertEqual(result.reason, RefusalReason.DEADLINE)
        self.assertEqual(harness.sent, [])

    def test_nothing_is_sent_while_too_few_shards_may_get_work(self):
        """Guards against work at the other shards for an answer that can't be given."""
        harness = ForwardingHarness(domains="a")
        harness.warmup.host_ids = ("host-2",)
        turn_cold(harness, "s0", for_ms=5_000)
        turn_cold(harness, "s1", for_ms=5_000)
        result = harness.run(make_sharded_rule())
        self.assertIsInstance(result, NotRunResult)
        self.assertEqual(result.reason, RefusalReason.NO_UPSTREAM)
        self.assertEqual(harness.sent, [])
        self.assertLessEqual(harness.elapsed, ms(50), "a quarter of the target")

    def test_shards_that_warm_up_soon_are_waited_for(self):
        """Guards against a refusal of what can be served a moment later."""
        harness = ForwardingHarness(domains="a")
        harness.warmup.host_ids = ("host-2",)
        turn_cold(harness, "s0", for_ms=30)
        turn_cold(harness, "s1", for_ms=30)
        result = harness.run(make_sharded_rule())
        self.assertIsInstance(result, Merged)
        self.assertEqual(result.missing_count, 0)
        self.assertLessEqual(harness.elapsed, ms(50))


class TestNonRepeatableRequest(unittest.TestCase):
    """Guards that a request runs at most once, and that "not run" is true."""

    def test_lost_attempt_is_not_repeated(self):
        """Guards against a second run after a lost connection."""
        harness = ForwardingHarness(lambda a, _: (5.0, lose(a)))
        result = harness.run(make_single_rule(is_repeatable=False))
        self.assertEqual(len(harness.sent), 1)
        self.assertEqual(result, UnknownResult(LossReason.CONNECTION_LOST))

    def test_slow_attempt_is_not_hedged(self):
        """Guards against a hedge that runs the request twice."""
        harness = ForwardingHarness(lambda a, _: (400.0, succeed(a)))
        result = harness.run(make_single_rule(is_repeatable=False))
        self.assertEqual(len(harness.sent), 1)
        self.assertIsInstance(result, Relayed)

    def test_refused_attempt_is_made_elsewhere(self):
        """Guards against giving up although nothing ran."""

        def script(action, count):
            return 5.0, refuse(action) if count == 1 else succeed(action)

        harness = ForwardingHarness(script)
        result = harness.run(make_single_rule(is_repeatable=False))
        self.assertIsInstance(result, Relayed)
        self.assertEqual(len({sent.upstream.instance_id for sent in harness.sent}), 2)

    def test_refused_everywhere_is_not_run(self):
        """Guards against an unknown outcome where a true refusal is known."""
        harness = ForwardingHarness(lambda a, _: (5.0, refuse(a)))
        result = harness.run(make_single_rule(is_repeatable=False))
        self.assertIsInstance(result, NotRunResult)

    def test_pending_attempt_at_the_end_is_unknown(self):
        """Guards against "not run" for a request that may still run."""
        harness = ForwardingHarness(lambda a, _: None)
        result = harness.run(make_single_rule(is_repeatable=False))
        self.assertEqual(result, UnknownResult(LossReason.TIMEOUT))
        self.assertLess(harness.elapsed, ms(800))


class TestRepeatableRequest(unittest.TestCase):
    """Guards hedges and retries, and their bounds."""

    def test_slow_attempt_is_hedged_elsewhere(self):
        """Guards against a straggler that sets the latency; fails without hedging."""

        def script(action, count):
            return (400.0 if count == 1 else 5.0), succeed(action)

        harness = ForwardingHarness(script)
        harness.run(make_single_rule())
        self.assertLess(harness.elapsed, ms(200))
        knowledge = harness.context
        harness.context = SessionContext(
            knowledge.selector,
            knowledge.budgets,
            knowledge.times,
            knowledge.random,
            replace(Mechanisms(), hedging=False),
        )
        harness.run(make_single_rule())
        self.assertEqual(harness.elapsed, ms(400))

    def test_straggler_is_told_by_its_siblings(self):
        """Guards against a hedge that waits for what earlier, longer requests took."""

        def script(action, count):
            is_slow = action.upstream.service == "s0" and count == 1
            return (150.0 if is_slow else 10.0), succeed(action)

        harness = ForwardingHarness(script)
        times = harness.context.times.get_or_create(make_sharded_rule())
        for _ in range(100):
            times.record(ms(90))
        harness.run(make_sharded_rule())
        self.assertLess(harness.elapsed, ms(40))

    def test_no_hedge_while_all_shards_take_long(self):
        """Guards against hedges for a request that is long on every shard."""
        harness = ForwardingHarness(lambda a, _: (60.0 + a.attempt_id, succeed(a)))
        times = harness.context.times.get_or_create(make_sharded_rule())
        for _ in range(100):
            times.record(ms(70))
        harness.run(make_sharded_rule())
        self.assertEqual(len(harness.sent), 4)

    def test_attempts_are_bounded(self):
        """Guards against more upstreams than the rule allows."""
        harness = ForwardingHarness(lambda a, _: (5.0, fail(a)))
        result = harness.run(make_single_rule(max_attempts=2))
        self.assertEqual(len(harness.sent), 2)
        self.assertEqual(result.response.status, 500)

    def test_extra_attempts_are_bounded_over_requests(self):
        """Guards against retries that multiply the load of a failing service."""
        harness = ForwardingHarness(lambda a, _: (5.0, fail(a)), ratio=0.2, burst=20.0)
        extra = 0
        for _ in range(100):
            harness.run(make_single_rule())
            extra += len(harness.sent) - 1
        self.assertLessEqual(extra, 100 * 0.2 + 20.0 / 4)

    def test_client_error_is_not_retried(self):
        """Guards against repeating what every upstream answers the same."""
        harness = ForwardingHarness(lambda a, _: (5.0, fail(a, 400)))
        result = harness.run(make_single_rule())
        self.assertEqual(len(harness.sent), 1)
        self.assertEqual(result.response.status, 400)

    def test_open_attempts_are_cancelled_when_the_caller_leaves(self):
        """Guards against work for a caller that is gone."""
        harness = ForwardingHarness(lambda a, _: (400.0, succeed(a)))
        harness.run(make_sharded_rule(), caller_gone_after_ms=10)
        self.assertEqual(harness.cancelled, [0, 1, 2, 3])

    def test_route_timeout_ends_the_wait_of_a_patient_caller(self):
        """Guards against a request held beyond the time that operators allow."""
        harness = ForwardingHarness(lambda a, _: None)
        harness.run(make_single_rule(timeout=ms(300)), time_left_ms=5_000)
        self.assertLessEqual(harness.elapsed, ms(300))


class TestAnswerAfterRefusals(unittest.TestCase):
    """Guards against a request that fails while an upstream could answer it."""

    def test_all_shards_survive_one_refusing_domain(self):
        """Guards coverage while the upstreams of one failure domain shed load."""

        def script(action, count):
            if action.upstream.failure_domain == "a":
                return 2.0, refuse(action)
            return answer_all(action, count)

        rule = make_sharded_rule(max_attempts=1)
        self.assertIsInstance(rule.target, Sharded)
        result = ForwardingHarness(script).run(rule)
        self.assertEqual(result.missing_count, 0)
