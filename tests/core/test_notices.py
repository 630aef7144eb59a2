"""Tests of what hosts conclude from what upstreams say of themselves."""

import random
import unittest
from datetime import timedelta

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from celeryferry_core.forwarding.notices import (
    LEAVING_MEMORY,
    MAX_LEAVING,
    MAX_PAUSE,
    MAX_REPORTED,
    MAX_SPREAD,
    RETURN_TIME,
    UpstreamNotices,
)
from celeryferry_core.forwarding.outcomes import Merged, RefusalReason
from celeryferry_core.forwarding.registry import UpstreamRegistry
from celeryferry_core.forwarding.selection import COLD_REASON, UpstreamSelector
from tests.core.forwarding_harness import (
    FixedSenders,
    ForwardingHarness,
    WarmupLimits,
    make_sharded_rule,
    make_single_rule,
    make_upstream,
    ms,
)

NOW = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
STEP = timedelta(milliseconds=1)
UPSTREAM = make_upstream("s0", "a", started_ms=5)
ID = UPSTREAM.instance_id


class TestLeaving(unittest.TestCase):
    """Guards against requests for an upstream that has said that it leaves.

    It stops soon, and its entry may say "ready" until the end and after it.
    """

    def setUp(self):
        self.notices = UpstreamNotices(random.Random(1))

    def test_stale_entry_changes_nothing(self):
        """Guards against an entry from before that is listed again."""
        self.notices.record_leaving(ID, 5, is_own=True)
        self.notices.record_gone(ID, NOW)
        self.notices.record_listed(UPSTREAM)
        self.notices.expire(NOW + 2 * LEAVING_MEMORY)
        self.assertTrue(self.notices.is_leaving(UPSTREAM))
        older = make_upstream("s0", "a", started_ms=4)
        self.assertTrue(self.notices.is_leaving(older))

    def test_new_process_with_the_same_id_does_not_leave(self):
        """Guards against losing an upstream whose id starts anew."""
        self.notices.record_leaving(ID, 5, is_own=True)
        self.notices.record_pause(ID, SECOND, NOW)
        renewed = make_upstream("s0", "a", started_ms=6)
        self.assertFalse(self.notices.is_leaving(renewed))
        self.notices.record_listed(renewed)
        self.assertFalse(self.notices.is_leaving(UPSTREAM))
        self.assertFalse(self.notices.is_paused(ID, NOW))

    def test_late_report_of_the_process_before_changes_nothing(self):
        """Guards against a message that was on its way while the id started anew."""
        self.notices.record_leaving(ID, 6, is_own=False)
        self.assertFalse(self.notices.record_leaving(ID, 5, is_own=False))
        self.assertTrue(self.notices.is_leaving(make_upstream("s0", "a", started_ms=6)))

    def test_memory_is_bounded(self):
        """Guards against memory that grows with each upstream that has left."""
        for number in range(MAX_LEAVING + 10):
            self.notices.record_leaving(f"i-{number}", 1, is_own=True)
        self.assertEqual(len(self.notices._leaving), MAX_LEAVING)
        for number in range(MAX_LEAVING + 10):
            self.notices.record_gone(f"i-{number}", NOW)
        self.notices.expire(NOW + 2 * LEAVING_MEMORY)
        self.assertFalse(self.notices._leaving or self.notices._own)

    def test_reports_are_bounded_and_come_from_those_who_were_told(self):
        """Guards against messages that grow, or that all hosts repeat."""
        listed = [
            make_upstream("s0", f"{number}", started_ms=1)
            for number in range(2 * MAX_REPORTED)
        ]
        for upstream in listed:
            self.notices.record_leaving(upstream.instance_id, 1, is_own=False)
        self.assertEqual(self.notices.list_reported(listed, False), ())
        self.assertEqual(len(self.notices.list_reported(listed, True)), MAX_REPORTED)
        self.notices.record_leaving("s0-3", 1, is_own=True)
        self.assertEqual(self.notices.list_reported(listed, False), (("s0-3", 1),))

    def test_request_goes_elsewhere_or_is_refused_at_once(self):
        """Guards against waiting for an upstream that won't take anything."""
        harness = ForwardingHarness(domains="ab")
        notices = harness.context.selector.notices
        notices.record_leaving("orders-a", 0, is_own=True)
        harness.run(make_single_rule())
        self.assertEqual([a.upstream.instance_id for a in harness.sent], ["orders-b"])
        notices.record_leaving("orders-b", 0, is_own=False)
        harness.elapsed = timedelta(0)
        result = harness.run(make_single_rule())
        self.assertEqual(result.reason, RefusalReason.NO_UPSTREAM)
        self.assertEqual((harness.elapsed, harness.sent), (timedelta(0), []))

    def test_answer_comes_without_a_shard_that_leaves(self):
        """Guards against refusing what can be answered without one shard."""
        harness = ForwardingHarness(domains="a")
        harness.context.selector.notices.record_leaving("s1-a", 0, is_own=True)
        result = harness.run(make_sharded_rule())
        self.assertIsInstance(result, Merged)
        self.assertEqual(result.missing_count, 1)
        self.assertLess(harness.elapsed, ms(10), "waited for the shard that leaves")

    def test_attempt_that_waits_for_a_connection_is_not_sent(self):
        """Guards against a request that was selected before the upstream said so."""
        harness = ForwardingHarness(domains="a")
        harness.run(make_single_rule())
        harness.context.selector.notices.record_leaving("orders-a", 0, is_own=True)
        self.assertFalse(harness.session.may_send(0, harness.now))

    def test_attempt_that_waits_is_not_sent_to_an_upstream_found_cold(self):
        """Guards against requests that were selected before the upstream said so."""
        harness = ForwardingHarness(domains="a")
        harness.run(make_single_rule())
        now = harness.now
        self.assertTrue(harness.session.may_send(0, now))
        harness.context.selector.restarts.record_cold("orders-a", SECOND, now)
        self.assertFalse(harness.session.may_send(0, now))
        self.assertTrue(harness.session.may_send(0, now + SECOND))
        harness.session.attempts[0].reason = COLD_REASON
        self.assertTrue(harness.session.may_send(0, now), "within the cold limit")


