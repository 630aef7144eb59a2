"""Tests of a host's state: upstreams, budgets and rules."""

import random
import unittest
from datetime import timedelta

from celeryferry_core.forwarding.budgets import (
    DEPTH_FRACTION,
    REFILL_FRACTION,
    BudgetLimits,
    ExtraAttemptBudgets,
)
from celeryferry_core.forwarding.models import Weighted, WeightedService
from celeryferry_core.forwarding.registry import SOURCE_BACK_GRACE, UpstreamRegistry
from celeryferry_core.forwarding.rules import RuleTable, pick_services
from tests.core.forwarding_harness import (
    make_sharded_rule,
    make_single_rule,
    make_upstream,
)

NOW = timedelta(seconds=100)


class TestRegistry(unittest.TestCase):
    """Guards against losing live upstreams, or keeping dead ones, over an outage.

    Entries expire while the source cannot be read and reappear after its return. If the
    registry drops them at once, the host has no upstreams left. If it never drops them,
    the host keeps sending work to upstreams that have stopped.
    """

    def setUp(self):
        self.registry = UpstreamRegistry()
        self.registry.put(make_upstream("s0", "a"), NOW)

    def test_removed_entry_is_dropped_at_once(self):
        """Guards against sending work to an upstream that was removed."""
        self.assertTrue(self.registry.remove("s0-a", NOW))
        self.assertEqual(len(self.registry), 0)

    def test_entry_that_lapses_during_an_outage_is_kept(self):
        """Guards against losing all upstreams while the source cannot be read."""
        self.registry.mark_source_lost()
        self.assertFalse(self.registry.remove("s0-a", NOW))
        self.assertIn("s0-a", self.registry.list_service("s0"))

    def test_lapsed_entry_that_comes_back_is_kept(self):
        """Guards against dropping a live upstream after an outage."""
        self.registry.mark_source_lost()
        self.registry.mark_source_read(NOW)
        self.registry.remove("s0-a", NOW)
        self.registry.put(make_upstream("s0", "a"), NOW + timedelta(seconds=1))
        later = NOW + SOURCE_BACK_GRACE
        self.assertEqual(self.registry.drop_missing(later), [])
        self.assertEqual(len(self.registry), 1)

    def test_lapsed_entry_that_stays_away_is_dropped_after_the_grace(self):
        """Guards against keeping a stopped upstream after an outage."""
        self.registry.mark_source_lost()
        self.registry.remove("s0-a", NOW)
        self.registry.mark_source_read(NOW)
        early = NOW + SOURCE_BACK_GRACE - timedelta(milliseconds=1)
        self.assertEqual(self.registry.drop_missing(early), [])
        self.assertEqual(self.registry.drop_missing(NOW + SOURCE_BACK_GRACE), ["s0-a"])

    def test_confirmed_removal_counts_during_an_outage(self):
        """Guards against ignoring a removal that a peer read during the outage."""
        self.registry.mark_source_lost()
        self.assertTrue(self.registry.remove("s0-a", NOW, is_confirmed=True))

    def test_cold_time_counts_from_the_listing(self):
        """Guards against a cold start that is ignored or never ends."""
        cold = make_upstream("s0", "b", cold_for=timedelta(seconds=3))
        self.registry.put(cold, NOW)
        self.assertTrue(self.registry.is_cold("s0-b", NOW + timedelta(seconds=2.9)))
        self.assertFalse(self.registry.is_cold("s0-b", NOW + timedelta(seconds=3)))

    def test_upstream_turns_cold_again(self):
        """Guards against ignoring a cold start of an upstream that was warm."""
        cold = make_upstream("s0", "a", cold_for=timedelta(seconds=3))
        self.registry.put(cold, NOW)
        self.assertTrue(self.registry.is_cold("s0-a", NOW))

    def test_instance_that_moves_to_another_service_leaves_the_first(self):
        """Guards against sending the upstream requests of its previous service."""
        moved = make_upstream("s1", "a", instance_id="s0-a")
        self.registry.put(moved, NOW)
        self.assertEqual(dict(self.registry.list_service("s0")), {})
        self.assertIn("s0-a", self.registry.list_service("s1"))


