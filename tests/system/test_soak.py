"""A short soak with fixed seeds. ``make soak`` plays more and longer ones."""

import unittest
from datetime import timedelta
from types import SimpleNamespace

from celeryferry_standins.platform.fleet import PlatformHost
from celeryferry_standins.platform.upstream import PlatformUpstream
from tests.soak.callers import Exchange
from tests.soak.judge import find_violations
from tests.soak.run import run_soak

SEEDS = (1,)
LENGTH = timedelta(seconds=8)


class TestShortSoak(unittest.IsolatedAsyncioTestCase):
    """Guards against promises that break when faults come in series and overlap."""

    async def test_no_promise_is_broken(self):
        """Guards against orders that run twice or are lost, and untrue refusals."""
        for seed in SEEDS:
            report = await run_soak(seed, LENGTH)
            print(report.to_text())
            self.assertGreater(report.statuses[200], 0)
            self.assertEqual(report.violations, [], "\n".join(report.faults))


class TestJudge(unittest.TestCase):
    """Shows that the judge finds each broken promise, and excuses what is excused."""

    def setUp(self):
        self.host = PlatformHost("host-za", "za")
        self.addCleanup(self.host.close)
        self.upstream = PlatformUpstream("i-orders-za", "orders", "za")
        self.faults = SimpleNamespace(has_excuse=lambda *arguments: False)

    def judge(self, run_count: int, **fields) -> list[str]:
        """Return the names of the broken promises of one order."""
        exchange = Exchange("id-1", self.host, True, 1.0, 2.0)
        for name, value in fields.items():
            setattr(exchange, name, value)
        self.upstream.runs["id-1"] = run_count
        found = find_violations([exchange], [self.upstream], self.faults)
        return [line.split()[0] for line in found]

    def test_kept_promises(self):
        """Guards against a judge that finds fault with what is allowed."""
        self.assertEqual(self.judge(1, status=200, answered_id="id-1"), [])
        self.assertEqual(self.judge(0, status=503), [])
        self.assertEqual(self.judge(1, status=502), [])
        self.assertEqual(self.judge(1, is_given_up=True), [])
        self.assertEqual(self.judge(0), [])

    def test_broken_promises(self):
        """Guards against a judge that misses a broken promise."""
        self.assertEqual(self.judge(2, status=200, answered_id="id-1"), ["TWICE"])
        self.assertEqual(self.judge(1, status=503), ["REFUSED"])
        self.assertEqual(self.judge(1, status=200, answered_id="id-0"), ["MIXED"])
        self.assertEqual(self.judge(0, status=200, answered_id="id-1"), ["MIXED"])
        self.assertEqual(self.judge(0, status=404), ["DENIED"])
        self.assertEqual(self.judge(1), ["LOST"])
        self.upstream.runs["id-2"] = 1
        self.assertEqual(self.judge(0, status=503), ["UNASKED"])

    def test_unplanned_fault_excuses_a_lost_order(self):
        """Guards against blaming a host that was killed or paused."""
        self.faults.has_excuse = lambda *arguments: True
        self.assertEqual(self.judge(1), [])
