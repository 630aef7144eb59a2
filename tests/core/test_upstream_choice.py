"""Tests of the selection of upstreams, on a simulated clock."""

import unittest
from datetime import timedelta

from celeryferry_core.forwarding.events import AttemptEnded
from celeryferry_core.forwarding.outcomes import (
    LossReason,
    Lost,
    NotRunResult,
    RefusalReason,
)
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


def count_sent_in_a_second(harness: ForwardingHarness) -> int:
    """Run 100 requests within a second and return the number of their attempts."""
    sent = 0
    end = harness.now + timedelta(seconds=1)
    while harness.now < end:
        harness.run(make_single_rule())
        sent += len(harness.sent)
        harness.now += ms(10)
    return sent


class TestUpstreamChoice(unittest.TestCase):
    """Guards against work for upstreams that must not or should not receive it.

    Upstreams drain, start cold, fail, stay silent, refuse work or report load. If a
    host evaluates these signals wrongly, it overloads or waits for bad upstreams,
    avoids healthy ones, or sends traffic to other failure domains without need.
    """

    def test_own_failure_domain_comes_first(self):
        """Guards against needless traffic between failure domains."""
        harness = ForwardingHarness()
        harness.run(make_sharded_rule())
        self.assertEqual({s.upstream.failure_domain for s in harness.sent}, {"a"})

    def test_domain_out_gets_nothing(self):
        """Guards against work for a failure domain that is out of service."""
        harness = ForwardingHarness()
        harness.registry.domains_out = frozenset({"a"})
        harness.run(make_sharded_rule())
        self.assertNotIn("a", {s.upstream.failure_domain for s in harness.sent})

    def test_draining_upstream_gets_nothing(self):
        """Guards against work for an upstream that is leaving."""
        harness = ForwardingHarness()
        harness.registry.put(make_upstream("s0", "a", is_draining=True), harness.now)
        harness.run(make_sharded_rule())
        self.assertNotIn("s0-a", [s.upstream.instance_id for s in harness.sent])

    def test_upstream_that_drains_meanwhile_gets_no_hedge(self):
        """Guards against hedges to an upstream that began to drain meanwhile."""
        harness = ForwardingHarness()

        def script(action, count):
            if count > 1:
                return 5.0, succeed(action)
            for domain in "bc":
                listed = make_upstream("orders", domain, is_draining=True)
                harness.registry.put(listed, harness.now)
            return 400.0, succeed(action)

        harness.script = script
        harness.run(make_single_rule())
        self.assertEqual(len(harness.sent), 1)

    def test_cold_upstream_gets_less_than_it_can_process_in_any_second(self):
        """Guards against overloading a cold upstream; fails without the limit."""
        harness = ForwardingHarness(domains="a")
        cold = make_upstream("orders", "a", cold_for=timedelta(seconds=5))
        harness.registry.put(cold, harness.now)
        sent = count_sent_in_a_second(harness)
        self.assertGreater(sent, 0)
        self.assertLessEqual(sent, 5)

    def test_cold_upstream_gets_nothing_from_a_host_in_doubt(self):
        """Guards against every host using the whole limit of a cold upstream.

        tests.core.test_cold_senders tests which host may send.
        """
        harness = ForwardingHarness(domains="a")
        harness.senders.may_send_all = False
        cold = make_upstream("orders", "a", cold_for=timedelta(seconds=5))
        harness.registry.put(cold, harness.now)
        harness.run(make_single_rule())
        self.assertEqual(harness.sent, [])

    def test_absent_upstream_gets_nothing(self):
        """Guards against attempts at an upstream that refuses connections."""
        harness = ForwardingHarness(domains="ab")
        harness.context.selector.restarts.record_refused("orders-a")
        harness.run(make_single_rule())
        self.assertEqual([a.upstream.instance_id for a in harness.sent], ["orders-b"])

    def test_request_is_refused_at_once_if_all_upstreams_are_absent(self):
        """Guards against a caller that waits for what is known to be unservable."""
        harness = ForwardingHarness(domains="a")
        harness.context.selector.restarts.record_refused("orders-a")
        result = harness.run(make_single_rule())
        self.assertEqual(result.reason, RefusalReason.NO_UPSTREAM)
        self.assertEqual(harness.elapsed, timedelta(0))

    def test_returned_upstream_is_cold(self):
        """Guards against the full load for an upstream that has just restarted.

        Pattern: it crashes and returns while the source is unavailable, so that its
        entry still describes the process before.
        """
        harness = ForwardingHarness(domains="a")
        restarts = harness.context.selector.restarts
        restarts.record_refused("orders-a")
        restarts.record_reached("orders-a", timedelta(seconds=3), harness.now)
        end = harness.now + timedelta(seconds=1)
        self.assertLessEqual(count_sent_in_a_second(harness), 5)
        harness.now = end + timedelta(seconds=2)
        harness.run(make_single_rule())
        self.assertEqual(len(harness.sent), 1)

    def test_warm_upstream_elsewhere_is_preferred_to_a_cold_one(self):
        """Guards against needless work for cold upstreams."""
        harness = ForwardingHarness()
        cold = make_upstream("orders", "a", cold_for=timedelta(seconds=5))
        harness.registry.put(cold, harness.now)
        harness.run(make_single_rule())
        self.assertNotEqual(harness.sent[0].upstream.instance_id, "orders-a")

    def test_failing_upstream_is_left_out_for_a_while(self):
        """Guards against one retry per request while an upstream is down."""

        def script(action, _count):
            is_down = action.upstream.instance_id == "orders-a"
            return 5.0, lose(action) if is_down else succeed(action)

        harness = ForwardingHarness(script)
        for _ in range(10):
            harness.run(make_single_rule())
        self.assertEqual(len(harness.sent), 1)

    def test_short_deadline_of_a_caller_does_not_count_as_a_failure(self):
        """Guards against avoiding a healthy upstream because of a short deadline."""
        harness = ForwardingHarness(lambda a, _: (30.0, succeed(a)))
        for _ in range(3):
            harness.run(make_single_rule())
        harness.script = lambda a, _: (
            20.0,
            AttemptEnded(a.attempt_id, Lost(LossReason.TIMEOUT)),
        )
        harness.run(make_single_rule(), time_left_ms=30)
        harness.run(make_single_rule())
        self.assertEqual(harness.sent[0].upstream.instance_id, "orders-a")

    def test_upstream_that_reports_a_passed_deadline_is_not_left_out(self):
        """Guards against avoiding a healthy upstream because of a short deadline."""
        harness = ForwardingHarness(lambda a, _: (5.0, fail(a, 504)))
        harness.run(make_single_rule(is_repeatable=False))
        harness.run(make_single_rule(is_repeatable=False))
        self.assertEqual(harness.sent[0].upstream.instance_id, "orders-a")

    def test_silent_upstream_is_avoided_before_its_first_attempt_ends(self):
        """Guards against work for a silent upstream until the first deadline passes."""
        harness = ForwardingHarness()
        for _ in range(50):
            harness.run(make_single_rule(is_repeatable=False))
        harness.leave_open(make_single_rule(is_repeatable=False), ms(60))
        harness.run(make_single_rule(is_repeatable=False))
        self.assertNotEqual(harness.sent[0].upstream.instance_id, "orders-a")

    def test_service_that_is_slow_as_a_whole_keeps_its_own_domain(self):
        """Guards against leaving the own domain when all upstreams are equally slow."""
        harness = ForwardingHarness()
        rule = make_single_rule(is_repeatable=False)
        for _ in range(50):
            harness.run(rule)
        for _ in range(3):
            harness.leave_open(rule, ms(60))
        harness.run(rule)
        self.assertEqual(harness.sent[0].upstream.instance_id, "orders-a")

    def test_late_answer_ends_the_avoidance(self):
        """Guards against avoiding an upstream after its late answer has arrived."""
        harness = ForwardingHarness()
        rule = make_single_rule(is_repeatable=False)
        for _ in range(50):
            harness.run(rule)
        harness.script = lambda a, _: (60.0, succeed(a))
        harness.run(rule)
        harness.script = answer_all
        harness.run(rule)
        self.assertEqual(harness.sent[0].upstream.instance_id, "orders-a")

    def test_attempt_that_outlives_its_upstream_is_not_counted_again(self):
        """Guards against a negative in-flight count of an upstream listed again."""
        harness = ForwardingHarness()
        selector = harness.context.selector

        def script(action, _count):
            selector.forget(action.upstream.instance_id, harness.now)
            return 5.0, succeed(action)

        harness.script = script
        harness.run(make_single_rule())
        self.assertEqual(selector.get_health("orders-a").in_flight, 0)

    def test_upstream_that_refused_once_gets_work_again(self):
        """Guards against avoiding an upstream for ever because it receives no work."""
        harness = ForwardingHarness(lambda a, _: (5.0, refuse(a)), domains="a")
        for _ in range(5):
            harness.run(make_single_rule(is_repeatable=False))
        harness.registry.put(make_upstream("orders", "b"), harness.now)
        harness.script = answer_all
        harness.run(make_single_rule())
        self.assertEqual(harness.sent[0].upstream.instance_id, "orders-b")
        harness.now += timedelta(seconds=5)
        harness.run(make_single_rule())
        self.assertEqual(harness.sent[0].upstream.instance_id, "orders-a")

    def test_old_report_of_load_is_ignored(self):
        """Guards against avoiding an upstream whose queue has drained meanwhile."""

        def script(action, _count):
            ended = succeed(action)
            return 5.0, AttemptEnded(ended.attempt_id, ended.outcome, reported_load=40)

        harness = ForwardingHarness(script)
        harness.run(make_single_rule())
        harness.script = answer_all
        harness.run(make_single_rule())
        self.assertNotEqual(harness.sent[0].upstream.instance_id, "orders-a")
        harness.now += ms(150)
        harness.run(make_single_rule())
        self.assertEqual(harness.sent[0].upstream.instance_id, "orders-a")

    def test_connections_to_an_upstream_are_shared_by_the_hosts(self):
        """Guards against more connections than an upstream accepts."""
        harness = ForwardingHarness()
        selector = harness.context.selector
        selector.host_count = 15
        self.assertLessEqual(15 * selector.get_connection_limit("orders"), 80)

    def test_refused_because_all_connections_are_in_use(self):
        """Guards against more attempts than this host's share of the connections."""
        harness = ForwardingHarness(domains="a")
        selector = harness.context.selector
        selector.host_count = 40
        selector.get_health("orders-a").in_flight = selector.get_connection_limit(
            "orders"
        )
        result = harness.run(make_single_rule())
        self.assertIsInstance(result, NotRunResult)
