"""Tests of forwarding sessions on a simulated clock."""

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
    """Mark the upstream of a service in the harness's own domain as cold."""
    harness.registry.put(make_upstream(service, "a", cold_for=ms(for_ms)), harness.now)


def make_record(number: int) -> bytes:
    """Return a record that sorts by its number."""
    return number.to_bytes(16, "big")


class TestShardedRequest(unittest.TestCase):
    """Guards against merged answers that are wrong, cover too little or come too late.

    This happens if records are lost in the merge, if a failed or hedged shard is
    counted wrongly as covered, or if the session waits for a shard that does not
    answer.
    """

    def test_answer_holds_the_greatest_records_of_all_shards(self):
        """Guards against records of one shard displacing greater ones of another."""

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
        """Guards against dropping equal records of different shards."""
        harness = ForwardingHarness(lambda a, _: (5.0, succeed(a, make_record(9))))
        self.assertEqual(harness.run(make_sharded_rule()).body, make_record(9) * 3)

    def test_answer_does_not_wait_for_a_lost_shard_beyond_the_target(self):
        """Guards against waiting for a silent shard once enough shards are covered."""

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
        """Guards against an answer that covers fewer shards than the rule requires."""

        def script(action, _count):
            if action.upstream.service in ("s0", "s1"):
                return 5.0, fail(action)
            return 5.0, succeed(action)

        harness = ForwardingHarness(script)
        result = harness.run(make_sharded_rule())
        self.assertEqual(result, UnknownResult(LossReason.NOT_COVERED))
        self.assertLess(
            harness.elapsed,
            ms(100),
            "the result is known early and must be returned early",
        )

    def test_failure_does_not_count_as_covered(self):
        """Guards against counting a failure with a stamp as a covered shard."""

        def script(action, _count):
            if action.upstream.service == "s0":
                return 5.0, fail(action)
            return 5.0, succeed(action)

        result = ForwardingHarness(script).run(make_sharded_rule())
        self.assertEqual(result.missing_count, 1)
        self.assertEqual(len(result.stamps), 3)

    def test_late_second_answer_of_a_shard_is_ignored(self):
        """Guards against counting a shard twice after both attempts answered."""

        def script(action, count):
            return (100.0 if count == 1 else 5.0), succeed(action)

        harness = ForwardingHarness(script, services=("s0", "s1"))
        result = harness.run(make_sharded_rule(2))
        self.assertEqual(len(result.stamps), 2)
        self.assertEqual(len(harness.sent), 4)


class TestRequestWithoutUpstreams(unittest.TestCase):
    """Guards against requests that wait or do work although they cannot be answered.

    This happens if too few shards have an upstream that may receive work, because none
    is listed, all are cold, or the time of the request is up.
    """

    def test_too_few_shards_are_refused_at_once(self):
        """Guards against waiting for the deadline when no answer is possible."""
        harness = ForwardingHarness(services=("s0", "s1"))
        result = harness.run(make_sharded_rule())
        self.assertIsInstance(result, NotRunResult)
        self.assertEqual(result.reason, RefusalReason.NO_UPSTREAM)
        self.assertEqual(harness.sent, [])
        self.assertGreater(result.retry_after, timedelta(0))

    def test_callers_are_not_told_to_return_together(self):
        """Guards against refused callers that all retry at the same time."""
        harness = ForwardingHarness(services=())
        times = {harness.run(make_sharded_rule()).retry_after for _ in range(20)}
        self.assertGreater(max(times) - min(times), ms(50))

    def test_request_whose_time_is_up_is_not_sent(self):
        """Guards against sending a request whose caller no longer waits."""
        harness = ForwardingHarness()
        result = harness.run(make_sharded_rule(), time_left_ms=5)
        self.assertEqual(result.reason, RefusalReason.DEADLINE)
        self.assertEqual(harness.sent, [])

    def test_nothing_is_sent_while_too_few_shards_may_get_work(self):
        """Guards against sending to some shards when too few of them are available."""
        harness = ForwardingHarness(domains="a")
        harness.senders.may_send_all = False
        turn_cold(harness, "s0", for_ms=5_000)
        turn_cold(harness, "s1", for_ms=5_000)
        result = harness.run(make_sharded_rule())
        self.assertIsInstance(result, NotRunResult)
        self.assertEqual(result.reason, RefusalReason.NO_UPSTREAM)
        self.assertEqual(harness.sent, [])
        self.assertLessEqual(
            harness.elapsed,
            ms(50),
            "waited longer than a quarter of the target latency",
        )

    def test_shards_that_warm_up_soon_are_waited_for(self):
        """Guards against refusing a request that can be served shortly afterwards."""
        harness = ForwardingHarness(domains="a")
        harness.senders.may_send_all = False
        turn_cold(harness, "s0", for_ms=30)
        turn_cold(harness, "s1", for_ms=30)
        result = harness.run(make_sharded_rule())
        self.assertIsInstance(result, Merged)
        self.assertEqual(result.missing_count, 0)
        self.assertLessEqual(harness.elapsed, ms(50))


