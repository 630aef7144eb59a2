"""Tests of the owner with faulty upstream answers and connections."""

import contextlib
import socket
import unittest

from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    RunAnswered,
    UnknownReason,
)
from celeryferry_daemon._internal.owner.client import UpstreamClient
from celeryferry_daemon._internal.owner.replies import Expectation
from tests.daemon.fake_upstreams import RawUpstream, answer_run
from tests.daemon.fakes import wait_for
from tests.daemon.owner_fakes import OwnerHarness, OwnerTestCase

UNKNOWN_LOST = OutcomeUnknown(UnknownReason.CONNECTION_LOST)
BAD_ANSWER = OutcomeUnknown(UnknownReason.BAD_ANSWER)


class TestAnswers(OwnerTestCase):
    """Guards against accepting an answer that belongs to another request.

    An upstream can answer with the id, shard or index version of another request, or
    with a malformed or oversized body. The outcome is then a bad answer, and the next
    request works again.
    """

    async def assert_bad(self, change):
        harness, upstream = await self.start_owner()
        upstream.change_answer = lambda answer: answer | change
        self.assertEqual(await harness.search_single(), BAD_ANSWER)
        upstream.change_answer = lambda answer: answer
        self.assertIsInstance(await harness.search_single(), Answered)

    async def test_another_request_id(self):
        await self.assert_bad({"request_id": "other"})

    async def test_another_shard(self):
        await self.assert_bad({"shard": "shard-2"})

    async def test_another_version(self):
        await self.assert_bad({"index_version": 41})

    async def test_hits_that_are_no_array(self):
        await self.assert_bad({"hits": {}})

    async def test_an_oversized_answer(self):
        await self.assert_bad({"hits": ["x" * 1_100_000]})

    async def test_an_unknown_refusal(self):
        harness, upstream = await self.start_owner()
        upstream.refusal = (503, "bored")
        self.assertEqual(await harness.search_single(), BAD_ANSWER)

    async def test_a_version_that_is_gone_is_not_run(self):
        harness, upstream = await self.start_owner()
        upstream.refusal = (409, "version_gone")
        outcome = await harness.search_single()
        self.assertEqual(outcome, NotRun(NotRunReason.VERSION_GONE))


class TestConnections(unittest.IsolatedAsyncioTestCase):
    """Guards against a request that is sent twice or wrongly reported as "not run".

    The connection can fail before the first byte, when nothing can have run, or after
    it, when the upstream may have run the request.
    """

    async def start_owner(self, *answers):
        self.upstream = await RawUpstream().start()
        self.upstream.answers = list(answers)
        self.harness = await OwnerHarness().start(self.upstream.address)
        self.addCleanup(self.upstream.server.close)
        self.addAsyncCleanup(self.harness.stop)
        return self.harness, self.upstream

    async def test_a_kept_connection_closed_on_the_second_request(self):
        harness, upstream = await self.start_owner(answer_run)
        self.assertIsInstance(await harness.run(ticket="first"), RunAnswered)
        self.assertEqual(await harness.run(ticket="second"), UNKNOWN_LOST)
        self.assertEqual(upstream.requests, ["first", "second"])
        second = await harness.run(ticket="second")
        self.assertEqual(second, OutcomeUnknown(UnknownReason.ALREADY_SENT))
        self.assertEqual(upstream.requests, ["first", "second"])

    async def test_a_truncated_answer(self):
        harness, upstream = await self.start_owner(
            lambda request_id: answer_run(request_id, 900)
        )
        upstream.closes_after_answer = True
        self.assertEqual(await harness.run(), BAD_ANSWER)

    async def test_a_redirect_is_not_followed(self):
        harness, upstream = await self.start_owner(
            lambda _: (
                f"HTTP/1.1 307 Moved\r\nLocation: http://{upstream.address}/run\r\n"
                "Content-Length: 0\r\n\r\n"
            ).encode()
        )
        self.assertEqual(await harness.run(), BAD_ANSWER)
        self.assertEqual(len(upstream.requests), 1)

    async def test_text_that_is_not_http(self):
        harness, _ = await self.start_owner(lambda _: b"hello\r\n\r\n")
        self.assertEqual(await harness.run(), BAD_ANSWER)

    async def test_a_crossed_answer_takes_its_connection_out_of_use(self):
        harness, upstream = await self.start_owner(
            lambda _: answer_run("other"), answer_run
        )
        self.assertEqual(await harness.run(ticket="first"), BAD_ANSWER)
        before = upstream.connections
        self.assertIsInstance(await harness.run(ticket="second"), RunAnswered)
        self.assertGreater(upstream.connections, before)

    async def test_a_refused_connection_is_not_run(self):
        harness, upstream = await self.start_owner()
        upstream.server.close()
        await upstream.server.wait_closed()
        outcome = await harness.run()
        self.assertIs(outcome.reason, NotRunReason.UNREACHABLE)
        self.assertIsInstance(outcome, NotRun)

    async def test_a_refusal_once_the_connection_is_open_sends_no_byte(self):
        upstream = await RawUpstream().start()
        client = UpstreamClient(upstream.address, 2, Mechanisms())
        refusal = NotRun(NotRunReason.FAILURE_DOMAIN_OUT)
        reply = await client.send(
            "run", b"1", {"X-Request-Id": "r"}, Expectation("r"), 5.0, lambda: refusal
        )
        self.assertEqual(reply.outcome, refusal)
        await client.close()
        await wait_for(lambda: upstream.closed_count == 1)
        self.assertEqual((upstream.connections, upstream.received), (1, b""))
        upstream.server.close()

    async def test_a_connection_that_does_not_open_is_not_run(self):
        with socket.socket() as listener, contextlib.ExitStack() as fillers:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for _ in range(4):
                filler = fillers.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            host, port = listener.getsockname()
            client = UpstreamClient(f"{host}:{port}", 2, Mechanisms())
            reply = await client.send(
                "run", b"1", {}, Expectation("r"), 0.3, lambda: None
            )
            await client.close()
        self.assertEqual(reply.outcome, NotRun(NotRunReason.UNREACHABLE))
