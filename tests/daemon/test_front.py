"""Tests of the answers and errors of the front over HTTP."""

import asyncio
import unittest

import msgspec

from celeryferry_core.decisions.front import ShardRouted
from celeryferry_core.exceptions import PeerFailureKind
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.callers import SearchRequest
from celeryferry_core.plans import build_plan
from celeryferry_daemon._internal.front.checks import check_search
from tests.core.sessions import HOSTS, make_document
from tests.daemon.front_fakes import FrontCase, make_view


class TestSearch(FrontCase):
    """Guards against wrong answers and wrong errors on the callers' interface.

    Each refusal must have its status code and error type, and must say ``ran: no`` only
    if nothing ran.
    """

    async def test_complete_answer(self):
        status, body = await self.search(limit=1)
        self.assertEqual(status, 200)
        self.assertTrue(body["complete"])
        self.assertEqual(len(body["covered"]), 2)
        self.assertEqual(len(body["hits"]), 1)
        self.assertEqual(body["snapshot"], 41)
        prefixes = {decision.to_line().split()[0] for decision in self.log}
        self.assertEqual(prefixes, {"front:"})
        names = {metric.name for metric in self.registry.get_all()}
        self.assertIn("celeryferry_front_latency_seconds", names)

    async def test_unknown_application(self):
        await self.assert_error(404, "unknown_application", application="none")

    async def test_at_most_once_application(self):
        await self.assert_error(400, "bad_request", application="once")

    async def test_invalid_requests(self):
        for changes in ({"deadline_ms": 0}, {"deadline_ms": 60001}, {"limit": -1}):
            await self.assert_error(400, "bad_request", **changes)
        await self.assert_error(400, "bad_request", unknown_field=1)
        await self.assert_error(400, "bad_request", limit="2")

    async def test_body_that_is_not_json(self):
        for body in (b"", b"{", b"\xff\xfe", b"[" * 400):
            async with self.client.post("/v1/search", data=body) as response:
                error = (await response.json())["error"]
            self.assertEqual((response.status, error["type"]), (400, "bad_request"))

    async def test_large_body(self):
        await self.assert_error(413, "too_large", query="x" * 600)

        async def chunks():
            for _ in range(20):
                yield b"x" * 100

        async with self.client.post("/v1/search", data=chunks()) as response:
            self.assertEqual(response.status, 413)

    async def test_stale_configuration(self):
        self.gate.is_open = False
        error = await self.assert_error(503, "stale_configuration")
        self.assertGreater(error["retry_after_ms"], 0)
        self.assertEqual(self.peers.started_count, 0)

    async def test_no_coverage(self):
        self.peers.failure = PeerFailureKind.REJECTED
        await self.assert_error(503, "no_coverage", deadline_ms=200)
        await asyncio.wait_for(self.front.stop(), 2)

    async def test_lost_answers_may_have_run(self):
        self.peers.failure = PeerFailureKind.CONNECTION_LOST
        await self.assert_error(503, "no_coverage", ran="unknown", deadline_ms=200)

    async def test_fault_in_the_client_is_an_internal_error(self):
        self.peers.error = RuntimeError("fault")
        await self.assert_error(500, "internal", ran="unknown")

    async def test_explain(self):
        await self.search()
        explained = self.front.explain("app")
        self.assertEqual(explained.snapshot, 41)
        self.assertEqual([shard.chosen[0] for shard in explained.shards], ["a", "a"])
        owners = {candidate.owner for candidate in explained.shards[0].candidates}
        self.assertEqual(owners, set(HOSTS))
        self.assertIsNone(self.front.explain("none"))

    async def test_configuration_takes_effect_for_the_next_query(self):
        await self.search()
        view = make_view(make_document(1, failure_domains_out=("a",)))
        self.streams.configuration.on_next(view)
        self.log.clear()
        _, body = await self.search()
        self.assertEqual(len(body["covered"]), 1)
        routed = self.log.list_by_type(ShardRouted)[0]
        self.assertFalse(routed.upstream.startswith("a:"))


class TestErrorMessage(unittest.TestCase):
    """Guards against a message that misleads the callers of a retired service.

    A retired service has no shards, as a service has whose requests run at most once.
    """

    def test_retired_service_is_not_called_run_once(self):
        retired = make_document(shards=())
        plan = build_plan("a", (retired,), frozenset(), Mechanisms())
        error = check_search(SearchRequest("a", msgspec.Raw(b"1")), plan, True)
        self.assertIn("retired", error.message)
