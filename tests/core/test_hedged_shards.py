"""Tests of the time and the scope of a query's hedges."""

import unittest

from celeryferry_core.budgets import Budgets
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.outcomes import CoverageReason
from tests.core.sessions import SessionHarness, answer_all, answer_entry, make_line, ms

HEDGE_DELAY_MS = 25.0


def make_straggler_script(flush_at_ms):
    """Return a script whose first batch answers one of two shards in time.

    :param flush_at_ms: time of the owner's first line.
    """

    def straggle(action):
        if action.batch_id != 1:
            return answer_all(action)
        entries = [answer_entry(subquery) for subquery in action.batch.subqueries]
        first = make_line(action, entries[:1], final=False)
        return [(flush_at_ms, first), (90.0, make_line(action, entries[1:]))]

    return straggle


class TestHedgedShards(unittest.TestCase):
    """Guards against hedges that are late or sent for shards that have answered.

    An owner answers for several shards in one batch. If it reports only once all have
    answered, or reports late, one slow shard makes the whole batch look slow.
    """

    def list_hedges(self, harness):
        """Return the shard and the reason of each hedge, with the time of its event."""
        at_ms, hedges = 0.0, []
        for entry in harness.journal:
            at_ms = entry.get("at_ms", at_ms)
            if entry.get("decision") == "ShardHedged":
                hedges.append((entry["shard"], entry["reason"], at_ms))
        return hedges

    def test_owner_reports_before_the_hedge_delay_is_over(self):
        harness = SessionHarness(answer_all)
        harness.run()
        self.assertLess(harness.batches[0].batch.first_flush_ms, HEDGE_DELAY_MS)

    def test_only_the_late_shard_is_hedged_when_the_delay_is_over(self):
        harness = SessionHarness(make_straggler_script(20.0))
        self.assertEqual(harness.run().elapsed_ms, HEDGE_DELAY_MS + 5.0)
        hedges = [(shard, at_ms) for shard, _, at_ms in self.list_hedges(harness)]
        self.assertEqual(hedges, [("svc-2", HEDGE_DELAY_MS)])

    def test_late_line_of_a_busy_owner_does_not_hedge_the_whole_batch(self):
        harness = SessionHarness(make_straggler_script(29.0))
        harness.run()
        hedges = [(shard, at_ms) for shard, _, at_ms in self.list_hedges(harness)]
        self.assertEqual(hedges, [("svc-2", 29.0)])

    def test_next_query_avoids_the_replica_that_was_hedged(self):
        harness = SessionHarness(make_straggler_script(20.0), budgets=Budgets())
        harness.run()
        harness.batches.clear()
        self.assertEqual(harness.run("q-2").elapsed_ms, 20.0)
        asked = [
            subquery.upstream
            for sent in harness.batches
            for subquery in sent.batch.subqueries
        ]
        self.assertNotIn("a:902", asked)
        self.assertIn("a:901", asked)

    def test_avoided_replica_is_asked_again_later(self):
        harness = SessionHarness(make_straggler_script(20.0), budgets=Budgets())
        harness.run()
        harness.now += ms(1500)
        harness.batches.clear()
        harness.run("q-2")
        asked = [subquery.upstream for subquery in harness.batches[0].batch.subqueries]
        self.assertIn("a:902", asked)


def straggle_beyond_the_deadline(action):
    """Answer for the first shard at once and never for the second one.

    The other owners answer for all shards.
    """
    if action.batch_id != 1:
        return answer_all(action)
    entries = [answer_entry(subquery) for subquery in action.batch.subqueries]
    return [(5.0, make_line(action, entries[:1], final=False))]


class TestStragglerBeyondTheDeadline(unittest.TestCase):
    """Guards against a hedge that does not restore coverage, and false coverage.

    One shard of a batch never answers. A hedge must cover it; without hedging, the
    answer must state it as missing.
    """

    def test_hedge_covers_the_shard(self):
        outcome = SessionHarness(straggle_beyond_the_deadline).run()
        self.assertTrue(outcome.complete)
        self.assertEqual(outcome.elapsed_ms, HEDGE_DELAY_MS + 5.0)

    def test_without_hedging_the_shard_is_stated_as_missing(self):
        without = Mechanisms(hedging=False)
        harness = SessionHarness(straggle_beyond_the_deadline, mechanisms=without)
        outcome = harness.run()
        self.assertEqual([shard.service for shard in outcome.covered], ["svc-1"])
        missing = [(shard.service, shard.reason) for shard in outcome.not_covered]
        self.assertEqual(missing, [("svc-2", CoverageReason.TIMEOUT)])
        self.assertEqual([hit.id for hit in outcome.hits], ["svc-1"])
        self.assertEqual(len(harness.batches), 1)


if __name__ == "__main__":
    unittest.main()
