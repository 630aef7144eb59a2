"""Tests of retries, redirects and unreachable owners in a search session."""

import unittest
from collections import Counter

from celeryferry_core.budgets import Budgets
from celeryferry_core.exceptions import PeerFailure, PeerFailureKind
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import PartialEntry
from celeryferry_core.models.outcomes import (
    NotRunReason,
    OutcomeUnknown,
    UnknownReason,
)
from celeryferry_core.models.topology import Hedging, Host
from celeryferry_core.models.views import Membership
from celeryferry_core.search_events import BatchFailed
from tests.core.sessions import (
    HOSTS,
    START,
    SessionHarness,
    answer_all,
    make_document,
    make_line,
    ms,
    refuse,
)


class TestFailures(unittest.TestCase):
    """Guards against shards missing after one failure, and false claims of "not run".

    Owners or upstreams of failure domain a refuse, fail, stay silent or send faulty
    answers, while other domains answer. The session must retry there within its
    budgets. If no shard is covered, the error may say that nothing ran only if no
    subquery can have run.
    """

    def test_refusals_of_one_domain_are_retried_elsewhere(self):
        for reason in (NotRunReason.COLD, NotRunReason.DRAINING, NotRunReason.NO_OWNER):

            def script(action, reason=reason):
                if action.host.failure_domain == "a":
                    return refuse(action, reason)
                return answer_all(action)

            documents = [make_document(number) for number in range(9)]
            self.assertTrue(SessionHarness(script, documents).run().complete)

    def test_floor_covers_lost_owners_at_low_load(self):
        def script(action):
            if action.host.failure_domain == "a":
                failure = PeerFailure(PeerFailureKind.NOT_SENT, "a-1", "refused")
                return [(1.0, BatchFailed(action.batch_id, failure))]
            return answer_all(action)

        documents = [make_document(number) for number in range(9)]
        for document in documents:
            self.assertEqual(document.retries.budget_percent, 10.0)
        harness = SessionHarness(script, documents)
        for _ in range(5):
            self.assertTrue(harness.run().complete)
            harness.now += ms(2500)

    def test_retries_are_bounded_under_overload(self):
        def script(action):
            return refuse(action, NotRunReason.SHEDDING, retry_after_ms=30)

        budgets = Budgets()
        harness = SessionHarness(script, budgets=budgets)
        for _ in range(1000):
            harness.run()
        elapsed_s = (harness.now - START).total_seconds()
        bound = 0.1 * budgets.subqueries + 110 + 20 * elapsed_s + 1
        self.assertLessEqual(budgets.extra_subqueries, bound)
        self.assertEqual(str(harness.outcome.ran), "no")
        self.assertEqual(harness.outcome.retry_after_ms, 30)

    def test_replicas_with_faulty_answers_do_not_use_up_the_retries(self):
        def script(action):
            if action.host.failure_domain != "a":
                return answer_all(action)
            entries = [
                PartialEntry(subquery.service, subquery.shard, subquery.upstream, lost)
                for subquery in action.batch.subqueries
            ]
            return [(2.0, make_line(action, entries))]

        for reason in (UnknownReason.BAD_ANSWER, UnknownReason.CONNECTION_LOST):
            lost = OutcomeUnknown(reason)
            harness = SessionHarness(script, [make_document(n) for n in range(6)])
            outcomes = [harness.run(f"q-{number}") for number in range(100)]
            self.assertTrue(all(outcome.complete for outcome in outcomes))

    def test_straggler_beyond_the_deadline_costs_no_coverage_without_hedges(self):
        def script(action):
            if action.host.failure_domain == "a":
                return [(5.0, make_line(action, [], final=False))]
            return answer_all(action)

        documents = [make_document(1, hedging=Hedging(budget_percent=0.0))]
        answer = SessionHarness(script, documents).run()
        self.assertTrue(answer.complete)
        self.assertLess(answer.elapsed_ms, 600.0)

    def test_silent_owner_is_left(self):
        def script(action):
            if action.host.failure_domain == "a":
                return []
            return answer_all(action)

        harness = SessionHarness(script, mechanisms=Mechanisms(hedging=False))
        outcome = harness.run()
        self.assertTrue(outcome.complete)
        self.assertLess(outcome.elapsed_ms, 150)

    def test_redirect_is_followed_once(self):
        def script(action):
            if action.host.host_id == "a-2":
                return answer_all(action)
            return refuse(action, NotRunReason.NOT_OWNER, holder="a-2")

        hosts = HOSTS | {"a-2": Host("a-2", "a", "a:72", "a:73")}
        harness = SessionHarness(script)
        harness.router.directory.replace_membership(Membership(hosts, frozenset(hosts)))
        harness.router.directory.mark_unusable("a-2", START - ms(1999))
        harness.now = START + ms(1)
        for key in harness.plan.keys:
            harness.router.directory.record_redirect(key, "a-1", harness.now)
        self.assertTrue(harness.run().complete)
        self.assertEqual(
            [action.host.host_id for action in harness.batches[-1:]], ["a-2"]
        )
        self.assertEqual(len(harness.find_decisions("ShardRedirected")), 2)

    def test_redirect_loop_ends_elsewhere(self):
        def script(action):
            other = {"a-1": "a-2", "a-2": "a-1"}.get(action.host.host_id)
            if other is None:
                return answer_all(action)
            return refuse(action, NotRunReason.NOT_OWNER, holder=other)

        hosts = HOSTS | {"a-2": Host("a-2", "a", "a:72", "a:73")}
        harness = SessionHarness(script)
        harness.router.directory.replace_membership(Membership(hosts, frozenset(hosts)))
        self.assertTrue(harness.run().complete)
        sends = Counter(
            subquery.shard
            for action in harness.batches
            for subquery in action.batch.subqueries
        )
        # The owner, the host that it named, and a replica elsewhere.
        self.assertEqual(set(sends.values()), {3})

    def test_no_owner_anywhere_is_waited_for(self):
        calls = []

        def script(action):
            calls.append(action)
            if len(calls) <= 3:
                return refuse(action, NotRunReason.NO_OWNER)
            return answer_all(action)

        outcome = SessionHarness(script, [make_document(1)]).run()
        self.assertTrue(outcome.complete)

    def test_unanswered_query_states_that_it_may_have_run(self):
        outcome = SessionHarness(lambda action: []).run(deadline_ms=300)
        self.assertEqual(str(outcome.ran), "unknown")

    def test_failed_refusals_state_that_nothing_ran(self):
        script = lambda action: refuse(action, NotRunReason.OVERLOADED)  # noqa: E731
        outcome = SessionHarness(script).run()
        self.assertEqual(str(outcome.ran), "no")
