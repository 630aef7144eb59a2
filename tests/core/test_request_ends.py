"""Tests of the ends of a request that its host can't keep open."""

import unittest
from datetime import timedelta

from celeryferry_core.forwarding.events import Finish, FinishBy, SetTimer, TimerFired
from celeryferry_core.forwarding.outcomes import LossReason, UnknownResult
from celeryferry_core.forwarding.session import ForwardingSession
from tests.core.forwarding_harness import ForwardingHarness, make_single_rule, ms


class TestEndOfTheHost(unittest.TestCase):
    """Guards against a request that is still open when its host has to exit.

    Its connection would end without an answer.
    """

    def setUp(self):
        self.harness = ForwardingHarness()
        rule = make_single_rule(is_repeatable=False, timeout=ms(8_000))
        self.session = ForwardingSession(
            rule, ("orders",), self.harness.now, ms(8_000), self.harness.context
        )
        self.session.start(self.harness.now)

    def find_result(self, actions) -> object | None:
        """Return the result among some actions."""
        return next((a.result for a in actions if isinstance(a, Finish)), None)

    def test_running_request_ends_with_an_answer(self):
        """Guards against a connection that closes while the upstream works."""
        end = self.harness.now + ms(900)
        self.session.handle(FinishBy(end), self.harness.now)
        overdue_check = self.session.handle(TimerFired(), end - ms(100))
        self.assertEqual(overdue_check, [SetTimer(end)])
        result = self.find_result(self.session.handle(TimerFired(), end))
        self.assertEqual(result, UnknownResult(LossReason.TIMEOUT))

    def test_deadline_is_not_extended(self):
        """Guards against keeping a caller waiting longer than it asked for."""
        late = self.harness.now + timedelta(minutes=1)
        self.session.handle(FinishBy(late), self.harness.now)
        end = self.harness.now + ms(8_000)
        result = self.find_result(self.session.handle(TimerFired(), end))
        self.assertEqual(result, UnknownResult(LossReason.TIMEOUT))
