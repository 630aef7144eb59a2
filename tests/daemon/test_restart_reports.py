"""Tests of a host's state while upstreams restart without a new entry."""

import random
import unittest
from datetime import timedelta
from types import SimpleNamespace

import msgspec
from aioprometheus import Registry

from celeryferry_core.forwarding.hosts import HostInfo
from celeryferry_core.forwarding.models import ForwardingConfiguration, ServiceBounds
from celeryferry_core.forwarding.positions import Evidence
from celeryferry_core.forwarding.processes import (
    Cold,
    OtherInstance,
    Undecided,
    Unstated,
    Warm,
)
from celeryferry_core.forwarding.restarts import REPORT_DELAY
from celeryferry_daemon._internal.clock import SystemClock
from celeryferry_daemon._internal.forwarding.connection import RawResponse
from celeryferry_daemon._internal.forwarding.health_inquiry import HealthInquiry
from celeryferry_daemon._internal.forwarding.link_messages import ENCODER
from celeryferry_daemon._internal.forwarding.metrics import UpstreamMetrics
from celeryferry_daemon._internal.forwarding.pool import UpstreamPool
from celeryferry_daemon._internal.forwarding.ports import (
    ConfigurationPublished,
    UpstreamListed,
    UpstreamUnlisted,
)
from celeryferry_daemon._internal.forwarding.state import HostState
from celeryferry_daemon.platform import wire
from celeryferry_standins.fleet_simulation import make_info
from tests.core.forwarding_harness import make_upstream
from tests.daemon.test_forwarding_sources import RecordingLog, make_settings

NOW = timedelta(seconds=100)
COLD_TIME = timedelta(seconds=3)
UPSTREAM = make_upstream("s0", "a", started_ms=5)


