"""Proofs: a caller gets the whole answer to its own request."""

import asyncio
import unittest

import aiohttp

from celeryferry_standins.processes import wait_until
from tests.system.support_answers import (
    DOMAINS,
    SERVICES,
    UPSTREAMS,
    WITHIN,
    AnswersCase,
    Queries,
    ask_many,
    make_plan,
    name_upstream,
    running_queries,
)

FIRST = SERVICES[0]
IN_A = tuple(name_upstream(service, "a") for service in SERVICES)
OF_FIRST = tuple(name_upstream(FIRST, domain) for domain in DOMAINS)


class TestOwnAnswer(AnswersCase):
    """Guards against answers of other requests and parts of answers.

    Every query differs, and the hits of an answer name the query.
    """

    plan = make_plan()

    async def _misbehave(self, names, fault, count=90):
        await self.change_upstreams(names, misbehaviour=fault, late_ms=150.0)
        try:
            return await ask_many(self.fleet, fault, count)
        finally:
            await self.change_upstreams(names, misbehaviour=None)

    def _assert_own_answers(self, fault):
        self.assert_all_complete(self.run_async(self._misbehave(IN_A, fault)))
        after = self.run_async(ask_many(self.fleet, f"after-{fault}", 36))
        self.assert_all_complete(after)

    def test_answers_to_another_request(self):
        self._assert_own_answers("other_request")

    def test_answers_to_the_previous_request(self):
        self._assert_own_answers("previous_answer")

    def test_second_answers_on_reused_connections(self):
        self._assert_own_answers("doubled")

    def test_truncated_answers(self):
        self._assert_own_answers("truncated")

    def test_connections_closed_before_running(self):
        self._assert_own_answers("close_after_reading")

    def test_connections_closed_after_running(self):
        self._assert_own_answers("close_after_executing")

    def test_late_answers(self):
        self._assert_own_answers("late")

    def test_faults_on_every_replica_are_stated(self):
        for fault in ("previous_answer", "truncated"):
            queries = self.run_async(self._misbehave(OF_FIRST, fault, count=36))
            self.assert_true_answers(queries)
            missing = [one.not_covered[0].shard for one in queries.incomplete]
            self.assertEqual(missing, [FIRST] * len(queries.answers))

    def test_connections_are_reused(self):
        before, after, queries = self.run_async(self._reuse())
        self.assert_all_complete(queries)
        opened = after[0] - before[0]
        executed = after[1] - before[1]
        self.assertGreater(executed, 4 * opened)

    async def _reuse(self):
        before = await self._count()
        queries = await ask_many(self.fleet, "reuse", 90)
        return before, await self._count(), queries

    async def _count(self):
        found = (await self.fleet.read_counters()).values()
        opened = sum(one.connections_opened for one in found)
        return opened, sum(one.executed for one in found)

    def test_cancelled_callers_do_not_affect_others(self):
        cancelled, queries = self.run_async(self._cancel())
        self.assert_all_complete(queries)
        self.assertGreater(cancelled, 0)

    async def _cancel(self):
        before = await self._count_cancelled()
        await self.change_upstreams(UPSTREAMS, service_ms=30.0)
        try:
            async with running_queries(self.fleet, "others") as queries:
                for number in range(10):
                    await self._give_up(number)
                    await queries.wait_for(4)
                await self._wait_for_cancellation(before)
        finally:
            await self.change_upstreams(UPSTREAMS, service_ms=3.0)
        return await self._count_cancelled() - before, queries

    async def _give_up(self, number):
        async with aiohttp.ClientSession() as session:
            asked = Queries(self.fleet, f"given-up-{number}").ask(session)
            task = asyncio.create_task(asked)
            await asyncio.wait([task], timeout=0.015)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _wait_for_cancellation(self, before):
        async def is_cancelled():
            return await self._count_cancelled() > before

        await wait_until(is_cancelled, WITHIN, "a request cancelled at an upstream")

    async def _count_cancelled(self):
        return sum(one.cancelled for one in (await self.fleet.read_counters()).values())


if __name__ == "__main__":
    unittest.main()
