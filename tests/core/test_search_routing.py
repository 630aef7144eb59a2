"""Tests of the replicas and the snapshot that a search session chooses."""

import random
import unittest

from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.callers import SearchAnswer
from celeryferry_core.models.outcomes import (
    NotRunReason,
    UpstreamState,
)
from celeryferry_core.models.topology import Replica, Shard
from celeryferry_core.models.views import Membership
from celeryferry_core.routing import Router
from celeryferry_core.search_events import PlanReplaced
from celeryferry_core.upstream_catalog import UpstreamCatalog, choose_index_version
from tests.core.sessions import (
    HOSTS,
    SessionHarness,
    answer_all,
    list_asked_upstreams,
    make_document,
    ms,
    observe,
    refuse,
)


class TestRouting(unittest.TestCase):
    """Guards against subqueries to upstreams that must get no new work.

    This happens if routing ignores a failure domain taken out, a leaving upstream or an
    observed state, or if a retry uses the routes from before a change of configuration.
    The last tests also guard against a slow local replica that is never tried again,
    and against an error that does not name the cause.
    """

    def _asked_domains(self, **options):
        harness = SessionHarness(answer_all, **options)
        harness.run()
        return {address[0] for address in list_asked_upstreams(harness)}

    def test_domain_out_gets_no_work(self):
        documents = [make_document(1, failure_domains_out=("a",))]
        self.assertNotIn("a", self._asked_domains(documents=documents))
        without = Mechanisms(domain_out=False)
        domains = self._asked_domains(documents=documents, mechanisms=without)
        self.assertEqual(domains, {"a"})

    def test_leaving_upstream_gets_no_work(self):
        leaving = frozenset({"a:901", "a:902"})
        self.assertNotIn("a", self._asked_domains(leaving=leaving))

    def test_draining_and_unreachable_upstreams_get_no_work(self):
        for state in (UpstreamState.DRAINING, UpstreamState.UNREACHABLE):
            harness = SessionHarness(answer_all)
            for address in ("a:901", "a:902"):
                harness.router.catalog.record(observe(address, (41,), state=state))
            harness.run()
            self.assertNotIn(
                "a", {address[0] for address in list_asked_upstreams(harness)}
            )
            self.assertTrue(harness.outcome.complete)

    def test_slow_own_domain_is_left_but_explored(self):
        harness = SessionHarness(answer_all, [make_document(1)])
        harness.router.catalog.record(observe("a:901", (41,), latency_ms=60.0))
        for _ in range(400):
            harness.run()
        local = list_asked_upstreams(harness).count("a:901")
        self.assertTrue(1 <= local <= 20, local)

    def test_domain_taken_out_during_a_query_gets_no_retry(self):
        plan = SessionHarness(
            answer_all, [make_document(1, failure_domains_out=("b",))]
        )
        replaced = PlanReplaced(plan.plan)

        def script(action):
            if action.host.failure_domain == "a":
                refused = refuse(action, NotRunReason.COLD)
                return [(1.0, replaced), *refused]
            return answer_all(action)

        for seed in range(8):
            router = Router("a", random.Random(seed))
            harness = SessionHarness(script, [make_document(1)], router=router)
            self.assertTrue(harness.run().complete)
            self.assertEqual(list_asked_upstreams(harness), ["a:901", "c:901"])

    def test_all_domains_out_is_stated(self):
        documents = [make_document(1, failure_domains_out=("a", "b", "c"))]
        outcome = SessionHarness(answer_all, documents).run()
        self.assertIn("failure_domain_out", outcome.message)
        self.assertEqual(str(outcome.ran), "no")