class TestExtraBudgets(unittest.TestCase):
    """Guards against more hedges and retries than the fleet may make in a window.

    The limit is exceeded if hosts that restart together start with full budgets, or if
    a host that knows few others takes too large a share of the burst.
    """

    RATIO = 0.2
    BURST = 126.0
    WINDOW = timedelta(seconds=10)
    HOSTS = 18
    LIMITS = BudgetLimits(RATIO, BURST, WINDOW)
    # Unused for hosts that disagree on the number of hosts.
    UNUSED_FRACTION = 0.15

    def make_fleet(self) -> list[ExtraAttemptBudgets]:
        """Return the budgets of all hosts, which know of each other."""
        fleet = [ExtraAttemptBudgets(self.LIMITS) for _ in range(self.HOSTS)]
        for budgets in fleet:
            budgets.host_count = self.HOSTS
        return fleet

    def spend_all(
        self, budgets: ExtraAttemptBudgets, now: timedelta = timedelta(0)
    ) -> int:
        """Spend the whole budget of a host and return the number of attempts."""
        return sum(budgets.try_acquire("s0", now) for _ in range(int(self.BURST)))

    def test_no_window_exceeds_the_limit(self):
        """Guards against a limit that holds only in windows that begin at one time.

        Every host spends what it can, at each step, under a steady load. All restart
        together in the middle.
        """
        step = timedelta(milliseconds=100)
        fleet = self.make_fleet()
        spent_by_step = []
        requests_per_step = 9
        for number in range(400):
            now = step * number
            if number == 205:
                fleet = self.make_fleet()
            for request in range(requests_per_step):
                fleet[(number + request) % self.HOSTS].count_request("s0", now)
            spent_by_step.append(sum(self.spend_all(each, now) for each in fleet))
        per_window = self.WINDOW // step
        allowed = self.BURST * (1 - self.UNUSED_FRACTION)
        allowed += self.RATIO * requests_per_step * per_window
        for start in range(len(spent_by_step) - per_window):
            spent = sum(spent_by_step[start : start + per_window])
            self.assertLessEqual(spent, allowed, f"from step {start}")

    def test_burst_is_used_without_many_requests(self):
        """Guards against stragglers that are not hedged, because the burst that the
        fleet may use is earned by requests only."""
        fleet = self.make_fleet()
        spent = 0
        for number in range(100, 200):
            now = timedelta(milliseconds=100 * number)
            spent += sum(self.spend_all(each, now) for each in fleet)
        self.assertGreater(spent, 0.25 * self.BURST)

    def test_restarted_fleet_gets_no_second_burst(self):
        """Guards against two bursts in one window after all hosts were killed."""
        fleet = [ExtraAttemptBudgets(self.LIMITS) for _ in range(self.HOSTS)]
        unused = self.BURST * (1 - DEPTH_FRACTION - REFILL_FRACTION)
        self.assertLess(sum(map(self.spend_all, fleet)), unused)

    def test_first_request_of_a_host_may_be_repeated(self):
        """Guards against a start without any budget for a retry."""
        budgets = ExtraAttemptBudgets(self.LIMITS)
        self.assertTrue(budgets.try_acquire("s0", timedelta(0)))

    def test_share_of_a_host_follows_the_number_of_hosts(self):
        """Guards against the large share of a host that knew few others."""
        fleet = [ExtraAttemptBudgets(self.LIMITS) for _ in range(self.HOSTS)]
        for budgets in fleet:
            for _ in range(1000):
                budgets.count_request("s0", timedelta(0))
            budgets.host_count = self.HOSTS
        self.assertLessEqual(sum(map(self.spend_all, fleet)), self.BURST)

    def test_requests_earn_extra_attempts(self):
        """Guards against a budget that never fills."""
        budgets = ExtraAttemptBudgets(self.LIMITS)
        for _ in range(100):
            budgets.count_request("s0", timedelta(0))
        spent = self.spend_all(budgets)
        self.assertGreater(spent, 0)
        self.assertLessEqual(spent, 100 * self.RATIO)


class TestRules(unittest.TestCase):
    """Guards against requests that follow the wrong rule or reach the wrong service.

    This happens if a shorter path prefix wins over a longer one, if the host name or
    the query string is compared wrongly, or if services are drawn against their
    weights.
    """

    def test_longest_prefix_wins(self):
        """Guards against applying a rule with a shorter prefix than another match."""
        short = make_single_rule(name="short", path_prefix="/a/")
        long = make_single_rule(name="long", path_prefix="/a/b/")
        table = RuleTable([short, long])
        self.assertEqual(table.find("a.example", "/a/b/c").name, "long")
        self.assertEqual(table.find("A.example:80", "/a/c?x=/a/b/").name, "short")

    def test_no_rule_for_another_host_or_path(self):
        """Guards against forwarding a request that no rule matches."""
        table = RuleTable([make_single_rule(path_prefix="/a/")])
        self.assertIsNone(table.find("b.example", "/a/"))
        self.assertIsNone(table.find("a.example", "/ab"))

    def test_requests_are_shared_by_weight(self):
        """Guards against requests that are not spread by the weights."""
        parts = (WeightedService("s0", 3.0), WeightedService("s1", 1.0))
        rule = make_single_rule(target=Weighted(parts))
        source = random.Random(5)
        picked = [pick_services(rule, source)[0] for _ in range(4_000)]
        self.assertAlmostEqual(picked.count("s0") / 4_000, 0.75, delta=0.03)

    def test_sharded_rule_goes_to_every_shard(self):
        """Guards against omitting a shard from a sharded request."""
        services = pick_services(make_sharded_rule(4), random.Random(5))
        self.assertEqual(services, ("s0", "s1", "s2", "s3"))
