"""Proofs: every answer comes from one snapshot."""

import unittest
from dataclasses import replace

from celeryferry_standins.processes import wait_until
from tests.system.support_answers import (
    DOMAINS,
    SERVICES,
    UPSTREAMS,
    WITHIN,
    AnswersCase,
    ask_many,
    make_plan,
    make_small_plan,
    name_upstream,
    running_queries,
)

FIRST = SERVICES[0]
REST = frozenset(f"{service}/{service}" for service in SERVICES[1:])
HALVES = (f"{FIRST}-north", f"{FIRST}-south")


def list_shards_of(snapshot: int) -> frozenset[str]:
    """List the shards of an index version after the first service was divided."""
    names = (FIRST,) if snapshot <= 41 else HALVES
    return REST | {f"{FIRST}/{name}" for name in names}


async def answer_other_version(fleet, domains):
    """Ask while upstreams answer from another version than they were asked for.

    :param domains: failure domains in which the replica of the first service does so.
    """
    names = [name_upstream(FIRST, domain) for domain in domains]
    for name in names:
        await fleet.control_upstream(name, misbehaviour="other_version")
    try:
        return await ask_many(fleet, "other", 60)
    finally:
        for name in names:
            await fleet.control_upstream(name, misbehaviour=None)


class TestSnapshots(AnswersCase):
    """Guards against answers that mix index versions or hide what they lack."""

    plan = make_plan()

    def setUp(self):
        """Start every test from one version that every front pins."""
        self.run_async(self._reset())

    async def _reset(self):
        await self.change_upstreams(UPSTREAMS, index_versions=[41])
        await self._settle(41)

    async def _settle(self, version):
        async def is_settled():
            queries = await ask_many(self.fleet, "settle", 18)
            return set(queries.snapshots) == {version} and not queries.incomplete

        await wait_until(is_settled, WITHIN, f"version {version} everywhere")

    async def _count_refusals(self):
        counters = await self.fleet.read_counters()
        return sum(one.refused.get("version_gone", 0) for one in counters.values())

    def test_versions_switch_one_upstream_after_another(self):
        queries = self.run_async(self._switch())
        self.assert_all_complete(queries)
        self.assertEqual(set(queries.snapshots), {41, 42, 43})

    async def _switch(self):
        async with running_queries(self.fleet, "switch") as queries:
            for version in (42, 43):
                for name in UPSTREAMS:
                    await self.fleet.control_upstream(name, add_version=version)
                    await queries.wait_for(4)
                await queries.wait_for(10, version)
                for name in UPSTREAMS:
                    await self.fleet.control_upstream(name, remove_version=version - 1)
                    await queries.wait_for(4)
        return queries

    def test_replica_that_lags_a_version_is_left_out(self):
        queries = self.run_async(self._lag([name_upstream(FIRST, "a")]))
        self.assert_all_complete(queries)
        self.assertIn(42, queries.snapshots)

    def test_shard_that_lags_a_version_is_stated_as_missing(self):
        queries, last = self.run_async(self._lag_in_all_domains())
        self.assert_true_answers(queries)
        self.assert_true_answers(last)
        missing = [[one.shard for one in answer.not_covered] for answer in last.answers]
        self.assertEqual(missing, [[FIRST]] * len(missing))

    async def _lag_in_all_domains(self):
        queries = await self._lag([name_upstream(FIRST, one) for one in DOMAINS])
        found = []

        async def is_left():
            found.append(await ask_many(self.fleet, "left", 18))
            return set(found[-1].snapshots) == {42}

        await wait_until(is_left, WITHIN, "version 42 everywhere")
        return queries, found[-1]

    async def _lag(self, lagging):
        others = [name for name in UPSTREAMS if name not in lagging]
        async with running_queries(self.fleet, "lag") as queries:
            await self.change_upstreams(others, add_version=42)
            await queries.wait_for(40)
            await self.change_upstreams(others, remove_version=41)
            await queries.wait_for(60, 42)
        return queries

    def test_version_vanishes_between_pin_and_subquery(self):
        before, after, queries = self.run_async(self._vanish())
        self.assert_true_answers(queries)
        self.assertGreater(after, before)
        self.assertEqual(set(queries.snapshots), {41, 42})

    async def _vanish(self):
        before = await self._count_refusals()
        async with running_queries(self.fleet, "vanish") as queries:
            await queries.wait_for(20, 41)
            await self.change_upstreams(UPSTREAMS, index_versions=[42])
            await queries.wait_for(60, 42)
        return before, await self._count_refusals(), queries

    def test_answer_of_another_version_is_dropped(self):
        queries = self.run_async(answer_other_version(self.fleet, "a"))
        self.assert_all_complete(queries)

    def test_zz_shards_are_repartitioned_under_running_queries(self):
        queries = self.run_async(self._repartition())
        self.assert_true_answers(queries, list_shards_of)
        self.assertEqual(queries.errors, [])
        self.assertEqual(queries.incomplete, [])
        self.assertEqual(set(queries.snapshots), {41, 42})

    async def _repartition(self):
        old = self.fleet.documents[FIRST]
        whole = old.shards[0]
        parts = [
            replace(whole, name=name, first_snapshot=42, last_snapshot=None)
            for name in HALVES
        ]
        shards = (replace(whole, last_snapshot=41), *parts)
        divided = replace(old, version=old.version + 1, shards=shards)
        async with running_queries(self.fleet, "divide") as queries:
            await queries.wait_for(20, 41)
            await self.fleet.put_documents([divided])
            await self._wait_for_document(divided.version)
            for name in UPSTREAMS:
                await self.fleet.control_upstream(name, add_version=42)
                await queries.wait_for(4)
            await queries.wait_for(40, 42)
            await self.change_upstreams(UPSTREAMS, remove_version=41)
            await queries.wait_for(40, 42)
        return queries

    async def _wait_for_document(self, version):
        async def is_active():
            for name in self.fleet.daemons:
                status = await self.fleet.read_status(name)
                found = [
                    one["version"]
                    for one in status["documents"]
                    if one["name"] == FIRST
                ]
                if found != [version]:
                    return False
            return True

        await wait_until(is_active, WITHIN, f"document version {version} everywhere")


class TestWithoutSnapshotCheck(AnswersCase):
    """Shows that answers are mixed when versions are not compared."""

    plan = make_small_plan(without=("snapshot_check",))

    def test_answer_of_another_version_is_mixed_in(self):
        # All replicas: a front may send every query to any two of the three.
        queries = self.run_async(answer_other_version(self.fleet, DOMAINS))
        covering = queries.list_covering(FIRST)
        self.assertNotEqual(covering, [])
        self.assertGreaterEqual(len(queries.list_faults()), len(covering))


if __name__ == "__main__":
    unittest.main()