class TestPauses(unittest.TestCase):
    """Guards against requests for an upstream that has asked for a pause.

    More than two of them in the pause break the users' rules, and hosts that return at
    the same moment overload the upstream again.
    """

    PAUSE = 10 * SECOND

    def setUp(self):
        self.notices = UpstreamNotices(random.Random(1))

    def test_longest_end_counts(self):
        """Guards against a second answer that ends the pause earlier."""
        self.assertTrue(self.notices.record_pause(ID, self.PAUSE, NOW))
        self.assertFalse(self.notices.record_pause(ID, SECOND, NOW + SECOND))
        self.assertTrue(self.notices.is_paused(ID, NOW + self.PAUSE - STEP))

    def test_absurd_pause_is_shortened(self):
        """Guards against losing an upstream for good by one answer."""
        self.notices.record_pause(ID, timedelta(days=9), NOW)
        self.assertTrue(self.notices.is_paused(ID, NOW + MAX_PAUSE - STEP))
        self.assertFalse(self.notices.is_paused(ID, NOW + MAX_PAUSE + MAX_SPREAD))

    def test_hosts_return_at_different_times(self):
        """Guards against twenty hosts that come back in one instant."""
        ends = set()
        for seed in range(20):
            notices = UpstreamNotices(random.Random(seed))
            notices.record_pause(ID, self.PAUSE, NOW)
            ends.add(notices.get_pause_end(ID, NOW))
        self.assertEqual(len(ends), 20)
        self.assertGreaterEqual(min(ends), NOW + self.PAUSE)
        self.assertLessEqual(max(ends), NOW + self.PAUSE + MAX_SPREAD)
        self.assertGreater(max(ends) - min(ends), MAX_SPREAD / 2)

    def test_return_is_gradual(self):
        """Guards against the full load in the first moment after a pause."""
        self.notices.record_pause(ID, self.PAUSE, NOW)
        end = self.notices.get_pause_end(ID, NOW)

        def count_sent(after: timedelta) -> int:
            draws = (self.notices.is_held_back(ID, end + after) for _ in range(1000))
            return sum(not is_held_back for is_held_back in draws)

        self.assertLess(count_sent(RETURN_TIME * 0.1), 200)
        self.assertGreater(count_sent(RETURN_TIME * 0.9), 800)
        self.assertEqual(count_sent(RETURN_TIME), 1000)
        self.assertFalse(self.notices._pauses)

    def test_nothing_waits_if_all_upstreams_want_a_pause(self):
        """Guards against callers that wait, or come back before it is of use."""
        harness = ForwardingHarness(domains="ab")
        notices = harness.context.selector.notices
        notices.record_pause("orders-a", self.PAUSE, harness.now)
        notices.record_pause("orders-b", self.PAUSE / 2, harness.now)
        result = harness.run(make_single_rule())
        self.assertEqual(result.reason, RefusalReason.NO_UPSTREAM)
        self.assertEqual((harness.elapsed, harness.sent), (timedelta(0), []))
        self.assertGreaterEqual(result.retry_after, self.PAUSE / 2)
        self.assertLess(result.retry_after, self.PAUSE)

    def test_retry_time_follows_the_shards_that_are_needed(self):
        """Guards against sending callers away for a shard that may be missing."""
        harness = ForwardingHarness(domains="a")
        notices = harness.context.selector.notices
        for service, pause in (("s0", self.PAUSE), ("s1", SECOND), ("s2", SECOND)):
            notices.record_pause(f"{service}-a", pause, harness.now)
        result = harness.run(make_sharded_rule())
        self.assertGreaterEqual(result.retry_after, SECOND)
        self.assertLess(result.retry_after, 3 * SECOND)


