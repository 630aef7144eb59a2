"""Tests of merging and coverage in any order of entries, valid or not."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.callers import Hit
from celeryferry_core.models.messages import PartialEntry
from celeryferry_core.partial_answers import merge_hits
from tests.core.sessions import SessionHarness, answer_entry, make_document, make_line

HITS = st.builds(Hit, id=st.sampled_from("abcd"), score=st.floats(-5, 5))
PARTS = st.lists(st.lists(HITS, max_size=4), max_size=5)
KINDS = ("query", "version", "shard", "upstream", "repeat")
NOISE = st.lists(st.sampled_from(KINDS), max_size=8)


def make_noise(kind: str, action, index: int):
    """Return an event with an entry that must not be used, or with a valid repeat."""
    subquery = action.batch.subqueries[index % len(action.batch.subqueries)]
    hits = '[{"id":"noise","score":99}]'
    entry = answer_entry(subquery, hits=hits)
    match kind:
        case "query":
            return make_line(action, [entry], final=False, query_id="q-0")
        case "version":
            entry = answer_entry(subquery, version=40, hits=hits)
        case "shard":
            entry = PartialEntry(
                subquery.service, "none", subquery.upstream, entry.outcome
            )
        case "upstream":
            entry = PartialEntry(subquery.service, subquery.shard, "z:1", entry.outcome)
        case "repeat":
            entry = answer_entry(subquery)
    return make_line(action, [entry], final=False)


class TestMergeHits(unittest.TestCase):
    """Guards against an answer that depends on the order in which shards answer."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(st.lists(HITS, max_size=4), max_size=5),
        st.randoms(use_true_random=False),
    )
    def test_order_does_not_matter(self, hit_lists, shuffler):
        merged = merge_hits(hit_lists, None)
        shuffled = [shuffler.sample(hits, len(hits)) for hits in hit_lists]
        shuffler.shuffle(shuffled)
        self.assertEqual(merge_hits(shuffled, None), merged)
        keys = [(-hit.score, hit.id) for hit in merged]
        self.assertEqual(keys, sorted(keys))
        self.assertEqual(merge_hits(hit_lists, 2), merged[:2])


class TestCoverageTruth(unittest.TestCase):
    """Guards against hits and coverage from entries that were not asked for.

    Entries of another query, version, shard or upstream, and repeats, arrive in any
    order between the valid ones, while some shards do not answer at all.
    """

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(NOISE, st.sets(st.integers(0, 3)), st.randoms(use_true_random=False))
    def test_noise_changes_nothing(self, noise, silent, shuffler):
        def script(action):
            subqueries = list(enumerate(action.batch.subqueries))
            events = [
                make_line(action, [answer_entry(subquery)], final=False)
                for number, subquery in subqueries
                if number not in silent
            ]
            events += [make_noise(kind, action, n) for n, kind in enumerate(noise)]
            shuffler.shuffle(events)
            return [(1.0 + number, event) for number, event in enumerate(events)]

        documents = [make_document(number) for number in range(4)]
        harness = SessionHarness(
            script, documents, mechanisms=Mechanisms(hedging=False)
        )
        outcome = harness.run(deadline_ms=90)
        repeated = {n % 4 for n, kind in enumerate(noise) if kind == "repeat"}
        expected = {f"svc-{n}" for n in set(range(4)) - silent | repeated}
        if not expected:
            self.assertEqual(str(outcome.ran), "unknown")
            return
        self.assertEqual({shard.service for shard in outcome.covered}, expected)
        self.assertEqual([hit.id for hit in outcome.hits], sorted(expected))
        self.assertEqual(len(outcome.covered) + len(outcome.not_covered), 4)


class TestCoverageMechanisms(unittest.TestCase):
    """Shows that the checks of entries prevent wrong answers.

    A foreign or malformed entry is the only one for its shard. With the check the shard
    stays missing. Without it, if it can be switched off, wrong hits are returned.
    """

    def _search(self, kind: str, mechanisms: Mechanisms):
        def script(action):
            noise = make_noise(kind, action, 0)
            return [(1.0, noise), (2.0, make_line(action, []))]

        documents = [make_document(1)]
        return SessionHarness(script, documents, mechanisms=mechanisms).run()

    def test_snapshot_check_prevents_a_mixed_answer(self):
        outcome = self._search("version", Mechanisms())
        self.assertEqual(str(outcome.type), "no_coverage")
        without = self._search("version", Mechanisms(snapshot_check=False))
        self.assertEqual([hit.id for hit in without.hits], ["noise"])

    def test_answer_match_prevents_a_foreign_answer(self):
        for kind in ("query", "upstream"):
            outcome = self._search(kind, Mechanisms())
            self.assertEqual(str(outcome.type), "no_coverage")
            without = self._search(kind, Mechanisms(answer_match=False))
            self.assertEqual([hit.id for hit in without.hits], ["noise"])

    def test_malformed_hits_are_not_covered(self):
        def script(action):
            subqueries = action.batch.subqueries
            bad = [
                answer_entry(
                    subquery, hits='[{"id":7}]' if subquery.shard == "svc-1" else None
                )
                for subquery in subqueries
            ]
            return [(1.0, make_line(action, bad))]

        outcome = SessionHarness(script).run()
        self.assertEqual([shard.service for shard in outcome.covered], ["svc-2"])
        reasons = [str(shard.reason) for shard in outcome.not_covered]
        self.assertEqual(reasons, ["outcome_unknown"])
