"""Runs search sessions against random faults and checks what must always hold."""

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

    :ivar executed: whether any subquery was run.
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
            failure = randomness.choice(list(PeerFailureKind))
            found = PeerFailure(failure, action.host.host_id, "test")
            self.executed |= not found.ran_nothing
            return [(delay_ms, BatchFailed(action.batch_id, found))]
        entries = [self._entry(action, part) for part in action.batch.subqueries]
        cut = randomness.randrange(len(entries) + 1)
        first = (delay_ms / 2, make_line(action, entries[:cut], final=False))
        return [first, (delay_ms, make_line(action, entries[cut:]))]

    def _entry(self, action, part):
        randomness = self.randomness
        kind = randomness.choice(["answered", "not_run", "unknown", "old"])
        if kind == "answered":
            self.executed = True
            return answer_entry(part, action.batch.snapshot)
        if kind == "old":
            self.executed = True
            return answer_entry(part, 1, '[{"id":"old","score":9}]')
        if kind == "not_run":
            reason = randomness.choice(list(NotRunReason))
            holder = randomness.choice([None, *HOSTS])
            versions = randomness.choice([(), (42,), (40,)])
            outcome = NotRun(reason, holder, versions)
        else:
            self.executed = True
            outcome = OutcomeUnknown(randomness.choice(list(UnknownReason)))
        return PartialEntry(part.service, part.shard, part.upstream, outcome)


class TestFaults(unittest.TestCase):
    """Guards against sessions that hang, overstate coverage or understate work."""

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
        covered = [part.service for part in outcome.covered]
        missing = [part.service for part in outcome.not_covered]
        self.assertEqual(sorted(covered + missing), [f"svc-{n}" for n in range(4)])
        self.assertEqual(sorted(hit.id for hit in outcome.hits), sorted(covered))
        pinned = [b.batch.snapshot for b in harness.batches]
        self.assertLessEqual(len(set(pinned)), 2)
        self.assertEqual(outcome.snapshot, pinned[-1])
