"""Tests of hedging and of the preference between time and coverage."""

import unittest

from celeryferry_core.budgets import Budgets
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.topology import Hedging, Preference
from tests.core.sessions import (
    SessionHarness,
    answer_all,
    make_document,
    make_line,
    ms,
)


class TestHedging(unittest.TestCase):
    """Guards against answers delayed by a slow batch, and against too many hedges.

    The first batch takes 90 ms while hedges take 5 ms, so a session that does not hedge
    answers after 90 ms. If every batch is slow, or this process stalls, hedging all of
    them would multiply the load; the budget and the postponed hedge prevent that.
    """

    @staticmethod
    def _straggle(action):
        delay_ms = 90.0 if action.batch_id == 1 else 5.0
        return answer_all(action, delay_ms)

    def test_straggler_delays_only_without_hedging(self):
        harness = SessionHarness(self._straggle)
        self.assertLess(harness.run().elapsed_ms, 40)
        self.assertEqual(harness.cancelled, [1])
        self.assertTrue(
            all(action.host.host_id != "a-1" for action in harness.batches[1:])
        )
        self.assertTrue(
            all(subquery.hedge for subquery in harness.batches[1].batch.subqueries)
        )
        without = SessionHarness(self._straggle, mechanisms=Mechanisms(hedging=False))
        self.assertEqual(without.run().elapsed_ms, 90.0)
        self.assertEqual(len(without.batches), 1)

    def test_hedges_stay_within_the_budget(self):
        budgets = Budgets()
        harness = SessionHarness(
            lambda action: answer_all(action, 60.0), budgets=budgets
        )
        for _ in range(500):
            harness.run()
        self.assertLessEqual(budgets.extra_subqueries, 0.05 * budgets.subqueries + 6)

    def test_zero_budget_never_hedges(self):
        documents = [make_document(1, hedging=Hedging(budget_percent=0.0))]
        harness = SessionHarness(self._straggle, documents)
        harness.run()
        self.assertEqual(len(harness.batches), 1)

    def test_late_shards_are_hedged_all_or_none(self):
        documents = [make_document(number) for number in range(9)]
        harness = SessionHarness(self._straggle, documents)
        harness.run()
        self.assertEqual(len(harness.batches), 1)
        denied = harness.find_decisions("ShardHedged")
        self.assertEqual([decision["reason"] for decision in denied], ["budget"] * 9)

    def test_stalled_process_hedges_nothing_at_once(self):
        harness = SessionHarness(lambda action: answer_all(action, 70.0))
        harness.stall_ms = 40.0
        self.assertTrue(harness.run().complete)
        self.assertEqual(len(harness.batches), 1)

    def test_stragglers_do_not_raise_the_delay(self):
        budgets = Budgets()
        for number in range(600):
            budgets.latencies.record(100.0 if number % 12 == 0 else 10.0)
        self.assertEqual(budgets.hedge_delay(2.0), ms(30))
        self.assertEqual(budgets.hedge_delay(50.0), ms(50))


class TestPreference(unittest.TestCase):
    """Guards against a session that ignores the preference of a service.

    One of two shards answers only after 600 ms. With a preference for time the query
    ends after 250 ms without it; with a preference for coverage it waits.
    """

    def _run(self, first: Preference, second: Preference):
        def script(action):
            events = []
            for entry in answer_all(action)[0][1].answer.entries:
                delay_ms = 600.0 if entry.service == "svc-1" else 5.0
                events.append((delay_ms, make_line(action, [entry], final=False)))
            return events

        documents = [
            make_document(1, preference=first),
            make_document(2, preference=second),
        ]
        return SessionHarness(script, documents).run()

    def test_time_answers_without_the_late_shard(self):
        outcome = self._run(Preference.TIME, Preference.TIME)
        self.assertEqual(outcome.elapsed_ms, 250.0)
        self.assertEqual(
            [str(shard.reason) for shard in outcome.not_covered], ["timeout"]
        )

    def test_coverage_waits_for_the_late_shard(self):
        outcome = self._run(Preference.COVERAGE, Preference.TIME)
        self.assertTrue(outcome.complete)
