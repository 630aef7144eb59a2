"""Proofs: every answer states truly which shards it covers."""

import unittest

from celeryferry_standins.processes import wait_until
from tests.system.support_answers import (
    DOMAINS,
    SERVICES,
    WITHIN,
    AnswersCase,
    ask_many,
    make_plan,
    make_small_plan,
    name_upstream,
    running_queries,
)

FIRST, SECOND = SERVICES[:2]
IN_A = tuple(name_upstream(service, "a") for service in SERVICES)
OF_FIRST = tuple(name_upstream(FIRST, domain) for domain in DOMAINS)
# Beyond the deadline of every query.
STRAGGLE_FACTOR = 500.0


def list_missing(queries) -> set[str]:
    """List the shards that any answer states as missing."""
    return {one.shard for answer in queries.answers for one in answer.not_covered}


class TestKilledReplicas(AnswersCase):
    """Guards against shards given up although two replicas of each remain.

    The replicas are killed as soon as the fleet answers in full, when a front may know
    the versions of few replicas.
    """

    plan = make_plan(isolated_upstreams=frozenset(IN_A))

    def test_one_replica_of_every_shard_is_killed_under_load(self):
        queries = self.run_async(self._kill())
        self.assert_all_complete(queries)

    async def _kill(self):
        async with running_queries(self.fleet, "killed") as queries:
            for name in IN_A:
                self.fleet.kill_upstream(name)
                await queries.wait_for(10)
            await queries.wait_for(200)
        return queries


class TestStatedCoverage(AnswersCase):
    """Guards against answers that state shards they lack, or lack those they state."""

    plan = make_plan()

    def test_straggling_replica_costs_no_coverage(self):
        queries = self.run_async(self._misbehave(IN_A[:1], factor=10.0))
        self.assert_all_complete(queries)

    def test_replica_that_straggles_beyond_the_deadline_costs_no_coverage(self):
        queries = self.run_async(self._misbehave(IN_A[:1], STRAGGLE_FACTOR))
        self.assert_all_complete(queries)

    def test_straggling_shard_is_stated_as_missing(self):
        queries = self.run_async(self._misbehave(OF_FIRST, STRAGGLE_FACTOR, count=12))
        self.assert_true_answers(queries)
        self.assertEqual(list_missing(queries), {FIRST})

    def test_answers_for_another_shard_cost_no_coverage(self):
        queries = self.run_async(self._misbehave(IN_A, fault="other_shard"))
        self.assert_all_complete(queries)

    def test_shard_answered_for_another_shard_is_stated_as_missing(self):
        self._assert_missing("other_shard")

    def test_shard_answered_for_another_version_is_stated_as_missing(self):
        self._assert_missing("other_version")

    def _assert_missing(self, fault):
        queries = self.run_async(self._misbehave(OF_FIRST, fault=fault))
        self.assert_true_answers(queries)
        self.assertEqual(list_missing(queries), {FIRST})
        self.assertEqual(len(queries.incomplete), len(queries.answers))

    async def _misbehave(self, names, factor=1.0, fault=None, count=90):
        await self.change_upstreams(names, misbehaviour=fault, straggle_factor=factor)
        try:
            return await ask_many(self.fleet, "faulty", count)
        finally:
            restored = {"misbehaviour": None, "straggle_factor": 1.0}
            await self.change_upstreams(names, **restored)

    def test_zz_owners_are_killed_during_queries(self):
        queries, killed = self.run_async(self._kill_owners())
        self.assert_true_answers(queries)
        addresses = {self.fleet.daemons[name].host.callers_address for name in killed}
        failed = {one.address for one in queries.outcomes if one.answer is None}
        self.assertLessEqual(failed, addresses)

    async def _kill_owners(self):
        # Two of the three hosts of a failure domain own most of its keys.
        killed = ("b-1", "b-2")
        names = [name_upstream(service, "b") for service in SERVICES]
        await self.change_upstreams(names, service_ms=40.0)
        async with running_queries(self.fleet, "owners") as queries:
            for name in killed:
                await queries.wait_for(20)
                await self._wait_for_work(names)
                self.fleet.kill_daemon(name)
            await queries.wait_for(100)
        return queries, killed

    async def _wait_for_work(self, names):
        async def is_busy():
            counters = await self.fleet.read_counters()
            return any(counters[name].active for name in names)

        await wait_until(is_busy, WITHIN, "a query under way in the failure domain")


class TestWithoutAnswerMatch(AnswersCase):
    """Shows what callers get when answers are not compared with what was asked.

    Also the counterpart of ``tests.system.test_own_answer``.
    """

    plan = make_small_plan(without=("answer_match",))

    def test_answer_for_another_shard_is_stated_as_covered(self):
        self._assert_delivered("other_shard", right_count=0)

    def test_answer_to_the_previous_request_is_delivered(self):
        # The first request of a replica has no previous answer.
        self._assert_delivered("previous_answer", right_count=len(DOMAINS))

    def _assert_delivered(self, fault, right_count):
        """Assert that the wrong answers of a shard reach the callers.

        All replicas of the shard misbehave, because a front may send every query to
        the replicas of other failure domains than the one under test.
        """
        queries = self.run_async(self._ask(fault))
        covering = queries.list_covering(FIRST)
        self.assertGreater(len(covering), right_count)
        faults = queries.list_faults()
        self.assertGreaterEqual(len(faults), len(covering) - right_count)

    async def _ask(self, fault):
        await self.change_upstreams(OF_FIRST, misbehaviour=fault)
        return await ask_many(self.fleet, fault, 60)


if __name__ == "__main__":
    unittest.main()