class TestSnapshots(unittest.TestCase):
    """Guards against pinning a query to a version that some shard cannot serve.

    Replicas hold different versions, and the newest one may exist only on some shards,
    only in a failure domain whose host is gone, or only behind an unstable key.
    """

    def _choose(self, versions, shards=None):
        catalog = UpstreamCatalog()
        for address, held in versions.items():
            catalog.record(observe(address, held))
        shards = shards or [(Shard(name, ()), (name,)) for name in versions]
        return choose_index_version(shards, catalog)

    def test_newest_common_version(self):
        choice = self._choose({"s1": (41, 42), "s2": (40, 41)})
        self.assertEqual((choice.version, choice.covers_all_shards), (41, True))

    def test_most_covering_version_without_a_common_one(self):
        choice = self._choose({"s1": (41,), "s2": (41,), "s3": (42,)})
        self.assertEqual((choice.version, choice.available_count), (41, 2))

    def test_shard_map_belongs_to_the_snapshot(self):
        old = Shard("old", (), 0, 41)
        new = Shard("new", (), 42)
        shards = [(old, ("u1",)), (new, ("u2",))]
        choice = self._choose({"u1": (41,), "u2": (42,)}, shards)
        self.assertEqual((choice.version, choice.shard_count), (42, 1))

    def test_unknown_versions_give_no_snapshot(self):
        outcome = SessionHarness(answer_all, versions=()).run()
        self.assertIn("no_snapshot", outcome.message)
        self.assertEqual(str(outcome.ran), "no")

    def test_version_of_a_lost_domain_is_not_pinned(self):
        harness = SessionHarness(answer_all)
        for address in ("c:901", "c:902"):
            harness.router.catalog.record(observe(address, (41, 42)))
        self.assertEqual(harness.run().snapshot, 42)
        membership = Membership(HOSTS, frozenset({"a-1", "b-1"}))
        harness.router.directory.replace_membership(membership)
        harness.now += ms(100)
        outcome = harness.run()
        self.assertEqual((outcome.snapshot, outcome.complete), (41, True))

    def test_version_of_an_unstable_key_is_not_pinned(self):
        harness = SessionHarness(answer_all)
        for address in ("c:901", "c:902"):
            harness.router.catalog.record(observe(address, (41, 42)))
        for key in harness.plan.keys:
            if key.endswith("/c"):
                harness.router.mark_unstable(key, harness.now)
        self.assertEqual(harness.run().snapshot, 41)

    def test_empty_observation_keeps_known_versions(self):
        catalog = UpstreamCatalog()
        catalog.record(observe("u1", (41,)))
        catalog.record(observe("u1", ()))
        self.assertTrue(catalog.holds("u1", 41))


class TestUnknownVersions(unittest.TestCase):
    """Guards against missing shards while untried replicas may hold the version.

    Only the replica in failure domain a has a known version, and it is unreachable. The
    others have not been observed yet, so they must be asked as a last choice.
    """

    @staticmethod
    def _make_harness(script, others=()):
        harness = SessionHarness(script, [make_document(1)], versions=others)
        harness.router.catalog.record(observe("a:901", (41,)))
        return harness

    @staticmethod
    def _lose_first(action):
        if action.host.failure_domain == "a":
            return refuse(action, NotRunReason.UNREACHABLE)
        return answer_all(action)

    def test_replicas_of_unknown_versions_are_asked_last(self):
        harness = self._make_harness(self._lose_first)
        outcome = harness.run()
        self.assertTrue(outcome.complete)
        self.assertEqual(list_asked_upstreams(harness)[0], "a:901")
        self.assertEqual(len(list_asked_upstreams(harness)), 2)

    def test_replica_that_lacks_the_version_costs_only_a_refusal(self):
        def script(action):
            match action.host.failure_domain:
                case "a":
                    return refuse(action, NotRunReason.UNREACHABLE)
                case "b":
                    gone = NotRunReason.VERSION_GONE
                    return refuse(action, gone, index_versions=(40,))
            return answer_all(action)

        for seed in range(4):
            harness = self._make_harness(script)
            harness.router.random.seed(seed)
            outcome = harness.run()
            self.assertTrue(outcome.complete)
            self.assertEqual(outcome.snapshot, 41)

    def test_replica_known_to_lack_the_version_is_not_asked(self):
        harness = self._make_harness(self._lose_first, others=(40,))
        outcome = harness.run()
        self.assertEqual(set(list_asked_upstreams(harness)), {"a:901"})
        self.assertNotIsInstance(outcome, SearchAnswer)


class TestRepartitioning(unittest.TestCase):
    """Guards against a query that mixes the shards of two shard maps.

    A document lists an old shard up to one version and a new shard from the next one
    on, and both have replicas with matching versions.
    """

    def test_only_shards_of_the_pin_are_asked(self):
        old = Shard("old", (Replica("a:901", "a"),), 0, 41)
        new = Shard("new", (Replica("a:902", "a"),), 42)
        document = make_document(1, shards=(old, new))
        router = Router("a", random.Random(1))
        harness = SessionHarness(answer_all, [document], (41,), router=router)
        router.catalog.record(observe("a:902", (42,)))
        outcome = harness.run()
        self.assertEqual(outcome.snapshot, 42)
        self.assertEqual([shard.shard for shard in outcome.covered], ["new"])