class NoticeMachine(RuleBasedStateMachine):
    """Applies notices, entries and removals in any order, and keeps a simple model.

    :ivar ends: for each upstream, the time before which it must get nothing.
    :ivar left: for each upstream, the start of the newest process that leaves.
    """

    IDS = ("a", "b")
    ids = st.sampled_from(IDS)
    starts = st.integers(1, 4)

    def __init__(self):
        super().__init__()
        self.now = NOW
        self.registry = UpstreamRegistry()
        source = random.Random(3)
        limits = WarmupLimits(FixedSenders(), 1.5, 5.0)
        self.selector = UpstreamSelector("a", self.registry, limits, source)
        self.notices = self.selector.notices
        self.ends: dict[str, timedelta] = {}
        self.left: dict[str, int] = {}

    @rule(name=ids, started_ms=starts)
    def list_entry(self, name, started_ms):
        """An entry arrives, of the current process or of an earlier one."""
        upstream = make_upstream("s0", name, started_ms=started_ms)
        if started_ms > self.left.get(name, started_ms):
            del self.left[name]
            self.ends.pop(name, None)
        self.notices.record_listed(upstream)
        self.registry.put(upstream, self.now)

    @rule(name=ids)
    def remove_entry(self, name):
        """The entry is removed."""
        if self.registry.remove(f"s0-{name}", self.now, is_confirmed=True):
            self.selector.forget(f"s0-{name}", self.now)
            self.ends.pop(name, None)

    @rule(name=ids, started_ms=starts, is_own=st.booleans())
    def leave(self, name, started_ms, is_own):
        """A process says that it leaves, to this host or to another one."""
        self.notices.record_leaving(f"s0-{name}", started_ms, is_own)
        self.left[name] = max(started_ms, self.left.get(name, 0))

    pauses = st.sampled_from((0, 300, 2_000, 30_000))

    @rule(name=ids, pauses_ms=st.lists(pauses, min_size=1, max_size=3))
    def pause(self, name, pauses_ms):
        """Answers of an upstream, one after another, ask this host for pauses."""
        if self.registry.get(f"s0-{name}") is None:
            return
        for pause_ms in pauses_ms:
            self.notices.record_pause(f"s0-{name}", ms(pause_ms), self.now)
            end = self.now + ms(pause_ms)
            self.ends[name] = max(end, self.ends.get(name, end))

    @rule(step_ms=st.sampled_from((1, 700, 5_000, 40_000)))
    def wait(self, step_ms):
        """Time passes."""
        self.now += ms(step_ms)

    def check(self, name, upstream):
        """Compare what may be sent to an upstream with the model."""
        is_used = self.selector.may_use(upstream, self.now)
        is_used &= not self.notices.is_held_back(upstream.instance_id, self.now)
        end = self.ends.get(name)
        if is_used:
            assert end is None or self.now >= end, "sent in a pause"
            assert upstream.started_ms > self.left.get(name, 0), "sent to one that left"
        elif upstream.started_ms > self.left.get(name, 0):
            assert end is not None, "an upstream without a notice is not used"
            assert self.now < end + MAX_SPREAD + RETURN_TIME, "it does not return"

    @invariant()
    def notices_are_kept(self):
        """Upstreams get nothing against a notice, and everything without one."""
        for name in self.IDS:
            upstream = self.registry.get(f"s0-{name}")
            if upstream is not None:
                self.check(name, upstream)