class TestNonRepeatableRequest(unittest.TestCase):
    """Guards against non-repeatable requests that run twice or are reported wrongly.

    A second run happens if an attempt with an unknown outcome is retried or hedged. A
    wrong report happens if a request that may have run is reported as not run, or one
    that was refused is reported as unknown.
    """

    def test_lost_attempt_is_not_repeated(self):
        """Guards against a retry after a lost connection, which may run it twice."""
        harness = ForwardingHarness(lambda a, _: (5.0, lose(a)))
        result = harness.run(make_single_rule(is_repeatable=False))
        self.assertEqual(len(harness.sent), 1)
        self.assertEqual(result, UnknownResult(LossReason.CONNECTION_LOST))

    def test_slow_attempt_is_not_hedged(self):
        """Guards against a hedge, which would run the request twice."""
        harness = ForwardingHarness(lambda a, _: (400.0, succeed(a)))
        result = harness.run(make_single_rule(is_repeatable=False))
        self.assertEqual(len(harness.sent), 1)
        self.assertIsInstance(result, Relayed)

    def test_refused_attempt_is_made_elsewhere(self):
        """Guards against failing a request that did not run and can be retried."""

        def script(action, count):
            return 5.0, refuse(action) if count == 1 else succeed(action)

        harness = ForwardingHarness(script)
        result = harness.run(make_single_rule(is_repeatable=False))
        self.assertIsInstance(result, Relayed)
        self.assertEqual(len({sent.upstream.instance_id for sent in harness.sent}), 2)

    def test_refused_everywhere_is_not_run(self):
        """Guards against reporting an unknown outcome if all attempts were refused."""
        harness = ForwardingHarness(lambda a, _: (5.0, refuse(a)))
        result = harness.run(make_single_rule(is_repeatable=False))
        self.assertIsInstance(result, NotRunResult)

    def test_pending_attempt_at_the_end_is_unknown(self):
        """Guards against reporting "not run" for a request that may still run."""
        harness = ForwardingHarness(lambda a, _: None)
        result = harness.run(make_single_rule(is_repeatable=False))
        self.assertEqual(result, UnknownResult(LossReason.TIMEOUT))
        self.assertLess(harness.elapsed, ms(800))


class TestRepeatableRequest(unittest.TestCase):
    """Guards against missing or unlimited hedges and retries of repeatable requests.

    Without them, one slow or failing upstream determines the result. Without limits,
    they multiply the load of a failing service.
    """

    def test_slow_attempt_is_hedged_elsewhere(self):
        """Guards against a straggler that sets the latency; fails without hedging."""

        def script(action, count):
            return (400.0 if count == 1 else 5.0), succeed(action)

        harness = ForwardingHarness(script)
        harness.run(make_single_rule())
        self.assertLess(harness.elapsed, ms(200))
        context = harness.context
        harness.context = SessionContext(
            context.selector,
            context.budgets,
            context.times,
            context.random,
            replace(Mechanisms(), hedging=False),
        )
        harness.run(make_single_rule())
        self.assertEqual(harness.elapsed, ms(400))

    def test_straggler_is_identified_by_the_other_shards(self):
        """Guards against a hedge delay that follows earlier, longer requests."""

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
        """Guards against hedging a request that takes long on every shard."""
        harness = ForwardingHarness(lambda a, _: (60.0 + a.attempt_id, succeed(a)))
        times = harness.context.times.get_or_create(make_sharded_rule())
        for _ in range(100):
            times.record(ms(70))
        harness.run(make_sharded_rule())
        self.assertEqual(len(harness.sent), 4)

    def test_attempts_are_bounded(self):
        """Guards against using more upstreams than the rule allows."""
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
        """Guards against retrying a request that every upstream rejects alike."""
        harness = ForwardingHarness(lambda a, _: (5.0, fail(a, 400)))
        result = harness.run(make_single_rule())
        self.assertEqual(len(harness.sent), 1)
        self.assertEqual(result.response.status, 400)

    def test_open_attempts_are_cancelled_when_the_caller_leaves(self):
        """Guards against continued work for a caller that closed its connection."""
        harness = ForwardingHarness(lambda a, _: (400.0, succeed(a)))
        harness.run(make_sharded_rule(), caller_gone_after_ms=10)
        self.assertEqual(harness.cancelled, [0, 1, 2, 3])

    def test_route_timeout_ends_the_wait_of_a_patient_caller(self):
        """Guards against holding a request beyond the timeout of its rule."""
        harness = ForwardingHarness(lambda a, _: None)
        harness.run(make_single_rule(timeout=ms(300)), time_left_ms=5_000)
        self.assertLessEqual(harness.elapsed, ms(300))


class TestAnswerAfterRefusals(unittest.TestCase):
    """Guards against shards that stay uncovered after a refusal.

    A refused attempt did not run. If it counted towards the maximum number of attempts,
    a shard would fail although an upstream of another failure domain could answer.
    """

    def test_all_shards_survive_one_refusing_domain(self):
        """Guards against lost coverage while one failure domain sheds load."""

        def script(action, count):
            if action.upstream.failure_domain == "a":
                return 2.0, refuse(action)
            return answer_all(action, count)

        rule = make_sharded_rule(max_attempts=1)
        self.assertIsInstance(rule.target, Sharded)
        result = ForwardingHarness(script).run(rule)
        self.assertEqual(result.missing_count, 0)
