"""Tests of the outcome counter of the test runner."""

import unittest
from types import SimpleNamespace

from tests.counting import OutcomeCounter


class TestOutcomeCounter(unittest.TestCase):
    """Guards against runs that are reported as passed or failed wrongly.

    nose2 reports every subtest, also those that passed. Counting each as a failure
    fails good runs; ignoring them all hides failures.
    """

    def count(self, outcomes):
        latest = OutcomeCounter.latest
        self.addCleanup(setattr, OutcomeCounter, "latest", latest)
        counter = OutcomeCounter()
        subtest = SimpleNamespace(test_case=self, id=lambda: "subtest")
        for outcome, exc_info in outcomes:
            test = subtest if outcome == "subtest" else self
            event = SimpleNamespace(outcome=outcome, exc_info=exc_info, test=test)
            counter.testOutcome(event)
        return len(counter.passed), counter.failed

    def test_passed_subtests_are_no_failures(self):
        passed = self.count([("subtest", None), ("subtest", None), ("passed", None)])
        self.assertEqual(passed, (1, []))

    def test_a_failed_subtest_fails_its_test_once(self):
        failure = (ValueError, ValueError(), None)
        outcomes = [("subtest", failure), ("subtest", None), ("subtest", failure)]
        self.assertEqual(self.count(outcomes), (0, [self.id()]))


class TestSlowestTests(unittest.TestCase):
    """Guards against a report that omits the slowest tests or sorts them wrongly."""

    def test_slowest_tests_come_first(self):
        latest = OutcomeCounter.latest
        self.addCleanup(setattr, OutcomeCounter, "latest", latest)
        counter = OutcomeCounter()
        counter.seconds = {"quick": 0.1, "slow": 12.34, "middle": 2.0}
        expected = ["  12.3 s  slow", "   2.0 s  middle"]
        self.assertEqual(counter.list_slowest(2), expected)


if __name__ == "__main__":
    unittest.main()