class TestOrders(NoticeMachine.TestCase):
    """Guards against an order of notices, entries and removals that is mishandled."""

    settings = settings(
        max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
    )


class TestMutations(unittest.TestCase):
    """Shows that the state machine finds a rule that is left out."""

    def check_found(self, name: str, replacement) -> None:
        """Replace a method, and expect the state machine to fail."""
        machine = type(
            "Mutant",
            (NoticeMachine,),
            {
                "__init__": lambda self: (
                    NoticeMachine.__init__(self),
                    setattr(self.selector, "notices", self._mutate()),
                    setattr(self, "notices", self.selector.notices),
                )[0],
                "_mutate": lambda self: type(
                    "MutantNotices", (UpstreamNotices,), {name: replacement}
                )(random.Random(3)),
            },
        )
        case = machine.TestCase
        # A failure is enough here, so it is not reduced to a short one.
        case.settings = settings(
            TestOrders.settings, max_examples=600, phases=(Phase.generate,)
        )
        result = unittest.TestResult()
        case("runTest").run(result)
        self.assertTrue(result.failures or result.errors, name)

    def test_entry_that_ends_the_leaving(self):
        """Guards against trusting an entry that says ready."""

        def record_listed(notices, upstream):
            notices.record_new_process(upstream.instance_id)

        self.check_found("record_listed", record_listed)

    def test_later_pause_that_replaces_a_longer_one(self):
        """Guards against using the latest pause instead of the longest."""

        def record_pause(notices, instance_id, pause, now):
            notices._pauses.pop(instance_id, None)
            return UpstreamNotices.record_pause(notices, instance_id, pause, now)

        self.check_found("record_pause", record_pause)

    def test_notice_that_outlives_its_process(self):
        """Guards against losing an id that has started anew."""
        self.check_found("record_new_process", lambda self, instance_id: None)

    def test_pause_that_is_not_kept(self):
        """Guards against ignoring pauses."""
        self.check_found("record_pause", lambda self, instance_id, pause, now: False)

    def test_leaving_that_is_not_kept(self):
        """Guards against ignoring what an upstream says."""
        self.check_found("record_leaving", lambda self, *arguments: False)

    def test_pause_that_never_ends(self):
        """Guards against an upstream that gets nothing after its pause."""
        self.check_found(
            "is_held_back", lambda self, instance_id, now: instance_id in self._pauses
        )
