"""Runs search sessions against random faults and checks their invariants."""

import random
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from celeryferry_core.exceptions import PeerFailure, PeerFailureKind
from celeryferry_core.models.callers import SearchAnswer
from celeryferry_core.models.messages import PartialEntry
from celeryferry_core.models.outcomes import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    UnknownReason,
)
from celeryferry_core.models.topology import Preference
from celeryferry_core.search_events import BatchFailed
from tests.core.sessions import (
    HOSTS,
    SessionHarness,
    answer_entry,
    make_document,
    make_line,
)

DEADLINE_MS = 700


class FaultyOwners:
    """Script of owners that fail in random ways.

    A batch is answered in two lines, fails as a whole or gets no answer. Each entry is
    an answer, a refusal, an unknown outcome or an answer from an old index version.

    :ivar executed: whether any subquery may have run.
    """

    def __init__(self, randomness: random.Random):
        self.randomness = randomness
        self.executed = False

    def __call__(self, action):
        randomness = self.randomness
        delay_ms = randomness.choice([2.0, 10.0, 60.0, 800.0])
        kind = randomness.choice(["lines", "lines", "lines", "failure", "silence"])
        if kind == "silence":
            self.executed = True
            return []
        if kind == "failure":
            failure_kind = randomness.choice(list(PeerFailureKind))
            failure = PeerFailure(failure_kind, action.host.host_id, "test")
            self.executed |= not failure.did_not_run
            return [(delay_ms, BatchFailed(action.batch_id, failure))]
        entries = [
            self._entry(action, subquery) for subquery in action.batch.subqueries
        ]
        split = randomness.randrange(len(entries) + 1)
        first = (delay_ms / 2, make_line(action, entries[:split], final=False))
        return [first, (delay_ms, make_line(action, entries[split:]))]

    def _entry(self, action, subquery):
        randomness = self.randomness
        kind = randomness.choice(["answered", "not_run", "unknown", "old"])
        if kind == "answered":
            self.executed = True
            return answer_entry(subquery, action.batch.snapshot)
        if kind == "old":
            self.executed = True
            return answer_entry(subquery, 1, '[{"id":"old","score":9}]')
        if kind == "not_run":
            reason = randomness.choice(list(NotRunReason))
            holder = randomness.choice([None, *HOSTS])
            versions = randomness.choice([(), (42,), (40,)])
            outcome = NotRun(reason, holder, versions)
        else:
            self.executed = True
            outcome = OutcomeUnknown(randomness.choice(list(UnknownReason)))
        return PartialEntry(
            subquery.service, subquery.shard, subquery.upstream, outcome
        )


class TestFaults(unittest.TestCase):
    """Guards against sessions that hang, overstate coverage or deny work that ran.

    Any order of lines, refusals, failed batches, silence and answers from an old index
    version may occur. Each query must end by its deadline, report every shard as either
    covered or missing, and state that nothing ran only if nothing did.
    """

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.integers(0, 2**32))
    @example(188)
    def test_any_faults_give_a_truthful_answer_in_time(self, seed):
        owners = FaultyOwners(random.Random(seed))
        preference = list(Preference)[seed % 2]
        documents = [make_document(n, preference=preference) for n in range(4)]
        harness = SessionHarness(owners, documents)
        for number in range(3):
            owners.executed = False
            harness.batches.clear()
            begin = harness.now
            outcome = harness.run(f"q-{number}", DEADLINE_MS)
            self.assertLessEqual(
                (harness.now - begin).total_seconds(), DEADLINE_MS / 1000
            )
            if isinstance(outcome, SearchAnswer):
                self._check_answer(outcome, harness)
            elif str(outcome.ran) == "no":
                self.assertFalse(owners.executed)

    def _check_answer(self, outcome, harness):
        covered = [shard.service for shard in outcome.covered]
        missing = [shard.service for shard in outcome.not_covered]
        self.assertEqual(sorted(covered + missing), [f"svc-{n}" for n in range(4)])
        self.assertEqual(sorted(hit.id for hit in outcome.hits), sorted(covered))
        pinned = [action.batch.snapshot for action in harness.batches]
        self.assertLessEqual(len(set(pinned)), 2)
        self.assertEqual(outcome.snapshot, pinned[-1])
