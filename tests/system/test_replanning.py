"""Proofs: a query whose index version vanishes is re-planned."""

import asyncio
import unittest

from tests.system.support_answers import (
    DOMAINS,
    SERVICES,
    AnswersCase,
    make_small_plan,
    name_upstream,
    running_queries,
)

UPSTREAMS = tuple(
    name_upstream(service, domain) for service in SERVICES[:2] for domain in DOMAINS
)
FIRST_VERSION = 41
SWITCHES = 4
# A query lacks a shard only if a version vanishes between its pin and a subquery.
MAX_ROUNDS = 10


class ReplanningCase(AnswersCase):
    """Switches all upstreams to the next version while queries run.

    At every moment one version is available on all upstreams, so that a re-planned
    query can always be covered in full.
    """

    async def switch(self, first=FIRST_VERSION):
        """Switch the version several times and return the queries."""
        last = first + SWITCHES
        async with running_queries(self.fleet, f"switch-{first}") as queries:
            for version in range(first, last):
                await queries.wait_for(20, version)
                await self._change_all(add_version=version + 1)
                await self._change_all(remove_version=version)
            await queries.wait_for(20, last)
        return queries

    async def _change_all(self, **changes):
        await asyncio.gather(
            *(self.fleet.control_upstream(name, **changes) for name in UPSTREAMS)
        )

    def assert_refused(self):
        """Assert that versions vanished between pin and subquery."""
        counters = self.run_async(self.fleet.read_counters())
        refused = [one.refused.get("version_gone", 0) for one in counters.values()]
        self.assertGreater(sum(refused), 0)


class TestReplanning(ReplanningCase):
    """Guards against shards left out although a newer version has them all."""

    plan = make_small_plan()

    def test_version_vanishes_from_all_upstreams(self):
        queries = self.run_async(self.switch())
        self.assert_all_complete(queries)
        self.assert_refused()


class TestWithoutReplanning(ReplanningCase):
    """Shows that shards are missing when queries are not re-planned."""

    plan = make_small_plan(without=("replanning",))

    def test_version_vanishes_from_all_upstreams(self):
        for number in range(MAX_ROUNDS):
            first = FIRST_VERSION + number * SWITCHES
            queries = self.run_async(self.switch(first))
            self.assert_true_answers(queries)
            if queries.incomplete:
                break
        self.assert_refused()
        reasons = {str(p.reason) for a in queries.incomplete for p in a.not_covered}
        self.assertEqual(reasons, {"version_gone"})


if __name__ == "__main__":
    unittest.main()
