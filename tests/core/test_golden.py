"""Replays whole search sessions and compares every message with golden files."""

import os
import unittest
from pathlib import Path

from celeryferry_core.exceptions import PeerFailure, PeerFailureKind
from celeryferry_core.models.messages import PartialEntry
from celeryferry_core.models.outcomes import NotRun, NotRunReason
from celeryferry_core.search_events import BatchFailed
from tests.core.sessions import (
    SessionHarness,
    answer_all,
    answer_entry,
    make_line,
    observe,
)

GOLDEN = Path(__file__).parent.parent / "golden"


def straggle_first(action):
    """Answer the first shard of the first batch only after 400 ms."""
    if action.batch_id > 1:
        return answer_all(action)
    entries = [answer_entry(subquery) for subquery in action.batch.subqueries]
    flush = make_line(action, entries[1:], final=False)
    return [(25.0, flush), (400.0, make_line(action, entries[:1]))]


def lose_domain_a(action):
    """Fail every batch to a host of failure domain a after 2 ms."""
    if action.host.failure_domain != "a":
        return answer_all(action)
    failure = PeerFailure(PeerFailureKind.CONNECTION_LOST, "a-1", "reset by peer")
    return [(2.0, BatchFailed(action.batch_id, failure))]


def lose_shard(action):
    """Refuse the first service on every replica."""
    refused = NotRun(NotRunReason.SHEDDING, retry_after_ms=20)
    entries = [
        PartialEntry(subquery.service, subquery.shard, subquery.upstream, refused)
        if subquery.service == "svc-1"
        else answer_entry(subquery)
        for subquery in action.batch.subqueries
    ]
    return [(3.0, make_line(action, entries))]


def lose_version(action):
    """Refuse version 41 everywhere and answer any other."""
    if action.batch.snapshot != 41:
        return answer_all(action)
    first, *rest = action.batch.subqueries
    gone = NotRun(NotRunReason.VERSION_GONE, index_versions=(42,))
    refused = PartialEntry(first.service, first.shard, first.upstream, gone)
    return [(3.0, make_line(action, [refused, *map(answer_entry, rest)]))]


def send_invalid_entries(action):
    """Send entries of other queries, versions and shards, and a duplicate."""
    first, second = action.batch.subqueries
    other = answer_entry(first, version=40)
    wrong_shard = PartialEntry("svc-9", "svc-9", first.upstream, other.outcome)
    valid = [answer_entry(first), answer_entry(first), answer_entry(second)]
    foreign = make_line(action, valid, query_id="q-0", final=False)
    return [(2.0, foreign), (3.0, make_line(action, [other, wrong_shard, *valid]))]


def observe_version_42(router):
    """Record that every upstream has moved on to version 42."""
    for domain in "abc":
        for number in (1, 2):
            router.catalog.record(observe(f"{domain}:90{number}", (42,)))


class TestGoldenSessions(unittest.TestCase):
    """Guards against unintended changes of messages, decisions or their order.

    A change in the session shows as a difference between its journal and the golden
    file. Setting ``CELERYFERRY_WRITE_GOLDEN=1`` writes the files anew.
    """

    def _compare(self, name: str, harness: SessionHarness) -> None:
        harness.run()
        path = GOLDEN / f"{name}.jsonl"
        if os.environ.get("CELERYFERRY_WRITE_GOLDEN") == "1":
            path.parent.mkdir(exist_ok=True)
            path.write_bytes(harness.encode_journal())
        self.assertEqual(path.read_bytes(), harness.encode_journal())

    def test_plain_search(self):
        harness = SessionHarness(answer_all)
        self._compare("search_plain", harness)
        self.assertTrue(harness.outcome.complete)
        self.assertEqual(len(harness.batches), 1)

    def test_hedged_search(self):
        harness = SessionHarness(straggle_first)
        self._compare("search_hedged", harness)
        self.assertTrue(harness.outcome.complete)
        self.assertEqual(harness.outcome.elapsed_ms, 30.0)
        self.assertEqual(harness.cancelled, [1])

    def test_search_that_loses_a_shard(self):
        harness = SessionHarness(lose_shard)
        self._compare("search_lost_shard", harness)
        missing = [
            (shard.service, str(shard.reason)) for shard in harness.outcome.not_covered
        ]
        self.assertEqual(missing, [("svc-1", "not_run")])

    def test_search_that_loses_an_owner(self):
        harness = SessionHarness(lose_domain_a)
        self._compare("search_lost_owner", harness)
        self.assertTrue(harness.outcome.complete)

    def test_version_gone(self):
        harness = SessionHarness(lose_version, refresh=observe_version_42)
        self._compare("search_version_gone", harness)
        self.assertEqual(harness.outcome.snapshot, 42)
        self.assertTrue(harness.outcome.complete)
        self.assertEqual(len(harness.outcome.hits), 2)

    def test_misdelivered_entries(self):
        harness = SessionHarness(send_invalid_entries)
        self._compare("search_misdelivered", harness)
        self.assertTrue(harness.outcome.complete)
        self.assertEqual(len(harness.outcome.hits), 2)
        reasons = [
            decision["reason"] for decision in harness.find_decisions("EntryDropped")
        ]
        expected = ["other_query"] * 3
        expected += ["other_version", "not_asked", "duplicate"]
        self.assertEqual(reasons, expected)
