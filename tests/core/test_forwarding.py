"""Tests of forwarding sessions on a passed-in clock."""

import unittest
from dataclasses import replace
from datetime import timedelta

from celeryferry_core.forwarding.events import AttemptEnded
from celeryferry_core.forwarding.models import Sharded
from celeryferry_core.forwarding.outcomes import (
    LossReason,
    Lost,
    Merged,
    NotRunResult,
    RefusalReason,
    Relayed,
    UnknownResult,
)
from celeryferry_core.forwarding.session import Knowledge
from celeryferry_core.mechanisms import Mechanisms
from tests.core.forwarding_rig import (
    ForwardingRig,
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


def make_cold(rig: ForwardingRig, service: str, for_ms: float) -> None:
    """Let the upstream of a service in the own domain turn cold."""
    rig.registry.put(make_upstream(service, "a", cold_for=ms(for_ms)), rig.now)


def record(number: int) -> bytes:
    """Return a record whose order is that of its number."""
    return number.to_bytes(16, "big")


class TestShardedRequest(unittest.TestCase):
    """Guards the merged answer: its parts, its coverage and its time."""

    def test_answer_holds_the_greatest_records_of_all_shards(self):
        """Guards against records of one shard that displace greater ones of another."""

        def script(action, _count):
            base = int(action.upstream.service[1:]) * 10
            body = record(base) + record(base + 1) + b"rest"
            return 5.0, succeed(action, body)

        result = ForwardingRig(script).run(make_sharded_rule())
        self.assertIsInstance(result, Merged)
        self.assertEqual(result.body, record(31) + record(30) + record(21))
        self.assertEqual(result.missing_count, 0)
        self.assertEqual(len(set(result.stamps)), 4)

    def test_equal_records_all_count(self):
        """Guards against merging as a set."""
        rig = ForwardingRig(lambda a, _: (5.0, succeed(a, record(9))))
        self.assertEqual(rig.run(make_sharded_rule()).body, record(9) * 3)

    def test_answer_does_not_wait_for_a_lost_shard_beyond_the_target(self):
        """Guards against a late answer where an incomplete one is accepted."""

        def script(action, _count):
            if action.upstream.service == "s0":
                return None
            return 5.0, succeed(action)

        rig = ForwardingRig(script)
        result = rig.run(make_sharded_rule())
        self.assertEqual(result.missing_count, 1)
        self.assertLessEqual(rig.elapsed, ms(200))
        self.assertNotIn("stamp-s0-a", result.stamps)

    def test_answer_below_the_ratio_is_not_given(self):
        """Guards against an answer that covers too little."""

        def script(action, _count):
            if action.upstream.service in ("s0", "s1"):
                return 5.0, fail(action)
            return 5.0, succeed(action)

        rig = ForwardingRig(script)
        result = rig.run(make_sharded_rule())
        self.assertEqual(result, UnknownResult(LossReason.NOT_COVERED))
        self.assertLess(rig.elapsed, ms(100), "known at once, so said at once")

    def test_failure_is_no_part(self):
        """Guards against a signed failure that counts as covered."""

        def script(action, _count):
            if action.upstream.service == "s0":
                return 5.0, fail(action)
            return 5.0, succeed(action)

        result = ForwardingRig(script).run(make_sharded_rule())
        self.assertEqual(result.missing_count, 1)
        self.assertEqual(len(result.stamps), 3)

    def test_late_second_answer_of_a_shard_is_not_a_second_part(self):
        """Guards against a shard that counts twice after a hedge."""

        def script(action, count):
            return (100.0 if count == 1 else 5.0), succeed(action)

        rig = ForwardingRig(script, services=("s0", "s1"))
        result = rig.run(make_sharded_rule(2))
        self.assertEqual(len(result.stamps), 2)
        self.assertEqual(len(rig.sent), 4)


class TestRequestWithoutUpstreams(unittest.TestCase):
    """Guards the immediate refusal of what can't be served."""

    def test_too_few_shards_are_refused_at_once(self):
        """Guards against a request that waits for its deadline in vain."""
        rig = ForwardingRig(services=("s0", "s1"))
        result = rig.run(make_sharded_rule())
        self.assertIsInstance(result, NotRunResult)
        self.assertEqual(result.reason, RefusalReason.NO_UPSTREAM)
        self.assertEqual(rig.sent, [])
        self.assertGreater(result.retry_after, timedelta(0))

    def test_callers_are_not_told_to_return_together(self):
        """Guards against a wave of returning callers after a common refusal."""
        rig = ForwardingRig(services=())
        times = {rig.run(make_sharded_rule()).retry_after for _ in range(20)}
        self.assertGreater(max(times) - min(times), ms(50))

    def test_request_whose_time_is_up_is_not_sent(self):
        """Guards against work that nobody waits for."""
        rig = ForwardingRig()
        result = rig.run(make_sharded_rule(), time_left_ms=5)
        self.assertEqual(result.reason, RefusalReason.DEADLINE)
        self.assertEqual(rig.sent, [])

    def test_nothing_is_sent_while_too_few_shards_may_get_work(self):
        """Guards against work at the other shards for an answer that can't be given."""
        rig = ForwardingRig(domains="a")
        rig.warmup.host_ids = ("host-2",)
        make_cold(rig, "s0", for_ms=5_000)
        make_cold(rig, "s1", for_ms=5_000)
        result = rig.run(make_sharded_rule())
        self.assertIsInstance(result, NotRunResult)
        self.assertEqual(result.reason, RefusalReason.NO_UPSTREAM)
        self.assertEqual(rig.sent, [])
        self.assertLessEqual(rig.elapsed, ms(50), "a quarter of the target")

    def test_shards_that_warm_up_soon_are_waited_for(self):
        """Guards against a refusal of what can be served a moment later."""
        rig = ForwardingRig(domains="a")
        rig.warmup.host_ids = ("host-2",)
        make_cold(rig, "s0", for_ms=30)
        make_cold(rig, "s1", for_ms=30)
        result = rig.run(make_sharded_rule())
        self.assertIsInstance(result, Merged)
        self.assertEqual(result.missing_count, 0)
        self.assertLessEqual(rig.elapsed, ms(50))


class TestNonRepeatableRequest(unittest.TestCase):
    """Guards that a request runs at most once, and that "not run" is true."""

    def test_lost_attempt_is_not_repeated(self):
        """Guards against a second run after a lost connection."""
        rig = ForwardingRig(lambda a, _: (5.0, lose(a)))
        result = rig.run(make_single_rule(is_repeatable=False))
        self.assertEqual(len(rig.sent), 1)
        self.assertEqual(result, UnknownResult(LossReason.CONNECTION_LOST))

    def test_slow_attempt_is_not_hedged(self):
        """Guards against a hedge that runs the request twice."""
        rig = ForwardingRig(lambda a, _: (400.0, succeed(a)))
        result = rig.run(make_single_rule(is_repeatable=False))
        self.assertEqual(len(rig.sent), 1)
        self.assertIsInstance(result, Relayed)

    def test_refused_attempt_is_made_elsewhere(self):
        """Guards against giving up although nothing ran."""

        def script(action, count):
            return 5.0, refuse(action) if count == 1 else succeed(action)

        rig = ForwardingRig(script)
        result = rig.run(make_single_rule(is_repeatable=False))
        self.assertIsInstance(result, Relayed)
        self.assertEqual(len({sent.upstream.instance_id for sent in rig.sent}), 2)

    def test_refused_everywhere_is_not_run(self):
        """Guards against an unknown outcome where a true refusal is known."""
        rig = ForwardingRig(lambda a, _: (5.0, refuse(a)))
        result = rig.run(make_single_rule(is_repeatable=False))
        self.assertIsInstance(result, NotRunResult)

    def test_pending_attempt_at_the_end_is_unknown(self):
        """Guards against "not run" for a request that may still run."""
        rig = ForwardingRig(lambda a, _: None)
        result = rig.run(make_single_rule(is_repeatable=False))
        self.assertEqual(result, UnknownResult(LossReason.TIMEOUT))
        self.assertLess(rig.elapsed, ms(800))


class TestRepeatableRequest(unittest.TestCase):
    """Guards hedges and retries, and their bounds."""

    def test_slow_attempt_is_hedged_elsewhere(self):
        """Guards against a straggler that sets the latency; fails without hedging."""

        def script(action, count):
            return (400.0 if count == 1 else 5.0), succeed(action)

        rig = ForwardingRig(script)
        rig.run(make_single_rule())
        self.assertLess(rig.elapsed, ms(200))
        knowledge = rig.knowledge
        rig.knowledge = Knowledge(
            knowledge.selector,
            knowledge.budgets,
            knowledge.times,
            knowledge.random,
            replace(Mechanisms(), hedging=False),
        )
        rig.run(make_single_rule())
        self.assertEqual(rig.elapsed, ms(400))

    def test_straggler_is_told_by_its_siblings(self):
        """Guards against a hedge that waits for what earlier, longer requests took."""

        def script(action, count):
            is_slow = action.upstream.service == "s0" and count == 1
            return (150.0 if is_slow else 10.0), succeed(action)

        rig = ForwardingRig(script)
        times = rig.knowledge.times.of(make_sharded_rule())
        for _ in range(100):
            times.record(ms(90))
        rig.run(make_sharded_rule())
        self.assertLess(rig.elapsed, ms(40))

    def test_no_hedge_while_all_shards_take_long(self):
        """Guards against hedges for a request that is long on every shard."""
        rig = ForwardingRig(lambda a, _: (60.0 + a.attempt_id, succeed(a)))
        times = rig.knowledge.times.of(make_sharded_rule())
        for _ in range(100):
            times.record(ms(70))
        rig.run(make_sharded_rule())
        self.assertEqual(len(rig.sent), 4)

    def test_attempts_are_bounded(self):
        """Guards against more upstreams than the rule allows."""
        rig = ForwardingRig(lambda a, _: (5.0, fail(a)))
        result = rig.run(make_single_rule(max_attempts=2))
        self.assertEqual(len(rig.sent), 2)
        self.assertEqual(result.response.status, 500)

    def test_extra_attempts_are_bounded_over_requests(self):
        """Guards against retries that multiply the load of a failing service."""
        rig = ForwardingRig(lambda a, _: (5.0, fail(a)), ratio=0.2, burst=20.0)
        extra = 0
        for _ in range(100):
            rig.run(make_single_rule())
            extra += len(rig.sent) - 1
        self.assertLessEqual(extra, 100 * 0.2 + 20.0 / 4)

    def test_client_error_is_not_retried(self):
        """Guards against repeating what every upstream answers the same."""
        rig = ForwardingRig(lambda a, _: (5.0, fail(a, 400)))
        result = rig.run(make_single_rule())
        self.assertEqual(len(rig.sent), 1)
        self.assertEqual(result.response.status, 400)

    def test_open_attempts_are_cancelled_when_the_caller_leaves(self):
        """Guards against work for a caller that is gone."""
        rig = ForwardingRig(lambda a, _: (400.0, succeed(a)))
        rig.run(make_sharded_rule(), gone_ms=10)
        self.assertEqual(rig.cancelled, [0, 1, 2, 3])

    def test_route_timeout_ends_the_wait_of_a_patient_caller(self):
        """Guards against a request held beyond the time that operators allow."""
        rig = ForwardingRig(lambda a, _: None)
        rig.run(make_single_rule(timeout=ms(300)), time_left_ms=5_000)
        self.assertLessEqual(rig.elapsed, ms(300))


class TestUpstreamChoice(unittest.TestCase):
    """Guards which upstreams get work."""

    def test_own_failure_domain_comes_first(self):
        """Guards against traffic between failure domains without a reason."""
        rig = ForwardingRig()
        rig.run(make_sharded_rule())
        self.assertEqual({s.upstream.failure_domain for s in rig.sent}, {"a"})

    def test_domain_out_gets_nothing(self):
        """Guards against work in a failure domain that operators took out."""
        rig = ForwardingRig()
        rig.registry.domains_out = frozenset({"a"})
        rig.run(make_sharded_rule())
        self.assertNotIn("a", {s.upstream.failure_domain for s in rig.sent})

    def test_draining_upstream_gets_nothing(self):
        """Guards against work for an upstream that is leaving."""
        rig = ForwardingRig()
        rig.registry.put(make_upstream("s0", "a", is_draining=True), rig.now)
        rig.run(make_sharded_rule())
        self.assertNotIn("s0-a", [s.upstream.instance_id for s in rig.sent])

    def test_upstream_that_drains_meanwhile_gets_no_hedge(self):
        """Guards against hedges to an upstream that began to leave during a request."""
        rig = ForwardingRig()

        def script(action, count):
            if count > 1:
                return 5.0, succeed(action)
            for domain in "bc":
                listed = make_upstream("orders", domain, is_draining=True)
                rig.registry.put(listed, rig.now)
            return 400.0, succeed(action)

        rig.script = script
        rig.run(make_single_rule())
        self.assertEqual(len(rig.sent), 1)

    def test_cold_upstream_gets_less_than_it_bears_in_any_second(self):
        """Guards against a cold upstream that falls over; fails without the limit."""
        rig = ForwardingRig(domains="a")
        cold = make_upstream("orders", "a", cold_for=timedelta(seconds=5))
        rig.registry.put(cold, rig.now)
        sent = 0
        end = rig.now + timedelta(seconds=1)
        while rig.now < end:
            rig.run(make_single_rule())
            sent += len(rig.sent)
            rig.now += ms(10)
        self.assertGreater(sent, 0)
        self.assertLessEqual(sent, 5)

    def test_cold_upstream_gets_work_from_one_host_only(self):
        """Guards against every host of the fleet using the whole cold limit."""
        rig = ForwardingRig(domains="a")
        cold = make_upstream("orders", "a", cold_for=timedelta(seconds=5))
        rig.registry.put(cold, rig.now)
        hosts = tuple(f"host-{number}" for number in range(1, 16))
        keepers = 0
        for host_id in hosts:
            rig.warmup._host_id = host_id
            rig.warmup.host_ids = hosts
            keepers += rig.warmup.may_send("orders-a", 0.0, rig.now)
        self.assertEqual(keepers, 1)

    def test_warm_upstream_elsewhere_is_preferred_to_a_cold_one(self):
        """Guards against cold starts that get work without need."""
        rig = ForwardingRig()
        cold = make_upstream("orders", "a", cold_for=timedelta(seconds=5))
        rig.registry.put(cold, rig.now)
        rig.run(make_single_rule())
        self.assertNotEqual(rig.sent[0].upstream.instance_id, "orders-a")

    def test_failing_upstream_is_left_out_for_a_while(self):
        """Guards against one retry for every request while an upstream is down."""

        def script(action, _count):
            is_down = action.upstream.instance_id == "orders-a"
            return 5.0, lose(action) if is_down else succeed(action)

        rig = ForwardingRig(script)
        for _ in range(10):
            rig.run(make_single_rule())
        self.assertEqual(len(rig.sent), 1)

    def test_short_deadline_of_a_caller_is_no_failure_of_the_upstream(self):
        """Guards against a sound upstream that is left out for an impatient caller."""
        rig = ForwardingRig(lambda a, _: (30.0, succeed(a)))
        for _ in range(3):
            rig.run(make_single_rule())
        rig.script = lambda a, _: (
            20.0,
            AttemptEnded(a.attempt_id, Lost(LossReason.TIMEOUT)),
        )
        rig.run(make_single_rule(), time_left_ms=30)
        rig.run(make_single_rule())
        self.assertEqual(rig.sent[0].upstream.instance_id, "orders-a")

    def test_upstream_that_reports_a_passed_deadline_is_not_left_out(self):
        """Guards against a sound upstream that is left out for an impatient caller."""
        rig = ForwardingRig(lambda a, _: (5.0, fail(a, 504)))
        rig.run(make_single_rule(is_repeatable=False))
        rig.run(make_single_rule(is_repeatable=False))
        self.assertEqual(rig.sent[0].upstream.instance_id, "orders-a")

    def test_silent_upstream_is_avoided_before_its_first_attempt_ends(self):
        """Guards against work for a silent upstream until the first deadline passes."""
        rig = ForwardingRig()
        for _ in range(50):
            rig.run(make_single_rule(is_repeatable=False))
        rig.leave_open(make_single_rule(is_repeatable=False), ms(60))
        rig.run(make_single_rule(is_repeatable=False))
        self.assertNotEqual(rig.sent[0].upstream.instance_id, "orders-a")

    def test_service_that_is_slow_as_a_whole_keeps_its_own_domain(self):
        """Guards against work that changes domain though all are equally late."""
        rig = ForwardingRig()
        rule = make_single_rule(is_repeatable=False)
        for _ in range(50):
            rig.run(rule)
        for _ in range(3):
            rig.leave_open(rule, ms(60))
        rig.run(rule)
        self.assertEqual(rig.sent[0].upstream.instance_id, "orders-a")

    def test_late_answer_ends_the_avoidance(self):
        """Guards against an upstream that stays avoided after it has answered."""
        rig = ForwardingRig()
        rule = make_single_rule(is_repeatable=False)
        for _ in range(50):
            rig.run(rule)
        rig.script = lambda a, _: (60.0, succeed(a))
        rig.run(rule)
        rig.script = answer_all
        rig.run(rule)
        self.assertEqual(rig.sent[0].upstream.instance_id, "orders-a")

    def test_attempt_that_outlives_its_upstream_leaves_no_debt(self):
        """Guards against an upstream that seems idle once it is listed again."""
        rig = ForwardingRig()
        selector = rig.knowledge.selector

        def script(action, _count):
            selector.forget(action.upstream.instance_id)
            return 5.0, succeed(action)

        rig.script = script
        rig.run(make_single_rule())
        self.assertEqual(selector.health_of("orders-a").in_flight, 0)

    def test_upstream_that_refused_once_gets_work_again(self):
        """Guards against an upstream that stays avoided since it can't improve."""
        rig = ForwardingRig(lambda a, _: (5.0, refuse(a)), domains="a")
        for _ in range(5):
            rig.run(make_single_rule(is_repeatable=False))
        rig.registry.put(make_upstream("orders", "b"), rig.now)
        rig.script = answer_all
        rig.run(make_single_rule())
        self.assertEqual(rig.sent[0].upstream.instance_id, "orders-b")
        rig.now += timedelta(seconds=5)
        rig.run(make_single_rule())
        self.assertEqual(rig.sent[0].upstream.instance_id, "orders-a")

    def test_old_report_of_load_keeps_no_work_away(self):
        """Guards against a choice by a queue that has drained since."""

        def script(action, _count):
            ended = succeed(action)
            return 5.0, AttemptEnded(ended.attempt_id, ended.outcome, reported_load=40)

        rig = ForwardingRig(script)
        rig.run(make_single_rule())
        rig.script = answer_all
        rig.run(make_single_rule())
        self.assertNotEqual(rig.sent[0].upstream.instance_id, "orders-a")
        rig.now += ms(150)
        rig.run(make_single_rule())
        self.assertEqual(rig.sent[0].upstream.instance_id, "orders-a")

    def test_connections_to_an_upstream_are_shared_by_the_hosts(self):
        """Guards against more connections than an upstream accepts."""
        rig = ForwardingRig()
        selector = rig.knowledge.selector
        selector.host_count = 15
        self.assertLessEqual(15 * selector.bound_connections("orders"), 80)

    def test_refused_because_all_connections_are_in_use(self):
        """Guards against work beyond the connections of this host."""
        rig = ForwardingRig(domains="a")
        selector = rig.knowledge.selector
        selector.host_count = 40
        selector.health_of("orders-a").in_flight = selector.bound_connections("orders")
        result = rig.run(make_single_rule())
        self.assertIsInstance(result, NotRunResult)


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
        result = ForwardingRig(script).run(rule)
        self.assertEqual(result.missing_count, 0)
