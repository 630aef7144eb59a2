"""Tests of the owner role: batches, run requests and metrics."""

import asyncio
import time

from celeryferry_core.decisions.owner import BatchAdmitted, LimitChanged
from celeryferry_core.models.outcomes import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    RunAnswered,
    UnknownReason,
)
from tests.daemon.fake_upstreams import SNAPSHOT
from tests.daemon.fakes import wait_for
from tests.daemon.owner_fakes import OwnerTestCase


class TestBatch(OwnerTestCase):
    """Guards against answers that are lost, late, mixed up or too long to read.

    The owner streams the outcomes of a batch in lines. An outcome could be missing from
    all lines, wait for slower ones past the flush time, or exceed the largest line that
    the front accepts. Work could also outlive its front or its deadline.
    """

    async def test_answers_with_hits_versions_and_observations(self):
        harness, upstream = await self.start_owner()
        await wait_for(lambda: harness.observe().index_versions)
        (line,) = await harness.search(count=3)
        self.assertTrue(line.final)
        self.assertEqual(len(line.entries), 3)
        for entry in line.entries:
            self.assertEqual(entry.outcome.index_version, SNAPSHOT)
            self.assertIn(b'"text": "mark"', bytes(entry.outcome.hits))
        (observation,) = line.observations
        self.assertEqual(observation.address, upstream.address)
        self.assertEqual(observation.index_versions, (41, SNAPSHOT))
        (admitted,) = harness.log.list_by_type(BatchAdmitted)
        self.assertEqual((admitted.sent, admitted.queued), (1, 2))

    async def test_first_line_comes_after_the_flush_time(self):
        harness, upstream = await self.start_owner()
        upstream.gate.clear()
        asyncio.get_running_loop().call_later(0.1, upstream.gate.set)
        lines = await harness.search(count=2, flush_ms=10)
        self.assertGreaterEqual(len(lines), 2)
        self.assertEqual([line.final for line in lines[:-1]], [False] * len(lines[:-1]))
        self.assertEqual(sum(len(line.entries) for line in lines), 2)

    async def test_large_answers_are_spread_over_lines(self):
        harness, upstream = await self.start_owner()
        hits = ["x" * 200_000]
        upstream.change_answer = lambda answer: answer | {"hits": hits}
        lines = await harness.search(count=5)
        self.assertEqual([len(line.entries) for line in lines], [1, 1, 1, 1, 1])
        self.assertEqual([line.final for line in lines], [False] * 4 + [True])

    async def test_disconnect_cancels_queued_and_running_subqueries(self):
        harness, upstream = await self.start_owner()
        upstream.gate.clear()
        task = asyncio.create_task(harness.search(count=3))
        await wait_for(lambda: upstream.active == 1)
        task.cancel()
        await wait_for(lambda: upstream.cancelled == 1)
        await wait_for(
            lambda: harness.observe().in_flight == harness.observe().queued == 0
        )
        self.assertEqual(len(upstream.executions), 1)

    async def test_unknown_upstreams_are_not_run(self):
        harness, _ = await self.start_owner()
        outcome = await harness.search_single(upstream="127.0.0.1:9")
        self.assertEqual(outcome, NotRun(NotRunReason.UNKNOWN_SHARD))

    async def test_queued_work_is_refused_at_its_deadline(self):
        harness, upstream = await self.start_owner()
        upstream.gate.clear()
        started = time.monotonic()
        (line,) = await harness.search(count=2, timeout=0.3)
        self.assertLess(time.monotonic() - started, 1.0)
        outcomes = {entry.outcome for entry in line.entries}
        expected = {
            OutcomeUnknown(UnknownReason.TIMEOUT),
            NotRun(NotRunReason.DEADLINE),
        }
        self.assertEqual(outcomes, expected)


class TestRun(OwnerTestCase):
    """Guards against a second execution of a ticket at the owner.

    A front can disconnect after the upstream has received the request, or a caller can
    retry the ticket. Only a request that certainly was not run may be sent again.
    """

    async def test_a_disconnect_leaves_a_sent_run_alone(self):
        harness, upstream = await self.start_owner()
        upstream.gate.clear()
        task = asyncio.create_task(harness.run())
        await wait_for(lambda: upstream.active == 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        second = asyncio.create_task(harness.run(ticket="ticket-2"))
        await wait_for(lambda: harness.observe().queued == 1)
        second.cancel()
        await wait_for(lambda: harness.observe().queued == 0)
        upstream.gate.set()
        await wait_for(lambda: harness.observe().in_flight == 0)
        self.assertEqual((upstream.executions, upstream.cancelled), (["ticket-1"], 0))

    async def test_a_refused_ticket_may_be_sent_again(self):
        harness, upstream = await self.start_owner()
        upstream.refusal = (503, "deadline")
        self.assertEqual(await harness.run(), NotRun(NotRunReason.DEADLINE))
        upstream.refusal = None
        self.assertIsInstance(await harness.run(), RunAnswered)

    async def test_without_memory_a_ticket_runs_twice(self):
        for memory, executions in ((True, 1), (False, 2)):
            harness, upstream = await self.start_owner(ticket_memory=memory)
            await harness.run()
            await harness.run()
            self.assertEqual(len(upstream.executions), executions)


class TestMetrics(OwnerTestCase):
    """Guards against counts that workers collect but never publish to the registry."""

    async def test_outcomes_and_limit_are_published(self):
        harness, upstream = await self.start_owner()
        await harness.search(count=3)
        counter = harness.registry.get("celeryferry_owner_requests_total")
        labels = {"upstream": upstream.address, "outcome": "answered"}
        await wait_for(lambda: counter.get_value(labels) == 3 if counter.values else 0)
        limits = harness.registry.get("celeryferry_owner_limit")
        self.assertEqual(limits.get({"upstream": upstream.address}), 1)
        self.assertEqual(harness.log.list_by_type(LimitChanged), [])
