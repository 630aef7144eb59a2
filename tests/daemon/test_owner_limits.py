"""Tests of the owner's limit for an upstream that is cold, draining or reconfigured."""

import asyncio
import time

from celeryferry_core.decisions.owner import LimitChanged, SurplusCancelled
from celeryferry_core.limits import LimitCause
from celeryferry_core.models.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    RunAnswered,
    UnknownReason,
    UpstreamState,
)
from tests.daemon.fakes import wait_for
from tests.daemon.owner_fakes import OwnerTestCase, make_view


class TestColdStart(OwnerTestCase):
    """Guards against overloading an upstream that has just turned cold.

    After a restart an upstream can process little at first. The owner is told by an
    answer, a refusal, a health poll or a lost connection, while it still has work
    queued and in flight for the previous limit.
    """

    async def test_work_never_exceeds_the_cold_limit_after_the_signal(self):
        harness, upstream = await self.start_owner()
        upstream.state = "cold"
        await harness.search(count=20)
        self.assertEqual((upstream.peak_active, harness.observe().limit), (1, 1))

    async def test_without_the_cold_limit_it_gets_all_slots(self):
        harness, upstream = await self.start_owner(cold_limit=False)
        upstream.state = "cold"
        upstream.gate.clear()
        task = asyncio.create_task(harness.search(count=20))
        await wait_for(lambda: upstream.active == 4)
        upstream.gate.set()
        await task
        self.assertEqual(upstream.peak_active, 4)

    async def test_the_signal_cancels_surplus_searches_but_no_run(self):
        harness, upstream = await self.start_owner()
        await harness.warm_up(upstream, 4)
        upstream.gate.clear()
        run = asyncio.create_task(harness.run())
        await wait_for(lambda: upstream.active == 1)
        search = asyncio.create_task(harness.search(count=3))
        await wait_for(lambda: upstream.active == 4)
        upstream.health = "cold"
        (line,) = await search
        cancelled = OutcomeUnknown(UnknownReason.CANCELLED)
        self.assertEqual({entry.outcome for entry in line.entries}, {cancelled})
        upstream.gate.set()
        self.assertIsInstance(await run, RunAnswered)
        self.assertEqual(harness.log.list_by_type(SurplusCancelled)[0].cancelled, 3)

    async def test_cold_refusals_keep_work_only_while_it_can_finish(self):
        harness, upstream = await self.start_owner()
        upstream.refusal = (503, "cold")
        started = time.monotonic()
        (line,) = await harness.search(count=10, timeout=0.5)
        self.assertLess(time.monotonic() - started, 1.0)
        # All work has the same deadline and the limit is one. So when the deadline
        # passes, at most one request is waiting for its refusal.
        reasons = [entry.outcome.reason for entry in line.entries]
        self.assertLessEqual(reasons.count(UnknownReason.TIMEOUT), 1)
        expected = {NotRunReason.COLD, NotRunReason.DEADLINE, UnknownReason.TIMEOUT}
        self.assertLessEqual(set(reasons), expected)
        self.assertEqual(len(reasons), 10)
        self.assertEqual(upstream.executions, [])

    async def test_a_quick_restart_of_an_idle_upstream_is_noticed(self):
        harness, upstream = await self.start_owner()
        await harness.warm_up(upstream, 4)
        polls = upstream.polls
        await wait_for(lambda: upstream.polls > polls + 1)
        self.assertEqual(harness.observe().limit, 4)
        await upstream.restart()
        await wait_for(lambda: harness.observe().limit == 1)
        (change,) = [
            c for c in harness.log.list_by_type(LimitChanged) if c.after < c.before
        ]
        self.assertIs(change.cause, LimitCause.RESTARTED)


class TestConfiguration(OwnerTestCase):
    """Guards against a running worker that keeps the limits of an old document."""

    async def test_changed_limits_apply_to_a_running_worker(self):
        harness, upstream = await self.start_owner()
        await harness.warm_up(upstream, 4)
        view = make_view(harness.addresses, version=2, slots=2, connections=3)
        harness.streams.configuration.on_next(view)
        self.assertEqual(harness.observe().limit, 2)
        self.assertIsInstance(await harness.search_single(), Answered)


class TestDrain(OwnerTestCase):
    """Guards against sending to a draining upstream, and never sending to it again.

    The owner is told of a drain by a refusal or a health poll, perhaps while work is in
    flight. A new owner has not seen the drain that the previous owner knew of.
    """

    async def test_drain_refusal_stops_work_until_health_is_ready(self):
        harness, upstream = await self.start_owner()
        await harness.warm_up(upstream, 2)
        upstream.state = "draining"
        upstream.refusal = (503, "draining")
        self.assertEqual(await harness.search_single(), NotRun(NotRunReason.DRAINING))
        upstream.refusal = None
        self.assertEqual(await harness.search_single(), NotRun(NotRunReason.DRAINING))
        self.assertEqual(upstream.executions, [])
        upstream.state = "ready"
        await wait_for(lambda: harness.observe().state is not UpstreamState.DRAINING)
        self.assertEqual(harness.observe().limit, 1)
        self.assertIsInstance(await harness.search_single(), Answered)

    async def test_new_owner_learns_of_a_drain_before_it_sends(self):
        harness, upstream = await self.start_owner(state="draining")
        self.assertEqual(await harness.search_single(), NotRun(NotRunReason.DRAINING))
        self.assertEqual(upstream.executions, [])

    async def test_work_in_flight_finishes_when_a_drain_begins(self):
        harness, upstream = await self.start_owner()
        await harness.warm_up(upstream, 2)
        upstream.gate.clear()
        task = asyncio.create_task(harness.search(count=2))
        await wait_for(lambda: upstream.active == 2)
        upstream.health = "draining"
        await wait_for(lambda: harness.observe().state is UpstreamState.DRAINING)
        upstream.gate.set()
        (line,) = await task
        self.assertTrue(all(isinstance(e.outcome, Answered) for e in line.entries))
