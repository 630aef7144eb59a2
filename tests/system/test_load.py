"""Tests of the load generator's own promises."""

import unittest

import aiohttp

from celeryferry_core.models.callers import (
    CoveredShard,
    Hit,
    MissingShard,
    SearchAnswer,
)
from celeryferry_core.models.outcomes import CoverageReason
from celeryferry_standins.load.answer_checks import find_faults
from celeryferry_standins.load.caller import Caller
from celeryferry_standins.load.generator import CallRecord
from celeryferry_standins.load.report import make_report
from celeryferry_standins.serving import Listener, json_response
from celeryferry_standins.upstream.hits import make_hits

QUERY = {"q": 1}
SHARDS = frozenset({"a/a", "b/b"})


def make_answer(shards=("a",), snapshot=41, extra=()):
    hits = [one for name in shards for one in make_hits(name, snapshot, QUERY, 2)]
    hits += list(extra)
    return SearchAnswer(
        query_id="q",
        application="x",
        snapshot=snapshot,
        hits=tuple(Hit(one["id"], one["score"]) for one in hits),
        covered=(CoveredShard("a", "a"),),
        not_covered=(MissingShard("b", "b", CoverageReason.TIMEOUT),),
        complete=False,
        elapsed_ms=1.0,
    )


class TestFindFaults(unittest.TestCase):
    """Guards against a check that accepts untrue coverage."""

    def test_accepts_a_true_partial_answer(self):
        self.assertEqual(find_faults(make_answer(), QUERY, SHARDS, 2), [])

    def test_reports_lost_doubled_foreign_and_mixed_hits(self):
        doubled = make_hits("a", 41, QUERY, 2)[:1]
        mixed = make_hits("a", 42, QUERY, 1)
        misdelivered = make_hits("a", 41, {"q": 2}, 1)
        bad = [make_answer(shards=()), make_answer(shards=("a", "b"))]
        bad += [make_answer(extra=one) for one in (doubled, mixed, misdelivered)]
        for answer in bad:
            self.assertEqual(len(find_faults(answer, QUERY, SHARDS, 2)), 1)

    def test_reports_a_shard_that_is_not_mentioned(self):
        faults = find_faults(make_answer(), QUERY, SHARDS | {"c/c"}, 2)
        self.assertEqual(len(faults), 1)


class TestReport(unittest.TestCase):
    """Guards against figures that flatter the measured system."""

    def test_counts_errors_coverage_and_extra_work(self):
        records = [CallRecord(0.1 * n, 10.0 + n, "", "", 9, 10, 0, ()) for n in (1, 2)]
        records.append(CallRecord(0.3, 500.0, "overloaded", "no", 0, 0, 1, ()))
        report = make_report(records, executions=21)
        self.assertEqual((report.calls, report.answers, report.incomplete), (3, 2, 2))
        self.assertEqual(report.errors, {"overloaded": 1})
        self.assertAlmostEqual(report.extra_work_percent, 5.0)
        self.assertEqual((report.p50_ms, report.p999_ms), (11.0, 12.0))
        self.assertEqual(report.worst_coverage, 0.9)


class TestCaller(unittest.IsolatedAsyncioTestCase):
    """Guards against load that uses entry hosts in another way than callers do."""

    async def test_keeps_entry_hosts_and_fails_over_to_another(self):
        asked = []

        async def handle(request):
            asked.append(request.path)
            if request.path == "/v1/entry-hosts":
                domain = {"failure_domain": "d"}
                hosts = [{"address": one, **domain} for one in (gone, live)]
                return json_response({"hosts": hosts, "valid_for_ms": 60_000})
            return json_response(make_answer())

        listener, closed = Listener(handle), Listener(handle)
        live, gone = await listener.open(), await closed.open()
        await closed.close()
        self.addAsyncCleanup(listener.close)
        async with aiohttp.ClientSession() as session:
            caller = Caller(session, "x", (live,))
            replies = [await caller.search(QUERY, 1000) for _ in range(4)]
        self.assertTrue(all(reply.address == live for reply in replies))
        self.assertEqual(asked.count("/v1/entry-hosts"), 1)
        self.assertLessEqual(sum(reply.failovers for reply in replies), 1)


if __name__ == "__main__":
    unittest.main()
