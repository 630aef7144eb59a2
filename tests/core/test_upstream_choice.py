"""Tests of the choice of upstreams, on a passed-in clock."""

import unittest
from datetime import timedelta

from celeryferry_core.forwarding.events import AttemptEnded
from celeryferry_core.forwarding.outcomes import LossReason, Lost, NotRunResult
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
