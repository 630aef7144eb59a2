"""Tests of the ends of attempts, with a pool that the test controls."""

import asyncio
import itertools
import unittest

from celeryferry_core.forwarding.outcomes import (
    LossReason,
    Lost,
    RefusalReason,
    Refused,
)
from celeryferry_core.forwarding.session import ForwardingSession
from celeryferry_daemon._internal.clock import SystemClock
from celeryferry_daemon._internal.forwarding.connection import RawResponse
from celeryferry_daemon._internal.forwarding.messages import CallerRequest
from celeryferry_daemon._internal.forwarding.runner import SessionRunner
from celeryferry_daemon.platform import wire
from tests.core.forwarding_harness import ForwardingHarness, make_sharded_rule, ms

REQUEST = CallerRequest("id-1", "GET", "/lookup/1", (), b"")
STAMPED = (("x-server-stamp", "stamp"),)
ENDS = {
    "success": RawResponse(200, STAMPED, b"x" * 16, True),
    "failure": RawResponse(500, STAMPED, b"", True),
    "shed": RawResponse(503, (("x-not-executed", "1"),), b"", True),
    "pause": RawResponse(503, (("retry-after", "1"),), b"", True),
    "leaving": RawResponse(200, (*STAMPED, ("server-leaving", "1")), b"", True),
    "not sent": Refused(RefusalReason.NOT_SENT),
    "no connection": Refused(RefusalReason.CONNECT_FAILED),
    "lost": Lost(LossReason.CONNECTION_LOST),
    "fault": RuntimeError("a fault of the pool"),
    "silence": None,
}
# Passes of the event loop after which an attempt ends, and after which the caller
# leaves. With 0, the attempt is cancelled before its task has started.
PASSES = range(4)


class ScriptedPool:
    """Pool whose exchanges all end in the same way after some passes.

    :param end: outcome, error, or None for an exchange that ends only if cancelled.
    """

    def __init__(self, end, passes: int) -> None:
        self.end, self.passes = end, passes

    async def exchange(self, *arguments):
        """Return or raise the scripted end."""
        for _ in range(self.passes):
            await asyncio.sleep(0)
        if self.end is None:
            await asyncio.Event().wait()
        if isinstance(self.end, Exception):
            raise self.end
        return self.end


class TestCounts(unittest.IsolatedAsyncioTestCase):
    """Guards against counts of attempts that never return to zero.

    An upstream whose attempts seem to be open gets less and less work, and none once
    they reach its connection limit. An attempt that was cancelled before its task had
    started used to stay counted for good.
    """

    async def asyncSetUp(self):
        # The faults of this test's pool are expected.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)

    async def run_request(self, end, passes: int, leaves_after: int | None) -> dict:
        """Run a request, and return the counts of each upstream after its end."""
        harness = ForwardingHarness()
        clock = SystemClock()
        rule = make_sharded_rule(timeout=ms(60), target_latency=ms(40))
        now = clock.monotonic()
        session = ForwardingSession(
            rule, rule.target.services, now, ms(60), harness.context
        )
        pool = ScriptedPool(end, passes)
        runner = SessionRunner(
            session, REQUEST, pool, wire, clock, lambda upstream, notice: None
        )
        task = asyncio.create_task(runner.run())
        if leaves_after is not None:
            for _ in range(leaves_after + 1):
                await asyncio.sleep(0)
            task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for other in others:
            # What the session leaves open when it has its result.
            other.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0)
        selector = harness.context.selector
        return {
            name: (health.in_flight, health.overdue_count)
            for name, health in selector._health.items()
            if health.in_flight or health.overdue_count
        }

    async def test_every_end_returns_the_counts_to_zero(self):
        """Guards against an end that is not counted, or counted twice."""
        leaves = (None, *PASSES)
        for (name, end), passes, after in itertools.product(
            ENDS.items(), PASSES, leaves
        ):
            with self.subTest(end=name, passes=passes, caller_leaves_after=after):
                self.assertEqual(await self.run_request(end, passes, after), {})