class TestRestartsWithoutEntries(unittest.TestCase):
    """Guards against the full load for an upstream that its entry calls warm.

    It crashed and returned while the store was unavailable.
    """

    def setUp(self):
        clock = SystemClock()
        self.pool = UpstreamPool(clock)
        self.log = RecordingLog()
        self.state = HostState(
            make_settings(), random.Random(1), self.pool, self.log, NOW
        )
        bounds = {"s0": ServiceBounds(80, 0.0, COLD_TIME)}
        configuration = ForwardingConfiguration(1, (), bounds)
        self.state.apply(ConfigurationPublished("op/config", configuration), NOW)
        self.state.apply(UpstreamListed("s0-a", UPSTREAM), NOW)
        self.selector = self.state.session_context.selector

    def restart(self) -> None:
        """Let the upstream refuse a connection and accept the next one."""
        self.pool.on_refused(UPSTREAM)
        self.pool.on_reached(UPSTREAM, NOW)

    def is_cold(self, after: timedelta = timedelta(0)) -> bool:
        """Return whether the upstream counts as cold some time later."""
        return self.selector.is_cold("s0-a", NOW + after)

    def test_cold_time_of_the_service_counts(self):
        """Guards against a cold time that the operators did not state."""
        self.restart()
        self.assertTrue(self.is_cold(COLD_TIME * 0.9))
        self.assertFalse(self.is_cold(COLD_TIME))
        self.assertEqual(self.log.count("upstream_absent"), 1)
        self.assertEqual(self.log.count("upstream_returned"), 1)

    def test_entry_of_the_new_process_decides(self):
        """Guards against a cold time that the upstream itself does not state."""
        self.restart()
        entry = msgspec.structs.replace(UPSTREAM, started_ms=6)
        self.state.apply(UpstreamListed("s0-a", entry), NOW)
        self.assertFalse(self.is_cold())

    def test_changed_entry_of_the_old_process_decides_nothing(self):
        """Guards against ending the cold time by an entry from before the crash."""
        self.restart()
        entry = msgspec.structs.replace(UPSTREAM, slots=9)
        self.state.apply(UpstreamListed("s0-a", entry), NOW)
        self.assertTrue(self.is_cold())

    def test_upstream_that_is_gone_is_forgotten(self):
        """Guards against connecting forever to an upstream that has ended."""
        self.pool.on_refused(UPSTREAM)
        self.state.apply(UpstreamUnlisted("s0-a", "s0-a"), NOW, Evidence.CONFIRMED)
        self.state.check_absent_upstreams()
        self.assertEqual(self.state.restarts.list_absent(), [])

    def test_upstream_that_is_not_listed_is_not_absent(self):
        """Guards against memory that grows with connections to former upstreams."""
        self.pool.on_refused(make_upstream("s1", "b"))
        self.assertEqual(self.state.restarts.list_absent(), [])

    def test_report_of_another_host_counts_once(self):
        """Guards against a cold time that begins anew with each message."""
        info = make_info("host-2", "a", restarted=(("s0-a", 2_000), ("unknown", 1)))
        info = msgspec.json.decode(ENCODER.encode(info), type=HostInfo)
        self.state.apply_restart_reports([info], NOW)
        later = timedelta(seconds=1)
        changed = msgspec.structs.replace(info, sequence=2, load=1.0)
        self.state.apply_restart_reports([changed], NOW + later)
        self.assertTrue(self.is_cold(later))
        self.assertFalse(self.is_cold(2 * later))

    def test_report_is_bounded_by_the_cold_time(self):
        """Guards against a host that keeps an upstream out of use."""
        info = make_info("host-2", "a", restarted=(("s0-a", 10**9),))
        self.state.apply_restart_reports([info], NOW)
        self.assertTrue(self.is_cold())
        self.assertFalse(self.is_cold(COLD_TIME))

    def state_warmup(self, statement) -> bool:
        """Record a statement; returns whether it settles the question."""
        return self.state.record_statement(UPSTREAM, statement, NOW)

    def test_upstream_that_says_so_is_cold(self):
        """Guards against another time than the upstream itself states."""
        self.assertTrue(self.state_warmup(Cold(COLD_TIME / 2)))
        self.assertTrue(self.is_cold())
        self.assertFalse(self.is_cold(COLD_TIME / 2))
        reported = self.state.restarts.update(NOW + REPORT_DELAY)
        self.assertEqual([each for each, _ in reported], ["s0-a"], "told to others")

    def test_upstream_that_says_that_it_is_warm_is_used(self):
        """Guards against losing an upstream whose connection was lost by chance."""
        self.assertTrue(self.state_warmup(Warm()))
        self.assertFalse(self.is_cold())

    def test_upstream_that_says_nothing_of_it_is_taken_for_cold(self):
        """Guards against the full load for a process that can't be asked."""
        self.assertTrue(self.state_warmup(Unstated()))
        self.assertTrue(self.is_cold(COLD_TIME * 0.9))
        self.assertFalse(self.is_cold(COLD_TIME))

    def test_upstream_that_could_not_answer_is_asked_again(self):
        """Guards against a refusal that counts as an answer."""
        for statement in (Undecided(), OtherInstance()):
            with self.subTest(statement):
                self.assertFalse(self.state_warmup(statement))

    def answer_question(self, status: int, *headers: tuple[str, str]) -> None:
        """Give the state the answer to a question."""
        metrics = UpstreamMetrics(Registry())
        clock = SimpleNamespace(monotonic=lambda: NOW)
        inquiry = HealthInquiry(self.state, wire, clock, self.log, metrics)
        inquiry.record_answer(UPSTREAM, RawResponse(status, headers, b"", True))

    def test_answer_to_a_question_may_say_that_the_upstream_leaves(self):
        """Guards against requests for an upstream that said so in its health check."""
        self.answer_question(200, ("server-leaving", "1"))
        self.assertFalse(self.selector.may_use(UPSTREAM, NOW))

    def test_answer_to_a_question_may_ask_for_a_pause(self):
        """Guards against further questions and requests in the pause."""
        self.answer_question(503, ("retry-after", "5"))
        self.assertFalse(self.selector.may_use(UPSTREAM, NOW))

    def test_answer_of_another_instance_says_nothing(self):
        """Guards against losing an upstream by the word of another one."""
        leaving = ("server-leaving", "1")
        self.answer_question(200, leaving, ("x-instance-id", "other"))
        self.assertTrue(self.selector.may_use(UPSTREAM, NOW))

    def test_own_report_is_ignored(self):
        """Guards against a host that prolongs what it has seen itself."""
        info = make_info("host-1", "a", restarted=(("s0-a", 2_000),))
        self.state.apply_restart_reports([info], NOW)
        self.assertFalse(self.is_cold())
